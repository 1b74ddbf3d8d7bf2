"""Replica of the platform's metadata store, kept on every node."""

from sesameroute.mirror._copies_without_era import (
    find_later_documents,
    put_held,
)
from sesameroute.mirror._messages import (
    HeldItem,
    HeldItems,
    MirrorCopyRequest,
    MirrorItem,
    MirrorUpdate,
)
from sesameroute.mirror._mirror import Mirror
from sesameroute.mirror._position import (
    MAX_ERA,
    MAX_REVISION,
    Position,
    find_era,
    find_revision,
)
from sesameroute.mirror._retention import DocumentOrder
from sesameroute.mirror._watcher import (
    HistoryLostError,
    StoreReader,
    StoreWatcher,
)

__all__ = [
    'DocumentOrder',
    'HeldItem',
    'HeldItems',
    'HistoryLostError',
    'MAX_ERA',
    'MAX_REVISION',
    'Mirror',
    'MirrorCopyRequest',
    'MirrorItem',
    'MirrorUpdate',
    'Position',
    'StoreReader',
    'StoreWatcher',
    'find_era',
    'find_later_documents',
    'find_revision',
    'put_held',
]
