"""Delay of requests until a paused process has caught up."""

from collections.abc import Callable

from sesameroute.membership import Membership
from sesameroute.ports import Answer, Clock, Request

__all__ = ['CatchUpDelivery']

_CATCH_UP_LIMIT_SECONDS = 1.0
_POLL_INTERVAL_SECONDS = 0.01


class CatchUpDelivery:
    """Delays requests while this process's view of the fleet is stale.

    After a pause of the process, such as a VM freeze, the view is stale until
    a peer or the store answers. After a second, or half of the time left to
    the request's deadline, the request proceeds anyway: in a failure domain
    that is cut off from all peers and the store, no other process serves it.

    Parameters
    ----------
    deliver : callable
        Delivers a request.
    membership : Membership
        Detects pauses of this process.
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
        """Deliver a request, after a wait if the view is stale."""
        if self.membership.is_stale:
            self._wait_until_fresh(request)
        return self.deliver(request)

    def _wait_until_fresh(self, request: Request) -> None:
        now = self.clock.read_monotonic()
        remaining = max(request.deadline - now, 0)
        wait_end = now + min(remaining / 2, _CATCH_UP_LIMIT_SECONDS)
        while self.membership.is_stale:
            if self.clock.read_monotonic() >= wait_end:
                return
            self.clock.sleep(_POLL_INTERVAL_SECONDS)
