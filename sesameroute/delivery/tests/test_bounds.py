"""Bounds: bodies, budgets, deadlines, the record and the witness."""

from dataclasses import replace

import pytest

from sesameroute.delivery import RecordLimits, RequestKey, WitnessLimits
from sesameroute.delivery._key import Identity
from sesameroute.delivery._message import WitnessStatus
from sesameroute.delivery._witness import Witness
from sesameroute.delivery.tests.fleet import (
    DRAWING,
    ORDER,
    READ,
    Fleet,
    FleetClock,
    build_statement,
    fail,
)
from sesameroute.exceptions import InputError, RequestError
from sesameroute.limits import Budget
from sesameroute.ports import Answer
from sesameroute.verdict import Verdict

NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN


def cut_answer():
    """Return an answer whose body ends before its length."""
    return Answer(200, (), iter((b'part',)), length=100)


@pytest.mark.parametrize(
    ('kind', 'word'),
    [(ORDER, MAY_HAVE_RUN), (READ, b'done 9 pallets')],
)
def test_cut_answer_is_never_passed_on(kind, word):
    fleet = Fleet(script=[cut_answer()])
    heard = fleet.deliver('a1', fleet.build_request(kind))
    assert getattr(heard, 'verdict', heard) == word


def test_cut_drawing_ends_in_an_error():
    fleet = Fleet(script=[cut_answer()])
    pipeline = fleet.nodes['a1'].pipeline
    answer = pipeline.deliver(fleet.build_request(DRAWING))
    assert next(answer.chunks) == b'part'
    with pytest.raises(RequestError, match='cut at 4 of 100'):
        next(answer.chunks)
    assert not fleet.steering['a1'].held
    assert fleet.steering['a1'].abandoned == ['u1']


@pytest.mark.parametrize(
    ('code', 'verdict', 'abandoned'),
    [
        ('refused', NOT_RUN, []),
        ('shed', NOT_RUN, []),
        ('lost', MAY_HAVE_RUN, ['u1']),
        ('cancelled', MAY_HAVE_RUN, ['u1']),
    ],
)
def test_slot_of_a_lost_try_waits_for_its_work(code, verdict, abandoned):
    fleet = Fleet(script=[fail(code, verdict)])
    fleet.deliver('a1', fleet.build_request(ORDER))
    assert fleet.steering['a1'].abandoned == abandoned


@pytest.mark.parametrize('started', [True, False])
def test_caller_that_leaves_frees_the_slot(started):
    fleet = Fleet(script=[cut_answer()])
    pipeline = fleet.nodes['a1'].pipeline
    answer = pipeline.deliver(fleet.build_request(DRAWING))
    if started:
        next(answer.chunks)
    answer.chunks.close()
    assert not fleet.steering['a1'].held
    assert [name for name, _ in fleet.cancelled] == ['u1']


@pytest.mark.parametrize('kind', [READ, DRAWING])
def test_server_hears_that_the_caller_left_early(kind):
    fleet = Fleet(script=[fail('cancelled')])
    word = fleet.deliver('a1', fleet.build_request(kind))
    assert word.code == 'cancelled'
    assert not fleet.steering['a1'].held
    assert all(key for _, key in fleet.cancelled)
    assert len(fleet.cancelled) == 1


@pytest.mark.parametrize(('ratio', 'most'), [(0, 100), (0.1, 121), (0.5, 161)])
def test_retries_never_multiply_load(ratio, most):
    fleet = Fleet(statement=build_statement(retry_budget=ratio))
    sent = 0
    for number in range(100):
        fleet.script = [fail('timeout') for _ in range(10)]
        body = b'read %d' % number
        fleet.deliver('a1', fleet.build_request(READ, body=body))
        sent += 10 - len(fleet.script)
    assert 100 <= sent <= most


def test_budget_names_a_ratio_out_of_range():
    with pytest.raises(ValueError, match='ratio is 2'):
        Budget(2).observe()


@pytest.mark.parametrize(
    ('trusts', 'word'),
    [(True, b'done 9 pallets'), (False, MAY_HAVE_RUN)],
)
def test_shed_order_is_resent_only_if_trusted(trusts, word):
    shed = fail('shed', NOT_RUN)
    fleet = Fleet(script=[shed], statement=build_statement(trusts))
    heard = fleet.deliver('a1', fleet.build_request())
    assert getattr(heard, 'verdict', heard) == word


@pytest.mark.parametrize('kind', [ORDER, READ])
def test_late_request_is_not_sent(kind):
    fleet = Fleet()
    late = replace(fleet.build_request(kind), deadline=fleet.clock.now)
    assert fleet.deliver('a1', late).verdict is NOT_RUN
    assert not fleet.journal


def test_full_record_refuses_with_a_seal_and_frees_with_age():
    limits = RecordLimits(entries=2, seals=1, retention=10, epochs=4)
    fleet = Fleet(limits=limits)
    refused = []
    for number in range(6):
        key = fleet.make_key('a1', f'n{number}')
        request = fleet.build_request(key=key, body=b'%d' % number)
        if isinstance(fleet.deliver('a1', request), RequestError):
            refused.append(request)
    assert len(refused) == 4
    for age in (0, 40, 60, 80, 100):
        fleet.clock.now += age
        fleet.nodes['a1'].pipeline.refresh()
        for request in refused:
            again = replace(request, deadline=fleet.clock.now + 2)
            for vm in ('a1', 'b1'):
                assert isinstance(fleet.deliver(vm, again), RequestError)
    assert len(fleet.journal) == 2
    fresh = fleet.build_request(key=fleet.make_key('a1', 'fresh'))
    assert fleet.deliver('a1', fresh) == b'done 9 pallets'


def test_expired_key_may_have_run():
    fleet = Fleet(limits=RecordLimits(retention=10))
    key = fleet.make_key('a1')
    fleet.deliver('a1', fleet.build_request(key=key))
    for _ in range(4):
        fleet.clock.now += 40
        fleet.nodes['a1'].pipeline.refresh()
    word = fleet.deliver('a1', fleet.build_request(key=key))
    assert (word.verdict, word.code) == (MAY_HAVE_RUN, 'expired')


@pytest.mark.parametrize(
    'limits',
    [
        WitnessLimits(keys=2),
        WitnessLimits(epochs=2),
        WitnessLimits(epochs=2, homes=1),
    ],
)
def test_witness_never_acknowledges_what_it_forgot(limits):
    own = Identity('a2', 'i1')
    witness = Witness(own, FleetClock(), limits)
    keys = [
        RequestKey(Identity('a1', f'i{life}'), epoch, own, 'n')
        for life in range(3)
        for epoch in (1, 2, 3)
    ]
    for key in keys:
        witness.fence(replace(key, nonce='other'))
        witness.acknowledge(key)
    for key in keys:
        assert witness.acknowledge(key) is not WitnessStatus.RECORDED
        assert witness.keys_ <= limits.keys
        assert len(witness.ledgers_) <= limits.epochs
        assert len(witness.floors_) <= limits.homes


@pytest.mark.parametrize(
    'key',
    ['', 'a1.i.1.a2.i', 'a1.i.x.a2.i.n', 'a1..1.a2.i.n', f'{"a" * 300}.b'],
)
def test_bad_key_is_refused(key):
    with pytest.raises(InputError):
        RequestKey.parse(key)


@pytest.mark.parametrize('change', [('.1.', '.9.'), ('a2', 'b1')])
def test_key_never_handed_out_is_refused(change):
    fleet = Fleet()
    key = fleet.make_key('a1').replace(*change)
    with pytest.raises(InputError, match='never handed out'):
        fleet.deliver('a1', fleet.build_request(key=key))
