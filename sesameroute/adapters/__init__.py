"""Ports met through HTTP, msgpack streams and sockets."""
