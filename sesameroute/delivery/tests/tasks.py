"""Threads that run one at a time and stop where a test says."""

import threading
from collections.abc import Callable
from typing import Any

__all__ = ['CrashError', 'Task', 'find_task']

_CURRENT = threading.local()
_STUCK_SECONDS = 20


class CrashError(BaseException):  # noqa: WPS418
    """The process that runs this code died."""


def find_task() -> 'Task | None':
    """Return the task of the calling thread, None in a plain test."""
    return getattr(_CURRENT, 'task', None)


class Task:
    """A call in a thread that stops at each point and waits for its outcome.

    Parameters
    ----------
    owner : object
        The process in which the call runs.
    call : callable
        What to run.

    """

    def __init__(self, owner: Any, call: Callable[[], Any]) -> None:
        self.owner = owner
        self.call = call
        self.point = ''
        self.hop: Task | None = None
        self.done = False
        self.returned: Any = None
        self.error: BaseException | None = None
        self._outcome: Any = None
        self._resume = threading.Semaphore(0)
        self._paused = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Run up to the first point."""
        self._thread.start()
        self._wait()

    def resume(self, outcome: Any) -> None:
        """Go on from a point with an outcome, up to the next one."""
        self._outcome = outcome
        self._resume.release()
        self._wait()

    def pause(self, point: str) -> Any:
        """Stop at a point; called inside the task."""
        self.point = point
        self._paused.release()
        self._resume.acquire()
        if isinstance(self._outcome, BaseException):
            raise self._outcome
        return self._outcome

    def _wait(self) -> None:
        if not self._paused.acquire(timeout=_STUCK_SECONDS):
            raise RuntimeError(f'task is stuck after {self.point!r}')

    def _run(self) -> None:
        _CURRENT.task = self
        try:
            self.returned = self.call()
        except BaseException as error:
            self.error = error
        self.done = True
        self._paused.release()
