"""Threads that serve callers' requests."""

import logging
import socket
import threading
import time
from collections.abc import Callable

from sesameroute.adapters._request_queue import RequestQueue, Waiting
from sesameroute.telemetry import survive

__all__ = ['MAX_THREADS', 'WorkerPool']

MAX_THREADS = 512
_SPARE_THREADS = 3
_STOP_SECONDS = 0.2
_CUT_SECONDS = 0.2  # for the threads whose connections a stop cuts

_logger = logging.getLogger(__name__)


class WorkerPool:
    """Serves connections, each in a thread.

    A thread that begins to serve adds another one if few are idle, so that
    the event loop never waits for a thread's start.

    Parameters
    ----------
    queue : RequestQueue
        Requests that wait for a thread, and those that are served.
    serve : callable
        Serves a request.
    refuse : callable
        Answers a request that has waited for too long.
    threads : int
        Number of threads at the start.

    """

    def __init__(
        self,
        queue: RequestQueue,
        serve: Callable[[Waiting], None],
        refuse: Callable[[Waiting], None],
        threads: int,
    ) -> None:
        """Store the parameters."""
        self.queue = queue
        self.serve = serve
        self.refuse = refuse
        self.threads = threads
        self._spare = min(_SPARE_THREADS, threads - 1)
        self._workers: set[threading.Thread] = set()

    def start(self) -> None:
        """Start the first threads."""
        for _ in range(self.threads):
            self._add_worker()

    def stop(self) -> None:
        """End the threads; what they still serve after a while is cut."""
        self.queue.stop()
        self._join(time.monotonic() + _STOP_SECONDS)
        for caller in tuple(self.queue.serving_):
            _cut(caller)
        self._join(time.monotonic() + _CUT_SECONDS)

    def _join(self, until: float) -> None:
        for worker in tuple(self._workers):
            # One that has just been added may not have been started.
            if worker.ident is not None:
                worker.join(max(until - time.monotonic(), 0))

    def _add_worker(self) -> None:
        worker = threading.Thread(target=self._run, name='caller', daemon=True)
        self._workers.add(worker)
        try:
            worker.start()
        except RuntimeError as error:
            self._workers.discard(worker)
            _logger.warning('thread not started', extra={'why': str(error)})

    def _run(self) -> None:
        while not self.queue.has_stopped():
            caller, expired = self.queue.take()
            for each in expired:
                with survive('refusal of a caller'):
                    self.refuse(each)
            if caller is not None:
                self._serve(caller)
        self._workers.discard(threading.current_thread())

    def _serve(self, waiting: Waiting) -> None:
        is_short = self.queue.idle_ < self._spare
        if is_short and len(self._workers) < MAX_THREADS:
            self._add_worker()
        with survive('request of a caller'):
            self.serve(waiting)
        self.queue.serving_.discard(waiting)


def _cut(waiting: Waiting) -> None:
    """End what a thread reads from a caller."""
    try:
        waiting.socket.shutdown(socket.SHUT_RD)
    except OSError as error:
        _logger.debug('connection error', extra={'why': str(error)})
