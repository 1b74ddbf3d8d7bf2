"""Look-up process: tracks the entry VMs and answers callers."""

from typing import Any, TextIO

from sesameroute.adapters import HttpServer, LookupApplication, ServerLimits
from sesameroute.membership import Membership
from sesameroute.ports import PeerRole
from sesameroute.programs._host_environment import (
    HostEnvironment,
    build_membership_context,
    build_network,
)
from sesameroute.programs._lookup_pages import LookupPages
from sesameroute.programs._members_view import MembersView
from sesameroute.programs._telemetry import build_telemetry
from sesameroute.routing import Lookup
from sesameroute.settings import Settings
from sesameroute.statement import read_statement
from sesameroute.telemetry import Metric

__all__ = ['LookupNode']

_SERVER_THREADS = 8
_MILLISECONDS = 1000


class LookupNode:
    """Process that tells callers which entry VM to use.

    It keeps answering from the last state received while the entry process
    on its VM drains, restarts or is down.

    Parameters
    ----------
    settings : Settings
        Addresses, keys and limits of this process.
    host_environment : HostEnvironment
        TCP connections, clock and source of random numbers.
    stream : file, optional
        Stream for log lines; standard error by default.

    """

    def __init__(
        self,
        settings: Settings,
        host_environment: HostEnvironment,
        stream: TextIO | None = None,
    ) -> None:
        """Build the components; `start` starts their threads."""
        self.settings = settings
        self.host_environment = host_environment
        name = f'lookup/{settings.vm.name}'
        self.telemetry = build_telemetry(settings, name, stream)
        self.network = build_network(
            settings, host_environment, PeerRole.LOOKUP
        )
        self.membership = Membership(
            build_membership_context(settings, host_environment, self.network),
            read_statement,
        )
        self.members = MembersView(self.membership)
        self.lookup = Lookup(
            lambda: self.membership.statement,
            self.members,
            host_environment.clock,
        )
        self.server = HttpServer(
            (settings.vm.address, settings.ports.lookup),
            LookupApplication(
                self.find_entries,
                host_environment.clock,
                self.telemetry.tracer,
            ),
            LookupPages(self.membership, self.telemetry),
            ServerLimits(_SERVER_THREADS, settings.limits.header_bytes),
        )

    def start(self) -> None:
        """Connect to the entry VMs and start to answer callers."""
        self.network.start(self.membership.handle)
        self.membership.start()
        self.server.start()
        self.telemetry.log.write('lookup-started')

    def stop(self) -> None:
        """Stop answering; callers fall back to another look-up process."""
        self.membership.stop()
        self.network.stop()
        self.server.stop()
        self.telemetry.log.write('lookup-stopped')

    def find_entries(self, service: str, domain: str) -> dict[str, Any]:
        """Return the fields of the answer to one look-up.

        Raises
        ------
        InputError
            No statement has been received yet, or it lacks the service.

        """
        answer = self.lookup.answer(service, domain or self.settings.vm.domain)
        self.telemetry.meter.add(Metric.LOOKUPS, service=service)
        statement = self.membership.statement
        return {
            'service': service,
            'version': self.membership.version,
            'ttl_ms': int(answer.ttl * _MILLISECONDS),
            'entries': [
                {
                    'vm': entry.vm,
                    'address': entry.address,
                    'port': statement.entry_port,
                    'weight': entry.weight,
                    'prefix': self.membership.find_key_prefix(entry.vm),
                }
                for entry in answer.entries
            ],
        }
