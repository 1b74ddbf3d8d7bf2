"""Replica of the platform's metadata store, kept on every node."""

from sesameroute.mirror._mirror import (
    Mirror,
    MirrorItem,
    MirrorUpdate,
    MirrorQuery,
)
from sesameroute.mirror._watcher import (
    HistoryLostError,
    StoreReader,
    StoreWatcher,
)

__all__ = [
    'HistoryLostError',
    'Mirror',
    'MirrorItem',
    'MirrorUpdate',
    'MirrorQuery',
    'StoreReader',
    'StoreWatcher',
]
