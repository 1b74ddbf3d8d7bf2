"""Load of a local run: arrivals at their times, whatever the answers."""

import time
from collections.abc import Iterable
from queue import SimpleQueue
from threading import Lock, Thread

from sesameroute.local._order import Order
from sesameroute.local._user import follow_order

__all__ = ['Load']

_WORKERS = 200
_POLL_SECONDS = 0.02


class Load:
    """Gives each order to a thread when it is due.

    Parameters
    ----------
    orders : iterable of Order
        Orders by their planned time.
    workers : int
        Most orders under way; more wait and show as lag.

    Attributes
    ----------
    orders : list of Order
        All orders handed out so far.
    lags : list of float
        Seconds by which each order started too late.
    errors : list of str
        Errors of the caller's library: it should raise none.

    """

    def __init__(
        self,
        orders: Iterable[Order],
        workers: int = _WORKERS,
    ) -> None:
        """Store the parameters."""
        self.planned = orders
        self.workers = workers
        self.orders: list[Order] = []
        self.lags: list[float] = []
        self.errors: list[str] = []
        self.started: float = 0
        self._is_planned = False
        self._lock = Lock()
        self._due: SimpleQueue[Order | None] = SimpleQueue()

    def start(self) -> None:
        """Start the threads."""
        self.started = time.monotonic()
        for _ in range(self.workers):
            Thread(target=self._work, daemon=True).start()
        Thread(target=self._hand_out, daemon=True).start()

    def stop(self) -> None:
        """End the threads once nothing is due."""
        for _ in range(self.workers):
            self._due.put(None)

    def put(self, order: Order) -> None:
        """Hand out one more order now."""
        order.planned = time.monotonic() - self.started
        self._push(order)

    def wait(self, seconds: float) -> int:
        """Wait until no order is under way; return how many still are."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if self._is_planned and not self.count_open():
                break
            time.sleep(_POLL_SECONDS)
        return self.count_open()

    def count_open(self) -> int:
        """Return the number of orders under way."""
        return sum(1 for order in self._list() if not order.ended)

    def count_ended(self) -> tuple[int, int]:
        """Return the numbers of answered and of refused orders."""
        ended = [order for order in self._list() if order.ended]
        answered = sum(1 for order in ended if order.is_answered)
        return answered, len(ended) - answered

    def _hand_out(self) -> None:
        for order in self.planned:
            pause = self.started + order.planned - time.monotonic()
            time.sleep(max(pause, 0))
            self._push(order)
        self._is_planned = True

    def _push(self, order: Order) -> None:
        with self._lock:
            self.orders.append(order)
        self._due.put(order)

    def _list(self) -> list[Order]:
        with self._lock:
            return list(self.orders)

    def _work(self) -> None:
        for order in iter(self._due.get, None):
            lag = time.monotonic() - self.started - order.planned
            self.lags.append(lag)
            try:
                follow_order(order)
            except Exception as error:
                self.errors.append(f'{order.name}: {error!r}')
