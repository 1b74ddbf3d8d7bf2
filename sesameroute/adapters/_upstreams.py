"""Requests to backend servers over urllib3 connections."""

from collections import deque

from urllib3.exceptions import HTTPError

from sesameroute.adapters._exchange import SilentError, exchange
from sesameroute.adapters._kept_connections import (
    KeptConnection,
    KeptConnections,
)
from sesameroute.exceptions import RequestError
from sesameroute.ports import (
    STOP_SECONDS,
    Answer,
    Clock,
    Request,
    Upstreams,
    Wire,
)
from sesameroute.statement import Upstream
from sesameroute.verdict import Verdict

__all__ = ['HttpUpstreams']

_CONNECT_SECONDS = 0.5
_PATIENCE_FLOOR = 0.2  # seconds
_PATIENCE_WORK = 8  # times the usual work time of the kind
_MILLISECONDS = 1000
_CANCEL_SECONDS = 0.5
_SHED_HEADERS = (('Sesame-Shed', 'shed'), ('Sesame-Draining', 'draining'))
_UNAVAILABLE = 503


class HttpUpstreams(Upstreams):
    """Sends requests to backend servers.

    Parameters
    ----------
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    clock : Clock
        Source of time.

    """

    def __init__(self, wire: Wire, source: str, clock: Clock) -> None:
        """Store the parameters."""
        self.wire = wire
        self.source = source
        self.clock = clock
        self._connections = KeptConnections(wire, source, clock)

    def send(
        self,
        upstream: Upstream,
        request: Request,
        *,
        fresh: bool,
    ) -> Answer:
        """Send a request and return the answer with its body unread.

        A kept connection that stays silent or is lost puts its brothers
        under suspicion; the request is sent once more on a new one. That is
        allowed because only idempotent requests use kept connections.
        """
        target = (upstream.address, upstream.port)
        kept = None if fresh else self._connections.take(target)
        if kept is not None:
            answer = self._try_kept(kept, request)
            if answer is not None:
                return _refuse_shed(answer)
        opened = self._open(target, request, tried=kept is not None)
        return _refuse_shed(exchange(self._connections, opened, request))

    def cancel(self, upstream: Upstream, key: str) -> None:
        """Tell a backend server that nobody waits for the answer."""
        target = (upstream.address, upstream.port)
        try:
            kept = self._connections.open(target, _CANCEL_SECONDS)
        except (HTTPError, OSError):
            return
        try:
            kept.line.request('POST', f'/-/cancel/{key}')
        except (HTTPError, OSError):
            return
        finally:
            kept.line.close()

    def close(self) -> None:
        """Close all idle connections."""
        self._connections.close()

    def _try_kept(
        self,
        kept: KeptConnection,
        request: Request,
    ) -> Answer | None:
        usual = request.kind.work_ms / _MILLISECONDS * _PATIENCE_WORK
        patience = max(_PATIENCE_FLOOR, usual)
        try:
            return exchange(self._connections, kept, request, patience)
        except RequestError as error:
            self._connections.suspect(kept.target)
            if error.code not in {SilentError.code, 'lost'}:
                raise
            if error.code == SilentError.code:
                self._connections.suspect_all()
                # Else this work and that of the next try share one slot.
                self.clock.sleep(STOP_SECONDS)
        return None

    def _open(
        self,
        target: tuple[str, int],
        request: Request,
        *,
        tried: bool,
    ) -> KeptConnection:
        left = request.deadline - self.clock.read_monotonic()
        try:
            return self._connections.open(target, min(left, _CONNECT_SECONDS))
        except (HTTPError, OSError, ValueError) as error:
            verdict = Verdict.MAY_HAVE_RUN if tried else Verdict.NOT_RUN
            code = 'lost' if tried else 'refused'
            raise RequestError(
                f'no connection to {target}: {error}',
                verdict,
                code,
            ) from error


def _refuse_shed(answer: Answer) -> Answer:
    if answer.status != _UNAVAILABLE:
        return answer
    names = {name.lower() for name, _ in answer.headers}
    for header, code in _SHED_HEADERS:
        if header.lower() in names:
            _discard(answer)
            raise RequestError(
                f'backend server answered {code}',
                Verdict.NOT_RUN,
                code,
            )
    return answer


def _discard(answer: Answer) -> None:
    """Read a short body so that its connection can be kept."""
    deque(answer.chunks, maxlen=0)
