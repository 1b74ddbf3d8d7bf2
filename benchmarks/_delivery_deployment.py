"""A small deployment of real components for the benchmark of delivery."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPConnection
from itertools import count
from types import MappingProxyType

from sesameroute.adapters import (
    EntryApplication,
    HttpServer,
    HttpUpstreams,
    PeerNetwork,
)
from sesameroute.delivery import DeliveryPorts, Pipeline, ProcessIdentity
from sesameroute.exceptions import PeerError
from sesameroute.fakes import ExecutionLog, FakeUpstream, WorkKind
from sesameroute.ports import (
    Choice,
    PeerIdentity,
    PeerRole,
    SystemClock,
    TcpWire,
)
from sesameroute.statement import (
    Kind,
    Places,
    Policy,
    Service,
    Statement,
    Upstream,
    Vm,
)

__all__ = ['DRAWING_BYTES', 'Client', 'DeliveryDeployment', 'build_statement']

DRAWING_BYTES = 20_000_000
_PEER_KEY = b'a key of this benchmark only'
_KINDS = (
    Kind('check', 'desk', deadline_ms=5000),
    Kind('place', 'desk', idempotent=False, deadline_ms=5000),
    Kind('draw', 'desk', heavy=True, deadline_ms=30_000),
)
_WORK_BY_KIND = MappingProxyType(
    {
        'check': WorkKind(0.001, 1000),
        'place': WorkKind(0.001, 300),
        'draw': WorkKind(0.001, DRAWING_BYTES),
    }
)


def find_free_port(address: str) -> int:
    """Return a TCP port that is not in use."""
    with socket.create_server((address, 0)) as listener:
        return listener.getsockname()[1]


def build_statement(port: int, **policy: object) -> Statement:
    """Return a statement of one service with two upstreams on one address."""
    policy.setdefault('hedge_budget', 0)
    names = ('u1', 'u2')
    return Statement(
        institution='bench',
        places=Places({'a': ('a',)}, 'a', 1, 10, 1),
        policy=Policy(**policy),
        vms={'a1': Vm('a1', 'a', '127.61.0.1')},
        services={'desk': Service('desk')},
        kinds={kind.name: kind for kind in _KINDS},
        upstreams={
            name: Upstream(name, 'desk', 'a', '127.61.2.1', port, 64, 400)
            for name in names
        },
    )


class FirstUpstreamSteering:
    """Steering that chooses the first upstream and counts no slots."""

    def __init__(self, statement: Statement) -> None:
        """Store the statement."""
        self.upstreams = tuple(statement.upstreams.values())
        self.choice_numbers = count()

    def choose(self, request, exclude=()):
        """Return the first upstream that is not excluded."""
        for upstream in self.upstreams:
            if upstream.name not in exclude:
                return Choice(upstream, next(self.choice_numbers))
        raise AssertionError('no upstream is left')

    def record_outcome(self, choice, outcome):
        """Do nothing: outcomes do not change the choice."""

    def release(self, choice, *, may_still_run=False):
        """Do nothing: no slots are counted."""

    def charge_bytes(self, choice, body_bytes):
        """Do nothing: links have no cap."""


@dataclass
class FixedMembers:
    """Membership with witnesses that never change.

    Attributes
    ----------
    witnesses : tuple of (str, str)
        Names and incarnations of the witnesses.

    """

    witnesses: tuple[tuple[str, str], ...]

    def find_incarnation(self, vm):
        """Return the incarnation of a witness."""
        return dict(self.witnesses).get(vm)

    def list_witnesses(self):
        """Return the names and incarnations of the witnesses."""
        return self.witnesses


class UnreachableEntries:
    """Relay that reaches no other entry VM."""

    def send(self, vm, request, timeout):
        """Raise `PeerError`."""
        raise PeerError('this benchmark has no other entry VM')


class Client:
    """A caller with a persistent connection, or a new one per request."""

    def __init__(
        self, address: tuple[str, int], *, new_connection: bool
    ) -> None:
        """Store the parameters."""
        self.address = address
        self.new_connection = new_connection
        self._connection = HTTPConnection(*address, timeout=30)

    def fetch(self, method: str, path: str, key: str = '') -> int:
        """Send a request and return the body size of the answer in bytes."""
        headers = {'Sesame-Key': key} if key else {}
        body = b'9 pallets' if method == 'POST' else None
        self._connection.request(method, path, body, headers)
        answer = self._connection.getresponse()
        size = 0
        while chunk := answer.read(65_536):
            size += len(chunk)
        if answer.status != HTTPStatus.OK:
            raise AssertionError(f'got HTTP status {answer.status}')
        if self.new_connection:
            self._connection.close()
        return size


class DeliveryDeployment:
    """An upstream, a witness and entry VMs, connected by real sockets.

    Attributes
    ----------
    upstream : tuple of (str, int)
        Address of the fake upstream.

    """

    def __init__(self) -> None:
        """Choose the ports; `start` opens them."""
        self.port = find_free_port('127.61.2.1')
        self.statement = build_statement(self.port)
        self.upstream = ('127.61.2.1', self.port)
        first_upstream = next(iter(self.statement.upstreams.values()))
        self._fake_upstream = FakeUpstream(
            first_upstream, _WORK_BY_KIND, ExecutionLog()
        )
        self._networks: list[PeerNetwork] = []
        self._servers: list[HttpServer] = []

    def start(self) -> None:
        """Start the upstream and the witness; wait until they are connected."""
        self._fake_upstream.start()
        self.entry_peers = self._build_network('a1')
        self.witness_peers = self._build_network('a2')
        witness = self.build_pipeline('a2', self.witness_peers, ())
        self.witness_peers.start(witness.peer_handler.handle)
        self.entry_peers.start(lambda _sender, _message: None)
        self.entry_peers.set_targets({'a2': self.witness_peers.listen})
        while not self.entry_peers.list_connected():
            SystemClock().sleep(0.01)

    def stop(self) -> None:
        """Close everything."""
        for server in self._servers:
            server.stop()
        for network in self._networks:
            network.stop()
        self._fake_upstream.crash()

    def build_pipeline(self, vm, peers, witnesses, upstreams=None):
        """Return the delivery pipeline of one VM."""
        ports = DeliveryPorts(
            SystemClock(),
            FirstUpstreamSteering(self.statement),
            upstreams or HttpUpstreams(TcpWire(), '127.61.0.1', SystemClock()),
            peers,
            FixedMembers(witnesses),
            UnreachableEntries(),
            lambda: self.statement,
        )
        return Pipeline(ProcessIdentity(vm, peers.identity.incarnation), ports)

    def open_entry(self, *, witness: bool, upstreams=None):
        """Start an entry VM; return its address and a generator of keys."""
        witness_incarnation = self.witness_peers.identity.incarnation
        pipeline = self.build_pipeline(
            'a1',
            self.entry_peers,
            (('a2', witness_incarnation),) if witness else (),
            upstreams,
        )
        application = EntryApplication(
            pipeline.deliver,
            lambda: self.statement,
            SystemClock(),
        )
        address = ('127.61.0.1', find_free_port('127.61.0.1'))
        server = HttpServer(address, application)
        server.start()
        self._servers.append(server)
        return address, _build_key_maker(pipeline)

    def _build_network(self, vm: str) -> PeerNetwork:
        network = PeerNetwork(
            PeerIdentity(vm, f'life{vm}', PeerRole.ENTRY),
            _PEER_KEY,
            TcpWire(),
            SystemClock(),
            ('127.61.1.1', find_free_port('127.61.1.1')),
        )
        self._networks.append(network)
        return network


def _build_key_maker(pipeline: Pipeline) -> Callable[[], str]:
    numbers = count()
    return lambda: f'{pipeline.prefix}.n{next(numbers)}'
