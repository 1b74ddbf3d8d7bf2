"""The connections that an event loop waits for, usable from all threads."""

import selectors
import socket
import threading

from sesameroute.adapters._caller_connection import CallerConnection

__all__ = ['WatchedCallers']

_WAKE_BYTES = 64


class WatchedCallers:
    """A selector of callers' connections and one listening socket."""

    def __init__(self) -> None:
        """Start without connections."""
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        waker, woken = socket.socketpair()
        self._waker = waker
        self._woken = woken
        self._woken.setblocking(False)
        self._selector.register(self._woken, selectors.EVENT_READ, self)

    def set_events(self, caller: CallerConnection) -> None:
        """Watch a connection for what it waits for, or no more.

        Raises
        ------
        OSError, ValueError, KeyError
            It can't be watched: it is closed, for example.

        """
        events = caller.is_watched * selectors.EVENT_READ
        events |= caller.is_stalled * selectors.EVENT_WRITE
        if caller.events:
            self.remove(caller.socket)
        caller.events = events
        if events:
            self._register(caller.socket, caller, events)

    def add_listener(self, listener: socket.socket) -> None:
        """Watch the listening socket."""
        self._register(listener, None, selectors.EVENT_READ)

    def remove(self, sock: socket.socket) -> bool:
        """Stop watching a socket; return whether it was watched."""
        with self._lock:
            try:
                self._selector.unregister(sock)
            except (KeyError, ValueError):
                return False  # another thread has taken it
        return True

    def select(self, seconds: float) -> list[CallerConnection | None]:
        """Wait; return the ready connections, None for the listener."""
        ready = [key.data for key, _ in self._selector.select(seconds)]
        if self in ready:
            ready.remove(self)
            self._woken.recv(_WAKE_BYTES)
        return ready

    def wake(self) -> None:
        """End a wait."""
        self._waker.send(b'0')

    def list_callers(self) -> list[CallerConnection]:
        """Return the watched connections."""
        with self._lock:
            keys = tuple((self._selector.get_map() or {}).values())
        return [
            key.data
            for key in keys
            if key.data is not None and key.data is not self
        ]

    def close(self) -> None:
        """Stop watching; the connections stay open."""
        with self._lock:
            self._selector.close()
        self._waker.close()
        self._woken.close()

    def _register(
        self,
        sock: socket.socket,
        caller: CallerConnection | None,
        events: int,
    ) -> None:
        with self._lock:
            self._selector.register(sock, events, caller)
