"""Waits for the first byte of an answer, while there is reason to wait.

Load: a zone loses power under running requests. Their connections stay
silent, and a lookup was answered only at the end of its route's time, though
other servers were free.
"""

import math
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from sesameroute.adapters import wait_for_first_byte
from sesameroute.forward._message import TryError
from sesameroute.placement import Outcome
from sesameroute.ports import Clock

__all__ = ['AnswerWait', 'ServerCondition']

# Interval at which the server's condition is looked up.
_CHECK_SECONDS = 0.25
_MIN_WAIT_SECONDS = 0.001


@unique
class ServerCondition(Enum):
    """What is known of the backend server that runs a request."""

    ALIVE = 'alive'
    UNREACHED = 'unreached'
    ENDED = 'ended'


@dataclass(slots=True)
class AnswerWait:
    """Until when, and for what, a try waits.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds at which waiting times out.
    retry_at : float
        Monotonic time in seconds from which the try may be abandoned.
    may_abandon : callable
        Returns whether to abandon the try for one at another server.
    find_condition : callable
        Returns the condition of the server.

    """

    deadline: float
    retry_at: float
    may_abandon: Callable[[], bool]
    find_condition: Callable[[], ServerCondition]

    def wait(
        self, sock: socket.socket, caller: socket.socket | None, clock: Clock
    ) -> None:
        """Wait for the first byte of the answer.

        Raises
        ------
        TimeoutError
            The deadline passed, or the try is abandoned for another.
        RequestError
            The caller closed its connection.
        TryError
            The backend server has ended.

        """
        while not _is_readable(sock, caller, self._find_seconds(clock)):
            end = self._find_end(clock.read_monotonic())
            if end is None:
                continue
            # The process may have been paused since it looked.
            if _is_readable(sock, caller, 0):
                return
            raise end

    def _find_seconds(self, clock: Clock) -> float:
        """Return the seconds until the next look at the server."""
        remaining = min(self.deadline, self.retry_at) - clock.read_monotonic()
        return max(min(remaining, _CHECK_SECONDS), _MIN_WAIT_SECONDS)

    def _find_end(self, now: float) -> Exception | None:
        """Return why to end the wait after silence, or None to go on."""
        if now >= self.deadline:
            return TimeoutError('no byte of an answer in time')
        condition = self.find_condition()
        if condition is ServerCondition.ENDED:
            return TryError(
                'backend server ended under the request',
                Outcome.LOST,
                may_have_run=True,
                has_server_ended=True,
            )
        is_unreached = condition is ServerCondition.UNREACHED and math.isfinite(
            self.retry_at
        )
        if now < self.retry_at and not is_unreached:
            return None
        # Without another server the running try goes on.
        self.retry_at = math.inf
        if self.may_abandon():
            return TimeoutError('try given up for one at another server')
        return None


def _is_readable(
    sock: socket.socket, caller: socket.socket | None, seconds: float
) -> bool:
    """Wait; return whether the server has sent bytes."""
    try:
        wait_for_first_byte(sock, caller, seconds)
    except TimeoutError:
        return False
    return True
