"""Look-up of routes by host and longest path prefix."""

from sesameroute.routes._model import Configuration, Route, UnreadablePart
from sesameroute.tenants import TenantIndex

__all__ = ['RouteTable']


class RouteTable:
    """Routes of one configuration, indexed by host and path prefix.

    Parameters
    ----------
    configuration : Configuration
        The configuration that contains the routes.

    Attributes
    ----------
    tenants : TenantIndex
        Its tenants by key.

    """

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes."""
        self.configuration = configuration
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            host_routes = self._routes_by_host.setdefault(
                route.host.lower(), {}
            )
            host_routes[route.prefix] = route
        self._unreadable = [
            part for part in configuration.unreadable if part.has_routes
        ]
        self.tenants = TenantIndex(
            configuration.tenants,
            has_unreadable=any(
                part.has_tenants for part in configuration.unreadable
            ),
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None.

        Prefixes begin and end with a slash, so only the parts of the path
        that end at a slash are looked up. An unreadable route hides those
        with shorter prefixes.
        """
        route = self._find_readable(host, path)
        if route and self._hides(route, host, path):
            return None
        return route

    def may_have_route(self, host: str, path: str) -> bool:
        """Return whether an unreadable part may be about a request."""
        return any(
            _is_about(part, _strip_port(host), path)
            for part in self._unreadable
        )

    def _hides(self, route: Route, host: str, path: str) -> bool:
        return any(
            part.prefix is not None
            and len(part.prefix) >= len(route.prefix)
            and _is_about(part, _strip_port(host), path)
            for part in self._unreadable
        )

    def _find_readable(self, host: str, path: str) -> Route | None:
        routes_by_prefix = self._routes_by_host.get(_strip_port(host))
        if routes_by_prefix is None:
            return None
        end = path.rfind('/') + 1
        while end > 0:
            route = routes_by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None


def _is_about(part: UnreadablePart, host: str, path: str) -> bool:
    """Return whether a part may be about a request, as far as it tells."""
    is_host = part.host is None or part.host.lower() == host
    return is_host and path.startswith(part.prefix or '')


def _strip_port(host: str) -> str:
    return host.partition(':')[0].lower()
