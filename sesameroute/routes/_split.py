"""Shares a route's requests between services by weight."""

import threading

from sesameroute.routes._model import Route

__all__ = ['SplitChooser']


class SplitChooser:
    """Smooth weighted round robin, one state for each route.

    Random draws would leave the shares of a short window to chance; the
    rotation keeps them within one request of the weights.

    Examples
    --------
    >>> from sesameroute.routes import RequestKind, SplitPart
    >>> parts = (SplitPart('a', 3), SplitPart('b', 1))
    >>> route = Route('r', 'h', '/', RequestKind.SAFE, parts, 1, 1, 0, 1, True)
    >>> chooser = SplitChooser()
    >>> [chooser.choose(route) for _ in range(4)]
    ['a', 'a', 'b', 'a']

    """

    def __init__(self) -> None:
        """Start without credit for any part."""
        self._lock = threading.Lock()
        self._credits: dict[tuple[object, ...], dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        key = (route.host, route.prefix, route.parts)
        with self._lock:
            credits = self._credits.setdefault(key, {})
            for part in route.parts:
                owed = credits.get(part.service, 0)
                credits[part.service] = owed + part.weight
            chosen = max(credits, key=credits.__getitem__)
            credits[chosen] -= sum(each.weight for each in route.parts)
            return chosen
