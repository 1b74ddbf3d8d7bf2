"""Network partitions and unreachable addresses of a fake network."""

from threading import Lock

from sesameroute.fakes._geography import Geography

__all__ = ['Outages']


class Outages:
    """Cuts between failure domains, and addresses that are paused or down.

    Parameters
    ----------
    geography : Geography
        Failure domains of the addresses.

    """

    def __init__(self, geography: Geography) -> None:
        """Store the parameter."""
        self.geography = geography
        self._lock = Lock()
        self._cuts: frozenset[tuple[str, str]] = frozenset()
        self._paused: frozenset[str] = frozenset()
        self._down: frozenset[str] = frozenset()

    def cut(self, source: str, target: str, *, one_way: bool = False) -> None:
        """Hold all bytes between two failure domains.

        With `one_way`, only bytes from `source` to `target` are held.
        """
        pairs = {(source, target)}
        if not one_way:
            pairs.add((target, source))
        with self._lock:
            self._cuts |= pairs

    def heal(self) -> None:
        """End all cuts."""
        with self._lock:
            self._cuts = frozenset()

    def pause(self, address: str) -> None:
        """Hold all bytes from and to an address."""
        with self._lock:
            self._paused |= {address}

    def resume(self, address: str) -> None:
        """End a pause; the bytes that were held are delivered."""
        with self._lock:
            self._paused -= {address}

    def take_down(self, address: str) -> None:
        """Refuse new connections from and to an address."""
        with self._lock:
            self._down |= {address}

    def bring_up(self, address: str) -> None:
        """Accept connections from and to an address again."""
        with self._lock:
            self._down -= {address}

    def is_refused(self, source: str, target: str) -> bool:
        """Return whether a new connection between two addresses is refused."""
        return bool(self._down & {source, target})

    def is_held(self, source: str, target: str) -> bool:
        """Return whether bytes from `source` to `target` are held back."""
        if self._paused & {source, target}:
            return True
        if not self._cuts:
            return False
        find_domain = self.geography.find_domain
        return (find_domain(source), find_domain(target)) in self._cuts
