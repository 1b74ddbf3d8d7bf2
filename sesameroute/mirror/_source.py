"""Names the peer whose message is being applied to a replica."""

from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager

__all__ = ['MessageSource']


class MessageSource:
    """Source of what is being applied.

    Parameters
    ----------
    lock : context manager
        Lock of the replica, which may be acquired again in the block.

    Attributes
    ----------
    peer_ : str
        Address of the peer; empty for what this node has read itself.

    """

    def __init__(self, lock: AbstractContextManager[object]) -> None:
        """Start without a peer."""
        self.peer_ = ''
        self._lock = lock

    @contextmanager
    def told_by(self, peer: str) -> Iterator[None]:
        """Name a peer as the source of what is applied in the block."""
        with self._lock:
            self.peer_ = peer
            try:
                yield
            finally:
                self.peer_ = ''
