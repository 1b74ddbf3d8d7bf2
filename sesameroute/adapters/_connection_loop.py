"""Event loop that owns the callers' connections while no request runs."""

import threading
import time
from collections.abc import Callable, Iterable

from sesameroute.adapters._acceptor import Acceptor, ExhaustedError
from sesameroute.adapters._caller_connection import CallerConnection
from sesameroute.adapters._idle_callers import IdleCallers
from sesameroute.adapters._request_queue import RequestQueue, Waiting
from sesameroute.telemetry import survive

__all__ = ['TURN_SECONDS', 'ConnectionLoop']

TURN_SECONDS = 0.25  # longest pause between two turns
_BUSY_TURN_SECONDS = 0.02  # while requests wait for a thread
_EXPIRY_SECONDS = 0.25  # interval of checks for silent connections
_ERROR_PAUSE_SECONDS = 0.05
_STOP_SECONDS = 1.0
_DRAIN_SECONDS = 1.0  # longest time to take the connections that wait


class ConnectionLoop:
    """Accepts connections, and hands over those with a request to serve.

    A connection costs a thread only while a request whose head has come
    whole is served.

    Parameters
    ----------
    idle : IdleCallers
        The connections.
    queue : RequestQueue
        Those with a request that waits for a thread.
    refuse : callable
        Answers a request that has waited for too long.

    Attributes
    ----------
    acceptor : Acceptor
        Accepts the connections.
    turned_at_ : float
        Monotonic time in seconds of the last turn of the loop.

    """

    def __init__(
        self,
        idle: IdleCallers,
        queue: RequestQueue,
        refuse: Callable[[Waiting], None],
    ) -> None:
        """Store the parameters."""
        self.idle = idle
        self.queue = queue
        self.refuse = refuse
        self.acceptor = Acceptor(idle.watched)
        self.turned_at_: float = 0
        self._expires_at: float = 0
        self._is_closed = threading.Event()

    def start(self, address: tuple[str, int], name: str) -> threading.Thread:
        """Listen; raise OSError when the address is taken."""
        self.acceptor.start(address)
        self.turned_at_ = time.monotonic()
        thread = threading.Thread(target=self._run, name=name, daemon=True)
        thread.start()
        return thread

    def stop_accepting(self) -> None:
        """Take the connections that wait already, then refuse new ones."""
        until = time.monotonic() + _DRAIN_SECONDS
        is_more = True
        while is_more and time.monotonic() < until:
            is_more = self._accept(time.monotonic())
        self.acceptor.stop()

    def stop(self, thread: threading.Thread) -> None:
        """End the loop's thread and close all connections."""
        self.acceptor.stop()
        self._is_closed.set()
        self.idle.watched.wake()
        thread.join(_STOP_SECONDS)
        for caller in self.idle.watched.list_callers():
            self.idle.kept.drop(caller)
        self.idle.watched.close()

    def _run(self) -> None:
        while not self._is_closed.is_set():
            with survive('connections of callers'):
                self._turn()
                continue
            self._is_closed.wait(_ERROR_PAUSE_SECONDS)

    def _turn(self) -> None:
        pause = _BUSY_TURN_SECONDS if self.queue else TURN_SECONDS
        ready = self.idle.watched.select(pause)
        now = time.monotonic()
        self.turned_at_ = now
        self._handle_all(ready, now)
        for expired in self.queue.pop_expired():
            with survive('refusal of a caller'):
                self.refuse(expired)
        if now >= self._expires_at or self.idle.is_stopping.is_set():
            self._expires_at = now + _EXPIRY_SECONDS
            self.acceptor.resume(now)
            self.idle.expire(now)

    def _handle_all(
        self, ready: Iterable[CallerConnection | None], now: float
    ) -> None:
        """Handle what is readable; observe the time that others took.

        Nothing here waits, so that the time beyond this thread's own went to
        threads that were ready to run.
        """
        used_before = time.thread_time()
        handled = 0
        for caller in ready:
            handled += 1
            with survive('connection of a caller'):
                self._handle(caller, now)
        if handled:
            used = time.thread_time() - used_before
            self.queue.observe_delay(time.monotonic() - now - used)

    def _handle(self, caller: CallerConnection | None, now: float) -> None:
        """Handle a readable connection, or the listening socket."""
        if caller is None:
            self._accept(now)
        else:
            self.idle.handle(caller, now)

    def _accept(self, now: float) -> bool:
        """Accept connections; return whether there were any."""
        accepted = self.acceptor.accepted_
        try:
            for caller in self.acceptor.accept(now):
                self.idle.add(caller)
        except ExhaustedError:
            self.idle.close_oldest()
        return self.acceptor.accepted_ > accepted
