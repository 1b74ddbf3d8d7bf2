"""A small statement, and fakes for the ports that routing uses."""

from dataclasses import dataclass, field, replace
from types import MappingProxyType

from sesameroute.ports import Request
from sesameroute.statement import (
    Kind,
    Link,
    Places,
    Policy,
    Service,
    Statement,
    Upstream,
    Vm,
)

REGIONS = MappingProxyType({'north': ('n-a', 'n-b'), 'south': ('s-a', 's-b')})


def build_statement(slots: int = 4, **changes) -> Statement:
    """Return a statement of two regions with two failure domains each.

    Every failure domain has one VM and two upstreams.
    """
    places = Places(REGIONS, 'north', 1, 10, 1)
    vms = {
        f'vm-{domain}': Vm(f'vm-{domain}', domain, f'127.1.0.{number + 1}')
        for number, domain in enumerate(places.domains)
    }
    upstreams = {
        f'tally-{number}': Upstream(
            f'tally-{number}',
            'tally',
            domain,
            f'127.2.0.{number + 1}',
            9000,
            slots,
            400,
        )
        for number, domain in enumerate(places.domains * 2)
    }
    sample = Statement(
        institution='sample',
        places=places,
        policy=Policy(),
        vms=vms,
        services={'tally': Service('tally')},
        kinds={
            'check': Kind('check', 'tally'),
            'bulk': Kind('bulk', 'tally', weight=0.1, work_ms=50),
        },
        upstreams=upstreams,
        links=(Link('north', 'south', 1), Link('south', 'north', 1)),
    )
    return replace(sample, **changes)


def build_request(kind: str = 'check', deadline: float = 2) -> Request:
    """Return a request of a kind of the sample statement."""
    return Request(build_statement().kinds[kind], 'GET', '/', deadline=deadline)


@dataclass
class ManualClock:
    """A clock that a test sets."""

    now: float = 0

    def read_monotonic(self) -> float:
        """Return the set time."""
        return self.now

    def read_wall(self) -> float:
        """Return the set time."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Advance the clock without blocking."""
        self.now += seconds


@dataclass
class FixedDigest:
    """A heartbeat digest with fixed content."""

    headroom: dict
    age: float = 0


@dataclass
class FixedMembers:
    """A membership view that a test sets."""

    live: tuple = ()
    digests: dict = field(default_factory=dict)
    leaving: frozenset = frozenset()

    def list_live(self):
        """Return the VMs set by the test."""
        return self.live

    def find_digest(self, vm):
        """Return the digest set by the test."""
        return self.digests.get(vm)

    def list_leaving(self):
        """Return the names set by the test."""
        return self.leaving


@dataclass
class RecordingPeers:
    """Peers that record the messages sent."""

    sent: list = field(default_factory=list)

    def call(self, vm, message, timeout):
        """Record the message; return no reply."""
        self.sent.append((vm, message))

    def send_one_way(self, vm, message):
        """Record the message."""
        self.sent.append((vm, message))
        return True

    def list_connected(self):
        """Return nobody."""
        return ()

    def list_refused_dials(self):
        """Return nobody."""
        return {}
