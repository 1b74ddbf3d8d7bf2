"""Tests of the count of losses under one request."""

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


def lose(quarantine, name):
    """Send a request and lose the backend server."""
    quarantine.evidence.observe_loss(
        quarantine.evidence.begin_try('f', 's', (name, 1))
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
