"""Bounded pools of threads for peer work that may block."""

import logging
import threading
from collections import deque
from collections.abc import Callable

from sesameroute.telemetry import survive

__all__ = ['PeerWorkers']

_IDLE_SECONDS = 2.0  # an idle thread ends after this time

_logger = logging.getLogger(__name__)

Work = Callable[[], None]


class PeerWorkers:
    """Runs work in threads that start on demand and end when idle.

    Starting a thread may last on a busy machine. One that takes work starts a
    spare one, and the last spare one stays, so that the event loop starts none.

    Parameters
    ----------
    name : str
        Name of the threads.
    max_threads : int
        Largest number of threads.
    max_pending : int
        Largest number of items that wait or run.

    """

    def __init__(self, name: str, max_threads: int, max_pending: int) -> None:
        """Store the parameters; no thread runs yet."""
        self.name = name
        self.max_threads = max_threads
        self.max_pending = max_pending
        self._queue: deque[Work] = deque()
        self._threads = 0
        self._idle = 0
        self._is_stopped = False
        self._changed = threading.Condition()

    def submit(self, work: Work) -> bool:
        """Queue work; return whether there was room for it."""
        with self._changed:
            running = self._threads - self._idle
            is_full = running + len(self._queue) >= self.max_pending
            if is_full or self._is_stopped:
                return False
            self._queue.append(work)
            self._changed.notify()
            if self._idle or self._threads >= self.max_threads:
                return True  # a thread that takes work starts a spare one
            self._threads += 1
        return self._start_thread(work)

    def stop(self) -> None:
        """Discard what waits; the threads end after their current work."""
        with self._changed:
            self._is_stopped = True
            self._queue.clear()
            self._changed.notify_all()

    def _start_thread(self, work: Work) -> bool:
        """Start a thread; return whether any thread can do the work."""
        thread = threading.Thread(target=self._run, name=self.name, daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            _logger.warning('thread not started', extra={'why': str(error)})
            return self._give_up(work)
        return True

    def _give_up(self, work: Work) -> bool:
        with self._changed:
            self._threads -= 1
            if not self._threads and work in self._queue:
                self._queue.remove(work)
                return False
        return True

    def _run(self) -> None:
        for work in iter(self._take, None):
            if self._needs_thread():
                self._start_thread(work)
            with survive(self.name):
                work()

    def _take(self) -> Work | None:
        """Wait for work; return None if this thread has to end."""
        with self._changed:
            self._idle += 1
            is_last = self._idle == 1
            self._changed.wait_for(
                self._may_proceed, None if is_last else _IDLE_SECONDS
            )
            self._idle -= 1
            if self._queue:
                return self._queue.popleft()
            self._threads -= 1
        return None

    def _needs_thread(self) -> bool:
        """Whether no spare thread is left; count a new one if so."""
        with self._changed:
            is_short = not self._idle and self._threads < self.max_threads
            self._threads += is_short
        return is_short

    def _may_proceed(self) -> bool:
        return bool(self._queue) or self._is_stopped
