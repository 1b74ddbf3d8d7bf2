"""Holder of the configuration in force."""

import threading

from sesameroute.routes._model import Configuration, Route
from sesameroute.routes._split import SplitChooser
from sesameroute.routes._table import RouteTable

__all__ = ['ActiveConfiguration']


class ActiveConfiguration:
    """Holds the newest configuration seen; older versions are ignored.

    Attributes
    ----------
    table_ : RouteTable or None
        Routes in force; None before the first configuration.

    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.table_: RouteTable | None = None
        self._lock = threading.Lock()
        self._split_chooser = SplitChooser()

    @property
    def version(self) -> int:
        """Version in force; -1 before the first configuration."""
        table = self.table_
        return -1 if table is None else table.configuration.version

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None before the first."""
        table = self.table_
        return None if table is None else table.configuration

    def apply_if_newer(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer than the present one.

        Returns
        -------
        bool
            Whether the configuration is now in force.

        """
        with self._lock:
            if configuration.version <= self.version:
                return False
            self.table_ = RouteTable(configuration)
            return True

    def choose_service(self, route: Route) -> str:
        """Return the service that gets the next request on a route."""
        return self._split_chooser.choose(route)
