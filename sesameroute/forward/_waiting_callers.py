"""The callers whose requests wait for a slot, and which of them have left.

Load: a third of the callers leave after half of their time, during a burst.
Their requests stayed in the queue of the pool's leader, before those of
callers that still waited.
"""

import itertools
import secrets
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from sesameroute.adapters import has_disconnected
from sesameroute.forward._local_answers import CallerClosedError
from sesameroute.forward._request_log import log_event
from sesameroute.forward._request_state import RequestState
from sesameroute.placement import SlotRequest

__all__ = ['WaitingCallers', 'raise_if_left']

_PREFIX_BYTES = 6


class WaitingCallers:
    """Callers' connections by the ticket of their slot requests."""

    def __init__(self) -> None:
        """Start without callers."""
        self._prefix = secrets.token_hex(_PREFIX_BYTES)
        self._numbers = itertools.count(1)
        self._waiting: dict[str, tuple[SlotRequest, socket.socket]] = {}
        self._lock = threading.Lock()

    def make_ticket(self) -> str:
        """Return a ticket that no other slot request of any node has."""
        return f'{self._prefix}-{next(self._numbers)}'

    @contextmanager
    def watch(
        self, slot_request: SlotRequest, caller: socket.socket
    ) -> Iterator[None]:
        """Watch a caller while its slot request waits."""
        with self._lock:
            self._waiting[slot_request.ticket] = slot_request, caller
        try:
            yield
        finally:
            with self._lock:
                self._waiting.pop(slot_request.ticket, None)

    def list_left(self) -> list[SlotRequest]:
        """Return the slot requests whose callers have left, each once."""
        with self._lock:
            waiting = tuple(self._waiting.values())
        left = [
            slot_request
            for slot_request, caller in waiting
            if has_disconnected(caller)
        ]
        with self._lock:
            for slot_request in left:
                self._waiting.pop(slot_request.ticket, None)
        return left


def raise_if_left(state: RequestState) -> None:
    """Raise an error if the caller of an unsent request has left.

    Raises
    ------
    CallerClosedError
        It has closed its connection.

    """
    if has_disconnected(state.request.caller):
        log_event(state, 'request dropped', 'caller-left', '')
        raise CallerClosedError(
            'caller closed its connection before the request was sent'
        )
