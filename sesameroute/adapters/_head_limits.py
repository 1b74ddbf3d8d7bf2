"""Limits on the heads of requests and on idle connections."""

import math
from dataclasses import dataclass

from sesameroute.adapters._caller_connection import CallerConnection

__all__ = ['HeadLimits']

_MAX_HEAD_BYTES = 65_536  # where the configuration gives no limit
_LINGER_SECONDS = 1.0  # time for a caller to read its last answer
_HEAD_ENDS = (b'\r\n\r\n', b'\n\n')


@dataclass(slots=True)
class HeadLimits:
    """Limits on callers between two requests.

    Attributes
    ----------
    header_bytes : int
        Largest head; 0 if it is not limited.
    header_seconds : float
        Longest silence of a caller before the end of a head.
    idle_seconds : float
        Longest time between two requests.

    """

    header_bytes: int = 0
    header_seconds: float = 3.0
    idle_seconds: float = 10.0

    @property
    def max_head_bytes(self) -> int:
        """Largest head, also where the configuration gives no limit."""
        return self.header_bytes or _MAX_HEAD_BYTES

    def is_complete(self, content: bytes) -> bool:
        """Whether a head can be read, or refused, without waiting for it."""
        if len(content) > self.max_head_bytes:
            return True
        return any(end in content for end in _HEAD_ENDS)

    def find_arrival(self, caller: CallerConnection) -> float:
        """Return when the first head of a connection had come whole."""
        content = caller.buffer
        ends = [
            content.index(end) + len(end)
            for end in _HEAD_ENDS
            if end in content
        ]
        return caller.arrivals.find(min(ends, default=len(content)))

    def find_patience(self, caller: CallerConnection) -> float:
        """Return the longest silence of a connection in seconds."""
        if caller.is_answering and not caller.is_stalled:
            return math.inf
        if caller.is_refused:
            return _LINGER_SECONDS
        is_between = caller.is_idle or caller.is_stalled
        return self.idle_seconds if is_between else self.header_seconds
