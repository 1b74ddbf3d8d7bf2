"""The body of a backend server's answer."""

from collections.abc import Iterator
from http.client import HTTPException

from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from sesameroute.adapters import KeptConnection, KeptConnections, is_quiet
from sesameroute.forward._message import TryError
from sesameroute.placement import Outcome

__all__ = ['AnswerBody']

_CHUNK_BYTES = 65_536
_SHORTEST_WAIT = 0.001  # seconds
_MOST_DRAINED = 65_536  # bytes of a refusal that are read to keep its line
_FAILURES = (HTTPError, HTTPException, OSError, ValueError)
_KEEP_MARGIN = 1.0  # seconds before a server's own idle timeout


class AnswerBody:
    """Reads a body and gives its connection back after the last byte.

    Parameters
    ----------
    response : HTTPResponse
        The answer.
    kept : KeptConnection
        Its connection.
    connections : KeptConnections
        Takes the connection back.
    until : float
        Monotonic time in seconds at which reading is given up.

    """

    def __init__(
        self,
        response: HTTPResponse,
        kept: KeptConnection,
        connections: KeptConnections,
        until: float,
    ) -> None:
        """Store the parameters."""
        self.response = response
        self.kept = kept
        self.connections = connections
        self.until = until
        self._is_done = False

    def read_up_to(self, limit: int) -> tuple[bytes, bool]:
        """Return the first bytes and whether they are the whole body.

        Raises
        ------
        TryError
            The body was cut.

        """
        parts = []
        size = 0
        for chunk in self:
            parts.append(chunk)
            size += len(chunk)
            if size >= limit:
                break
        return b''.join(parts), self._is_done

    def drain(self) -> None:
        """Read a short body so that the connection can be kept."""
        try:
            self.read_up_to(_MOST_DRAINED)
        except TryError:
            self.close()
        if not self._is_done:
            self.close()

    def close(self) -> None:
        """Close the connection unless the body was read whole."""
        if not self._is_done:
            self._is_done = True
            self.kept.line.close()

    def __iter__(self) -> Iterator[bytes]:
        """Yield the rest of the body; raise TryError when it is cut."""
        while not self._is_done:
            try:
                chunk = self._read()
            except _FAILURES as error:
                self.close()
                raise TryError(
                    f'answer was cut: {error}',
                    Outcome.LOST,
                    may_have_run=True,
                ) from error
            if not chunk:
                self._finish()
                return
            yield chunk

    def _read(self) -> bytes:
        line = self.kept.line
        if line.sock is not None:
            left = self.until - self.connections.clock.read_monotonic()
            line.sock.settimeout(max(left, _SHORTEST_WAIT))
        return self.response.read(_CHUNK_BYTES)

    def _finish(self) -> None:
        self._is_done = True
        headers = self.response.headers
        closes = headers.get('Connection', '').lower() == 'close'
        is_framed = 'Content-Length' in headers or self.response.chunked
        has_extra = self.kept.line.has_extra
        if closes or not is_framed or has_extra:
            self.kept.line.close()
            return
        if not is_quiet(self.kept.line.sock):
            self.kept.line.close()
            return
        self.kept.idle_seconds = _read_idle_seconds(
            headers.get('Keep-Alive', ''),
            self.kept.idle_seconds,
        )
        self.connections.keep(self.kept)


def _read_idle_seconds(text: str, usual: float) -> float:
    """Return the idle time that a Keep-Alive header permits.

    Examples
    --------
    >>> _read_idle_seconds('timeout=5, max=10', 60)
    4.0
    >>> _read_idle_seconds('', 60)
    60

    """
    for part in text.split(','):
        name, _, stated = part.strip().partition('=')
        if name.lower() == 'timeout' and stated.isdigit():
            return max(int(stated) - _KEEP_MARGIN, 0)
    return usual
