"""A request that crashes its servers costs at most two in the fleet."""

import itertools
from functools import partial

import pytest

from sesameroute.delivery.tests.fleet import ORDER, READ, VMS, Fleet
from sesameroute.verdict import Verdict

TRIES = 12


def send_again(fleet, kind, vms):
    """Send the same request under new keys; return the codes heard."""
    codes = []
    for number, vm in zip(range(TRIES), itertools.cycle(vms), strict=False):
        key = fleet.make_key(vm, f'n{number}') if kind is ORDER else ''
        fleet.clock.now += 2
        fleet.script = ['run-lost', 'run-lost']
        word = fleet.deliver(vm, fleet.build_request(kind, key=key))
        codes.append(word.code)
    return codes


@pytest.mark.parametrize('kind', [ORDER, READ])
@pytest.mark.parametrize('vms', [VMS, ('a1',), ('b1', 'a2')])
def test_request_of_death_costs_two_servers(kind, vms):
    fleet = Fleet()
    codes = send_again(fleet, kind, vms)
    assert len(fleet.journal) == 2
    assert codes[-1] == 'quarantined'


def test_one_trial_at_a_time_in_the_fleet():
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
    assert len(fleet.journal) == 2


def test_cut_off_vm_tries_no_suspect():
    fleet = Fleet(script=['run-lost'])
    fleet.deliver('a1', fleet.build_request(key=fleet.make_key('a1')))
    fleet.cuts.add(frozenset(('a1', 'b1')))
    assert fleet.deliver('b1', fleet.build_request()).code == 'suspected'


@pytest.mark.parametrize('answered_at', ['a1', 'b1'])
def test_answered_read_stays_allowed_when_servers_die(answered_at):
    fleet = Fleet()
    fleet.deliver(answered_at, fleet.build_request(READ))
    send_again(fleet, READ, ('a1',))
    word = fleet.deliver(answered_at, fleet.build_request(READ))
    assert word == b'done 9 pallets'


def test_quarantine_ends():
    fleet = Fleet()
    send_again(fleet, READ, VMS)
    fleet.script.clear()
    word = fleet.deliver('a1', fleet.build_request(READ))
    assert word.verdict is Verdict.NOT_RUN
    fleet.clock.now += word.retry_after + 1
    word = fleet.deliver('a1', fleet.build_request(READ))
    assert word == b'done 9 pallets'
