"""A few entry VMs in one process: real delivery code with fake ports."""

import itertools
from dataclasses import dataclass, field

from sesameroute.delivery import (
    DeliveryPorts,
    Pipeline,
    ProcessIdentity,
    RecordLimits,
)
from sesameroute.delivery.tests.tasks import CrashError, Task, get_current_task
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
DEADLINE_SECONDS = 2.0


def build_statement(trusts_shed=True, **policy) -> Statement:
    """Return a statement of one service, four upstreams and three VMs."""
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


def build_error(code, verdict=Verdict.MAY_HAVE_RUN):
    """Return the error of a failed attempt."""
    return RequestError(code, verdict, code)


@dataclass
class FleetClock:
    """Clock that the test advances; a task that sleeps pauses."""

    now: float = 1000

    def read_monotonic(self):
        return self.now

    def read_wall(self):
        return self.now

    def sleep(self, seconds):
        if get_current_task():
            get_current_task().pause('sleep')
        self.now += seconds


@dataclass
class FleetEvent:
    """Event on which a waiting task pauses."""

    flag: bool = False

    def set(self):
        self.flag = True

    def wait(self, timeout):
        if get_current_task() and not self.flag:
            get_current_task().pause('wait')


class FleetSteering:
    """Chooses the first upstream that isn't excluded; records its calls.

    Attributes
    ----------
    held_tickets : set of int
        Tickets of slots not released yet.
    abandoned : list of str
        Upstreams whose slot was released while work may go on in it.
    observed : list of (str, OutcomeCode)
        Reported outcomes by upstream.
    charged : int
        Bytes charged to the link.

    """

    def __init__(self):
        self.held_tickets = set()
        self.abandoned = []
        self.observed = []
        self.charged = 0
        self.tickets = itertools.count()

    def choose(self, request, exclude=()):
        for upstream in build_statement().upstreams.values():
            if upstream.name not in exclude:
                choice = Choice(upstream, next(self.tickets))
                self.held_tickets.add(choice.slot_id)
                return choice
        raise RequestError('no slot', Verdict.NOT_RUN, 'no-room', 1)

    def record_outcome(self, choice, outcome):
        self.observed.append((choice.upstream.name, outcome.code))

    def release(self, choice, *, may_still_run=False):
        self.held_tickets.discard(choice.slot_id)
        if may_still_run:
            self.abandoned.append(choice.upstream.name)

    def charge_bytes(self, choice, body_bytes):
        self.charged += body_bytes


@dataclass
class FleetUpstreams:
    """Backend servers that log every run.

    The outcome of a call comes from the test: from the task that makes the
    call, else from `Fleet.script`. 'run-lost' runs the request and loses the
    connection, 'run-late' times out and lets the test run the request later.
    An error is raised, an Answer is returned, and None runs the request.
    """

    fleet: 'Fleet'

    def send(self, upstream, request, *, new_connection):
        assert new_connection is not request.kind.idempotent
        task = get_current_task()
        outcome = task.pause('send') if task else None
        if outcome is None and self.fleet.script:
            outcome = self.fleet.script.pop(0)
        if outcome == 'run-lost':
            self.fleet.run(upstream, request)
            raise build_error('lost')
        if outcome == 'run-late':
            self.fleet.delayed_runs.append((upstream, request))
            raise build_error('timeout')
        if isinstance(outcome, RequestError):
            raise outcome
        if isinstance(outcome, Answer):
            return outcome
        return self.fleet.run(upstream, request)

    def cancel(self, upstream, key):
        self.fleet.cancelled.append((upstream.name, key))


@dataclass
class FleetPeers:
    """Peer connections that can be cut, and can lose or delay messages."""

    fleet: 'Fleet'
    vm: str

    def call(self, vm, message, timeout):
        task = get_current_task()
        outcome = task.pause('call') if task else None
        if outcome == 'lose':
            raise PeerError('lost')
        if outcome == 'late':
            self.fleet.delayed_messages.append(
                lambda: self._deliver_message(vm, message)
            )
            raise PeerError('late')
        reply = self._deliver_message(vm, message)
        if outcome == 'lose-reply' or (task and task.pause('reply') == 'lose'):
            raise PeerError('reply lost')
        return reply

    def send_one_way(self, vm, message):
        try:
            self._deliver_message(vm, message)
        except PeerError:
            return False
        return True

    def list_connected(self):
        return tuple(vm for vm in VMS if self.fleet.connects(self.vm, vm))

    def _deliver_message(self, vm, message):
        if not self.fleet.connects(self.vm, vm):
            raise PeerError('cut')
        target = self.fleet.nodes[vm].pipeline
        decoded = decode_message(encode_message(message))
        reply = target.peer_handler.handle(self.vm, decoded)
        return reply and decode_message(encode_message(reply))


@dataclass
class FleetEntryRelay:
    """Relays callers' requests between the entry VMs."""

    fleet: 'Fleet'
    vm: str

    def send(self, vm, request, timeout):
        if not self.fleet.connects(self.vm, vm):
            raise PeerError('cut')
        target = self.fleet.nodes[vm]
        task = get_current_task()
        if task is None:
            return target.pipeline.deliver(request)
        relay_task = self.fleet.start(
            target, lambda: target.pipeline.deliver(request)
        )
        task.relay_task = relay_task
        outcome = task.pause('relay')
        if not relay_task.done or outcome == 'lose':
            raise PeerError('no response from the home')
        if relay_task.error is None:
            return relay_task.returned
        if isinstance(relay_task.error, Exception):
            raise relay_task.error
        raise PeerError('home crashed')


@dataclass
class FleetMembership:
    """Membership that knows at once which VMs are connected."""

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
    """One incarnation of an entry process."""

    vm: str
    pipeline: Pipeline
    alive: bool = True

    def read(self, request):
        """Return the body of the response."""
        return b''.join(self.pipeline.deliver(request).chunks)

    @property
    def identity(self):
        return self.pipeline.identity


@dataclass
class Fleet:
    """Entry VMs, their backend servers and the log of runs.

    Attributes
    ----------
    nodes : dict of (str, Node)
        The latest incarnation of each VM.
    cuts : set of frozenset of str
        Pairs of VMs that can't reach each other.
    tasks : list of Task
        Calls that were started in threads, including ended ones.
    delayed_messages : list of callable
        Calls that deliver a delayed message.
    delayed_runs : list of (Upstream, Request)
        Requests that have not reached their backend server yet.
    script : list
        Outcomes of the next requests to backend servers.
    run_log : list of (str, str, bytes)
        Upstream, key and body of each request that ran.
    cancelled : list of (str, str)
        Upstream and key of each cancelled request.
    steering : dict of (str, FleetSteering)
        Steering of each VM.

    """

    limits: RecordLimits = field(default_factory=RecordLimits)
    statement: Statement = field(default_factory=build_statement)
    clock: FleetClock = field(default_factory=FleetClock)
    nodes: dict = field(default_factory=dict)
    cuts: set = field(default_factory=set)
    tasks: list = field(default_factory=list)
    delayed_messages: list = field(default_factory=list)
    delayed_runs: list = field(default_factory=list)
    script: list = field(default_factory=list)
    run_log: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    steering: dict = field(default_factory=dict)
    incarnation_numbers: itertools.count = field(
        default_factory=itertools.count
    )

    def __post_init__(self):
        for vm in VMS:
            self.restart(vm)

    def crash(self, vm):
        """Crash the process of a VM, with all its running tasks."""
        node = self.nodes[vm]
        node.alive = False
        for task in self.tasks:
            if task.owner is node and not task.done:
                task.resume(CrashError())

    def restart(self, vm):
        """Start a new incarnation of a VM's process; old tasks go on."""
        previous = self.nodes.get(vm)
        if previous:
            previous.alive = False
        self.steering[vm] = FleetSteering()
        ports = DeliveryPorts(
            self.clock,
            self.steering[vm],
            FleetUpstreams(self),
            FleetPeers(self, vm),
            FleetMembership(self, vm),
            FleetEntryRelay(self, vm),
            lambda: self.statement,
        )
        identity = ProcessIdentity(vm, f'i{next(self.incarnation_numbers):04}')
        pipeline = Pipeline(identity, ports, self.limits, FleetEvent)
        self.nodes[vm] = Node(vm, pipeline)
        return pipeline

    def connects(self, source, target):
        """Return whether one VM can reach another."""
        cut = frozenset((source, target)) in self.cuts
        return not cut and self.nodes[target].alive

    def start(self, node, call):
        """Run a call in a task of a node, until it first pauses."""
        task = Task(node, call)
        self.tasks.append(task)
        task.start()
        return task

    def run(self, upstream, request):
        """Run a request on a backend server."""
        self.run_log.append((upstream.name, request.key, request.body))
        body = b'done %b' % request.body
        return Answer(200, (), iter((body,)), len(body))

    def build_request(self, kind=ORDER, body=b'9 pallets', key='', **extra):
        """Return a request whose deadline is `DEADLINE_SECONDS` from now."""
        return Request(
            kind,
            'POST',
            f'/desk/{kind.name}/1',
            body=body,
            key=key,
            deadline=self.clock.now + DEADLINE_SECONDS,
            **extra,
        )

    def make_key(self, vm, nonce='n0'):
        """Return a key as a caller builds it after a look-up."""
        return f'{self.nodes[vm].pipeline.prefix}.{nonce}'

    def deliver(self, vm, request):
        """Return the body of the response, or the RequestError."""
        try:
            return self.nodes[vm].read(request)
        except RequestError as error:
            return error
