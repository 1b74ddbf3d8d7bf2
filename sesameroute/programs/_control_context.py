"""What the commands of `sesamectl` work with."""

import sys
from functools import cached_property
from pathlib import Path

from absl import flags

from sesameroute.adapters import HttpStore
from sesameroute.exceptions import InputError, StoreDownError
from sesameroute.ports import SystemClock, TcpWire
from sesameroute.programs._control_fleet import Fleet, list_urls
from sesameroute.settings import Settings, read_settings
from sesameroute.statement import Statement, read_statement
from sesameroute.submission import ConfigurationStore, Submitter

__all__ = ['Context']

_MILLISECONDS = 1000  # in a second
_ANY_ADDRESS = ''
_STANDARD_INPUT = '-'
_ASKED_PER_DOMAIN = 2


class Context:
    """Settings, store and fleet of one run of `sesamectl`.

    Parameters
    ----------
    options : flags.FlagValues
        The parsed flags.

    """

    def __init__(self, options: flags.FlagValues) -> None:
        """Store the flags."""
        self.options = options
        self.clock = SystemClock()

    @cached_property
    def settings(self) -> Settings:
        """The settings file."""
        return read_settings(self.options.config, required=('store',))

    @cached_property
    def configurations(self) -> ConfigurationStore:
        """The institution's configuration in the store."""
        settings = self.settings.store
        store = HttpStore(
            settings.url,
            TcpWire(),
            _ANY_ADDRESS,
            settings.timeout_ms / _MILLISECONDS,
        )
        return ConfigurationStore(
            store,
            settings.key,
            self.clock,
            patience=self.options.timeout,
        )

    @cached_property
    def submitter(self) -> Submitter:
        """The way to submit statements."""
        return Submitter(self.configurations)

    @cached_property
    def fleet(self) -> Fleet:
        """The entry VMs of the stored statement.

        With the store down or empty they are those of the settings.
        """
        operator = self.settings.operator
        known = {url: url for url in operator.urls}
        try:
            urls = self._list_stated_urls() or known
        except StoreDownError as error:
            if not known:
                raise
            self.warn(f'{error.message}; asking the URLs of the settings')
            urls = known
        return Fleet(urls, operator.token, self.options.page_timeout)

    def read_text(self, path: str) -> str:
        """Return the text of a file, or of the standard input for ``-``.

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
        """Print a line beside the output."""
        print(text, file=sys.stderr)

    def find_known_version(self) -> int:
        """Return the highest version that the fleet is known to have.

        A store that lost writes must not give their versions out again. A
        few entry VMs of each failure domain are asked, not hundreds.
        """
        asked = self._choose_asked()
        answers = self.fleet.fetch_status(asked).answers
        return max((page.get('version', 0) for page in answers), default=0)

    @cached_property
    def statement(self) -> Statement | None:
        """The stored statement, None if there is none."""
        base = self.configurations.read()
        if base.configuration is None:
            return None
        return read_statement(base.text, f'version {base.version}')

    def _choose_asked(self) -> list[str] | None:
        """Return the VMs to ask for their version, None for all known."""
        if self.statement is None:
            return None
        return [
            vm.name
            for domain in self.statement.places.domains
            for vm in self.statement.list_vms(domain)[:_ASKED_PER_DOMAIN]
        ]

    def _list_stated_urls(self) -> dict[str, str]:
        if self.statement is None:
            return {}
        addresses = [
            (vm.name, vm.address) for vm in self.statement.vms.values()
        ]
        return list_urls(addresses, self.statement.entry_port)
