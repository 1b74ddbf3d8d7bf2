"""Writes answers to callers on a connection of cheroot."""

import contextlib
from http import HTTPStatus
from typing import Any

from sesameroute.exceptions import SesameError
from sesameroute.ports import Answer

__all__ = ['abort_connection', 'write_answer']

_BODILESS_STATUSES = frozenset((204, 304))


def write_answer(request: Any, answer: Answer) -> None:
    """Write an answer; break it off if its body ends early.

    Parameters
    ----------
    request : cheroot.server.HTTPRequest
        The request.
    answer : Answer
        Its answer, whose chunks are closed at the end.

    """
    with contextlib.closing(_BodyCloser(answer)):
        try:
            _write(request, answer)
        except SesameError:
            # The body is incomplete, which the caller has to see.
            request.conn.must_reset = _ends_with_connection(request)
            abort_connection(request)


def abort_connection(request: Any) -> None:
    """Close the connection without sending anything more."""
    request.close_connection = True
    request.sent_headers = True
    request.chunked_write = False


def _write(request: Any, answer: Answer) -> None:
    request.status = _format_status(answer.status)
    request.outheaders = [
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in answer.headers
    ]
    if answer.length is not None and answer.status not in _BODILESS_STATUSES:
        length = str(answer.length).encode()
        request.outheaders.append((b'Content-Length', length))
    request.ensure_headers_sent()
    if request.method == b'HEAD':
        return
    for chunk in answer.chunks:
        if chunk:
            request.write(chunk)


def _format_status(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return f'{status} {phrase}'.encode()


def _ends_with_connection(request: Any) -> bool:
    """Whether only the end of the connection ends the answer."""
    names = {name.lower() for name, _ in request.outheaders}
    return not (request.chunked_write or b'content-length' in names)


class _BodyCloser:
    """Closes the iterator that yields the body of an answer."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer

    def close(self) -> None:
        """Close the iterator if it can be closed, as generators can."""
        close = getattr(self.answer.chunks, 'close', None)
        if close is not None:
            close()
