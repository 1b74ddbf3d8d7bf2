"""Builds the answers that a node gives instead of a backend server."""

from sesameroute.exceptions import SesameError
from sesameroute.forward._message import TryError
from sesameroute.placement import Outcome, Reason, Refusal
from sesameroute.ports import Answer

__all__ = [
    'CallerClosedError',
    'build_answer',
    'build_failure_answer',
    'build_refusal_answer',
]

_TOO_MANY_REQUESTS = 429
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class CallerClosedError(SesameError):
    """The caller has closed its connection, so no answer can be sent."""

    code = 'caller-gone'


def build_answer(
    status: int,
    reason: str,
    retry_after: float | None = None,
) -> Answer:
    """Return an answer with a reason as its body.

    `retry_after` is the value of the Retry-After header in seconds.
    """
    content = f'{reason}\n'.encode()
    headers = (('Content-Type', 'text/plain'),)
    if retry_after is not None:
        headers = (*headers, ('Retry-After', f'{retry_after:.3f}'))
    return Answer(status, headers, iter((content,)), len(content))


def build_refusal_answer(refusal: Refusal) -> Answer:
    """Return the answer to a request that got no slot."""
    status = _UNAVAILABLE
    if refusal.reason is Reason.OVER_ALLOWANCE:
        status = _TOO_MANY_REQUESTS
    return build_answer(status, refusal.reason.value, refusal.retry_after)


def build_failure_answer(
    error: TryError, retry_after: float, *, may_have_run: bool
) -> Answer:
    """Return the answer to a request whose last try failed.

    503 guarantees that the request has not run; with 502 and 504 it may have.
    """
    if not may_have_run:
        return build_answer(_UNAVAILABLE, error.code, retry_after)
    if error.outcome is Outcome.TIMED_OUT:
        return build_answer(_GATEWAY_TIMEOUT, error.code)
    return build_answer(_BAD_GATEWAY, error.code)
