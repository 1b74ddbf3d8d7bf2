"""Draining VMs and backend servers get no new work.

This holds from the first notice, whether it comes from the statement, from
membership or from the backend server itself.
"""

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
    """Drains start and end in any order while requests arrive."""

    @initialize()
    def build(self):
        """Start a fleet."""
        self.fleet = Fleet(samples.build_statement())
        self.fleet.run(1)
        self.waiters = []
        self.misplaced = []

    @rule(subject=st.sampled_from(SUBJECTS))
    def toggle_drain(self, subject):
        """Start a drain in the statement, or end it."""
        name = '-'.join(subject)
        drains = dict(self.fleet.statement.drains)
        if name in drains:
            drains.pop(name)
        else:
            drains[name] = Drain(name, *subject)
        self.fleet.statement = replace(self.fleet.statement, drains=drains)

    @rule(name=st.sampled_from(('tally-1', 'tally-4', 'tally-7')))
    def toggle_leaving(self, name):
        """Report a backend server as leaving through membership, or undo it."""
        self.fleet.leaving = self.fleet.leaving ^ {name}

    @rule(vm=st.sampled_from(VMS), count=st.integers(1, 20))
    def submit_requests(self, vm, count):
        """Submit requests."""
        node = self.fleet.nodes[vm]
        deadline = node.clock.read_monotonic() + 2
        for _ in range(count):
            waiter = node.submit(samples.build_request(deadline=deadline))
            self.waiters.append((node, waiter))
            waiter.add_done_callback(self._check_placement)

    @rule(seconds=st.sampled_from((0.05, 0.5, 2)))
    def advance(self, seconds):
        """Advance the time and finish all running work."""
        self.fleet.run(seconds)
        for node, waiter in self.waiters:
            if waiter.choice:
                node.release(waiter.choice)
        self.waiters = [
            entry for entry in self.waiters if not entry[1].done.is_set()
        ]

    @invariant()
    def check(self):
        """No request was placed on a draining backend server."""
        assert not getattr(self, 'misplaced', [])

    def _check_placement(self, waiter):
        if waiter.choice is None:
            return
        upstream = waiter.choice.upstream
        statement = self.fleet.statement
        is_leaving = upstream.name in self.fleet.leaving
        if is_leaving or is_drained(statement, upstream.name, upstream.domain):
            self.misplaced.append(upstream.name)


def test_draining_backends_get_no_new_work():
    """No sequence of drains places work on a draining backend server."""
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


def test_backend_announces_its_drain():
    """A draining answer stops new work on that backend server at once."""
    fleet = Fleet(samples.build_statement())
    fleet.run(1)
    node = fleet.nodes['vm-n-a']
    first = node.try_choose(samples.build_request(deadline=9))
    node.record_outcome(first, Outcome(OutcomeCode.DRAINING))
    node.release(first)
    names = {
        node.try_choose(samples.build_request(deadline=9)).upstream.name
        for _ in range(3)
    }
    assert names
    assert first.upstream.name not in names


@pytest.mark.parametrize(
    ('target', 'subject', 'omitted'),
    [
        (DrainTarget.VM, 'vm-n-a', {'vm-n-a'}),
        (DrainTarget.DOMAIN, 'n-a', {'vm-n-a'}),
        (DrainTarget.REGION, 'north', {'vm-n-a', 'vm-n-b'}),
        (DrainTarget.UPSTREAM, 'tally-0', set()),
    ],
)
def test_lookup_omits_drained_vms(target, subject, omitted):
    """Look-up answers list no drained VM."""
    statement = samples.build_statement(
        drains={'now': Drain('now', target, subject)},
    )
    members = samples.FixedMembers(live=VMS)
    lookup = Lookup(lambda: statement, members, samples.ManualClock())
    listed = {entry.vm for entry in lookup.answer('tally', 'n-a').entries}
    assert listed == set(VMS) - omitted


def test_drained_vm_serves_callers_with_old_lookup():
    """A drained VM serves callers that cached an old look-up answer."""
    statement = samples.build_statement(
        drains={'now': Drain('now', DrainTarget.VM, 'vm-n-a')},
    )
    fleet = Fleet(statement)
    fleet.run(1)
    assert fleet.nodes['vm-n-a'].try_choose(samples.build_request(deadline=9))
