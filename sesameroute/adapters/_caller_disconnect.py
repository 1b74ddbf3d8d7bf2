"""Detects callers that disconnect, also while waiting for an answer."""

import select
import socket
from io import RawIOBase

from sesameroute.exceptions import RequestError
from sesameroute.verdict import Verdict

__all__ = ['has_disconnected', 'wait_for_first_byte']

_MILLISECONDS = 1000
_READABLE = select.POLLIN | select.POLLHUP | select.POLLERR
_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def wait_for_first_byte(
    server: socket.socket | RawIOBase,
    caller: socket.socket | None,
    seconds: float,
) -> None:
    """Wait until the backend server has sent bytes.

    Bytes that the caller sends meanwhile are left unread and do not end the
    wait; its end does, also behind such bytes. With no time left, bytes that
    have come already are found.

    Parameters
    ----------
    server : socket or RawIOBase
        Connection to the backend server.
    caller : socket or None
        Connection to the caller; None if it is not watched.
    seconds : float
        Longest time to wait.

    Raises
    ------
    TimeoutError
        The backend server sent nothing in time.
    RequestError
        The caller closed its connection; code ``cancelled``, verdict
        `MAY_HAVE_RUN`.

    """
    poller = select.poll()
    poller.register(server, _READABLE)
    if caller is not None:
        poller.register(caller, _LEFT)
    ready = dict(poller.poll(max(seconds, 0) * _MILLISECONDS))
    if server.fileno() in ready:
        return
    if not ready:
        raise TimeoutError(f'no byte of an answer within {seconds:.3f} s')
    raise RequestError(
        'the caller closed its connection', Verdict.MAY_HAVE_RUN, 'cancelled'
    )


def has_disconnected(caller: socket.socket) -> bool:
    """Return whether a caller has closed its connection; never blocks."""
    poller = select.poll()
    poller.register(caller, _READABLE)
    if not poller.poll(0):
        return False
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return not caller.recv(1, flags)
    except BlockingIOError:
        return False
    except OSError:
        return True
