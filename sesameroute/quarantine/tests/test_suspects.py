"""Tests of the count of losses under one request."""

import itertools
from dataclasses import dataclass

import pytest

from sesameroute.quarantine import Quarantine
from sesameroute.quarantine._messages import LossReport
from sesameroute.quarantine._suspects import SuspectList


@dataclass
class ManualClock:
    """Clock that the test sets."""

    now: float = 100

    def read_monotonic(self):
        """Return the time that the test has set."""
        return self.now


@pytest.mark.parametrize(
    ('pause', 'losses'), [(0, 1), (0.05, 1), (0.6, 5), (1.5, 10)]
)
def test_server_that_restarts_at_once_counts_again(pause, losses):
    """Crashes less than a second apart counted as one without end."""
    clock = ManualClock()
    suspects = SuspectList(clock, max_losses=3)
    for _ in range(10):
        suspects.record_loss(LossReport('f', 'server'), 'node')
        clock.now += pause
    assert len(suspects.find('f').groups_) == losses
    assert suspects.compute_score('f') == losses


_INCARNATIONS = itertools.count(1)


def lose(quarantine, name):
    """Send a request and lose the backend server, which ends only once."""
    server = name, next(_INCARNATIONS)
    quarantine.evidence.observe_loss(
        quarantine.evidence.begin_try('f', 's', server)
    )


class NoPeers:
    """Peer connections of a VM without peers."""

    def list_connected(self):
        """Return no peers."""
        return ()


def test_request_that_crashes_again_waits_longer():
    """After each minute of quarantine, it could crash as many as before."""
    clock = ManualClock()
    quarantine = Quarantine('vm', clock, NoPeers(), max_losses=3)
    crashes = []
    for second in range(600):
        clock.now = 1000 + second
        if not quarantine.is_quarantined('f'):
            lose(quarantine, 'server')
            crashes.append(second)
    assert crashes == [0, 1, 2, 62, 182, 422]


def test_request_is_forgiven_after_a_good_answer():
    """A request that runs well after its quarantine starts anew."""
    clock = ManualClock()
    quarantine = Quarantine('vm', clock, NoPeers(), max_losses=3)
    for name in 'abc':
        lose(quarantine, name)
    assert quarantine.is_quarantined('f')
    clock.now += 61
    assert not quarantine.is_quarantined('f')
    quarantine.evidence.observe_answer(
        quarantine.evidence.begin_try('f', 's', ('a', 1))
    )
    clock.now += 61
    lose(quarantine, 'a')
    assert not quarantine.is_quarantined('f')


def test_request_that_ends_two_servers_in_turn_is_quarantined():
    """After answers by both servers, each was blamed for the losses."""
    clock = ManualClock()
    quarantine = Quarantine('vm', clock, NoPeers(), max_losses=3)
    for name in 'abab':
        lose(quarantine, name)
        clock.now += 2
        for other in 'ab' * 8:
            sent = quarantine.evidence.begin_try('f', 's', (other, 1))
            quarantine.evidence.observe_answer(sent)
        assert not quarantine.is_quarantined('f')
    for name in 'ababab':
        lose(quarantine, name)
        clock.now += 2
    assert quarantine.is_quarantined('f')


def test_server_that_ends_again_and_again_is_at_fault():
    """Requests that other servers answer were held for one bad server."""
    clock = ManualClock()
    quarantine = Quarantine('vm', clock, NoPeers(), max_losses=3)
    for _ in range(10):
        lose(quarantine, 'bad')
        clock.now += 2
        quarantine.evidence.observe_answer(
            quarantine.evidence.begin_try('f', 's', ('good', 1))
        )
    assert quarantine.evidence.suspects_.compute_score('f') < 1


@pytest.mark.parametrize('incarnation', [0, 7])
def test_try_sent_after_the_end_of_its_server_is_no_loss(incarnation):
    """On the own path it counted against its request for three seconds."""
    clock = ManualClock()
    quarantine = Quarantine('vm', clock, NoPeers(), max_losses=3)
    server = ('a', incarnation)
    quarantine.evidence.observe_end(server)
    clock.now += 0.5
    sent = quarantine.evidence.begin_try('f', 's', server)
    clock.now += 0.5
    quarantine.evidence.observe_give_up(sent)
    assert not quarantine.evidence.suspects_.compute_score('f')


@pytest.mark.parametrize(
    ('ends', 'losses'),
    [
        ((0.1, 0.1, 0.1), 1),
        ((0.1, 0.15, 0.2), 1),
        ((0.1, 0.3, 0.5), 1),
        ((0.1, 0.7, 1.3), 3),
    ],
)
def test_silent_ends_at_different_moments_are_separate_losses(ends, losses):
    """Losses found after time-outs counted as copies of one another."""
    clock = ManualClock()
    evidence = Quarantine('vm', clock, NoPeers(), max_losses=3).evidence
    tries = []
    for number, end in enumerate(ends):
        clock.now = 100 + max(end - 0.4, 0)
        server = (f'server-{number}', 7)
        tries.append(evidence.begin_try('f', 's', server))
        clock.now = 100 + end
        evidence.observe_end(server)
    clock.now = 102
    for sent in tries:
        evidence.observe_give_up(sent)
    assert evidence.suspects_.compute_score('f') == losses


@pytest.mark.parametrize('seconds', [0.1, 1.5, 6])
def test_loss_that_is_told_again_late_counts_once(seconds):
    """Messages delayed by over a second made one loss into several."""
    clock = ManualClock()
    evidence = Quarantine('vm', clock, NoPeers(), max_losses=3).evidence
    sent = evidence.begin_try('f', 's', ('server', 7))
    evidence.observe_loss(sent)
    for _ in range(4):
        told_again = tuple(evidence.suspects_.iterate_losses())
        clock.now += seconds
        for past in told_again:
            evidence.handle_past_loss(past)
    assert evidence.suspects_.compute_score('f') == 1
