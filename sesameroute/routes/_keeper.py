"""Keeps the newest configuration; it never goes back."""

import threading

from sesameroute.routes._model import Configuration, Route
from sesameroute.routes._split import SplitChooser
from sesameroute.routes._table import RouteTable

__all__ = ['ConfigurationKeeper']


class ConfigurationKeeper:
    """The configuration in force.

    Attributes
    ----------
    table_ : RouteTable or None
        Routes in force; None before the first configuration.

    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.table_: RouteTable | None = None
        self._lock = threading.Lock()
        self._split = SplitChooser()

    @property
    def version(self) -> int:
        """Version in force; -1 before the first."""
        table = self.table_
        return -1 if table is None else table.configuration.version

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force."""
        table = self.table_
        return None if table is None else table.configuration

    def take(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer; return whether."""
        with self._lock:
            if configuration.version <= self.version:
                return False
            self.table_ = RouteTable(configuration)
            return True

    def choose_service(self, route: Route) -> str:
        """Return the service for the next request on a route."""
        return self._split.choose(route)
