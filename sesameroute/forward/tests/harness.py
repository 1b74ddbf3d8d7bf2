"""A forwarder with scripted backend servers and one caller, for tests."""

import socket

from sesameroute.adapters import ConnectionPool
from sesameroute.forward import (
    CallerRequest,
    FleetRetryBudget,
    Forwarder,
    Guards,
    Relay,
    RelayCodec,
    RelayPeer,
    RetryBudgets,
    Sender,
)
from sesameroute.placement import Grant, Reason, Refusal
from sesameroute.platform import PlatformHeaderCodec
from sesameroute.ports import SystemClock, TcpWire
from sesameroute.quarantine import Quarantine, TrialPolicy
from sesameroute.reachability import EndDetector
from sesameroute.registry import Backend, BackendState, Registry
from sesameroute.routes import (
    ActiveConfiguration,
    Configuration,
    RequestKind,
    Route,
    WeightedService,
)

_EARNING_REQUESTS = 500


class OrderedAllocator:
    """Grants the first server that is not excluded, or refuses."""

    def __init__(self, names):
        """Store the names of the servers in the order of preference."""
        self.names = list(names)
        self.asks = []
        self.releases = []
        self.observed = []

    def place(self, slot_request):
        """Grant the first server that is not excluded."""
        self.asks.append(slot_request)
        untried = [
            name for name in self.names if name not in slot_request.excluded
        ]
        if not untried:
            return Refusal(Reason.NO_ROOM, 0.25)
        return Grant(len(self.asks), untried[0], 1)

    def release(self, slot_request, grant, outcome, seconds, observed=None):
        """Record the outcome of a try."""
        self.releases.append((grant.backend, outcome))
        self.observed.append(observed)


def earn_retries(budgets, service='s'):
    """Return the budgets of a node that has sent requests for some time."""
    for _ in range(_EARNING_REQUESTS):
        budgets.observe(service)
    return budgets


class SlowClock(SystemClock):
    """A clock for tests in which no time-out is due.

    A pause of the process would let the route's time pass.
    """

    def read_monotonic(self):
        """Return monotonic seconds that pass twenty times as slowly."""
        return super().read_monotonic() / 20


class NoPeers:
    """Peer connections of a node without peers."""

    def list_connected(self):
        """Return no peers."""
        return ()


class OnePeer:
    """Finds the same node for each request, once."""

    def __init__(self, target):
        """Store the address of the node."""
        self.target = target

    def choose(self, _homes, excluded):
        """Return the node unless it was tried."""
        return None if excluded else RelayPeer('peer', self.target)


class ForwarderHarness:
    """A forwarder with scripted backend servers and one caller."""

    def __init__(
        self,
        *servers,
        kind=RequestKind.SAFE,
        attempts=2,
        clock=None,
        timeout_seconds=0.6,
    ):
        """Register the servers as a, b, ..."""
        self.clock = clock or SystemClock()
        self.active_configuration = ActiveConfiguration()
        self.active_configuration.apply_if_newer(
            Configuration(
                1,
                (
                    Route(
                        'r',
                        'h',
                        '/p/',
                        kind,
                        (WeightedService('s', 1),),
                        timeout_seconds,
                        0.3,
                        1,
                        attempts,
                        has_object_affinity=True,
                    ),
                ),
            ),
        )
        self.registry = Registry()
        names = 'abcdef'[: len(servers)]
        for name, server in zip(names, servers, strict=True):
            self.registry.put(
                Backend(
                    name,
                    's',
                    *server.target,
                    'z',
                    4,
                    BackendState.READY,
                    incarnation=1,
                ),
                0,
            )
        self.allocator = OrderedAllocator(names)
        connections = ConnectionPool(TcpWire(), '127.0.0.1', self.clock)
        quarantine = Quarantine(
            'n', self.clock, NoPeers(), 3, TrialPolicy(1, True)
        )
        self.forwarder = Forwarder(
            self.active_configuration,
            self.registry,
            self.allocator,
            Sender(connections, PlatformHeaderCodec(), self.clock),
            Guards(
                earn_retries(RetryBudgets(FleetRetryBudget(0.2, 8), lambda: 1)),
                quarantine,
                self.registry.announcements,
                EndDetector(
                    connections,
                    self.registry.find,
                    quarantine.evidence.observe_end,
                ),
                self.clock,
            ),
            self.clock,
        )
        self.caller, self.node_end = socket.socketpair()

    def relay_to(self, target):
        """Pass all requests on to a node at this address."""
        self.forwarder.relay_ = Relay(
            Sender(
                ConnectionPool(TcpWire(), '127.0.0.1', self.clock),
                RelayCodec(PlatformHeaderCodec()),
                self.clock,
            ),
            OnePeer(target),
            lambda: True,
            self.forwarder.guards.retries,
            lambda: 1,
        )

    def forward(self, path='/p/x', body=b'', **options):
        """Forward one request; return status, headers and body."""
        answer = self.open(path, body, **options)
        return answer.status, dict(answer.headers), b''.join(answer.chunks)

    def open(self, path='/p/x', body=b'', **options):
        """Forward one request; return the answer with its body unread."""
        unread = [body]

        def read(size):
            chunk, unread[0] = unread[0][:size], unread[0][size:]
            return chunk

        request = CallerRequest(
            'POST' if body else 'GET',
            path,
            options.get('host', 'h'),
            (
                ('Host', 'h'),
                ('Sesameroute-Attempt-Id', options.get('identifier', 'mine')),
                ('Sesameroute-Affinity-Key', options.get('key', 'k')),
                ('Sesameroute-Deadline-Ms', '5000'),
                ('Connection', 'keep-alive'),
                ('X-Other', 'kept'),
                *options.get('headers', ()),
            ),
            options.get('read', read),
            options.get('length', len(body)),
            self.clock.read_monotonic(),
            self.node_end,
        )
        return self.forwarder.forward(request)
