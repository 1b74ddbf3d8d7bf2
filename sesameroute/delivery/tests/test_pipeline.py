"""Answers and verdicts of the pipeline, one fault at a time."""

import pytest

from sesameroute.delivery.tests.fleet import READ, Fleet, fail
from sesameroute.exceptions import InputError, RequestError
from sesameroute.verdict import Verdict

NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN
REFUSED = fail('refused', NOT_RUN)


def get_verdict(word):
    """Return the verdict of what `Fleet.deliver` returned."""
    return word.verdict if isinstance(word, RequestError) else Verdict.RAN


@pytest.mark.parametrize('vm', ['a1', 'a2', 'b1'])
def test_copy_gets_kept_answer_everywhere(vm):
    fleet = Fleet()
    request = fleet.build_request(key=fleet.make_key('a1'))
    assert fleet.deliver('a1', request) == b'done 9 pallets'
    assert fleet.deliver(vm, request) == b'done 9 pallets'
    assert len(fleet.journal) == 1


@pytest.mark.parametrize(
    ('ran', 'lost', 'verdict'),
    [
        (True, ('a1',), MAY_HAVE_RUN),
        (False, ('a1',), NOT_RUN),
        (True, ('a1', 'a2'), MAY_HAVE_RUN),
        (False, ('a1', 'a2'), MAY_HAVE_RUN),
        (False, (), Verdict.RAN),
    ],
)
def test_verdict_after_lost_vms(ran, lost, verdict):
    fleet = Fleet()
    request = fleet.build_request(key=fleet.make_key('a1'))
    if ran:
        fleet.deliver('a1', request)
    for vm in lost:
        fleet.restart(vm)
    runs = len(fleet.journal)
    assert get_verdict(fleet.deliver('b1', request)) is verdict
    assert get_verdict(fleet.deliver('a1', request)) is verdict
    assert not lost or len(fleet.journal) == runs


@pytest.mark.parametrize(
    ('script', 'verdict', 'runs'),
    [
        ([REFUSED], Verdict.RAN, 1),
        ([fail('shed', NOT_RUN)], Verdict.RAN, 1),
        ([REFUSED, REFUSED, REFUSED, REFUSED], NOT_RUN, 0),
        ([fail('timeout')], MAY_HAVE_RUN, 0),
        (['run-lost'], MAY_HAVE_RUN, 1),
        ([REFUSED, 'run-lost'], MAY_HAVE_RUN, 1),
    ],
)
def test_order_is_resent_only_when_it_did_not_run(script, verdict, runs):
    fleet = Fleet(script=list(script))
    request = fleet.build_request(key=fleet.make_key('a1'))
    assert get_verdict(fleet.deliver('a1', request)) is verdict
    fleet.script.clear()
    assert get_verdict(fleet.deliver('b1', request)) is verdict
    assert len(fleet.journal) == runs
    assert not fleet.steering['a1'].held


def test_read_is_resent_after_one_loss_only():
    fleet = Fleet(script=[fail('lost'), fail('lost'), fail('lost')])
    word = fleet.deliver('a1', fleet.build_request(READ))
    assert word.verdict is MAY_HAVE_RUN
    assert len(fleet.script) == 1


def test_key_of_another_request_is_refused():
    fleet = Fleet()
    key = fleet.make_key('a1')
    fleet.deliver('a1', fleet.build_request(key=key))
    with pytest.raises(InputError):
        fleet.deliver('b1', fleet.build_request(key=key, body=b'8 pallets'))


def test_cut_off_home_serves_without_witness():
    fleet = Fleet()
    fleet.cuts |= {frozenset(('a1', 'a2')), frozenset(('a1', 'b1'))}
    request = fleet.build_request(key=fleet.make_key('a1'))
    assert fleet.deliver('a1', request) == b'done 9 pallets'
    assert get_verdict(fleet.deliver('b1', request)) is MAY_HAVE_RUN


def test_unkeyed_order_moves_to_another_witness():
    fleet = Fleet()
    fleet.make_key('a1')
    fleet.restart('a2')
    assert fleet.deliver('a1', fleet.build_request()) == b'done 9 pallets'


def test_stop_hands_answers_to_the_witness():
    fleet = Fleet()
    key = fleet.make_key('a1')
    request = fleet.build_request(key=key)
    fleet.deliver('a1', request)
    report = fleet.nodes['a1'].pipeline.stop(fleet.clock.now + 5)
    assert (report.handed, report.refused, report.running) == (1, 0, 0)
    late = fleet.build_request(key=f'{key}x', body=b'late')
    assert get_verdict(fleet.deliver('a1', late)) is NOT_RUN
    fleet.restart('a1')
    assert fleet.deliver('b1', request) == b'done 9 pallets'
    assert get_verdict(fleet.deliver('b1', late)) is NOT_RUN
