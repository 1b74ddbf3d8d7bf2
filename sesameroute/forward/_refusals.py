"""Answers of the node's own."""

from sesameroute.exceptions import SesameError
from sesameroute.forward._message import TryError
from sesameroute.placement import Outcome, Refusal
from sesameroute.ports import Answer

__all__ = ['GoneError', 'answer_refusal', 'answer_status', 'answer_try']

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class GoneError(SesameError):
    """The caller has left; nobody takes an answer."""

    code = 'caller-gone'


def answer_status(
    status: int,
    reason: str,
    retry_after: float | None = None,
) -> Answer:
    """Return an answer with a reason; `retry_after` in seconds."""
    content = f'{reason}\n'.encode()
    headers = (('Content-Type', 'text/plain'),)
    if retry_after is not None:
        headers = (*headers, ('Retry-After', f'{retry_after:.3f}'))
    return Answer(status, headers, iter((content,)), len(content))


def answer_refusal(refusal: Refusal) -> Answer:
    """Return the answer to a request that was turned away."""
    return answer_status(
        _UNAVAILABLE,
        refusal.reason.value,
        refusal.retry_after,
    )


def answer_try(error: TryError, retry_after: float) -> Answer:
    """Return the answer to a request whose last try failed.

    503 promises that it has not run; 502 and 504 promise nothing.
    """
    if not error.may_have_run:
        return answer_status(_UNAVAILABLE, error.code, retry_after)
    if error.outcome is Outcome.TIMED_OUT:
        return answer_status(_GATEWAY_TIMEOUT, error.code)
    return answer_status(_BAD_GATEWAY, error.code)
