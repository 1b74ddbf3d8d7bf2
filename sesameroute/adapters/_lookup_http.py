"""The hot path of a look-up: which entry VM for a service."""

import json
import threading
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

from sesameroute.adapters._verdict_http import render_error
from sesameroute.exceptions import InputError, SesameError
from sesameroute.ports import Clock
from sesameroute.telemetry import Tracer
from sesameroute.verdict import Verdict

__all__ = ['FindEntries', 'LookupApplication']

# Takes a service and a failure domain; returns the fields of the answer.
FindEntries = Callable[[str, str], dict[str, Any]]

_LOOKUP_PATH = '/lookup/'
_KEPT_SECONDS = 0.1
_MOST_KEPT = 4096
_OK = '200 OK'


class LookupApplication:
    """Answers look-ups over HTTP.

    Rendered answers are kept for a moment, since many callers ask the same.

    Parameters
    ----------
    find_entries : callable
        Takes a service and the caller's failure domain.
    clock : Clock
        Source of time.
    tracer : Tracer
        Opens the span of each look-up.

    """

    def __init__(
        self,
        find_entries: FindEntries,
        clock: Clock,
        tracer: Tracer,
    ) -> None:
        """Store the parameters."""
        self.find_entries = find_entries
        self.clock = clock
        self.tracer = tracer
        self._kept: dict[tuple[str, str], tuple[float, bytes]] = {}
        self._lock = threading.Lock()

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one look-up."""
        try:
            body = self._trace(environ)
        except SesameError as error:
            refusal = render_error(error, Verdict.NOT_RUN)
            status = f'{refusal.status} Refused'
            start_response(status, list(refusal.headers))
            return refusal.chunks
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        start_response(_OK, headers)
        return (body,)

    def _trace(self, environ: dict[str, Any]) -> bytes:
        parent = environ.get('HTTP_TRACEPARENT', '')
        with self.tracer.open('lookup', parent, path=environ['PATH_INFO']):
            return self._find(environ)

    def _find(self, environ: dict[str, Any]) -> bytes:
        asked = _read_question(environ)
        now = self.clock.read_monotonic()
        kept = self._kept.get(asked)
        if kept is not None and now < kept[0]:
            return kept[1]
        body = json.dumps(self.find_entries(*asked)).encode()
        with self._lock:
            if len(self._kept) >= _MOST_KEPT:
                self._kept.clear()
            self._kept[asked] = (now + _KEPT_SECONDS, body)
        return body


def _read_question(environ: dict[str, Any]) -> tuple[str, str]:
    path = environ['PATH_INFO']
    if not path.startswith(_LOOKUP_PATH):
        raise InputError(
            f'path {path!r} must be {_LOOKUP_PATH}SERVICE',
            'unknown-path',
        )
    query = parse_qs(environ.get('QUERY_STRING', ''))
    domains = query.get('domain', [''])
    return path[len(_LOOKUP_PATH) :], domains[0]
