"""Which requests of a connection run before those ahead are answered."""

from collections.abc import Callable

from sesameroute.adapters._caller_connection import CallerConnection
from sesameroute.adapters._head_limits import HeadLimits
from sesameroute.adapters._pipelined_request import PipelinedRequest
from sesameroute.adapters._request_head import parse_bodiless_head

__all__ = ['ReadAhead']

_MAX_REQUESTS = 16  # of one connection beside each other


class ReadAhead:
    """Takes requests from the buffer of a connection.

    Load pattern: rows of reads on one connection, some with a request among
    them that must not run twice. That one waits for all answers before it:
    behind an answer that ends the connection it counts as not read, and its
    caller sends it again.

    Parameters
    ----------
    limits : HeadLimits
        Limits on callers.
    submit : callable
        Takes a request.
    is_leaving : callable
        Returns whether connections are closed after their next answer; then
        nothing more is read ahead.

    Attributes
    ----------
    may_repeat : callable or None
        Called with host and target; returns whether such a request may be
        sent again by its caller even if it has run. With None, none may.

    """

    def __init__(
        self,
        limits: HeadLimits,
        submit: Callable[[PipelinedRequest], None],
        is_leaving: Callable[[], bool],
    ) -> None:
        """Store the parameters."""
        self.limits = limits
        self.submit = submit
        self.is_leaving = is_leaving
        self.may_repeat: Callable[[str, str], bool] | None = None

    def submit_all(self, caller: CallerConnection) -> None:
        """Submit the requests that may run now, up to the first other one."""
        is_more = self.may_repeat is not None
        while is_more:
            is_more = self._submit_next(caller)

    def _submit_next(self, caller: CallerConnection) -> bool:
        running = len(caller.row.places_)
        if running >= _MAX_REQUESTS or (running and self.is_leaving()):
            return False
        head = parse_bodiless_head(caller.buffer, self.limits.max_head_bytes)
        if head is None or not self.may_repeat(head.host, head.target):
            return False
        came_at = caller.arrivals.find(head.size)
        self.submit(
            PipelinedRequest(
                caller,
                caller.row.add(),
                caller.take_head(head.size),
                came_at,
            )
        )
        return True
