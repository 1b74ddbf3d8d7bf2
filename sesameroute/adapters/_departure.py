"""Waits for an answer and notices a caller that leaves meanwhile."""

import select
import socket
import time

from sesameroute.exceptions import RequestError
from sesameroute.verdict import Verdict

__all__ = ['has_left', 'wait_for_answer']

_MILLISECONDS = 1000
_READABLE = select.POLLIN | select.POLLHUP | select.POLLERR


def wait_for_answer(
    answering: socket.socket,
    caller: socket.socket,
    seconds: float,
) -> None:
    """Return when `answering` has bytes.

    Parameters
    ----------
    answering : socket
        Connection to the backend server.
    caller : socket
        Connection of the caller.
    seconds : float
        Longest wait.

    Raises
    ------
    TimeoutError
        No byte came in time.
    RequestError
        The caller closed its connection: code `cancelled`.

    """
    until = time.monotonic() + seconds
    poller = select.poll()
    poller.register(answering, _READABLE)
    poller.register(caller, _READABLE)
    while True:
        left = until - time.monotonic()
        ready = dict(poller.poll(max(left, 0) * _MILLISECONDS))
        if answering.fileno() in ready:
            return
        if not ready:
            raise TimeoutError(f'no byte in {seconds:.3f} s')
        if has_left(caller):
            raise RequestError(
                'the caller closed its connection',
                Verdict.MAY_HAVE_RUN,
                'cancelled',
            )
        poller.unregister(caller)


def has_left(caller: socket.socket) -> bool:
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
