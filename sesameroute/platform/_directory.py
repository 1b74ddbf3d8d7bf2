"""Queries and answers of the directory, which gives callers node addresses."""

from urllib.parse import parse_qs

import msgspec

from sesameroute.platform._names import READY_PATH, RESOLVE_PATH

__all__ = [
    'READY_PATH',
    'RESOLVE_PATH',
    'parse_directory_query',
    'encode_directory_answer',
]


def parse_directory_query(query: str) -> tuple[str, str]:
    """Return region and zone from a query string; empty if not given."""
    values = parse_qs(query)
    return values.get('region', [''])[0], values.get('zone', [''])[0]


def encode_directory_answer(addresses: list[str], seconds: float) -> bytes:
    """Return the body of an answer as JSON.

    Parameters
    ----------
    addresses : list of str
        Addresses that callers may connect to.
    seconds : float
        How long callers may cache the answer.

    """
    return msgspec.json.encode({'addresses': addresses, 'ttl_s': seconds})
