"""Ports met through HTTP, msgpack streams and sockets."""

from sesameroute.adapters._entry_http import EntryApplication
from sesameroute.adapters._exchange import exchange, strip_headers
from sesameroute.adapters._http_pool import WireConnection, build_pool
from sesameroute.adapters._http_server import HttpServer, ServerLimits
from sesameroute.adapters._kept_connections import (
    KeptConnection,
    KeptConnections,
)
from sesameroute.adapters._lookup_http import LookupApplication
from sesameroute.adapters._observed import (
    ObservedDelivery,
    ObservedRelay,
    ObservedUpstreams,
)
from sesameroute.adapters._peers import PeerNetwork
from sesameroute.adapters._relay import HttpRelay
from sesameroute.adapters._store import HttpStore
from sesameroute.adapters._upstreams import HttpUpstreams
from sesameroute.adapters._verdict_http import (
    find_header,
    read_error,
    render_error,
)
from sesameroute.adapters._vmlist import HttpVmList

__all__ = [
    'EntryApplication',
    'HttpRelay',
    'HttpServer',
    'HttpStore',
    'HttpUpstreams',
    'HttpVmList',
    'LookupApplication',
    'ObservedDelivery',
    'ObservedRelay',
    'ObservedUpstreams',
    'KeptConnection',
    'KeptConnections',
    'PeerNetwork',
    'ServerLimits',
    'WireConnection',
    'build_pool',
    'exchange',
    'find_header',
    'read_error',
    'render_error',
    'strip_headers',
]
