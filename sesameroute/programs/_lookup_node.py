"""One look-up process: hears the entry VMs and answers callers."""

from typing import Any, TextIO

from sesameroute.adapters import HttpServer, LookupApplication, ServerLimits
from sesameroute.membership import Membership
from sesameroute.ports import PeerRole
from sesameroute.programs._lookup_pages import LookupPages
from sesameroute.programs._members_view import MembersView
from sesameroute.programs._observers import build_observers
from sesameroute.programs._surroundings import (
    Outside,
    build_network,
    build_surroundings,
)
from sesameroute.routing import Lookup
from sesameroute.settings import Settings
from sesameroute.statement import read_statement
from sesameroute.telemetry import Metric

__all__ = ['LookupNode']

_THREADS = 8
_MILLISECONDS = 1000


class LookupNode:
    """The process that tells callers which entry VM to use.

    It goes on answering while the entry process of its VM drains, restarts
    or is gone, from what it last heard.

    Parameters
    ----------
    settings : Settings
        Addresses, keys and bounds of this process.
    outside : Outside
        Wire, clock and random choices.
    stream : file, optional
        Where log lines go; standard error by default.

    """

    def __init__(
        self,
        settings: Settings,
        outside: Outside,
        stream: TextIO | None = None,
    ) -> None:
        """Compose the parts; `start` gives them threads."""
        self.settings = settings
        self.outside = outside
        name = f'lookup/{settings.vm.name}'
        self.observers = build_observers(settings, name, stream)
        self.network = build_network(settings, outside, PeerRole.LOOKUP)
        self.membership = Membership(
            build_surroundings(settings, outside, self.network),
            read_statement,
        )
        self.members = MembersView(self.membership)
        self.lookup = Lookup(
            lambda: self.membership.statement,
            self.members,
            outside.clock,
        )
        self.server = HttpServer(
            (settings.vm.address, settings.ports.lookup),
            LookupApplication(
                self.find_entries,
                outside.clock,
                self.observers.tracer,
            ),
            LookupPages(self.membership, self.observers),
            ServerLimits(_THREADS, settings.limits.header_bytes),
        )

    def start(self) -> None:
        """Join the peers and answer callers."""
        self.network.start(self.membership.handle)
        self.membership.start()
        self.server.start()
        self.observers.log.write('lookup-started')

    def stop(self) -> None:
        """Stop answering; callers turn to the next look-up."""
        self.membership.stop()
        self.network.stop()
        self.server.stop()
        self.observers.log.write('lookup-stopped')

    def find_entries(self, service: str, domain: str) -> dict[str, Any]:
        """Return the fields of the answer to one look-up.

        Raises
        ------
        InputError
            There is no statement yet, or it has no such service.

        """
        answer = self.lookup.answer(service, domain or self.settings.vm.domain)
        self.observers.meter.add(Metric.LOOKUPS, service=service)
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
                    'prefix': self.membership.prefix_of(entry.vm),
                }
                for entry in answer.entries
            ],
        }
