"""Maps errors and verdicts to HTTP answers and back.

A verdict says whether the backend server ran the request. Headers carry it
for programs, a JSON body for people.
"""

import json
import math

from sesameroute.exceptions import InputError, RequestError, SesameError
from sesameroute.ports import Answer, Headers
from sesameroute.verdict import Verdict

__all__ = [
    'CODE_HEADER',
    'RETRY_HEADER',
    'VERDICT_HEADER',
    'find_header',
    'read_error',
    'render_error',
]

VERDICT_HEADER = 'Sesame-Verdict'
CODE_HEADER = 'Sesame-Code'
RETRY_HEADER = 'Sesame-Retry-After-Ms'

_BAD_REQUEST = 400
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_MILLISECONDS = 1000


def render_error(error: SesameError, fallback: Verdict) -> Answer:
    """Return the HTTP answer that reports an error to a caller.

    Parameters
    ----------
    error : SesameError
        The error; a `RequestError` has a verdict of its own.
    fallback : Verdict
        Verdict for errors that have none.

    Examples
    --------
    >>> lost = RequestError('upstream lost', Verdict.MAY_HAVE_RUN, 'lost')
    >>> render_error(lost, Verdict.NOT_RUN).status
    502

    """
    verdict = getattr(error, 'verdict', fallback)
    retry_after = getattr(error, 'retry_after', 0)
    body = json.dumps(
        {
            'verdict': verdict.value,
            'code': error.code,
            'message': error.message,
            'retry_after': retry_after,
        }
    ).encode()
    headers = [
        ('Content-Type', 'application/json'),
        (VERDICT_HEADER, verdict.value),
        (CODE_HEADER, error.code),
    ]
    if retry_after > 0:
        milliseconds = math.ceil(retry_after * _MILLISECONDS)
        headers.append((RETRY_HEADER, str(milliseconds)))
        headers.append(('Retry-After', str(math.ceil(retry_after))))
    status = _choose_status(error, verdict)
    return Answer(status, tuple(headers), iter((body,)), len(body))


def read_error(status: int, headers: Headers, body: bytes) -> RequestError:
    """Return the error that `render_error` turned into an answer.

    Without a valid verdict header the verdict is `MAY_HAVE_RUN`.
    """
    stated = find_header(headers, VERDICT_HEADER)
    try:
        verdict = Verdict(stated)
    except ValueError:
        verdict = Verdict.MAY_HAVE_RUN
    wait = find_header(headers, RETRY_HEADER)
    retry_after = int(wait) / _MILLISECONDS if wait.isdigit() else 0
    return RequestError(
        body.decode('utf-8', 'replace') or f'status {status}',
        verdict,
        find_header(headers, CODE_HEADER) or 'no-verdict',
        retry_after,
    )


def find_header(headers: Headers, wanted: str) -> str:
    """Return the first value of a header, or an empty string."""
    lowered = wanted.lower()
    for name, text in headers:
        if name.lower() == lowered:
            return text
    return ''


def _choose_status(error: SesameError, verdict: Verdict) -> int:
    if isinstance(error, InputError):
        return _BAD_REQUEST
    if verdict is Verdict.NOT_RUN:
        return _UNAVAILABLE
    if error.code == 'timeout':
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY
