"""A process that was paused catches up before it takes requests."""

from collections.abc import Callable

from sesameroute.membership import Membership
from sesameroute.ports import Answer, Clock, Request

__all__ = ['FreshDelivery']

_CATCH_UP_SECONDS = 1.0
_POLL_SECONDS = 0.01


class FreshDelivery:
    """Lets requests wait until a paused process knows the present.

    A process that is cut off from all peers and the store goes on after
    a second: its failure domain has nobody else.

    Parameters
    ----------
    deliver : callable
        The delivery to call.
    membership : Membership
        Knows of pauses.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        deliver: Callable[[Request], Answer],
        membership: Membership,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.deliver = deliver
        self.membership = membership
        self.clock = clock

    def __call__(self, request: Request) -> Answer:
        """Deliver a request."""
        if self.membership.is_stale:
            self._wait(request)
        return self.deliver(request)

    def _wait(self, request: Request) -> None:
        now = self.clock.read_monotonic()
        left = max(request.deadline - now, 0)
        until = now + min(left / 2, _CATCH_UP_SECONDS)
        while self.membership.is_stale:
            if self.clock.read_monotonic() >= until:
                return
            self.clock.sleep(_POLL_SECONDS)
