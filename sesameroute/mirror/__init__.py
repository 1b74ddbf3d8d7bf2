"""A copy of the store's items on every node."""

from sesameroute.mirror._mirror import (
    Mirror,
    MirrorItem,
    MirrorNews,
    MirrorQuery,
)
from sesameroute.mirror._watcher import (
    HistoryLostError,
    Source,
    StoreWatcher,
)

__all__ = [
    'HistoryLostError',
    'Mirror',
    'MirrorItem',
    'MirrorNews',
    'MirrorQuery',
    'Source',
    'StoreWatcher',
]
