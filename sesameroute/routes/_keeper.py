"""Holder of the configuration in force."""

import threading

from sesameroute.routes._model import Configuration, Route
from sesameroute.routes._split import SplitChooser
from sesameroute.routes._table import RouteTable

__all__ = ['ActiveConfiguration']


class ActiveConfiguration:
    """Holds the newest configuration seen; older versions are ignored.

    Parameters
    ----------
    is_held_back : bool, optional
        Put no configuration in force before `release` is called.

    Attributes
    ----------
    table_ : RouteTable or None
        Routes in force; None before the first configuration.

    """

    def __init__(self, *, is_held_back: bool = False) -> None:
        """Start without a configuration."""
        self.table_: RouteTable | None = None
        self._is_held_back = is_held_back
        self._newest: RouteTable | None = None
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

    @property
    def is_known(self) -> bool:
        """Whether there is a configuration, in force or held back."""
        return self._newest is not None

    def apply_if_newer(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer than the present one.

        Returns
        -------
        bool
            Whether the configuration is the newest one.

        """
        with self._lock:
            newest = self._newest
            if newest and configuration.version <= newest.configuration.version:
                return False
            self._newest = RouteTable(configuration)
            if not self._is_held_back:
                self.table_ = self._newest
            return True

    def release(self) -> None:
        """Put the newest configuration in force, and later ones at once."""
        with self._lock:
            self._is_held_back = False
            self.table_ = self._newest

    def choose_service(self, route: Route) -> str:
        """Return the service that gets the next request on a route."""
        return self._split_chooser.choose(route)
