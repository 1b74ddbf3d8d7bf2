"""Requests that wait for a thread, and those that are served."""

import itertools
import threading
import time
from collections.abc import Callable
from typing import TypeAlias

from sesameroute.adapters._caller_connection import CallerConnection
from sesameroute.adapters._pipelined_request import PipelinedRequest
from sesameroute.limits import AdmissionQueue, ConcurrencyLimit

__all__ = ['RequestQueue', 'Waiting']

Waiting: TypeAlias = CallerConnection | PipelinedRequest


class RequestQueue:
    """Gives threads their next request, as many as bring the most.

    A request that finds a thread free waits for the processor alone: it is
    served, however late. Load pattern: the process gets no turn for half a
    second, and all that has come meanwhile would be refused with nothing
    before it.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Number of requests that are served at the same time.

    Attributes
    ----------
    serving_ : set of Waiting
        What is served.
    idle_ : int
        Threads that wait for a request.
    count_blocked_ : callable
        Returns how many threads wait until their answers can be sent: they
        take nothing, so that others may be served beside them.

    """

    def __init__(self, limit: ConcurrencyLimit) -> None:
        """Start empty."""
        self.limit = limit
        self.serving_: set[Waiting] = set()
        self.idle_ = 0
        self.count_blocked_: Callable[[], int] = int
        self._changed = threading.Condition()
        self._waiting: AdmissionQueue[Waiting] = AdmissionQueue()
        self._is_stopping = False

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def submit(self, waiting: Waiting) -> None:
        """Let a request wait for a thread."""
        now = time.monotonic()
        with self._changed:
            waiting.queued_at = now
            self._waiting.push(waiting, now)
            if self._count_startable() > 0:
                self._changed.notify()

    def take(self) -> tuple[Waiting | None, list[Waiting]]:
        """Wait for a request; return it, and those that have expired.

        The first is None if all have expired, or the queue has stopped.
        """
        with self._changed:
            self.idle_ += 1
            self._changed.wait_for(self._has_turn)
            now = time.monotonic()
            expired = self.pop_expired()
            self.idle_ -= 1
            return (self._begin(now) if self._waiting else None), expired

    def pop_expired(self) -> list[Waiting]:
        """Remove and return what has waited for too long, for a thread."""
        now = time.monotonic()
        with self._changed:
            free = min(self.idle_, self._count_startable())
            kept = min(max(free, 0), len(self._waiting))
            # The threads may have become free to start since these came.
            self._changed.notify(kept)
            excess = len(self._waiting) - kept
            return list(
                itertools.islice(self._waiting.pop_expired(now), excess)
            )

    def read_oldest_seconds(self) -> float:
        """Return how long the first request has waited."""
        with self._changed:
            return self._waiting.read_oldest_seconds(time.monotonic())

    def observe_delay(self, seconds: float) -> None:
        """Take note of the time that the event loop lost in a turn."""
        with self._changed:
            busy = len(self.serving_) - self.count_blocked_()
            self.limit.observe(seconds, busy, time.monotonic())

    def has_stopped(self) -> bool:
        """Whether no request waits and none will be taken."""
        return self._is_stopping and not self._waiting

    def stop(self) -> None:
        """Let the waiting threads end."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify_all()

    def _has_turn(self) -> bool:
        may_start = bool(self._waiting) and self._count_startable() > 0
        return self._is_stopping or may_start

    def _count_startable(self) -> int:
        busy = len(self.serving_) - self.count_blocked_()
        return self.limit.limit_ - busy

    def _begin(self, now: float) -> Waiting:
        waiting = self._waiting.pop(now)
        self.serving_.add(waiting)
        return waiting
