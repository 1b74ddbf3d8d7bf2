"""Distribution of a route's requests over services by weight."""

import threading

from sesameroute.routes._model import Route

__all__ = ['SplitChooser']


class SplitChooser:
    """Smooth weighted round robin over the services of each route.

    With random choice the shares over a short window would vary; the
    rotation keeps them within one request of the weights.

    Examples
    --------
    >>> from sesameroute.routes import RequestKind, WeightedService
    >>> parts = (WeightedService('a', 3), WeightedService('b', 1))
    >>> route = Route('r', 'h', '/', RequestKind.SAFE, parts, 1, 1, 0, 1, True)
    >>> chooser = SplitChooser()
    >>> [chooser.choose(route) for _ in range(4)]
    ['a', 'a', 'b', 'a']

    """

    def __init__(self) -> None:
        """Start every route with zero credits."""
        self._lock = threading.Lock()
        self._credits: dict[tuple[object, ...], dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that gets the next request on a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        key = (route.host, route.prefix, route.parts)
        with self._lock:
            credits = self._credits.setdefault(key, {})
            for part in route.parts:
                credit = credits.get(part.service, 0)
                credits[part.service] = credit + part.weight
            chosen = max(credits, key=credits.__getitem__)
            credits[chosen] -= sum(other.weight for other in route.parts)
            return chosen
