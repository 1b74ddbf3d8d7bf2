"""Relays requests over HTTP to the entry VM responsible for their key."""

from collections.abc import Callable
from dataclasses import replace

from urllib3.exceptions import HTTPError

from sesameroute.adapters._connection_pool import (
    ConnectionPool,
    PooledConnection,
)
from sesameroute.adapters._exchange import send_request
from sesameroute.adapters._verdict_http import (
    VERDICT_HEADER,
    find_header,
    read_error,
)
from sesameroute.exceptions import InputError, PeerError, RequestError
from sesameroute.ports import Answer, Clock, Request, Wire
from sesameroute.verdict import Verdict

__all__ = ['HttpRelay']

_CONNECT_SECONDS = 0.3
_BAD_REQUEST = 400


class HttpRelay:
    """Sends requests to the entry ports of other entry VMs.

    The home of a request is the entry VM that is responsible for its key.

    Parameters
    ----------
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    clock : Clock
        Source of time.
    find_address : callable
        Takes a VM name; returns its IP address and entry port, or None if
        they are not known.

    """

    def __init__(
        self,
        wire: Wire,
        source: str,
        clock: Clock,
        find_address: Callable[[str], tuple[str, int] | None],
    ) -> None:
        """Store the parameters."""
        self.wire = wire
        self.source = source
        self.clock = clock
        self.find_address = find_address
        self._connections = ConnectionPool(wire, source, clock)

    def send(self, vm: str, request: Request, timeout: float) -> Answer:
        """Send a request to its home and return the home's answer.

        Parameters
        ----------
        vm : str
            Name of the home, an entry VM.
        request : Request
            The request; its own deadline applies too.
        timeout : float
            Seconds to wait for the answer.

        Raises
        ------
        RequestError
            The home answered with this error.
        InputError
            The home answered that the request is not valid.
        PeerError
            The home could not be reached, or its answer was lost.

        """
        relay_deadline = self.clock.read_monotonic() + timeout
        bounded = replace(
            request, deadline=min(request.deadline, relay_deadline)
        )
        opened = self._open(vm, timeout)
        try:
            answer = send_request(self._connections, opened, bounded)
        except RequestError as error:
            raise PeerError(error.message) from error
        return _read_answer(answer)

    def close(self) -> None:
        """Close all idle connections."""
        self._connections.close()

    def _open(self, vm: str, timeout: float) -> PooledConnection:
        target = self.find_address(vm)
        if target is None:
            raise PeerError(f'address of entry VM {vm!r} is not known')
        try:
            return self._connections.open(
                target,
                min(timeout, _CONNECT_SECONDS),
            )
        except (HTTPError, OSError) as error:
            raise PeerError(
                f'could not connect to entry VM {vm!r}: {error}'
            ) from error


def _read_answer(answer: Answer) -> Answer:
    verdict = find_header(answer.headers, VERDICT_HEADER)
    if verdict == Verdict.RAN:
        return answer
    try:
        body = b''.join(answer.chunks)
    except RequestError as error:
        raise PeerError(error.message) from error
    if not verdict:
        raise PeerError(
            f'home answered {answer.status} without {VERDICT_HEADER}'
        )
    home_error = read_error(answer.status, answer.headers, body)
    if answer.status == _BAD_REQUEST:
        raise InputError(home_error.message, home_error.code)
    raise home_error
