"""Store port: the platform's key-value service."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ['Store', 'StoredValue']


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value with the revision that a compare-and-swap needs."""

    content: bytes
    revision: int


class Store(Protocol):
    """Key-value service with compare-and-swap, leases and watches."""

    def read(self, key: str) -> StoredValue | None:
        """Return the value, None if there is none; raise StoreDownError."""

    def swap(self, key: str, content: bytes, revision: int) -> StoredValue:
        """Replace the value that has `revision` (0: no value yet).

        Raises
        ------
        ConflictError
            The key has another revision; nothing took effect.
        StoreDownError
            Nothing took effect.
        StoreUnknownError
            The answer got lost; the write may have taken effect.

        """

    def watch(
        self,
        key: str,
        revision: int,
        timeout: float,
    ) -> StoredValue | None:
        """Wait for a revision above `revision`; None after `timeout`."""

    def lease(self, key: str, holder: str, seconds: float) -> bool:
        """Take or renew a lease; return whether `holder` has it."""
