"""A small fleet in one process: real delivery code, fakes at its ports."""

import itertools
from dataclasses import dataclass, field

from sesameroute.delivery import (
    DeliveryPorts,
    Identity,
    Pipeline,
    RecordLimits,
)
from sesameroute.delivery.tests.tasks import CrashError, Task, find_task
from sesameroute.exceptions import PeerError, RequestError
from sesameroute.ports import (
    Answer,
    Choice,
    Request,
    decode_message,
    encode_message,
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
from sesameroute.verdict import Verdict

ORDER = Kind('place', 'desk', idempotent=False)
READ = Kind('check', 'desk')
DRAWING = Kind('draw', 'desk', heavy=True)
VMS = ('a1', 'a2', 'b1')
UPSTREAMS = ('u1', 'u2', 'u3', 'u4')
SECONDS = 2.0  # of a request until its deadline


def build_statement(trusts_shed=True, **policy) -> Statement:
    """Return one service with four upstreams behind three VMs."""
    return Statement(
        institution='sample',
        places=Places({'a': ('a',)}, 'a', 1, 10, 1),
        policy=Policy(**policy),
        vms={vm: Vm(vm, 'a', '127.0.0.1') for vm in VMS},
        services={'desk': Service('desk', trusts_shed)},
        kinds={kind.name: kind for kind in (ORDER, READ, DRAWING)},
        upstreams={
            name: Upstream(name, 'desk', 'a', '127.0.0.2', 9000, 4, 400)
            for name in UPSTREAMS
        },
    )


def fail(code, verdict=Verdict.MAY_HAVE_RUN):
    """Return the error of a failed try."""
    return RequestError(code, verdict, code)


@dataclass
class FleetClock:
    """A clock that the test moves; sleeping tasks stop at a point."""

    now: float = 1000

    def read_monotonic(self):
        return self.now

    def read_wall(self):
        return self.now

    def sleep(self, seconds):
        if find_task():
            find_task().pause('sleep')
        self.now += seconds


@dataclass
class FleetEvent:
    """An event on which waiting tasks stop at a point."""

    flag: bool = False

    def set(self):
        self.flag = True

    def wait(self, timeout):
        if find_task() and not self.flag:
            find_task().pause('wait')


class FleetSteering:
    """Chooses the first upstream that is not excluded; counts slots."""

    def __init__(self):
        self.held = set()
        self.abandoned = []
        self.seen = []
        self.charged = 0
        self.tickets = itertools.count()

    def choose(self, request, exclude=()):
        for upstream in build_statement().upstreams.values():
            if upstream.name not in exclude:
                choice = Choice(upstream, next(self.tickets))
                self.held.add(choice.ticket)
                return choice
        raise RequestError('no slot', Verdict.NOT_RUN, 'no-room', 1)

    def observe(self, choice, outcome):
        self.seen.append((choice.upstream.name, outcome.code))

    def release(self, choice, *, runs=False):
        self.held.discard(choice.ticket)
        if runs:
            self.abandoned.append(choice.upstream.name)

    def charge(self, choice, body_bytes):
        self.charged += body_bytes


@dataclass
class FleetUpstreams:
    """Backend servers that note every run in a journal."""

    fleet: 'Fleet'

    def send(self, upstream, request, *, fresh):
        assert fresh is not request.kind.idempotent
        task = find_task()
        outcome = task.pause('send') if task else None
        if outcome is None and self.fleet.script:
            outcome = self.fleet.script.pop(0)
        if outcome == 'run-lost':
            self.fleet.run(upstream, request)
            raise fail('lost')
        if outcome == 'run-late':
            self.fleet.late_runs.append((upstream, request))
            raise fail('timeout')
        if isinstance(outcome, RequestError):
            raise outcome
        if isinstance(outcome, Answer):
            return outcome
        return self.fleet.run(upstream, request)

    def cancel(self, upstream, key):
        self.fleet.cancelled.append((upstream.name, key))


@dataclass
class FleetPeers:
    """Peer streams that can be cut, and lose or delay messages."""

    fleet: 'Fleet'
    vm: str

    def call(self, vm, message, timeout):
        task = find_task()
        outcome = task.pause('call') if task else None
        if outcome == 'lose':
            raise PeerError('lost')
        if outcome == 'late':
            self.fleet.late.append(lambda: self._pass(vm, message))
            raise PeerError('late')
        reply = self._pass(vm, message)
        if outcome == 'lose-reply' or (task and task.pause('reply') == 'lose'):
            raise PeerError('reply lost')
        return reply

    def cast(self, vm, message):
        try:
            self._pass(vm, message)
        except PeerError:
            return False
        return True

    def list_connected(self):
        return tuple(vm for vm in VMS if self.fleet.connects(self.vm, vm))

    def _pass(self, vm, message):
        if not self.fleet.connects(self.vm, vm):
            raise PeerError('cut')
        target = self.fleet.nodes[vm].pipeline
        wired = decode_message(encode_message(message))
        reply = target.peer_handler.handle(self.vm, wired)
        return reply and decode_message(encode_message(reply))


@dataclass
class FleetEntries:
    """Callers' requests relayed between entry VMs."""

    fleet: 'Fleet'
    vm: str

    def send(self, vm, request, timeout):
        if not self.fleet.connects(self.vm, vm):
            raise PeerError('cut')
        target = self.fleet.nodes[vm]
        task = find_task()
        if task is None:
            return target.pipeline.deliver(request)
        hop = self.fleet.start(target, lambda: target.pipeline.deliver(request))
        task.hop = hop
        outcome = task.pause('relay')
        if not hop.done or outcome == 'lose':
            raise PeerError('no answer of the home')
        if hop.error is None:
            return hop.returned
        if isinstance(hop.error, Exception):
            raise hop.error
        raise PeerError('home died')


@dataclass
class FleetMembers:
    """Membership that sees at once who is connected."""

    fleet: 'Fleet'
    vm: str

    def find_incarnation(self, vm):
        if not self.fleet.connects(self.vm, vm):
            return None
        node = self.fleet.nodes[vm]
        return node.identity.incarnation

    def list_witnesses(self):
        return tuple(
            (vm, self.find_incarnation(vm))
            for vm in VMS
            if vm != self.vm and self.fleet.connects(self.vm, vm)
        )


@dataclass
class Node:
    """One life of an entry process."""

    vm: str
    pipeline: Pipeline
    alive: bool = True

    def read(self, request):
        """Return the body of the answer."""
        return b''.join(self.pipeline.deliver(request).chunks)

    @property
    def identity(self):
        return self.pipeline.identity


@dataclass
class Fleet:
    """Entry VMs, their backend servers and the journal of runs."""

    limits: RecordLimits = field(default_factory=RecordLimits)
    statement: Statement = field(default_factory=build_statement)
    clock: FleetClock = field(default_factory=FleetClock)
    nodes: dict = field(default_factory=dict)
    cuts: set = field(default_factory=set)
    tasks: list = field(default_factory=list)
    late: list = field(default_factory=list)
    late_runs: list = field(default_factory=list)
    script: list = field(default_factory=list)
    journal: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    steering: dict = field(default_factory=dict)
    lives: itertools.count = field(default_factory=itertools.count)

    def __post_init__(self):
        for vm in VMS:
            self.restart(vm)

    def crash(self, vm):
        """Let a VM's process die in the middle of all that it does."""
        node = self.nodes[vm]
        node.alive = False
        for task in self.tasks:
            if task.owner is node and not task.done:
                task.resume(CrashError())

    def restart(self, vm):
        """Start a new life of a VM's process beside what the old one does."""
        former = self.nodes.get(vm)
        if former:
            former.alive = False
        self.steering[vm] = FleetSteering()
        ports = DeliveryPorts(
            self.clock,
            self.steering[vm],
            FleetUpstreams(self),
            FleetPeers(self, vm),
            FleetMembers(self, vm),
            FleetEntries(self, vm),
            lambda: self.statement,
        )
        identity = Identity(vm, f'i{next(self.lives):04}')
        pipeline = Pipeline(identity, ports, self.limits, FleetEvent)
        self.nodes[vm] = Node(vm, pipeline)
        return pipeline

    def connects(self, source, target):
        """Return whether messages get from one VM to another."""
        cut = frozenset((source, target)) in self.cuts
        return not cut and self.nodes[target].alive

    def start(self, node, call):
        """Run a call in a task of a node, up to its first point."""
        task = Task(node, call)
        self.tasks.append(task)
        task.start()
        return task

    def run(self, upstream, request):
        """Run a request on a backend server."""
        self.journal.append((upstream.name, request.key, request.body))
        body = b'done %b' % request.body
        return Answer(200, (), iter((body,)), len(body))

    def build_request(self, kind=ORDER, body=b'9 pallets', key='', **more):
        """Return a request with a deadline."""
        return Request(
            kind,
            'POST',
            f'/desk/{kind.name}/1',
            body=body,
            key=key,
            deadline=self.clock.now + SECONDS,
            **more,
        )

    def make_key(self, vm, nonce='n0'):
        """Return a key as a caller makes it after a look-up."""
        return f'{self.nodes[vm].pipeline.prefix}.{nonce}'

    def deliver(self, vm, request):
        """Return the body of the answer, else the error."""
        try:
            return self.nodes[vm].read(request)
        except RequestError as error:
            return error
