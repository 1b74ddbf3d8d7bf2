"""Tests of the count of losses under one request."""

from dataclasses import dataclass

import pytest

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
    suspects = SuspectList(clock)
    for _ in range(10):
        suspects.record_loss(LossReport('f', 'server'), 'node')
        clock.now += pause
    assert suspects.find('f').losses == losses
