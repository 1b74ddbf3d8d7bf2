"""Responses and verdicts of the pipeline, one fault at a time."""

import pytest

from sesameroute.delivery.tests.fleet import READ, Fleet, build_error
from sesameroute.exceptions import InputError, RequestError
from sesameroute.verdict import Verdict

NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN
REFUSED = build_error('refused', NOT_RUN)


def get_verdict(result):
    """Return the verdict on a result of `Fleet.deliver`."""
    return result.verdict if isinstance(result, RequestError) else Verdict.RAN


@pytest.mark.parametrize('vm', ['a1', 'a2', 'b1'])
def test_copy_gets_the_stored_response_on_every_vm(vm):
    fleet = Fleet()
    request = fleet.build_request(key=fleet.make_key('a1'))
    assert fleet.deliver('a1', request) == b'done 9 pallets'
    assert fleet.deliver(vm, request) == b'done 9 pallets'
    assert len(fleet.run_log) == 1


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
    runs = len(fleet.run_log)
    assert get_verdict(fleet.deliver('b1', request)) is verdict
    assert get_verdict(fleet.deliver('a1', request)) is verdict
    assert not lost or len(fleet.run_log) == runs


@pytest.mark.parametrize(
    ('script', 'verdict', 'runs'),
    [
        ([REFUSED], Verdict.RAN, 1),
        ([build_error('shed', NOT_RUN)], Verdict.RAN, 1),
        ([REFUSED, REFUSED, REFUSED, REFUSED], NOT_RUN, 0),
        ([build_error('timeout')], MAY_HAVE_RUN, 0),
        (['run-lost'], MAY_HAVE_RUN, 1),
        ([REFUSED, 'run-lost'], MAY_HAVE_RUN, 1),
    ],
)
def test_order_is_retried_only_if_it_did_not_run(script, verdict, runs):
    fleet = Fleet(script=list(script))
    request = fleet.build_request(key=fleet.make_key('a1'))
    assert get_verdict(fleet.deliver('a1', request)) is verdict
    fleet.script.clear()
    assert get_verdict(fleet.deliver('b1', request)) is verdict
    assert len(fleet.run_log) == runs
    assert not fleet.steering['a1'].held_tickets


def test_read_is_retried_after_one_lost_connection_only():
    fleet = Fleet(
        script=[build_error('lost'), build_error('lost'), build_error('lost')]
    )
    result = fleet.deliver('a1', fleet.build_request(READ))
    assert result.verdict is MAY_HAVE_RUN
    assert len(fleet.script) == 1


def test_key_of_another_request_is_refused():
    fleet = Fleet()
    key = fleet.make_key('a1')
    fleet.deliver('a1', fleet.build_request(key=key))
    with pytest.raises(InputError):
        fleet.deliver('b1', fleet.build_request(key=key, body=b'8 pallets'))


def test_isolated_home_runs_orders_without_a_witness():
    fleet = Fleet()
    fleet.cuts |= {frozenset(('a1', 'a2')), frozenset(('a1', 'b1'))}
    request = fleet.build_request(key=fleet.make_key('a1'))
    assert fleet.deliver('a1', request) == b'done 9 pallets'
    assert get_verdict(fleet.deliver('b1', request)) is MAY_HAVE_RUN


def test_unkeyed_order_is_retried_with_another_witness():
    fleet = Fleet()
    fleet.make_key('a1')
    fleet.restart('a2')
    assert fleet.deliver('a1', fleet.build_request()) == b'done 9 pallets'


def test_stop_hands_the_record_to_the_witness():
    fleet = Fleet()
    key = fleet.make_key('a1')
    request = fleet.build_request(key=key)
    fleet.deliver('a1', request)
    report = fleet.nodes['a1'].pipeline.stop(fleet.clock.now + 5)
    assert (report.handed_over, report.not_stored, report.running) == (1, 0, 0)
    late = fleet.build_request(key=f'{key}x', body=b'late')
    assert get_verdict(fleet.deliver('a1', late)) is NOT_RUN
    fleet.restart('a1')
    assert fleet.deliver('b1', request) == b'done 9 pallets'
    assert get_verdict(fleet.deliver('b1', late)) is NOT_RUN
