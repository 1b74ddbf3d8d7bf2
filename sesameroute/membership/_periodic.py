"""Threads that run a function periodically."""

import sys
import threading
from collections import Counter
from collections.abc import Callable

__all__ = ['PeriodicThreads']


_RETRY_SECONDS = 0.5  # Delay after a step that raised.


class PeriodicThreads:
    """Runs step functions periodically, each in its own thread.

    Attributes
    ----------
    failures : Counter
        Number of steps that raised, by thread name.

    """

    def __init__(self) -> None:
        """Create the instance without threads."""
        self.failures: Counter[str] = Counter()
        self._is_stopping = threading.Event()

    def spawn(self, name: str, step: Callable[[], float]) -> None:
        """Start a daemon thread that runs `step` until `stop` is called.

        Parameters
        ----------
        name : str
            Name of the thread.
        step : callable
            Returns the seconds until its next run.

        """
        threading.Thread(
            target=self._run_until_stopped,
            args=(step,),
            name=name,
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Signal the threads to end after their current step."""
        self._is_stopping.set()

    def _run_until_stopped(self, step: Callable[[], float]) -> None:
        delay: float = 0
        while not self._is_stopping.wait(delay):
            delay = self._run_step(step)

    def _run_step(self, step: Callable[[], float]) -> float:
        """Run a step; return the seconds until the next.

        An exception goes to `threading.excepthook` and does not end the
        thread.
        """
        try:
            return step()
        except Exception:  # noqa: BLE001
            thread = threading.current_thread()
            self.failures[thread.name] += 1
            hook_args = threading.ExceptHookArgs((*sys.exc_info(), thread))
            threading.excepthook(hook_args)
        return _RETRY_SECONDS
