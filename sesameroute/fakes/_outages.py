"""What does not get through a stand-in network at the moment."""

from threading import Lock

from sesameroute.fakes._geography import Geography

__all__ = ['Outages']


class Outages:
    """Cuts between failure domains, paused and dead addresses.

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
        self._dead: frozenset[str] = frozenset()

    def cut(self, source: str, target: str, *, one_way: bool = False) -> None:
        """Let nothing pass between two failure domains."""
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
        """Let nothing pass from or to an address, for now."""
        with self._lock:
            self._paused |= {address}

    def resume(self, address: str) -> None:
        """End a pause; what waited arrives."""
        with self._lock:
            self._paused -= {address}

    def kill(self, address: str) -> None:
        """Refuse new connections of an address."""
        with self._lock:
            self._dead |= {address}

    def revive(self, address: str) -> None:
        """Take connections again."""
        with self._lock:
            self._dead -= {address}

    def is_dead(self, source: str, target: str) -> bool:
        """Return whether a new connection is refused."""
        return bool(self._dead & {source, target})

    def is_held(self, source: str, target: str) -> bool:
        """Return whether bytes from one address to another must wait."""
        if self._paused & {source, target}:
            return True
        if not self._cuts:
            return False
        find_domain = self.geography.find_domain
        return (find_domain(source), find_domain(target)) in self._cuts
