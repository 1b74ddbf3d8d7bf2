"""Finds the route of a request by host and longest path prefix."""

from sesameroute.routes._model import Configuration, Route

__all__ = ['RouteTable']


class RouteTable:
    """Routes of one configuration.

    Parameters
    ----------
    configuration : Configuration
        Source of the routes.

    """

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes."""
        self.configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            host = self._hosts.setdefault(route.host.lower(), {})
            host[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None.

        Prefixes begin and end with a slash, so only the path's own
        segments need to be looked up.
        """
        prefixes = self._hosts.get(_strip_port(host))
        if prefixes is None:
            return None
        end = path.rfind('/') + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None


def _strip_port(host: str) -> str:
    return host.partition(':')[0].lower()
