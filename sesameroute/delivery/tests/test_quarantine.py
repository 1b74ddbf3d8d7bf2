"""A request that crashes backend servers crashes at most two of them."""

import itertools
from functools import partial

import pytest

from sesameroute.delivery.tests.fleet import ORDER, READ, VMS, Fleet
from sesameroute.verdict import Verdict

ATTEMPTS = 12


def send_again(fleet, kind, vms):
    """Send the same request under new keys; return the error codes."""
    codes = []
    for number, vm in zip(range(ATTEMPTS), itertools.cycle(vms), strict=False):
        key = fleet.make_key(vm, f'n{number}') if kind is ORDER else ''
        fleet.clock.now += 2
        fleet.script = ['run-lost', 'run-lost']
        result = fleet.deliver(vm, fleet.build_request(kind, key=key))
        codes.append(result.code)
    return codes


@pytest.mark.parametrize('kind', [ORDER, READ])
@pytest.mark.parametrize('vms', [VMS, ('a1',), ('b1', 'a2')])
def test_crashing_request_reaches_two_servers(kind, vms):
    fleet = Fleet()
    codes = send_again(fleet, kind, vms)
    assert len(fleet.run_log) == 2
    assert codes[-1] == 'quarantined'


def test_suspected_request_is_tried_once_at_a_time():
    fleet = Fleet(script=['run-lost'])
    fleet.deliver('a1', fleet.build_request(key=fleet.make_key('a1')))
    request = fleet.build_request()
    trials = [
        fleet.start(node, partial(node.read, request))
        for node in fleet.nodes.values()
    ]
    for trial in trials:
        while trial.point != 'send' and not trial.done:
            trial.resume(None)
    refused = [trial.error.code for trial in trials if trial.done]
    assert refused == ['suspected', 'suspected']
    next(trial for trial in trials if not trial.done).resume('run-lost')
    assert len(fleet.run_log) == 2


def test_isolated_vm_sends_no_suspected_request():
    fleet = Fleet(script=['run-lost'])
    fleet.deliver('a1', fleet.build_request(key=fleet.make_key('a1')))
    fleet.cuts.add(frozenset(('a1', 'b1')))
    assert fleet.deliver('b1', fleet.build_request()).code == 'suspected'


@pytest.mark.parametrize('answered_at', ['a1', 'b1'])
def test_read_answered_before_is_quarantined_after_crashes(answered_at):
    fleet = Fleet()
    fleet.deliver(answered_at, fleet.build_request(READ))
    codes = send_again(fleet, READ, ('a1',))
    assert codes[-1] == 'quarantined'
    assert fleet.deliver(answered_at, fleet.build_request(READ)).code == (
        'quarantined'
    )


@pytest.mark.parametrize('answered_at', ['a1', 'b1'])
def test_read_answered_between_crashes_is_not_quarantined(answered_at):
    fleet = Fleet()
    results = []
    for _ in range(ATTEMPTS):
        fleet.clock.now += 2
        fleet.script = ['run-lost']
        fleet.deliver('a1', fleet.build_request(READ))
        fleet.script.clear()
        results += [
            fleet.deliver(answered_at, fleet.build_request(READ))
            for _ in range(8)
        ]
    assert set(results) == {b'done 9 pallets'}


def test_quarantine_ends():
    fleet = Fleet()
    send_again(fleet, READ, VMS)
    fleet.script.clear()
    result = fleet.deliver('a1', fleet.build_request(READ))
    assert result.verdict is Verdict.NOT_RUN
    fleet.clock.now += result.retry_after + 1
    result = fleet.deliver('a1', fleet.build_request(READ))
    assert result == b'done 9 pallets'
