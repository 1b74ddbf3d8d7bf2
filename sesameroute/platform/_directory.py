"""Questions to the directory and its answers."""

from urllib.parse import parse_qs

import msgspec

from sesameroute.platform._names import READY_PATH, RESOLVE_PATH

__all__ = ['READY_PATH', 'RESOLVE_PATH', 'read_question', 'write_places']


def read_question(query: str) -> tuple[str, str]:
    """Return the region and the zone that a caller names."""
    fields = parse_qs(query)
    return fields.get('region', [''])[0], fields.get('zone', [''])[0]


def write_places(addresses: list[str], seconds: float) -> bytes:
    """Return the body of a directory's answer.

    Parameters
    ----------
    addresses : list of str
        Where callers may connect.
    seconds : float
        How long they may keep the answer.

    """
    return msgspec.json.encode({'addresses': addresses, 'ttl_s': seconds})
