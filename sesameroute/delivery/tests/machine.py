"""State machine that looks for lost, repeated and wrong executions."""

import itertools
from dataclasses import dataclass, field
from types import MappingProxyType

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sesameroute.delivery import RecordLimits
from sesameroute.delivery.tests.fleet import VMS, Fleet, build_error
from sesameroute.delivery.tests.tasks import CrashError, Task
from sesameroute.exceptions import PeerError, RequestError
from sesameroute.ports import Request
from sesameroute.verdict import Verdict

LIMITS = RecordLimits(entries=3, refusals=2, retention=5, epochs=5)
OUTCOMES = MappingProxyType(
    {
        'call': (None, None, 'lose', 'lose-reply', 'late'),
        'reply': (None, None, 'lose'),
        'relay': (None, None, 'lose'),
        'send': (
            None,
            None,
            'run-lost',
            'run-late',
            build_error('lost'),
            build_error('refused', Verdict.NOT_RUN),
            build_error('shed', Verdict.NOT_RUN),
        ),
    }
)
ANY = st.integers(0, 11)
VM = st.sampled_from(VMS)
PAIRS = tuple(itertools.combinations(VMS, 2))


@dataclass(eq=False)
class Order:
    """One non-idempotent request of a caller and the tasks of its copies."""

    request: Request
    home: str
    copies: list[Task] = field(default_factory=list)


class DeliveryMachine(RuleBasedStateMachine):
    """Sends orders through entry VMs in which every operation may fail.

    The results are checked against the log of runs: no order runs twice, no
    order runs after its caller got `NOT_RUN`, and a response belongs to the
    run of its own order.
    """

    allowed = (CrashError,)

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(limits=LIMITS)
        self.orders: list[Order] = []
        self.forged: list[Order] = []
        self.reported_not_run: list[Order] = []

    @initialize()
    def open_epochs(self):
        self.refresh()

    @rule(home=VM, entry=VM, keyed=st.booleans())
    def send(self, home, entry, keyed):
        key = self.fleet.make_key(home, f'n{len(self.orders)}') if keyed else ''
        body = b'order %d' % len(self.orders)
        request = self.fleet.build_request(key=key, body=body)
        self.orders.append(Order(request, home))
        self.start(self.orders[-1], entry)

    @rule(vm=VM)
    def fill(self, vm):
        """Fill the record of a home with orders that meet no faults."""
        for _ in range(LIMITS.entries):
            self.send(vm, vm, keyed=True)
            for task in self.orders[-1].copies:
                self.run_to_end(task)

    @precondition(lambda machine: machine.orders)
    @rule(index=ANY, entry=VM)
    def send_copy(self, index, entry):
        order = self.orders[-1 - index % len(self.orders)]
        if order.request.key:
            self.start(order, entry)

    @precondition(lambda machine: machine.reported_not_run)
    @rule(index=ANY)
    def send_refused_again(self, index):
        """Send a copy of an order whose caller got `NOT_RUN`."""
        order = self.reported_not_run[-1 - index % len(self.reported_not_run)]
        if order.request.key:
            self.start(order, order.home)

    @precondition(lambda machine: machine.orders)
    @rule(index=ANY, entry=VM)
    def send_forged(self, index, entry):
        order = self.orders[-1 - index % len(self.orders)]
        ran = [body for _, _, body in self.fleet.run_log]
        known = order.request.body in ran and order.request.key
        if known and self.fleet.nodes[entry].alive:
            forged = self.fleet.build_request(
                key=order.request.key, body=b'forged'
            )
            self.forged.append(Order(forged, order.home))
            self.start(self.forged[-1], entry)

    @precondition(lambda machine: machine.find_running())
    @rule(index=ANY, numbers=st.lists(ANY, min_size=1, max_size=4))
    def step(self, index, numbers):
        """Resume a task several times, with any outcomes."""
        running = self.find_running()
        task = running[-1 - index % len(running)]
        for number in numbers:
            if not task.done:
                outcomes = OUTCOMES.get(task.point, (None,))
                task.resume(outcomes[number % len(outcomes)])

    @precondition(lambda machine: machine.find_running())
    @rule(index=ANY)
    def finish(self, index):
        running = self.find_running()
        self.run_to_end(running[-1 - index % len(running)])

    @rule(vm=VM, life=st.sampled_from(('die', 'restart', 'pause')))
    def fail_vm(self, vm, life):
        """Crash or replace a process; tasks of a paused one may go on later."""
        if life != 'pause':
            self.fleet.crash(vm)
        if life != 'die':
            self.fleet.restart(vm)

    @rule(pair=st.sampled_from((*PAIRS, None)))
    def cut(self, pair):
        """Cut the connection of two VMs, or restore all connections."""
        if pair:
            self.fleet.cuts.add(frozenset(pair))
        else:
            self.fleet.cuts.clear()

    @precondition(lambda machine: machine.fleet.delayed_messages)
    @rule(index=ANY, again=st.booleans())
    def deliver_late(self, index, again):
        """Deliver a delayed message between VMs; it may be delivered again."""
        late = self.fleet.delayed_messages
        call = late[index % len(late)]
        if not again:
            late.remove(call)
        try:
            call()
        except PeerError:
            """The peer has crashed meanwhile."""

    @precondition(lambda machine: machine.fleet.delayed_runs)
    @rule(index=ANY)
    def run_late(self, index):
        """Run a delayed request once, since TCP doesn't duplicate data."""
        late = self.fleet.delayed_runs
        self.fleet.run(*late.pop(index % len(late)))

    @rule(seconds=st.sampled_from((0.5, 3, 20, 70)))
    def pass_time(self, seconds):
        self.fleet.clock.now += seconds
        self.refresh()

    @rule(vm=VM)
    def stop(self, vm):
        node = self.fleet.nodes[vm]
        deadline = self.fleet.clock.now + 5
        self.fleet.start(node, lambda: node.pipeline.stop(deadline))

    @invariant()
    def check(self):
        runs = [body for _, _, body in self.fleet.run_log]
        assert len(runs) == len(set(runs)), 'an order ran twice'
        for order in self.orders:
            for task in order.copies:
                self.check_task(order, task)
        for order in self.reported_not_run:
            assert order.request.body not in runs, 'an order ran after NOT_RUN'
        for order in self.forged:
            for task in order.copies:
                assert not task.done or task.error, (
                    'a reused key got a response'
                )

    def teardown(self):
        for task in self.fleet.tasks:
            self.run_to_end(task)
        self.fleet.cuts.clear()
        for vm in VMS:
            if not self.fleet.nodes[vm].alive:
                self.fleet.restart(vm)
        self.check()
        for order in self.orders:
            self.check_final_result(order)
        self.check()

    def check_final_result(self, order):
        """Send an order to every VM once more, without faults."""
        if order.request.key:
            self.fleet.clock.now += 0.001
            for vm in VMS:
                self.start(order, vm)
                self.run_to_end(order.copies[-1])

    def start(self, order, entry):
        node = self.fleet.nodes[entry]
        if node.alive:
            request = self.fleet.build_request(
                key=order.request.key, body=order.request.body
            )
            order.copies.append(
                self.fleet.start(node, lambda: node.read(request))
            )

    def check_task(self, order, task):
        """Compare the result that a caller got with the log of runs."""
        body = order.request.body
        runs = sum(body == ran for _, _, ran in self.fleet.run_log)
        if not task.done:
            return
        if task.error is None:
            assert task.returned == b'done %b' % body, 'wrong response'
            assert runs == 1, 'a response without a run'
        elif isinstance(task.error, RequestError):
            self.check_verdict(order, task.error.verdict, runs)
        else:
            assert isinstance(task.error, self.allowed), repr(task.error)

    def check_verdict(self, order, verdict, runs):
        if verdict is Verdict.RAN:
            assert runs == 1, 'reported as run without a run'
        if verdict is Verdict.NOT_RUN:
            self.record_not_run(order)

    def record_not_run(self, order):
        if order not in self.reported_not_run:
            self.reported_not_run.append(order)

    def find_running(self):
        return [task for task in self.fleet.tasks if not task.done]

    def run_to_end(self, task):
        """Run a task to its end without further faults."""
        while not task.done:
            if task.point == 'relay':
                self.run_to_end(task.relay_task)
            if task.point == 'sleep':
                self.fleet.clock.now += 1
            task.resume(None)

    def refresh(self):
        for node in self.fleet.nodes.values():
            if node.alive:
                node.pipeline.refresh()
