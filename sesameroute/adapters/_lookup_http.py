"""WSGI application that answers which entry VMs serve a service."""

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
_CACHE_SECONDS = 0.1
_MAX_CACHED_ANSWERS = 4096
_OK = '200 OK'


class LookupApplication:
    """Answers look-ups over HTTP.

    Encoded answers are cached briefly, since many callers ask the same.

    Parameters
    ----------
    find_entries : callable
        Takes a service and the caller's failure domain; returns the fields
        of the answer.
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
        self._cache: dict[tuple[str, str], tuple[float, bytes]] = {}
        self._lock = threading.Lock()

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one look-up."""
        try:
            body = self._answer_traced(environ)
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

    def _answer_traced(self, environ: dict[str, Any]) -> bytes:
        parent = environ.get('HTTP_TRACEPARENT', '')
        with self.tracer.open_span('lookup', parent, path=environ['PATH_INFO']):
            return self._answer(environ)

    def _answer(self, environ: dict[str, Any]) -> bytes:
        question = _read_question(environ)
        now = self.clock.read_monotonic()
        cached = self._cache.get(question)
        if cached is not None and now < cached[0]:
            return cached[1]
        body = json.dumps(self.find_entries(*question)).encode()
        with self._lock:
            if len(self._cache) >= _MAX_CACHED_ANSWERS:
                self._cache.clear()
            self._cache[question] = (now + _CACHE_SECONDS, body)
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
