"""Slots, queue and look-up on a small statement."""

import random
from collections import Counter

import pytest

from sesameroute.exceptions import InputError, RequestError
from sesameroute.routing import Lookup, SlotSteering
from sesameroute.routing.tests import samples
from sesameroute.statement import Drain, DrainTarget
from sesameroute.verdict import Verdict


def build_steering(statement, vm='vm-n-a', members=None):
    """Return steering at one VM with a manual clock."""
    return SlotSteering(
        lambda: statement,
        vm,
        members or samples.FixedMembers(),
        samples.RecordingPeers(),
        samples.ManualClock(),
        random.Random(1),
    )


def take_all(steering):
    """Take slots until none is left."""
    return list(
        iter(lambda: steering.try_choose(samples.build_request()), None),
    )


def test_slots_are_exact():
    """Each slot of the own domain is given once and comes back once."""
    steering = build_steering(samples.build_statement())
    taken = take_all(steering)
    counts = Counter(choice.upstream.name for choice in taken)
    assert counts == {'tally-0': 4, 'tally-4': 4}
    steering.release(taken[0])
    steering.release(taken[0])
    assert len(take_all(steering)) == 1


def test_refusal_is_not_run():
    """Without a slot the refusal says not run and when to come back."""
    steering = build_steering(samples.build_statement())
    take_all(steering)
    waiter = steering.submit(samples.build_request())
    assert not waiter.done.is_set()
    steering.clock.sleep(1)
    steering.pump('tally')
    assert waiter.refused
    assert waiter.retry_after > 0
    with pytest.raises(RequestError) as caught:
        steering.choose(samples.build_request(deadline=0.5))
    assert caught.value.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize(
    ('target', 'subject', 'left'),
    [
        (DrainTarget.UPSTREAM, 'tally-0', {'tally-4'}),
        (DrainTarget.DOMAIN, 'n-a', set()),
        (DrainTarget.REGION, 'north', set()),
        (DrainTarget.REGION, 'south', {'tally-0', 'tally-4'}),
    ],
)
def test_drain_stops_new_work(target, subject, left):
    """A drained backend server gets no new work."""
    statement = samples.build_statement(
        drains={'now': Drain('now', target, subject)},
    )
    taken = take_all(build_steering(statement))
    assert {choice.upstream.name for choice in taken} == left


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
def test_lookup_names_nearest(live, leaving, first):
    """The nearest live VM that does not leave comes first."""
    statement = samples.build_statement()
    members = samples.FixedMembers(live=live, leaving=frozenset(leaving))
    lookup = Lookup(lambda: statement, members, samples.ManualClock())
    answer = lookup.answer('tally', 'n-b')
    assert answer.entries[0].vm == first
    assert not set(leaving) & {entry.vm for entry in answer.entries}


def test_lookup_unknown_service():
    """An unknown service is an input error."""
    statement = samples.build_statement()
    lookup = Lookup(
        lambda: statement,
        samples.FixedMembers(),
        samples.ManualClock(),
    )
    with pytest.raises(InputError):
        lookup.answer('none')
