"""Limits on bodies, budgets, deadlines, the record and the witness."""

from dataclasses import replace

import pytest

from sesameroute.delivery import RecordLimits, RequestKey, WitnessLimits
from sesameroute.delivery._key import ProcessIdentity
from sesameroute.delivery._message import WitnessStatus
from sesameroute.delivery._witness import Witness
from sesameroute.delivery.tests.fleet import (
    DRAWING,
    ORDER,
    READ,
    Fleet,
    FleetClock,
    build_error,
    build_statement,
)
from sesameroute.exceptions import InputError, RequestError
from sesameroute.limits import Budget
from sesameroute.ports import Answer
from sesameroute.verdict import Verdict

NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN


def cut_answer():
    """Return a response whose body is shorter than its stated length."""
    return Answer(200, (), iter((b'part',)), length=100)


@pytest.mark.parametrize(
    ('kind', 'result'),
    [(ORDER, MAY_HAVE_RUN), (READ, b'done 9 pallets')],
)
def test_truncated_response_is_not_returned(kind, result):
    fleet = Fleet(script=[cut_answer()])
    received = fleet.deliver('a1', fleet.build_request(kind))
    assert getattr(received, 'verdict', received) == result


def test_truncated_stream_raises():
    fleet = Fleet(script=[cut_answer()])
    pipeline = fleet.nodes['a1'].pipeline
    answer = pipeline.deliver(fleet.build_request(DRAWING))
    assert next(answer.chunks) == b'part'
    with pytest.raises(RequestError, match='cut at 4 of 100'):
        next(answer.chunks)
    assert not fleet.steering['a1'].held_tickets
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
def test_slot_of_lost_request_is_released_as_running(code, verdict, abandoned):
    fleet = Fleet(script=[build_error(code, verdict)])
    fleet.deliver('a1', fleet.build_request(ORDER))
    assert fleet.steering['a1'].abandoned == abandoned


@pytest.mark.parametrize('started', [True, False])
def test_closing_the_stream_releases_the_slot(started):
    fleet = Fleet(script=[cut_answer()])
    pipeline = fleet.nodes['a1'].pipeline
    answer = pipeline.deliver(fleet.build_request(DRAWING))
    if started:
        next(answer.chunks)
    answer.chunks.close()
    assert not fleet.steering['a1'].held_tickets
    assert [name for name, _ in fleet.cancelled] == ['u1']


@pytest.mark.parametrize('kind', [READ, DRAWING])
def test_cancelled_request_is_cancelled_at_the_server(kind):
    fleet = Fleet(script=[build_error('cancelled')])
    result = fleet.deliver('a1', fleet.build_request(kind))
    assert result.code == 'cancelled'
    assert not fleet.steering['a1'].held_tickets
    assert all(key for _, key in fleet.cancelled)
    assert len(fleet.cancelled) == 1


@pytest.mark.parametrize(
    ('ratio', 'maximum'), [(0, 100), (0.1, 121), (0.5, 161)]
)
def test_retries_stay_within_their_budget(ratio, maximum):
    fleet = Fleet(statement=build_statement(retry_budget=ratio))
    sent = 0
    for number in range(100):
        fleet.script = [build_error('timeout') for _ in range(10)]
        body = b'read %d' % number
        fleet.deliver('a1', fleet.build_request(READ, body=body))
        sent += 10 - len(fleet.script)
    assert 100 <= sent <= maximum


def test_budget_ratio_out_of_range_raises():
    with pytest.raises(ValueError, match='ratio is 2'):
        Budget(2).record_first_attempt()


@pytest.mark.parametrize(
    ('trusts', 'result'),
    [(True, b'done 9 pallets'), (False, MAY_HAVE_RUN)],
)
def test_shed_order_is_retried_only_if_shedding_is_trusted(trusts, result):
    shed = build_error('shed', NOT_RUN)
    fleet = Fleet(script=[shed], statement=build_statement(trusts))
    received = fleet.deliver('a1', fleet.build_request())
    assert getattr(received, 'verdict', received) == result


@pytest.mark.parametrize('kind', [ORDER, READ])
def test_request_past_its_deadline_is_not_sent(kind):
    fleet = Fleet()
    late = replace(fleet.build_request(kind), deadline=fleet.clock.now)
    assert fleet.deliver('a1', late).verdict is NOT_RUN
    assert not fleet.run_log


def test_full_record_remembers_refusals_until_epochs_expire():
    limits = RecordLimits(entries=2, refusals=1, retention=10, epochs=4)
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
    assert len(fleet.run_log) == 2
    fresh = fleet.build_request(key=fleet.make_key('a1', 'fresh'))
    assert fleet.deliver('a1', fresh) == b'done 9 pallets'


def test_expired_key_may_have_run():
    fleet = Fleet(limits=RecordLimits(retention=10))
    key = fleet.make_key('a1')
    fleet.deliver('a1', fleet.build_request(key=key))
    for _ in range(4):
        fleet.clock.now += 40
        fleet.nodes['a1'].pipeline.refresh()
    result = fleet.deliver('a1', fleet.build_request(key=key))
    assert (result.verdict, result.code) == (MAY_HAVE_RUN, 'expired')


@pytest.mark.parametrize(
    'limits',
    [
        WitnessLimits(keys=2),
        WitnessLimits(epochs=2),
        WitnessLimits(epochs=2, homes=1),
    ],
)
def test_witness_never_records_keys_of_forgotten_epochs(limits):
    own = ProcessIdentity('a2', 'i1')
    witness = Witness(own, FleetClock(), limits)
    keys = [
        RequestKey(ProcessIdentity('a1', f'i{incarnation}'), epoch, own, 'n')
        for incarnation in range(3)
        for epoch in (1, 2, 3)
    ]
    for key in keys:
        witness.fence(replace(key, nonce='other'))
        witness.acknowledge(key)
    for key in keys:
        assert witness.acknowledge(key) is not WitnessStatus.RECORDED
        assert witness.key_count_ <= limits.keys
        assert len(witness.epoch_states_) <= limits.epochs
        assert len(witness.epoch_floors_) <= limits.homes


@pytest.mark.parametrize(
    'key',
    ['', 'a1.i.1.a2.i', 'a1.i.x.a2.i.n', 'a1..1.a2.i.n', f'{"a" * 300}.b'],
)
def test_malformed_key_is_refused(key):
    with pytest.raises(InputError):
        RequestKey.parse(key)


@pytest.mark.parametrize('change', [('.1.', '.9.'), ('a2', 'b1')])
def test_key_never_issued_is_refused(change):
    fleet = Fleet()
    key = fleet.make_key('a1').replace(*change)
    with pytest.raises(InputError, match='never issued'):
        fleet.deliver('a1', fleet.build_request(key=key))
