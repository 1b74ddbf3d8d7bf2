"""Settings, store and fleet clients for the commands of `sesamectl`."""

import sys
from functools import cached_property
from pathlib import Path

from absl import flags

from sesameroute.adapters import HttpStore
from sesameroute.exceptions import InputError, StoreUnreachableError
from sesameroute.ports import SystemClock, TcpWire
from sesameroute.programs._control_fleet import FleetClient, list_urls
from sesameroute.settings import Settings, read_settings
from sesameroute.statement import Statement, read_statement
from sesameroute.submission import ConfigurationStore, Submitter

__all__ = ['Context']

_MILLISECONDS = 1000  # milliseconds per second
_ANY_SOURCE_ADDRESS = ''
_STANDARD_INPUT = '-'
_QUERIED_VMS_PER_DOMAIN = 2


class Context:
    """Settings, store and fleet of one run of `sesamectl`, created on use.

    Parameters
    ----------
    options : flags.FlagValues
        Parsed command line flags.

    """

    def __init__(self, options: flags.FlagValues) -> None:
        """Store the parameter and create a clock."""
        self.options = options
        self.clock = SystemClock()

    @cached_property
    def settings(self) -> Settings:
        """Settings from the file that ``--config`` names."""
        return read_settings(self.options.config, required=('store',))

    @cached_property
    def configuration_store(self) -> ConfigurationStore:
        """Access to the institution's configuration in the store."""
        settings = self.settings.store
        store = HttpStore(
            settings.url,
            TcpWire(),
            _ANY_SOURCE_ADDRESS,
            settings.timeout_ms / _MILLISECONDS,
        )
        return ConfigurationStore(
            store,
            settings.key,
            self.clock,
            timeout_seconds=self.options.timeout,
        )

    @cached_property
    def submitter(self) -> Submitter:
        """Submitter of statements to the store."""
        return Submitter(self.configuration_store)

    @cached_property
    def fleet(self) -> FleetClient:
        """Client for the entry VMs that the stored statement lists.

        If the store is down or empty, the URLs in the settings are used.
        """
        operator = self.settings.operator
        configured_urls = {url: url for url in operator.urls}
        try:
            urls = self._list_statement_urls() or configured_urls
        except StoreUnreachableError as error:
            if not configured_urls:
                raise
            self.warn(f'{error.message}; using the URLs in the settings')
            urls = configured_urls
        return FleetClient(urls, operator.token, self.options.page_timeout)

    def read_text(self, path: str) -> str:
        """Return the text of a file, or of standard input for ``-``.

        Raises
        ------
        InputError
            The file can't be read.

        """
        if path == _STANDARD_INPUT:
            return sys.stdin.read()
        try:
            return Path(path).read_text(encoding='utf-8')
        except (OSError, ValueError) as error:
            raise InputError(f'{path}: {error}') from error

    def warn(self, text: str) -> None:
        """Print a line to standard error."""
        print(text, file=sys.stderr)

    def find_fleet_version(self) -> int:
        """Return the highest configuration version that an entry VM reports.

        A store that lost writes must not assign their versions again. Only a
        few entry VMs of each failure domain are queried, since a fleet can
        have hundreds.
        """
        queried_vms = self._choose_queried_vms()
        answers = self.fleet.fetch_status(queried_vms).answers
        return max((page.get('version', 0) for page in answers), default=0)

    @cached_property
    def statement(self) -> Statement | None:
        """Statement in the store, None if the store is empty."""
        stored = self.configuration_store.read()
        if stored.configuration is None:
            return None
        return read_statement(stored.text, f'version {stored.version}')

    def _choose_queried_vms(self) -> list[str] | None:
        """Return the VMs to query for their version, None for all."""
        if self.statement is None:
            return None
        return [
            vm.name
            for domain in self.statement.places.domains
            for vm in self.statement.list_vms(domain)[:_QUERIED_VMS_PER_DOMAIN]
        ]

    def _list_statement_urls(self) -> dict[str, str]:
        if self.statement is None:
            return {}
        addresses = [
            (vm.name, vm.address) for vm in self.statement.vms.values()
        ]
        return list_urls(addresses, self.statement.entry_port)
