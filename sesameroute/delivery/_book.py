"""Entries of the record by epoch, counted against its bounds."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from sesameroute.delivery._entry import Entry, KeptAnswer, State
from sesameroute.delivery._key import Identity, RequestKey
from sesameroute.exceptions import InputError, RequestError
from sesameroute.verdict import Verdict

__all__ = ['EntryBook', 'Page', 'RecordLimits']

_EXPIRED_RETRY_AFTER: Final = 1.0  # seconds


@dataclass(frozen=True, slots=True)
class RecordLimits:
    """Bounds of the record.

    Attributes
    ----------
    entries : int
        Keys that may be admitted.
    seals : int
        Refused keys remembered besides.
    body_bytes : int
        Bytes of kept answers at which no new key is admitted.
    retention : float
        Seconds for which a closed epoch is remembered.
    epochs : int
        Epochs remembered at once.

    """

    entries: int = 50_000
    seals: int = 5000
    body_bytes: int = 32_000_000
    retention: float = 120
    epochs: int = 64


@dataclass(slots=True, eq=False)
class Page:
    """The entries of one epoch.

    Attributes
    ----------
    closed : float or None
        Monotonic time in seconds at which it stopped taking keys.

    """

    witness: Identity | None
    entries: dict[str, Entry] = field(default_factory=dict)
    closed: float | None = None

    def close(self, now: float) -> None:
        """Take no more keys; a second call does nothing."""
        if self.closed is None:
            self.closed = now


class EntryBook:
    """Holds entries by epoch; not safe for threads by itself.

    Parameters
    ----------
    limits : RecordLimits
        Bounds on number, bytes and age.

    """

    def __init__(self, limits: RecordLimits) -> None:
        """Store the parameters; the book starts without a page."""
        self.limits = limits
        self.pages_: dict[int, Page] = {}
        self.newest_ = 0
        self.admitted_ = 0
        self.sealed_ = 0
        self.body_bytes_ = 0

    def open_page(self, epoch: int, witness: Identity | None) -> None:
        """Start a page; forget the oldest if there are too many."""
        self.pages_[epoch] = Page(witness)
        self.newest_ = max(self.newest_, epoch)
        while len(self.pages_) > self.limits.epochs:
            self.forget(min(self.pages_))

    def find_page(self, key: RequestKey) -> Page:
        """Return the page of a key's epoch.

        Raises
        ------
        InputError
            The key was never handed out.
        RequestError
            The epoch is forgotten.

        """
        page = self.pages_.get(key.epoch)
        if page and page.witness == key.witness:
            return page
        if page or not 0 < key.epoch <= self.newest_:
            raise InputError(f'key {key} was never handed out', 'bad-key')
        raise RequestError(
            'the record of this key has expired',
            Verdict.MAY_HAVE_RUN,
            'expired',
            _EXPIRED_RETRY_AFTER,
        )

    def is_full(self) -> bool:
        """Return whether a new key must be refused."""
        return (
            self.admitted_ >= self.limits.entries
            or self.body_bytes_ >= self.limits.body_bytes
        )

    def admit(self, page: Page, entry: Entry) -> None:
        """Add an entry."""
        page.entries[entry.key.nonce] = entry
        self.admitted_ += 1

    def seal(
        self,
        page: Page,
        entry: Entry,
        failure: RequestError,
        now: float,
    ) -> None:
        """Remember a refused key; close its epoch if there is no room."""
        if self.sealed_ >= self.limits.seals:
            page.close(now)
            return
        self.sealed_ += 1
        entry.refused = True
        entry.failure = failure
        entry.state = State.FAILED
        page.entries[entry.key.nonce] = entry

    def keep(self, entry: Entry, answer: KeptAnswer) -> None:
        """Keep an answer; count it unless its epoch is forgotten."""
        entry.kept = answer
        if entry.key.epoch in self.pages_:
            self.body_bytes_ += len(answer.body)

    def forget(self, epoch: int) -> None:
        """Drop an epoch with all its entries."""
        for entry in self.pages_.pop(epoch).entries.values():
            self.sealed_ -= entry.refused
            self.admitted_ -= not entry.refused
            if entry.kept:
                self.body_bytes_ -= len(entry.kept.body)

    def expire(self, now: float) -> None:
        """Forget the epochs that closed longer than the retention ago."""
        oldest = now - self.limits.retention
        for epoch, page in tuple(self.pages_.items()):
            if page.closed is not None and page.closed < oldest:
                self.forget(epoch)

    def iterate(self) -> Iterator[Entry]:
        """Iterate over all entries, oldest epoch first."""
        for epoch in sorted(self.pages_):
            yield from self.pages_[epoch].entries.values()
