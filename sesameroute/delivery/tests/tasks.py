"""Threads that run one at a time and pause where a test can intervene."""

import threading
from collections.abc import Callable
from typing import Any

__all__ = ['CrashError', 'Task', 'get_current_task']

_CURRENT = threading.local()
_STUCK_TIMEOUT_SECONDS = 20


class CrashError(BaseException):  # noqa: WPS418
    """The process that runs this code has crashed."""


def get_current_task() -> 'Task | None':
    """Return the task of the calling thread, None if there is none."""
    return getattr(_CURRENT, 'task', None)


class Task:
    """A call in a thread that pauses at certain points.

    At each pause the test decides how the paused operation ends and resumes
    the task with that outcome.

    Parameters
    ----------
    owner : object
        The simulated process that the call belongs to.
    call : callable
        Function to run.

    Attributes
    ----------
    point : str
        Name of the latest pause, such as ``send``.
    relay_task : Task or None
        Task at the home to which this one relayed its request.
    done : bool
        Whether the call has ended.
    returned : object
        What the call returned.
    error : BaseException or None
        What the call raised.

    """

    def __init__(self, owner: Any, call: Callable[[], Any]) -> None:
        self.owner = owner
        self.call = call
        self.point = ''
        self.relay_task: Task | None = None
        self.done = False
        self.returned: Any = None
        self.error: BaseException | None = None
        self._outcome: Any = None
        self._resume = threading.Semaphore(0)
        self._paused = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Run until the first pause."""
        self._thread.start()
        self._wait()

    def resume(self, outcome: Any) -> None:
        """Continue with an outcome until the next pause."""
        self._outcome = outcome
        self._resume.release()
        self._wait()

    def pause(self, point: str) -> Any:
        """Pause and return or raise the outcome; called inside the task."""
        self.point = point
        self._paused.release()
        self._resume.acquire()
        if isinstance(self._outcome, BaseException):
            raise self._outcome
        return self._outcome

    def _wait(self) -> None:
        if not self._paused.acquire(timeout=_STUCK_TIMEOUT_SECONDS):
            raise RuntimeError(f'task is stuck after {self.point!r}')

    def _run(self) -> None:
        _CURRENT.task = self
        try:
            self.returned = self.call()
        except BaseException as error:
            self.error = error
        self.done = True
        self._paused.release()
