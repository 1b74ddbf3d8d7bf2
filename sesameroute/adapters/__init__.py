"""Implementations of `sesameroute.ports` over HTTP, msgpack and sockets.

Submodules are imported on first use, so that a program loads only the ones
it needs.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_entry_http': ['EntryApplication'],
        '_caller_disconnect': ['has_disconnected', 'wait_for_first_byte'],
        '_exchange': ['send_request', 'strip_headers'],
        '_front_server': ['FrontHandler', 'FrontLoad', 'FrontServer'],
        '_limited_reader': ['ReadLimit'],
        '_http_pool': ['WireConnection', 'build_pool'],
        '_http_server': ['HttpServer', 'ServerLimits'],
        '_connection_pool': [
            'PooledConnection',
            'ConnectionPool',
            'is_reusable',
        ],
        '_lookup_http': ['LookupApplication'],
        '_instrumented': [
            'InstrumentedDelivery',
            'InstrumentedRelay',
            'InstrumentedUpstreams',
        ],
        '_peer_handshake': ['MIN_KEY_BYTES'],
        '_peers': ['PeerNetwork'],
        '_relay': ['HttpRelay'],
        '_store': ['HttpStore'],
        '_upstreams': ['HttpUpstreams'],
        '_verdict_http': ['find_header', 'read_error', 'render_error'],
        '_vmlist': ['HttpVmList'],
    },
)
