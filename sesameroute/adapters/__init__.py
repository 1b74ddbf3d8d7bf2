"""Ports met through HTTP, msgpack streams and sockets."""

from sesameroute.adapters._http_pool import WireConnection, build_pool

__all__ = ['WireConnection', 'build_pool']
