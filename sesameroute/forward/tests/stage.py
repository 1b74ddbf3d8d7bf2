"""A forwarder with its servers and one caller."""

import socket

from sesameroute.adapters import KeptConnections
from sesameroute.forward import (
    CallerRequest,
    Forwarder,
    Guards,
    RetryBudgets,
    RetryTerms,
    Sender,
)
from sesameroute.placement import Grant, Reason, Refusal
from sesameroute.platform import PlatformDialect
from sesameroute.ports import SystemClock, TcpWire
from sesameroute.quarantine import Quarantine
from sesameroute.registry import Backend, BackendState, Registry
from sesameroute.routes import (
    Configuration,
    ConfigurationKeeper,
    RequestKind,
    Route,
    SplitPart,
)


class Placing:
    """Grants the servers in their order, then refuses."""

    def __init__(self, names):
        """Store the names."""
        self.names = list(names)
        self.asks = []
        self.ends = []

    def place(self, ask):
        """Grant the next one that was not tried."""
        self.asks.append(ask)
        left = [name for name in self.names if name not in ask.excluded]
        if not left:
            return Refusal(Reason.NO_ROOM, 0.25)
        return Grant(len(self.asks), left[0], 1)

    def release(self, ask, grant, outcome, seconds):
        """Note the end of a try."""
        self.ends.append((grant.backend, outcome))


class NoPeers:
    """Streams of a node that is alone."""

    def list_connected(self):
        """Return nobody."""
        return ()


class Stage:
    """A forwarder with its servers and one caller."""

    def __init__(self, *servers, kind=RequestKind.SAFE, attempts=2):
        """Register the servers as a, b, ..."""
        self.clock = SystemClock()
        self.keeper = ConfigurationKeeper()
        self.keeper.take(
            Configuration(
                1,
                (
                    Route(
                        'r',
                        'h',
                        '/p/',
                        kind,
                        (SplitPart('s', 1),),
                        0.6,
                        0.3,
                        1,
                        attempts,
                        is_sticky=True,
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
        self.placing = Placing(names)
        connections = KeptConnections(TcpWire(), '127.0.0.1', self.clock)
        self.forwarder = Forwarder(
            self.keeper,
            self.registry,
            self.placing,
            Sender(connections, PlatformDialect(), self.clock),
            Guards(
                RetryBudgets(RetryTerms(0.2, 8), lambda: 1),
                Quarantine('n', self.clock, NoPeers(), 3),
            ),
            self.clock,
        )
        self.caller, self.node_end = socket.socketpair()

    def forward(self, path='/p/x', body=b'', **options):
        """Forward one request; return status, headers and body."""
        answer = self.open(path, body, **options)
        return answer.status, dict(answer.headers), b''.join(answer.chunks)

    def open(self, path='/p/x', body=b'', **options):
        """Forward one request; return the answer with its body unread."""
        rest = [body]

        def read(size):
            chunk, rest[0] = rest[0][:size], rest[0][size:]
            return chunk

        request = CallerRequest(
            'POST' if body else 'GET',
            path,
            options.get('host', 'h'),
            (
                ('Host', 'h'),
                ('Sesameroute-Attempt-Id', 'mine'),
                ('Sesameroute-Affinity-Key', 'k'),
                ('Sesameroute-Deadline-Ms', '5000'),
                ('Connection', 'keep-alive'),
                ('X-Other', 'kept'),
            ),
            options.get('read', read),
            options.get('length', len(body)),
            self.clock.read_monotonic(),
            self.node_end,
        )
        return self.forwarder.forward(request)
