"""Client of the platform: its headers, documents and store calls.

The platform is the environment in which the nodes run. It provides the metadata
store and defines the headers of backend servers. The package converts between
its formats and the types of the other packages; it makes no routing decisions.
"""

from sesameroute.platform._directory import (
    READY_PATH,
    RESOLVE_PATH,
    encode_directory_answer,
    parse_directory_query,
)
from sesameroute.platform._document_order import PlatformDocumentOrder
from sesameroute.platform._header_codec import PlatformHeaderCodec
from sesameroute.platform._ignored_items import IgnoredItems
from sesameroute.platform._item_dispatcher import StoreItemDispatcher
from sesameroute.platform._store import Lease, LeaseLostError, PlatformStore

__all__ = [
    'IgnoredItems',
    'Lease',
    'LeaseLostError',
    'PlatformDocumentOrder',
    'PlatformHeaderCodec',
    'StoreItemDispatcher',
    'PlatformStore',
    'READY_PATH',
    'RESOLVE_PATH',
    'parse_directory_query',
    'encode_directory_answer',
]
