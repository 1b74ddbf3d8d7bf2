"""Stand-in for the platform's key-value service, kept in memory."""

import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum, unique

from sesameroute.exceptions import ConflictError
from sesameroute.ports import StoredValue

__all__ = ['MemoryStore', 'StoreFaults', 'StoreOutage']


@unique
class StoreOutage(StrEnum):
    """How the service fails as a whole."""

    NONE = 'none'
    REFUSE = 'refuse'
    CUT = 'cut'
    HANG = 'hang'


@dataclass(slots=True)
class StoreFaults:
    """Faults that a test sets while the service runs.

    Attributes
    ----------
    outage : StoreOutage
        `REFUSE` answers 503, `CUT` closes connections, `HANG` says nothing.
    delay : float
        Seconds added to every answer.
    lost_answers : int
        Answers to the next writes that get lost after they took effect.
    stale : int
        Revisions by which reads lag.

    """

    outage: StoreOutage = StoreOutage.NONE
    delay: float = 0
    lost_answers: int = 0
    stale: int = 0


@dataclass(frozen=True, slots=True)
class HeldLease:
    """Who holds a lease until when, in monotonic seconds."""

    holder: str
    ends: float


class MemoryStore:
    """Keys with revisions and history; counts every call.

    Parameters
    ----------
    read_time : callable
        Returns monotonic seconds.

    Examples
    --------
    >>> store = MemoryStore()
    >>> store.swap('a', b'1', 0).revision
    1
    >>> store.read('a')
    StoredValue(content=b'1', revision=1)
    >>> store.call_counts['read']
    1

    """

    def __init__(self, read_time: Callable[[], float] = time.monotonic) -> None:
        """Store the clock."""
        self.read_time = read_time
        self.faults = StoreFaults()
        self.call_counts: Counter[str] = Counter()
        self._histories: dict[str, list[StoredValue]] = {}
        self._leases: dict[str, HeldLease] = {}
        self._changed = threading.Condition()
        self._releases = 0

    def read(self, key: str) -> StoredValue | None:
        """Return the value; an older one while reads lag."""
        self.call_counts['read'] += 1
        return self._find(key)

    def swap(self, key: str, content: bytes, revision: int) -> StoredValue:
        """Replace the value that has `revision`; raise ConflictError."""
        self.call_counts['swap'] += 1
        with self._changed:
            history = self._histories.setdefault(key, [])
            current = history[-1].revision if history else 0
            if current != revision:
                raise ConflictError(f'{key} has revision {current}')
            history.append(StoredValue(content, current + 1))
            self._changed.notify_all()
            return history[-1]

    def watch(
        self,
        key: str,
        revision: int,
        timeout: float,
    ) -> StoredValue | None:
        """Wait for a revision above `revision`; counted as one call."""
        self.call_counts['watch'] += 1
        with self._changed:
            releases = self._releases
            self._changed.wait_for(
                lambda: (
                    self._is_above(key, revision) or releases < self._releases
                ),
                timeout,
            )
            found = self._find(key)
        return found if found and found.revision > revision else None

    def lease(self, key: str, holder: str, seconds: float) -> bool:
        """Take or renew a lease; return whether `holder` has it."""
        self.call_counts['lease'] += 1
        now = self.read_time()
        with self._changed:
            held = self._leases.get(key)
            if held and held.holder != holder and held.ends > now:
                return False
            self._leases[key] = HeldLease(holder, now + seconds)
        return True

    def release_watches(self) -> None:
        """End all waiting watches without a value."""
        with self._changed:
            self._releases += 1
            self._changed.notify_all()

    def lapse_leases(self) -> None:
        """Let all leases lapse though their holders may not know."""
        with self._changed:
            self._leases.clear()

    def restore(self, key: str, revisions: int) -> None:
        """Go back by some revisions, as from an old backup."""
        with self._changed:
            history = self._histories.get(key, [])
            self._histories[key] = history[: max(len(history) - revisions, 0)]

    def _find(self, key: str) -> StoredValue | None:
        history = self._histories.get(key, [])
        place = len(history) - 1 - self.faults.stale
        return history[place] if place >= 0 else None

    def _is_above(self, key: str, revision: int) -> bool:
        found = self._find(key)
        return found is not None and found.revision > revision
