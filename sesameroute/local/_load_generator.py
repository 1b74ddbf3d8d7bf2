"""Open-loop load generator: arrivals do not depend on earlier answers."""

import time
from collections.abc import Iterable
from queue import SimpleQueue
from threading import Lock, Thread

from sesameroute.local._client_request import ClientRequest
from sesameroute.local._resending import send_until_resolved

__all__ = ['LoadGenerator']

_WORKER_COUNT = 200
_POLL_INTERVAL_SECONDS = 0.02


class LoadGenerator:
    """Passes each request to a worker thread at its scheduled time.

    Parameters
    ----------
    requests : iterable of ClientRequest
        Requests in the order of their scheduled time.
    worker_count : int
        Most requests in flight; further ones wait, which shows as lag.

    Attributes
    ----------
    scheduled : iterable of ClientRequest
        The parameter `requests`.
    requests : list of ClientRequest
        All requests passed to the workers so far.
    lags : list of float
        Seconds between the scheduled and the actual start of each request.
    errors : list of str
        Exceptions from the caller library, which should raise none.
    started : float
        Monotonic seconds at the start of the load.

    """

    def __init__(
        self,
        requests: Iterable[ClientRequest],
        worker_count: int = _WORKER_COUNT,
    ) -> None:
        """Store the parameters."""
        self.scheduled = requests
        self.worker_count = worker_count
        self.requests: list[ClientRequest] = []
        self.lags: list[float] = []
        self.errors: list[str] = []
        self.started: float = 0
        self._is_schedule_done = False
        self._lock = Lock()
        self._queue: SimpleQueue[ClientRequest | None] = SimpleQueue()

    def start(self) -> None:
        """Start the workers and the dispatch of scheduled requests."""
        self.started = time.monotonic()
        for _ in range(self.worker_count):
            Thread(target=self._run_worker, daemon=True).start()
        Thread(target=self._dispatch_scheduled, daemon=True).start()

    def stop(self) -> None:
        """End the workers after the requests that are already queued."""
        for _ in range(self.worker_count):
            self._queue.put(None)

    def send_now(self, request: ClientRequest) -> None:
        """Send an additional request now."""
        request.planned_second = time.monotonic() - self.started
        self._enqueue(request)

    def wait(self, seconds: float) -> int:
        """Wait until no request is in flight; return how many still are.

        Gives up after `seconds`.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self._is_schedule_done and not self.count_in_flight():
                break
            time.sleep(_POLL_INTERVAL_SECONDS)
        return self.count_in_flight()

    def count_in_flight(self) -> int:
        """Return the number of requests in flight."""
        return sum(1 for request in self._copy_requests() if not request.ended)

    def count_finished(self) -> tuple[int, int]:
        """Return the numbers of answered and of other finished requests."""
        ended = [request for request in self._copy_requests() if request.ended]
        answered = sum(1 for request in ended if request.is_answered)
        return answered, len(ended) - answered

    def _dispatch_scheduled(self) -> None:
        for request in self.scheduled:
            wait_seconds = (
                self.started + request.planned_second - time.monotonic()
            )
            time.sleep(max(wait_seconds, 0))
            self._enqueue(request)
        self._is_schedule_done = True

    def _enqueue(self, request: ClientRequest) -> None:
        with self._lock:
            self.requests.append(request)
        self._queue.put(request)

    def _copy_requests(self) -> list[ClientRequest]:
        with self._lock:
            return list(self.requests)

    def _run_worker(self) -> None:
        for request in iter(self._queue.get, None):
            lag = time.monotonic() - self.started - request.planned_second
            self.lags.append(lag)
            try:
                send_until_resolved(request)
            except Exception as error:
                self.errors.append(f'{request.name}: {error!r}')
