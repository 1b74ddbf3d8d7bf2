"""Event loop that carries all peer streams of a process."""

import heapq
import itertools
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from sesameroute.telemetry import survive

__all__ = ['TURN_SECONDS', 'PeerLoop', 'call_safely']

TURN_SECONDS = 0.25  # longest pause between two turns
_ERROR_PAUSE_SECONDS = 0.05
_STOP_SECONDS = 0.5
_WAKE_BYTES = 64

Callback = Callable[[], None]
EventHandler = Callable[[int], None]


class PeerLoop:
    """Waits for the sockets of all streams, and runs callbacks and timers.

    Any thread may use `call_soon` and `call_later`; all else is for
    callbacks, which run on the loop's thread and must not block.

    Attributes
    ----------
    turned_at_ : float
        Monotonic time in seconds at which the last turn began.

    """

    def __init__(self) -> None:
        """Open the selector; the thread does not run yet."""
        self.turned_at_ = time.monotonic()
        self._selector = selectors.DefaultSelector()
        self._soon: deque[Callback] = deque()
        self._timers: list[tuple[float, int, Callback]] = []
        self._numbers = itertools.count()
        self._is_stopping = threading.Event()
        self._is_woken = False
        self._thread: threading.Thread | None = None
        waker, woken = socket.socketpair()
        self._waker = waker
        self._woken = woken
        waker.setblocking(False)
        woken.setblocking(False)
        self._selector.register(
            self._woken, selectors.EVENT_READ, self._clear_wake
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(
            target=self._run, name='peer-loop', daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Run what is due, then end the thread."""
        self._is_stopping.set()
        self._wake()
        if self._thread:
            self._thread.join(_STOP_SECONDS)

    def call_soon(self, callback: Callback) -> None:
        """Run a callback in the next turn."""
        self._soon.append(callback)
        self._wake()

    def call_later(self, seconds: float, callback: Callback) -> None:
        """Run a callback after a while."""
        due = time.monotonic() + seconds
        timer = (due, next(self._numbers), callback)
        self.call_soon(lambda: heapq.heappush(self._timers, timer))

    def watch(
        self, sock: socket.socket, events: int, handler: EventHandler
    ) -> None:
        """Call a handler when a socket has one of the events; 0 for none."""
        try:
            watched = self._selector.get_key(sock).events
        except KeyError:
            watched = 0
        if not events and watched:
            self._selector.unregister(sock)
        elif events and not watched:
            self._selector.register(sock, events, handler)
        elif events != watched:
            self._selector.modify(sock, events, handler)

    def _wake(self) -> None:
        """End the wait of the loop's thread, unless that is under way."""
        is_own = threading.current_thread() is self._thread
        if not is_own and not self._is_woken:
            self._is_woken = True
            with suppress(OSError):  # full or closed: nothing to wake
                self._waker.send(b'0')

    def _clear_wake(self, _events: int) -> None:
        self._woken.recv(_WAKE_BYTES)
        self._is_woken = False

    def _run(self) -> None:
        while not self._is_stopping.is_set():
            with survive('peer loop'):
                self._turn()
                continue
            self._is_stopping.wait(_ERROR_PAUSE_SECONDS)
        self._run_soon()
        self._selector.close()
        self._waker.close()
        self._woken.close()

    def _turn(self) -> None:
        self.turned_at_ = time.monotonic()
        for key, events in self._selector.select(self._find_pause()):
            call_safely(key.data, events)
        self._run_soon()
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            call_safely(heapq.heappop(self._timers)[-1])

    def _find_pause(self) -> float:
        """Return the seconds to the next callback or timer."""
        if self._soon:
            return 0
        if not self._timers:
            return TURN_SECONDS
        left = self._timers[0][0] - time.monotonic()
        return min(max(left, 0), TURN_SECONDS)

    def _run_soon(self) -> None:
        """Run the callbacks that wait now, not those that they add."""
        waiting = tuple(self._soon)
        for callback in waiting:
            self._soon.popleft()
            call_safely(callback)


def call_safely(callback: Callable[..., None], *arguments: object) -> None:
    """Call a function; log its error instead of raising it."""
    try:
        callback(*arguments)
    except Exception:  # noqa: BLE001 cheaper than a context for each call
        with survive('peer callback'):
            raise
