"""Requests of callers to one node, and the source trees that are compared."""

from collections.abc import Iterator

from sesameroute.node.tests.pressed_node import REPOSITORY
from sesameroute.platform._names import (
    AFFINITY_HEADER,
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
)

__all__ = ['build_request', 'list_sources']


def build_request(name: object, key: object, milliseconds: int) -> bytes:
    """Return the bytes of a read with its identifier, object and deadline.

    Examples
    --------
    >>> build_request(1, 2, 500).startswith(b'GET /a/1 HTTP/1.1')
    True

    """
    headers = (
        ('Host', 'h'),
        (ATTEMPT_HEADER, name),
        (AFFINITY_HEADER, key),
        (DEADLINE_HEADER, milliseconds),
    )
    lines = ''.join(f'{header}: {text}\r\n' for header, text in headers)
    return f'GET /a/{name} HTTP/1.1\r\n{lines}\r\n'.encode()


def list_sources(others: list[str]) -> Iterator[str]:
    """Yield the source trees to measure, this one last."""
    yield from others
    yield str(REPOSITORY)
