"""Threads that run a step again and again."""

import sys
import threading
from collections import Counter
from collections.abc import Callable

__all__ = ['StepThreads']


_FAILED_SECONDS = 0.5  # before a step that failed is tried again


class StepThreads:
    """Runs step functions, each in a thread, until stopped.

    Attributes
    ----------
    failures : Counter
        Steps that raised, by the name of their thread.

    """

    def __init__(self) -> None:
        """Prepare the signal to stop."""
        self.failures: Counter[str] = Counter()
        self._is_stopping = threading.Event()

    def spawn(self, name: str, step: Callable[[], float]) -> None:
        """Run `step` for ever; it returns the seconds until its next run."""
        threading.Thread(
            target=self._run,
            args=(step,),
            name=name,
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Let the threads end after their present step."""
        self._is_stopping.set()

    def _run(self, step: Callable[[], float]) -> None:
        pause: float = 0
        while not self._is_stopping.wait(pause):
            pause = self._try(step)

    def _try(self, step: Callable[[], float]) -> float:
        """Run a step; a failure is shown and does not end the thread."""
        try:
            return step()
        except Exception:  # noqa: BLE001
            thread = threading.current_thread()
            self.failures[thread.name] += 1
            shown = threading.ExceptHookArgs((*sys.exc_info(), thread))
            threading.excepthook(shown)
        return _FAILED_SECONDS
