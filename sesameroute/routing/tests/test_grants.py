"""No slot is used twice, whatever is cut, paused, crashed or drifting."""

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

from sesameroute.limits import Ledger, Term
from sesameroute.routing._book import SlotBook
from sesameroute.routing._borrower import Borrower, _LastAsk
from sesameroute.routing.tests import samples
from sesameroute.routing.tests.fleet import Fleet

STEP = 0.02  # seconds between looks at what was granted
DEADLINE = 2  # seconds, of every request
VMS = ('vm-n-a', 'vm-n-b', 'vm-s-a', 'vm-s-b')
PAIRS = (('n-a', 'n-b'), ('n-a', 's-a'), ('n-b', 's-b'), ('n-a', 's-b'))

RATES = st.sampled_from((0.99, 1, 1.01))


class Trial:
    """A fleet under load with an oracle that counts work in flight."""

    def __init__(self, seed=1, rates=(1, 1, 1, 1)):
        self.random = random.Random(seed)
        self.fleet = Fleet(
            samples.build_statement(),
            seed,
            dict(zip(VMS, rates, strict=True)),
        )
        self.waiters = []
        self.running = []
        self.overflow = 0
        self.served = 0

    def load(self, vm, count):
        """Submit requests at a VM if its process runs."""
        node = self.fleet.find(vm)
        if node is None or vm in self.fleet.paused:
            return
        deadline = node.clock.read_monotonic() + DEADLINE
        for _ in range(count):
            request = samples.build_request(deadline=deadline)
            self.waiters.append((vm, node, node.submit(request)))
        self.look()

    def advance(self, seconds):
        """Let time pass in steps."""
        end = self.fleet.schedule.now + seconds
        while self.fleet.schedule.now < end:
            self.fleet.run(STEP)
            self.look()

    def look(self):
        """Collect what was granted, end what is due, count the rest."""
        for entry in tuple(self.waiters):
            if entry[2].done.is_set():
                self.waiters.remove(entry)
                self._start(*entry)
        for entry in tuple(self.running):
            self._end(entry)
        used = Counter(
            choice.upstream.name for _, _, choice, *_ in self.running
        )
        slots = self.fleet.statement.upstreams
        for name, count in used.items():
            self.overflow = max(self.overflow, count - slots[name].slots)

    def _start(self, vm, node, waiter):
        if waiter.choice is None:
            return
        self.served += 1
        now = node.clock.read_monotonic()
        due = min(waiter.request.deadline, now + self.random.random() * 4)
        self.running.append((vm, node, waiter.choice, due))

    def _end(self, entry):
        vm, node, choice, due = entry
        if self.fleet.find(vm) is not node:
            self.running.remove(entry)
        elif node.clock.read_monotonic() >= due:
            self.running.remove(entry)
            if not self.fleet.keep(vm, lambda: node.release(choice)):
                node.release(choice)


class GrantMachine(RuleBasedStateMachine):
    """Faults of all kinds in any order."""

    @initialize(
        seed=st.integers(0, 1000),
        rates=st.tuples(*(RATES for _ in VMS)),
    )
    def build(self, seed, rates):
        """Start a fleet whose clocks drift."""
        self.trial = Trial(seed, rates)
        self.trial.advance(0.5)

    @rule(vm=st.sampled_from(VMS), count=st.integers(1, 40))
    def load(self, vm, count):
        """Submit requests."""
        self.trial.load(vm, count)

    @rule(seconds=st.sampled_from((0.02, 0.1, 0.5, 1.5, 4)))
    def advance(self, seconds):
        """Let time pass."""
        self.trial.advance(seconds)

    @rule(pair=st.sampled_from(PAIRS))
    def cut(self, pair):
        """Separate two failure domains."""
        self.trial.fleet.cut(*pair)

    @rule()
    def heal(self):
        """End all cuts."""
        self.trial.fleet.cuts.clear()

    @rule(vm=st.sampled_from(VMS))
    def pause(self, vm):
        """Stop a process or let it go on."""
        fleet = self.trial.fleet
        if vm in fleet.paused:
            fleet.resume(vm)
        elif vm in fleet.nodes:
            fleet.pause(vm)

    @rule(vm=st.sampled_from(VMS))
    def crash(self, vm):
        """End a process or start one."""
        fleet = self.trial.fleet
        if vm in fleet.nodes:
            fleet.crash(vm)
        else:
            fleet.boot(vm)

    @invariant()
    def check(self):
        """No backend server has more work than slots."""
        if hasattr(self, 'trial'):
            assert self.trial.overflow <= 0


def test_no_slot_is_used_twice():
    """The machine finds no order of faults that uses a slot twice."""
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


def disturb(fleet, chooser):
    """Let one random thing happen."""
    vm = chooser.choice(VMS)
    if vm in fleet.paused:
        fleet.resume(vm)
    elif vm in fleet.nodes:
        action = chooser.choice((fleet.crash, fleet.pause, len, len))
        action(vm)
    else:
        fleet.boot(vm)
    if chooser.randrange(5) == 0:
        fleet.cut(*chooser.choice(PAIRS))
    if chooser.randrange(5) == 0:
        fleet.cuts.clear()


def walk(seed):
    """Return the overflow of a random walk with load on every VM."""
    chooser = random.Random(seed)
    trial = Trial(seed, (0.99, 1.01, 1, 1))
    trial.advance(1)
    for _ in range(30):
        for target in VMS:
            trial.load(target, chooser.randrange(12))
        disturb(trial.fleet, chooser)
        trial.advance(chooser.choice((0.1, 0.3, 1, 2)))
    assert trial.served
    return trial.overflow


def count_from_reply(monkeypatch):
    """Let borrowers count the term from the reply."""
    accept = Borrower.accept

    def late_accept(self, owner, reply):
        ask = self._find_ask(owner, reply.service)
        self.asked_[owner, reply.service] = _LastAsk(
            ask.number,
            self.book.clock.read_monotonic(),
            ask.standing,
        )
        accept(self, owner, reply)

    monkeypatch.setattr(Borrower, 'accept', late_accept)


def forget_linger(monkeypatch):
    """Let owners take units back when the borrower's term ends."""
    monkeypatch.setattr(Term, 'hold', property(lambda term: term.seconds))


def use_reserve(monkeypatch):
    """Let homes go on with their standby's units after the lease."""
    accept = Ledger.accept

    def accept_for_ever(self, owner, units, expires):
        accept(self, owner, units, expires + self.own * 1000)

    monkeypatch.setattr(Ledger, 'accept', accept_for_ever)


def skip_settling(monkeypatch):
    """Let restarted owners use their own units at once."""
    update = SlotBook._update_ledgers

    def update_settled(self, geography):
        update(self, geography)
        for ledger in self.ledgers_.values():
            ledger.settled = 0

    monkeypatch.setattr(SlotBook, '_update_ledgers', update_settled)


def pause_borrower():
    """Return the overflow after a borrower slept over its reply."""
    trial = Trial()
    trial.advance(1)
    trial.load('vm-n-b', 16)
    trial.fleet.pause('vm-n-b')
    trial.advance(4.5)
    trial.load('vm-n-a', 30)
    trial.fleet.resume('vm-n-b')
    trial.advance(STEP)
    trial.load('vm-n-b', 30)
    trial.advance(0.1)
    return trial.overflow


def restart_owner():
    """Return the overflow after an owner forgot what it lent, in a cut."""
    trial = Trial()
    trial.advance(1)
    trial.load('vm-n-b', 16)
    trial.advance(0.1)
    trial.fleet.cut('n-a', 'n-b')
    trial.fleet.crash('vm-n-a')
    trial.fleet.boot('vm-n-a')
    trial.advance(0.1)
    trial.load('vm-n-a', 30)
    trial.advance(0.1)
    return trial.overflow


def walk_often():
    """Return the largest overflow of some walks."""
    return max(walk(seed) for seed in range(6))


SCENARIOS = (pause_borrower, restart_owner, walk_often)


@pytest.mark.parametrize('scenario', SCENARIOS)
def test_scenario_uses_no_slot_twice(scenario):
    """Known hard cases never pass the slots."""
    assert scenario() <= 0


@pytest.mark.parametrize(
    ('mutate', 'scenario'),
    [
        (count_from_reply, pause_borrower),
        (skip_settling, restart_owner),
        (forget_linger, walk_often),
        (use_reserve, walk_often),
    ],
)
def test_oracle_sees_mutation(mutate, scenario, monkeypatch):
    """Each rule taken out lets a slot be used twice."""
    mutate(monkeypatch)
    assert scenario() > 0
