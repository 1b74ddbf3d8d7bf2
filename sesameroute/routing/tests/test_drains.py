"""What leaves gets no new work from the first word, whoever says it."""

from dataclasses import replace

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

from sesameroute.ports import Outcome, OutcomeCode
from sesameroute.routing import Lookup, is_drained
from sesameroute.routing.tests import samples
from sesameroute.routing.tests.fleet import Fleet
from sesameroute.statement import Drain, DrainTarget

VMS = ('vm-n-a', 'vm-n-b', 'vm-s-a', 'vm-s-b')
SUBJECTS = (
    (DrainTarget.UPSTREAM, 'tally-0'),
    (DrainTarget.UPSTREAM, 'tally-5'),
    (DrainTarget.VM, 'vm-n-a'),
    (DrainTarget.DOMAIN, 'n-b'),
    (DrainTarget.REGION, 'south'),
)


class DrainMachine(RuleBasedStateMachine):
    """Drains come and go in any order while requests come in."""

    @initialize()
    def build(self):
        """Start a fleet."""
        self.fleet = Fleet(samples.build_statement())
        self.fleet.run(1)
        self.waiters = []
        self.wrong = []

    @rule(subject=st.sampled_from(SUBJECTS))
    def drain(self, subject):
        """Drain something, or end its drain."""
        name = '-'.join(subject)
        drains = dict(self.fleet.statement.drains)
        if name in drains:
            drains.pop(name)
        else:
            drains[name] = Drain(name, *subject)
        self.fleet.statement = replace(self.fleet.statement, drains=drains)

    @rule(name=st.sampled_from(('tally-1', 'tally-4', 'tally-7')))
    def leave(self, name):
        """Let some source say that a backend server leaves, or no more."""
        self.fleet.leaving = self.fleet.leaving ^ {name}

    @rule(vm=st.sampled_from(VMS), count=st.integers(1, 20))
    def load(self, vm, count):
        """Submit requests."""
        node = self.fleet.nodes[vm]
        deadline = node.clock.read_monotonic() + 2
        for _ in range(count):
            waiter = node.submit(samples.build_request(deadline=deadline))
            self.waiters.append((node, waiter))
            waiter.listen(self._judge)

    @rule(seconds=st.sampled_from((0.05, 0.5, 2)))
    def advance(self, seconds):
        """Let time pass and work end."""
        self.fleet.run(seconds)
        for node, waiter in self.waiters:
            if waiter.choice:
                node.release(waiter.choice)
        self.waiters = [
            entry for entry in self.waiters if not entry[1].done.is_set()
        ]

    @invariant()
    def check(self):
        """Nothing was placed on what leaves."""
        assert not getattr(self, 'wrong', [])

    def _judge(self, waiter):
        if waiter.choice is None:
            return
        upstream = waiter.choice.upstream
        statement = self.fleet.statement
        is_leaving = upstream.name in self.fleet.leaving
        if is_leaving or is_drained(statement, upstream.name, upstream.domain):
            self.wrong.append(upstream.name)


def test_drained_get_no_new_work():
    """The machine finds no order that places work on what leaves."""
    run_state_machine_as_test(
        DrainMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=20,
            stateful_step_count=25,
        ),
    )


def test_backend_says_that_it_drains():
    """Its own word counts at once, and work in progress goes on."""
    fleet = Fleet(samples.build_statement())
    fleet.run(1)
    node = fleet.nodes['vm-n-a']
    first = node.try_choose(samples.build_request(deadline=9))
    node.observe(first, Outcome(OutcomeCode.DRAINING))
    node.release(first)
    names = {
        node.try_choose(samples.build_request(deadline=9)).upstream.name
        for _ in range(3)
    }
    assert names
    assert first.upstream.name not in names


@pytest.mark.parametrize(
    ('target', 'subject', 'gone'),
    [
        (DrainTarget.VM, 'vm-n-a', {'vm-n-a'}),
        (DrainTarget.DOMAIN, 'n-a', {'vm-n-a'}),
        (DrainTarget.REGION, 'north', {'vm-n-a', 'vm-n-b'}),
        (DrainTarget.UPSTREAM, 'tally-0', set()),
    ],
)
def test_lookup_leaves_out_drained(target, subject, gone):
    """Look-ups name no VM that is drained."""
    statement = samples.build_statement(
        drains={'now': Drain('now', target, subject)},
    )
    members = samples.FixedMembers(live=VMS)
    lookup = Lookup(lambda: statement, members, samples.ManualClock())
    named = {entry.vm for entry in lookup.answer('tally', 'n-a').entries}
    assert named == set(VMS) - gone


def test_drained_vm_serves_late_callers():
    """Callers that kept an old look-up are still served."""
    statement = samples.build_statement(
        drains={'now': Drain('now', DrainTarget.VM, 'vm-n-a')},
    )
    fleet = Fleet(statement)
    fleet.run(1)
    assert fleet.nodes['vm-n-a'].try_choose(samples.build_request(deadline=9))
