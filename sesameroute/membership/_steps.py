"""Threads that run a step again and again."""

import threading
from collections.abc import Callable

__all__ = ['StepThreads']


class StepThreads:
    """Runs step functions, each in a thread, until stopped."""

    def __init__(self) -> None:
        """Prepare the signal to stop."""
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
            pause = step()
