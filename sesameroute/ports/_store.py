"""Store port: the platform's key-value service."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ['Store', 'StoredValue']


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and its revision, the basis of a compare-and-swap.

    Attributes
    ----------
    content : bytes
    revision : int
        Grows by one with every write. A store that was restored from an
        older copy gives revisions again.
    tag : str
        Differs between any two values, also of the same revision; empty if
        the store has no tags.

    """

    content: bytes
    revision: int
    tag: str = ''


class Store(Protocol):
    """Key-value service with compare-and-swap, leases and watches."""

    def read(self, key: str) -> StoredValue | None:
        """Return the value, None if there is none.

        Raises
        ------
        StoreUnreachableError
            The store was not reached.

        """

    def swap(
        self,
        key: str,
        content: bytes,
        revision: int,
        tag: str = '',
    ) -> StoredValue:
        """Replace the value if its tag is `tag`.

        Without a tag, replace it if its revision is `revision` (0: no value
        yet).

        Raises
        ------
        ConflictError
            The value has another tag or revision; nothing took effect.
        StoreUnreachableError
            The store was not reached; nothing took effect.
        StoreOutcomeUnknownError
            The answer was lost; the write may have taken effect.

        """

    def watch(
        self,
        key: str,
        revision: int,
        timeout: float,
        tag: str = '',
    ) -> StoredValue | None:
        """Wait for a value with another tag than `tag`.

        Without a tag, wait for a revision above `revision`.

        Returns
        -------
        StoredValue or None
            None if there was none within `timeout` seconds.

        """

    def lease(self, key: str, holder: str, seconds: float) -> bool:
        """Take or renew a lease; return whether `holder` has it now."""
