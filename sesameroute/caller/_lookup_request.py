"""One HTTP request to one look-up process."""

from urllib3.exceptions import HTTPError

from sesameroute.adapters import ConnectionPool, send_request
from sesameroute.exceptions import RequestError
from sesameroute.ports import Headers, Request
from sesameroute.statement import Kind

__all__ = ['query_lookup']

_KIND = Kind('lookup', 'lookup')
_REUSE_TIMEOUT_SECONDS = 0.15  # For an answer on a reused connection.
_NEW_TIMEOUT_SECONDS = 0.25  # To connect, and again for the answer.
_OK = 200


def query_lookup(
    connections: ConnectionPool,
    target: tuple[str, int],
    path: str,
    headers: Headers,
    give_up_at: float,
) -> bytes:
    """Return the body of a look-up's answer, empty if it gave none.

    A reused connection may have gone silent, so it gets little time; after
    an error on it the request is sent again on a new one.

    Parameters
    ----------
    target : tuple of (str, int)
        IP address and port of the look-up.
    give_up_at : float
        Monotonic time in seconds at which the request is given up.

    """
    request = Request(_KIND, 'GET', path, headers, deadline=give_up_at)
    reused = connections.take_idle(target)
    if reused is not None:
        try:
            answer = send_request(
                connections, reused, request, _REUSE_TIMEOUT_SECONDS
            )
            return b''.join(answer.chunks)
        except RequestError:
            connections.close_all_idle()
    seconds_left = give_up_at - connections.clock.read_monotonic()
    if seconds_left <= 0:
        return b''
    try:
        opened = connections.open(
            target, min(seconds_left, _NEW_TIMEOUT_SECONDS)
        )
        answer = send_request(
            connections, opened, request, _NEW_TIMEOUT_SECONDS
        )
        body = b''.join(answer.chunks)
    except (RequestError, HTTPError, OSError):
        return b''
    return body if answer.status == _OK else b''
