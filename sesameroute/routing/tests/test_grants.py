"""No slot is used twice under partitions, pauses, crashes and drift.

A slot could be used twice if an owner reused lent slots while the borrower
still ran requests in them.
"""

import random
from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sesameroute.limits import LeaseTerm, Ledger
from sesameroute.routing._borrower import Borrower, _PendingRequest
from sesameroute.routing._slot_table import SlotTable
from sesameroute.routing.tests import samples
from sesameroute.routing.tests.fleet import Fleet

STEP_SECONDS = 0.02  # between checks of the slots in use
DEADLINE_SECONDS = 2  # of every request
VMS = ('vm-n-a', 'vm-n-b', 'vm-s-a', 'vm-s-b')
DOMAIN_PAIRS = (('n-a', 'n-b'), ('n-a', 's-a'), ('n-b', 's-b'), ('n-a', 's-b'))

CLOCK_RATES = st.sampled_from((0.99, 1, 1.01))


class LoadTest:
    """A fleet under load that counts work in flight per backend server.

    `max_excess` is the largest number of requests beyond the slots of a
    backend server that was seen; above 0 a slot was used twice.
    """

    def __init__(self, seed=1, rates=(1, 1, 1, 1)):
        self.random = random.Random(seed)
        self.fleet = Fleet(
            samples.build_statement(),
            seed,
            dict(zip(VMS, rates, strict=True)),
        )
        self.waiters = []
        self.running = []
        self.max_excess = 0
        self.served = 0

    def submit_requests(self, vm, count):
        """Submit requests to a VM if its process runs."""
        node = self.fleet.find_process(vm)
        if node is None or vm in self.fleet.paused:
            return
        deadline = node.clock.read_monotonic() + DEADLINE_SECONDS
        for _ in range(count):
            request = samples.build_request(deadline=deadline)
            self.waiters.append((vm, node, node.submit(request)))
        self.check_slots()

    def advance(self, seconds):
        """Advance the time in steps and check after each."""
        end = self.fleet.schedule.now + seconds
        while self.fleet.schedule.now < end:
            self.fleet.run(STEP_SECONDS)
            self.check_slots()

    def check_slots(self):
        """Start granted work, end finished work and count what runs."""
        for entry in tuple(self.waiters):
            if entry[2].done.is_set():
                self.waiters.remove(entry)
                self._start_work(*entry)
        for entry in tuple(self.running):
            self._end_work(entry)
        used = Counter(
            choice.upstream.name for _, _, choice, *_ in self.running
        )
        slots = self.fleet.statement.upstreams
        for name, count in used.items():
            self.max_excess = max(self.max_excess, count - slots[name].slots)

    def _start_work(self, vm, node, waiter):
        if waiter.choice is None:
            return
        self.served += 1
        now = node.clock.read_monotonic()
        due = min(waiter.request.deadline, now + self.random.random() * 4)
        self.running.append((vm, node, waiter.choice, due))

    def _end_work(self, entry):
        vm, node, choice, due = entry
        if self.fleet.find_process(vm) is not node:
            self.running.remove(entry)
        elif node.clock.read_monotonic() >= due:
            self.running.remove(entry)
            if not self.fleet.defer_if_paused(vm, lambda: node.release(choice)):
                node.release(choice)


class GrantMachine(RuleBasedStateMachine):
    """Partitions, pauses and crashes in any order, under load."""

    @initialize(
        seed=st.integers(0, 1000),
        rates=st.tuples(*(CLOCK_RATES for _ in VMS)),
    )
    def build(self, seed, rates):
        """Start a fleet with drifting clocks."""
        self.load_test = LoadTest(seed, rates)
        self.load_test.advance(0.5)

    @rule(vm=st.sampled_from(VMS), count=st.integers(1, 40))
    def submit_requests(self, vm, count):
        """Submit requests."""
        self.load_test.submit_requests(vm, count)

    @rule(seconds=st.sampled_from((0.02, 0.1, 0.5, 1.5, 4)))
    def advance(self, seconds):
        """Advance the time in steps."""
        self.load_test.advance(seconds)

    @rule(pair=st.sampled_from(DOMAIN_PAIRS))
    def cut(self, pair):
        """Partition two failure domains."""
        self.load_test.fleet.partition(*pair)

    @rule()
    def heal(self):
        """End all partitions."""
        self.load_test.fleet.partitions.clear()

    @rule(vm=st.sampled_from(VMS))
    def pause(self, vm):
        """Pause a process or resume it."""
        fleet = self.load_test.fleet
        if vm in fleet.paused:
            fleet.resume(vm)
        elif vm in fleet.nodes:
            fleet.pause(vm)

    @rule(vm=st.sampled_from(VMS))
    def crash(self, vm):
        """Stop a process or start it."""
        fleet = self.load_test.fleet
        if vm in fleet.nodes:
            fleet.crash(vm)
        else:
            fleet.boot(vm)

    @invariant()
    def check(self):
        """No backend server ran more requests than it has slots."""
        if hasattr(self, 'load_test'):
            assert self.load_test.max_excess <= 0


def test_no_slot_is_used_twice():
    """No sequence of faults uses a slot twice."""
    run_state_machine_as_test(
        GrantMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=25,
            stateful_step_count=25,
        ),
    )


def inject_random_fault(fleet, rng):
    """Inject one random fault or end one."""
    vm = rng.choice(VMS)
    if vm in fleet.paused:
        fleet.resume(vm)
    elif vm in fleet.nodes:
        action = rng.choice((fleet.crash, fleet.pause, len, len))
        action(vm)
    else:
        fleet.boot(vm)
    if rng.randrange(5) == 0:
        fleet.partition(*rng.choice(DOMAIN_PAIRS))
    if rng.randrange(5) == 0:
        fleet.partitions.clear()


def run_random_faults(seed):
    """Return the excess after random faults with load on every VM."""
    rng = random.Random(seed)
    load_test = LoadTest(seed, (0.99, 1.01, 1, 1))
    load_test.advance(1)
    for _ in range(30):
        for target in VMS:
            load_test.submit_requests(target, rng.randrange(12))
        inject_random_fault(load_test.fleet, rng)
        load_test.advance(rng.choice((0.1, 0.3, 1, 2)))
    assert load_test.served
    return load_test.max_excess


def count_term_from_reply(monkeypatch):
    """Let borrowers count the lease term from the reply."""
    accept = Borrower.accept

    def accept_with_late_start(self, owner, reply):
        pending = self._find_pending(owner, reply.service)
        self.pending_[owner, reply.service] = _PendingRequest(
            pending.number,
            self.table.clock.read_monotonic(),
            pending.standing,
        )
        accept(self, owner, reply)

    monkeypatch.setattr(Borrower, 'accept', accept_with_late_start)


def ignore_running_work(monkeypatch):
    """Let owners reuse lent units while requests may still run."""
    monkeypatch.setattr(
        LeaseTerm, 'owner_seconds', property(lambda term: term.seconds)
    )


def keep_standby_slots_forever(monkeypatch):
    """Let primary owners keep their standby's units after the lease."""
    record_lease = Ledger.record_lease

    def accept_forever(self, owner, units, expires):
        record_lease(self, owner, units, expires + self.owned * 1000)

    monkeypatch.setattr(Ledger, 'record_lease', accept_forever)


def skip_restart_wait(monkeypatch):
    """Let restarted owners use their units at once."""
    update = SlotTable._update_ledgers

    def update_without_wait(self, topology):
        update(self, topology)
        for ledger in self.ledgers_.values():
            ledger.usable_from = 0

    monkeypatch.setattr(SlotTable, '_update_ledgers', update_without_wait)


def pause_borrower():
    """Return the excess after a borrower was paused before its reply."""
    load_test = LoadTest()
    load_test.advance(1)
    load_test.submit_requests('vm-n-b', 16)
    load_test.fleet.pause('vm-n-b')
    load_test.advance(4.5)
    load_test.submit_requests('vm-n-a', 30)
    load_test.fleet.resume('vm-n-b')
    load_test.advance(STEP_SECONDS)
    load_test.submit_requests('vm-n-b', 30)
    load_test.advance(0.1)
    return load_test.max_excess


def restart_owner():
    """Return the excess after an owner restarts, cut off from borrowers."""
    load_test = LoadTest()
    load_test.advance(1)
    load_test.submit_requests('vm-n-b', 16)
    load_test.advance(0.1)
    load_test.fleet.partition('n-a', 'n-b')
    load_test.fleet.crash('vm-n-a')
    load_test.fleet.boot('vm-n-a')
    load_test.advance(0.1)
    load_test.submit_requests('vm-n-a', 30)
    load_test.advance(0.1)
    return load_test.max_excess


def run_several_random_faults():
    """Return the largest excess of several random fault sequences."""
    return max(run_random_faults(seed) for seed in range(6))


SCENARIOS = (pause_borrower, restart_owner, run_several_random_faults)


@pytest.mark.parametrize('scenario', SCENARIOS)
def test_scenario_uses_no_slot_twice(scenario):
    """The scenarios stay within the slots with all lease rules in place."""
    assert scenario() <= 0


@pytest.mark.parametrize(
    ('mutate', 'scenario'),
    [
        (count_term_from_reply, pause_borrower),
        (skip_restart_wait, restart_owner),
        (ignore_running_work, run_several_random_faults),
        (keep_standby_slots_forever, run_several_random_faults),
    ],
)
def test_removed_rule_lets_slots_be_used_twice(mutate, scenario, monkeypatch):
    """Without one of the lease rules the check finds a slot used twice."""
    mutate(monkeypatch)
    assert scenario() > 0
