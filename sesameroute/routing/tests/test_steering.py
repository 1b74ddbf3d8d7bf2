"""Slots, queue and look-ups with a small statement."""

from collections import Counter

import pytest

from sesameroute.exceptions import InputError, RequestError
from sesameroute.ports import BACKEND_STOP_SECONDS
from sesameroute.routing import Lookup
from sesameroute.routing.tests import samples
from sesameroute.routing.tests.fleet import Fleet
from sesameroute.statement import Drain, DrainTarget
from sesameroute.verdict import Verdict


def build_steering(statement, vm='vm-n-a'):
    """Return the steering of a VM that has slots, with a stopped clock."""
    fleet = Fleet(statement)
    fleet.run(1)
    steering = fleet.nodes[vm]
    steering.table_.clock = samples.ManualClock(1)
    return steering


def take_all(steering):
    """Take slots until none is left."""
    return list(
        iter(lambda: steering.try_choose(samples.build_request()), None),
    )


def test_each_slot_is_taken_once():
    """Each local slot is taken once and released once."""
    steering = build_steering(samples.build_statement())
    taken = take_all(steering)
    counts = Counter(choice.upstream.name for choice in taken)
    assert counts == {'tally-0': 4, 'tally-4': 4}
    steering.release(taken[0])
    steering.release(taken[0])
    assert len(take_all(steering)) == 1


def test_cancelled_slot_waits_for_backend_to_stop():
    """The slot of cancelled work is free only after BACKEND_STOP_SECONDS."""
    steering = build_steering(samples.build_statement())
    clock = steering.table_.clock
    steering.clock = steering.table_.cancelled_.clock = clock
    taken = take_all(steering)
    steering.release(taken[0], may_still_run=True)
    steering.tick()
    assert not take_all(steering)
    clock.sleep(BACKEND_STOP_SECONDS)
    steering.tick()
    assert len(take_all(steering)) == 1


def test_refusal_says_not_run():
    """A refusal without a slot says not run and when to retry."""
    steering = build_steering(samples.build_statement())
    take_all(steering)
    waiter = steering.submit(samples.build_request())
    assert not waiter.done.is_set()
    steering.table_.clock.sleep(1)
    steering.tick()
    assert waiter.refused
    assert waiter.retry_after > 0
    with pytest.raises(RequestError) as caught:
        steering.choose(samples.build_request(deadline=0.5))
    assert caught.value.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize(
    ('target', 'subject', 'drained'),
    [
        (DrainTarget.UPSTREAM, 'tally-0', {'tally-0'}),
        (DrainTarget.DOMAIN, 'n-a', {'tally-0', 'tally-4'}),
        (
            DrainTarget.REGION,
            'north',
            {'tally-0', 'tally-1', 'tally-4', 'tally-5'},
        ),
    ],
)
def test_drain_stops_new_work(target, subject, drained):
    """Drained backend servers get no new work; others do."""
    statement = samples.build_statement(
        drains={'now': Drain('now', target, subject)},
    )
    fleet = Fleet(statement)
    fleet.run(1)
    node = fleet.nodes['vm-n-a']
    waiters = [node.submit(samples.build_request(deadline=9)) for _ in range(9)]
    fleet.run(0.2)
    used = {one.choice.upstream.name for one in waiters if one.choice}
    assert used
    assert not used & drained


@pytest.mark.parametrize(
    ('live', 'leaving', 'first'),
    [
        ((), (), 'vm-n-b'),
        (('vm-n-b', 'vm-s-a'), (), 'vm-n-b'),
        (('vm-n-a', 'vm-s-a'), (), 'vm-n-a'),
        (('vm-s-a',), (), 'vm-s-a'),
        (('vm-n-a', 'vm-n-b'), ('vm-n-b',), 'vm-n-a'),
    ],
)
def test_lookup_lists_nearest_first(live, leaving, first):
    """The nearest live VM that is not leaving comes first."""
    statement = samples.build_statement()
    members = samples.FixedMembers(live=live, leaving=frozenset(leaving))
    lookup = Lookup(lambda: statement, members, samples.ManualClock())
    answer = lookup.answer('tally', 'n-b')
    assert answer.entries[0].vm == first
    assert not set(leaving) & {entry.vm for entry in answer.entries}


def test_lookup_rejects_unknown_service():
    """An unknown service raises InputError."""
    statement = samples.build_statement()
    lookup = Lookup(
        lambda: statement,
        samples.FixedMembers(),
        samples.ManualClock(),
    )
    with pytest.raises(InputError):
        lookup.answer('none')
