"""In-memory fake of the platform's key-value store."""

import hashlib
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
    """How all calls to the store fail."""

    NONE = 'none'
    REFUSE = 'refuse'
    CUT = 'cut'
    HANG = 'hang'


@dataclass(slots=True)
class StoreFaults:
    """Faults that a test sets while the store runs.

    Attributes
    ----------
    outage : StoreOutage
        `REFUSE` answers with status 503, `CUT` closes the connection without
        an answer, `HANG` does the same, but only when the outage ends.
    delay : float
        Seconds added to every answer.
    lost_answers : int
        Number of further writes that take effect, but whose answer is lost.
    stale_revisions : int
        Number of revisions by which reads lag behind writes.

    """

    outage: StoreOutage = StoreOutage.NONE
    delay: float = 0
    lost_answers: int = 0
    stale_revisions: int = 0


@dataclass(frozen=True, slots=True)
class HeldLease:
    """Holder of a lease, and its expiry in monotonic seconds."""

    holder: str
    expires_at: float


class MemoryStore:
    """Key-value store with revisions and a history; counts every call.

    Parameters
    ----------
    read_time : callable
        Returns monotonic seconds.

    Examples
    --------
    >>> store = MemoryStore()
    >>> store.swap('a', b'1', 0).revision
    1
    >>> store.read('a').content
    b'1'
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
        self._release_count = 0

    def read(self, key: str) -> StoredValue | None:
        """Return the value, or an older one while `faults` make reads stale."""
        self.call_counts['read'] += 1
        return self._find(key)

    def swap(
        self,
        key: str,
        content: bytes,
        revision: int,
        tag: str = '',
    ) -> StoredValue:
        """Replace the value if its tag is `tag`.

        Without a tag, replace it if its revision is `revision`; 0 creates the
        key.

        Raises
        ------
        ConflictError
            The value has another tag or revision.

        """
        self.call_counts['swap'] += 1
        with self._changed:
            history = self._histories.setdefault(key, [])
            current = history[-1] if history else StoredValue(b'', 0)
            is_same = (
                tag == current.tag if tag else revision == current.revision
            )
            if not is_same:
                raise ConflictError(
                    f'{key} is at revision {current.revision}, '
                    f'not at {tag or revision}'
                )
            history.append(_build_value(content, current.revision + 1))
            self._changed.notify_all()
            return history[-1]

    def watch(
        self,
        key: str,
        revision: int,
        timeout: float,
        tag: str = '',
    ) -> StoredValue | None:
        """Wait for another tag than `tag`, up to `timeout` seconds.

        Without a tag, wait for a revision above `revision`. Counted as one
        call. Returns None if there was no such value.
        """
        self.call_counts['watch'] += 1
        with self._changed:
            release_count = self._release_count
            self._changed.wait_for(
                lambda: (
                    self._find_other(key, revision, tag) is not None
                    or release_count < self._release_count
                ),
                timeout,
            )
            return self._find_other(key, revision, tag)

    def lease(self, key: str, holder: str, seconds: float) -> bool:
        """Acquire or renew a lease; return whether `holder` has it."""
        self.call_counts['lease'] += 1
        now = self.read_time()
        with self._changed:
            held = self._leases.get(key)
            if held and held.holder != holder and held.expires_at > now:
                return False
            self._leases[key] = HeldLease(holder, now + seconds)
        return True

    def release_watches(self) -> None:
        """Make all waiting watches return at once."""
        with self._changed:
            self._release_count += 1
            self._changed.notify_all()

    def expire_leases(self) -> None:
        """Expire all leases at once, without notice to their holders."""
        with self._changed:
            self._leases.clear()

    def roll_back(self, key: str, revisions: int) -> None:
        """Drop the newest revisions of a key, like a restore from a backup."""
        with self._changed:
            history = self._histories.get(key, [])
            self._histories[key] = history[: max(len(history) - revisions, 0)]
            self._changed.notify_all()

    def _find(self, key: str) -> StoredValue | None:
        history = self._histories.get(key, [])
        index = len(history) - 1 - self.faults.stale_revisions
        return history[index] if index >= 0 else None

    def _find_other(
        self, key: str, revision: int, tag: str
    ) -> StoredValue | None:
        """Return the value unless a watch from `revision`, `tag` knows it."""
        found = self._find(key)
        if found is None:
            return None
        is_other = found.tag != tag if tag else found.revision > revision
        return found if is_other else None


def _build_value(content: bytes, revision: int) -> StoredValue:
    """Return a value whose tag depends on its content."""
    digest = hashlib.sha256(content).hexdigest()
    return StoredValue(content, revision, f'"{revision}-{digest}"')
