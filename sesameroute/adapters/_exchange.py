"""One HTTP request and answer on one connection."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http.client import HTTPException

from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from sesameroute.adapters._departure import wait_for_answer
from sesameroute.adapters._kept_connections import (
    KeptConnection,
    KeptConnections,
)
from sesameroute.exceptions import RequestError
from sesameroute.ports import Answer, Headers, Request
from sesameroute.verdict import Verdict

__all__ = ['BodyReader', 'SilentError', 'exchange', 'strip_headers']

_CHUNK_BYTES = 65_536
_MILLISECONDS = 1000
_SHORTEST_WAIT = 0.001  # seconds
_LINE_FAILURES = (HTTPError, HTTPException, OSError)
_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-connection',
        'sesame-deadline-ms',
        'sesame-key',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class SilentError(RequestError):
    """A kept connection gave no byte of an answer."""

    code = 'silent'


@dataclass(slots=True)
class BodyReader:
    """Iterates over a body and gives the connection back at its end.

    A connection whose body was not read whole is closed, never reused.
    """

    response: HTTPResponse
    kept: KeptConnection
    connections: KeptConnections
    remaining: Callable[[], float]
    done: bool = False

    def __iter__(self) -> Iterator[bytes]:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk; raise RequestError when it is cut."""
        if self.done:
            raise StopIteration
        try:
            chunk = self._read()
        except _LINE_FAILURES as error:
            self.close()
            raise RequestError(
                f'answer was cut: {error}',
                Verdict.MAY_HAVE_RUN,
                'cut-answer',
            ) from error
        if chunk:
            return chunk
        self._finish()
        raise StopIteration

    def close(self) -> None:
        """Close the connection unless the body was read whole."""
        if not self.done:
            self.done = True
            self.kept.line.close()

    def _read(self) -> bytes:
        if self.kept.line.sock is not None:
            self.kept.line.sock.settimeout(self.remaining())
        return self.response.read(_CHUNK_BYTES)

    def _finish(self) -> None:
        self.done = True
        if self.kept.line.sock is None or _asks_close(self.response):
            self.kept.line.close()
            return
        self.connections.keep(self.kept)


def exchange(
    connections: KeptConnections,
    kept: KeptConnection,
    request: Request,
    patience: float | None = None,
) -> Answer:
    """Send a request and return the answer with its body unread.

    Parameters
    ----------
    connections : KeptConnections
        Takes the connection back after a whole answer.
    kept : KeptConnection
        The connection to use; closed on every error.
    request : Request
        The request; its deadline bounds every wait.
    patience : float, optional
        Seconds to wait for the first byte before the connection counts as
        silent.

    Raises
    ------
    SilentError
        No byte came within `patience`.
    RequestError
        Codes `lost`, `timeout` or `cancelled`, with `MAY_HAVE_RUN`.

    """

    def remaining() -> float:
        left = request.deadline - connections.clock.read_monotonic()
        return max(left, _SHORTEST_WAIT)

    limit = remaining()
    if patience is not None:
        limit = min(limit, patience)
    try:
        response = _send(kept, request, limit, remaining())
    except RequestError:
        kept.line.close()
        raise
    except TimeoutError as error:
        kept.line.close()
        raise _name_timeout(limit, remaining()) from error
    except _LINE_FAILURES as error:
        kept.line.close()
        raise RequestError(
            f'connection was lost before the answer: {error}',
            Verdict.MAY_HAVE_RUN,
            'lost',
        ) from error
    return Answer(
        response.status,
        tuple(response.headers.items()),
        BodyReader(response, kept, connections, remaining),
        response.length_remaining,
    )


def strip_headers(headers: Headers) -> Headers:
    """Return the headers that may go on to the next hop."""
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in _HOP_HEADERS
    )


def _send(
    kept: KeptConnection,
    request: Request,
    limit: float,
    remaining: float,
) -> HTTPResponse:
    headers = dict(strip_headers(request.headers))
    headers['Sesame-Deadline-Ms'] = str(int(remaining * _MILLISECONDS))
    if request.key:
        headers['Sesame-Key'] = request.key
    kept.line.timeout = limit
    kept.line.sock.settimeout(limit)
    kept.line.request(
        request.method,
        request.path,
        request.body or None,
        headers,
        preload_content=False,
        decode_content=False,
    )
    if request.kind.idempotent and request.caller is not None:
        wait_for_answer(kept.line.sock, request.caller, limit)
    return kept.line.getresponse()


def _asks_close(response: HTTPResponse) -> bool:
    return response.headers.get('Connection', '').lower() == 'close'


def _name_timeout(limit: float, remaining: float) -> RequestError:
    if remaining > _SHORTEST_WAIT and limit < remaining:
        return SilentError(
            f'no byte in {limit:.3f} s on a kept connection',
            Verdict.MAY_HAVE_RUN,
        )
    return RequestError(
        f'no answer in {limit:.3f} s',
        Verdict.MAY_HAVE_RUN,
        'timeout',
    )
