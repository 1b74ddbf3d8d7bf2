"""Fingerprints, which identify equal requests under different keys."""

import xxhash

from sesameroute.ports import Request

__all__ = ['compute_fingerprint']


def compute_fingerprint(request: Request) -> str:
    """Return a hexadecimal digest of service, method, path and body.

    Examples
    --------
    >>> from sesameroute.statement import Kind
    >>> kind = Kind('place', 'order-desk', idempotent=False)
    >>> first = Request(kind, 'POST', '/order-desk/place/1', body=b'9 pallets')
    >>> other = Request(kind, 'POST', '/order-desk/place/1', body=b'8 pallets')
    >>> compute_fingerprint(first) == compute_fingerprint(other)
    False

    """
    digest = xxhash.xxh3_128()
    for part in (request.kind.service, request.method, request.path):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()
