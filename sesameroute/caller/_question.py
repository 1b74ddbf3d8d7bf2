"""One question to one look-up."""

from urllib3.exceptions import HTTPError

from sesameroute.adapters import KeptConnections, exchange
from sesameroute.exceptions import RequestError
from sesameroute.ports import Headers, Request
from sesameroute.statement import Kind

__all__ = ['ask_lookup']

_KIND = Kind('lookup', 'lookup')
_PATIENCE_SECONDS = 0.15  # for a kept connection
_FRESH_SECONDS = 0.25
_OK = 200


def ask_lookup(
    connections: KeptConnections,
    target: tuple[str, int],
    path: str,
    headers: Headers,
    until: float,
) -> bytes:
    """Return the body of a look-up's answer, empty when there is none.

    A kept connection may have gone silent, so it gets little time; a new
    one is tried after it.

    Parameters
    ----------
    target : tuple of (str, int)
        IP address and port of the look-up.
    until : float
        Monotonic time in seconds at which the question is given up.

    """
    request = Request(_KIND, 'GET', path, headers, deadline=until)
    kept = connections.take(target)
    if kept is not None:
        try:
            answer = exchange(connections, kept, request, _PATIENCE_SECONDS)
            return b''.join(answer.chunks)
        except RequestError:
            connections.suspect_all()
    left = until - connections.clock.read_monotonic()
    if left <= 0:
        return b''
    try:
        opened = connections.open(target, min(left, _FRESH_SECONDS))
        answer = exchange(connections, opened, request, _FRESH_SECONDS)
        body = b''.join(answer.chunks)
    except (RequestError, HTTPError, OSError):
        return b''
    return body if answer.status == _OK else b''
