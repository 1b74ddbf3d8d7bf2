"""Observes whether the server for callers accepts, reads and answers."""

import contextlib
import logging
import socket
import threading
import time

from sesameroute.adapters import FrontServer
from sesameroute.telemetry import survive

__all__ = ['FrontCheck']

_INTERVAL_SECONDS = 0.5
# After this time without an answer to a caller, the node asks itself.
_IDLE_SECONDS = 1.0
# A server that has answered nobody for this long counts as not answering.
_SILENCE_SECONDS = 2.0
_ASK_SECONDS = 1.0  # longest wait for an answer to the node itself
_QUESTION = b'OPTIONS * HTTP/1.1\r\nHost: -\r\nConnection: close\r\n\r\n'
_FIRST_BYTE = b'H'

_logger = logging.getLogger(__name__)


class FrontCheck:
    """Asks the server for callers itself when no caller does.

    Parameters
    ----------
    front : FrontServer
        The server for callers.

    Attributes
    ----------
    is_answering_ : bool
        Whether it has answered lately.

    """

    def __init__(self, front: FrontServer) -> None:
        """Store the server; it counts as answering until it is checked."""
        self.front = front
        self.is_answering_ = True
        self._answered_at: float = 0
        self._is_stopped = threading.Event()

    def start(self) -> None:
        """Start the checks."""
        self._answered_at = time.monotonic()
        threading.Thread(
            target=self._run, name='front-check', daemon=True
        ).start()

    def stop(self) -> None:
        """End the checks; what was found last holds."""
        self._is_stopped.set()

    def _run(self) -> None:
        while not self._is_stopped.wait(_INTERVAL_SECONDS):
            with survive('check of the server for callers'):
                self._check()

    def _check(self) -> None:
        began = time.monotonic()
        answered_at = max(self._answered_at, self.front.answered_at_)
        if began - answered_at > _IDLE_SECONDS and self._ask():
            answered_at = time.monotonic()
        self._answered_at = answered_at
        # A pause of the whole process is no silence of the server.
        silence = began - answered_at
        is_answering = silence <= _SILENCE_SECONDS
        if is_answering != self.is_answering_:
            self.is_answering_ = is_answering
            self._log(silence)

    def _ask(self) -> bool:
        """Return whether the server answers a request of this node."""
        try:
            with contextlib.closing(
                socket.create_connection(self.front.address, _ASK_SECONDS)
            ) as own:
                own.sendall(_QUESTION)
                return own.recv(1) == _FIRST_BYTE
        except OSError as error:
            _logger.debug('front not reached', extra={'why': str(error)})
            return False

    def _log(self, silence: float) -> None:
        load = self.front.read_load()
        _logger.warning(
            'front answers again' if self.is_answering_ else 'front silent',
            extra={
                'seconds': round(silence, 1),
                'accepting': load.is_accepting,
                'accepted': load.accepted,
                'waiting': load.waiting,
                'busy': load.busy,
            },
        )
