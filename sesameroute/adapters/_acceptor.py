"""Accepts callers' connections from a listening socket."""

import errno
import logging
import socket
from collections.abc import Iterator

from sesameroute.adapters._caller_connection import CallerConnection
from sesameroute.adapters._watched_callers import WatchedCallers

__all__ = ['Acceptor', 'ExhaustedError']

_BACKLOG = 512  # connections waiting to be accepted
_BATCH = 64  # connections taken before others are read
# Accepting pauses for this long when descriptors or memory have run out.
_PAUSE_SECONDS = 0.1
_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)

_logger = logging.getLogger(__name__)


class ExhaustedError(Exception):
    """The process has no descriptor or memory for another connection."""


class Acceptor:
    """Accepts connections.

    Parameters
    ----------
    watched : WatchedCallers
        Watches the listening socket.

    Attributes
    ----------
    accepted_ : int
        Connections taken so far.

    """

    def __init__(self, watched: WatchedCallers) -> None:
        """Store the parameter; nothing is listened to yet."""
        self.watched = watched
        self.accepted_ = 0
        self._listener: socket.socket | None = None
        self._resumes_at: float = 0

    def start(self, address: tuple[str, int]) -> None:
        """Listen; raise OSError when the address is taken."""
        listener = socket.create_server(address, backlog=_BACKLOG)
        listener.setblocking(False)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._listener = listener
        self.watched.add_listener(listener)

    def is_listening(self) -> bool:
        """Whether new connections are taken."""
        return self._listener is not None

    def accept(self, now: float) -> Iterator[CallerConnection]:
        """Yield some of the connections that wait.

        Raises
        ------
        ExhaustedError
            None can be taken now; the next attempt is made after a pause.

        """
        for _ in range(_BATCH):
            caller = self._accept_one(now)
            if caller is None:
                return
            yield caller

    def resume(self, now: float) -> None:
        """Watch the listening socket again when the pause is over."""
        listener = self._listener
        if self._resumes_at and listener and now >= self._resumes_at:
            self._resumes_at = 0
            self.watched.add_listener(listener)

    def stop(self) -> None:
        """Refuse new connections.

        Those that wait are reset; they have to be accepted first.
        """
        listener = self._listener
        if listener is not None:
            self._listener = None
            self.watched.remove(listener)
            listener.close()

    def _accept_one(self, now: float) -> CallerConnection | None:
        listener = self._listener
        if listener is None:
            return None
        try:
            sock, address = listener.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            _logger.warning(
                'connection not accepted', extra={'why': str(error)}
            )
            if error.errno in _EXHAUSTED:
                self._pause(listener, now)
                raise ExhaustedError from error
            return None
        self.accepted_ += 1
        sock.settimeout(0)
        return CallerConnection(sock, address[0], now)

    def _pause(self, listener: socket.socket, now: float) -> None:
        """Leave the listening socket, which stays readable, for a while."""
        self.watched.remove(listener)
        self._resumes_at = now + _PAUSE_SECONDS
