"""Replica of the platform's metadata store, kept on every node."""

from sesameroute.mirror._mirror import (
    Mirror,
    MirrorCopyRequest,
    MirrorItem,
    MirrorUpdate,
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
    'MirrorCopyRequest',
    'StoreReader',
    'StoreWatcher',
]
