"""WSGI application through which an entry VM receives requests."""

import threading
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from sesameroute.adapters._exchange import strip_headers
from sesameroute.adapters._verdict_http import VERDICT_HEADER, render_error
from sesameroute.exceptions import InputError, RequestError, SesameError
from sesameroute.ports import Answer, Clock, Headers, Request
from sesameroute.statement import Kind, Statement
from sesameroute.verdict import Verdict

__all__ = ['EntryApplication']

_MILLISECONDS = 1000
_PATH_PARTS = 4  # of /SERVICE/KIND/REST, the first one empty
_HEADER_PREFIX = 'HTTP_'
_DEADLINE_VARIABLE = 'HTTP_SESAME_DEADLINE_MS'
_KEY_VARIABLE = 'HTTP_SESAME_KEY'
_SOCKET_VARIABLE = 'sesameroute.socket'
_DOMAIN_VARIABLE = 'HTTP_SESAME_DOMAIN'
_MAX_KEY_CHARACTERS = 256


@dataclass(slots=True)
class _Body:
    """Response body for the WSGI server; closes the source of its chunks."""

    chunks: Iterator[bytes]
    finish: Callable[[], None]

    def __iter__(self) -> Iterator[bytes]:
        return self.chunks

    def close(self) -> None:
        close = getattr(self.chunks, 'close', None)
        if close is not None:
            close()
        self.finish()


class EntryApplication:
    """Converts WSGI requests to `Request`, and `Answer` to responses.

    Parameters
    ----------
    deliver : callable
        Takes a `Request`; returns an `Answer` or raises `SesameError`.
    find_statement : callable
        Returns the statement in force, or None. A statement is the
        configuration that an institution submits.
    clock : Clock
        Source of time.

    Attributes
    ----------
    running : int
        Number of requests whose answers are not completely sent.

    """

    def __init__(
        self,
        deliver: Callable[[Request], Answer],
        find_statement: Callable[[], Statement | None],
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.deliver = deliver
        self.find_statement = find_statement
        self.clock = clock
        self.running = 0
        self._lock = threading.Lock()

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        self._count(1)
        try:
            answer = self._answer(environ)
        except BaseException:
            self._count(-1)
            raise
        start_response(_format_status(answer.status), _list_headers(answer))
        return _Body(answer.chunks, lambda: self._count(-1))

    def _answer(self, environ: dict[str, Any]) -> Answer:
        try:
            return self.deliver(self._read_request(environ))
        except SesameError as error:
            return render_error(error, _choose_verdict(environ))

    def _count(self, change: int) -> None:
        with self._lock:
            self.running += change

    def _read_request(self, environ: dict[str, Any]) -> Request:
        kind = self._find_kind(environ)
        query = environ.get('QUERY_STRING')
        path = environ['PATH_INFO']
        return Request(
            kind,
            environ['REQUEST_METHOD'],
            f'{path}?{query}' if query else path,
            tuple(_read_headers(environ)),
            _read_body(environ),
            _read_key(environ),
            self.clock.read_monotonic() + _read_timeout_seconds(environ, kind),
            environ.get(_DOMAIN_VARIABLE, ''),
            environ.get(_SOCKET_VARIABLE),
        )

    def _find_kind(self, environ: dict[str, Any]) -> Kind:
        path = environ['PATH_INFO']
        statement = self.find_statement()
        if statement is None:
            raise RequestError(
                'no configuration received yet',
                _choose_verdict(environ),
                'no-statement',
                retry_after=1,
            )
        parts = path.split('/', _PATH_PARTS - 1)
        kind = statement.kinds.get(parts[2]) if len(parts) > 2 else None
        if kind is None or kind.service != parts[1]:
            raise InputError(
                f'path {path!r} must start with /SERVICE/KIND of the statement',
                'unknown-kind',
            )
        return kind


def _choose_verdict(environ: dict[str, Any]) -> Verdict:
    """Return the verdict for an error that occurs before delivery.

    A request with a key may be a repetition, and the earlier copy may have
    run.
    """
    if environ.get(_KEY_VARIABLE):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN


def _read_headers(environ: dict[str, Any]) -> Iterator[tuple[str, str]]:
    for name, text in environ.items():
        if name.startswith(_HEADER_PREFIX):
            header_name = name[len(_HEADER_PREFIX) :]
            yield header_name.replace('_', '-').title(), text
    if environ.get('CONTENT_TYPE'):
        yield 'Content-Type', environ['CONTENT_TYPE']


def _read_body(environ: dict[str, Any]) -> bytes:
    stated = environ.get('CONTENT_LENGTH') or ''
    if not stated and not environ.get('HTTP_TRANSFER_ENCODING'):
        return b''
    try:
        body = environ['wsgi.input'].read()
    except (OSError, ValueError) as error:
        raise InputError(f'body ended early: {error}', 'cut-body') from error
    if stated and len(body) != int(stated):
        raise InputError(
            f'body has {len(body)} bytes, Content-Length is {stated}',
            'cut-body',
        )
    return body


def _read_key(environ: dict[str, Any]) -> str:
    key = environ.get(_KEY_VARIABLE, '')
    if len(key) > _MAX_KEY_CHARACTERS or not key.isprintable():
        raise InputError(
            f'Sesame-Key has {len(key)} characters, '
            f'allowed: at most {_MAX_KEY_CHARACTERS}, printable',
            'bad-key',
        )
    return key


def _read_timeout_seconds(environ: dict[str, Any], kind: Kind) -> float:
    stated = environ.get(_DEADLINE_VARIABLE)
    if stated is None:
        return kind.deadline_ms / _MILLISECONDS
    if not stated.isdigit():
        raise InputError(
            f'Sesame-Deadline-Ms is {stated!r}, allowed: milliseconds > 0',
            'bad-deadline',
        )
    return min(int(stated), kind.deadline_ms) / _MILLISECONDS


def _format_status(status: int) -> str:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return f'{status} {phrase}'


def _list_headers(answer: Answer) -> list[tuple[str, str]]:
    headers: Headers = strip_headers(answer.headers)
    listed = list(headers)
    if VERDICT_HEADER.lower() not in {name.lower() for name, _ in listed}:
        listed.append((VERDICT_HEADER, Verdict.RAN.value))
    if answer.length is not None:
        listed.append(('Content-Length', str(answer.length)))
    return listed
