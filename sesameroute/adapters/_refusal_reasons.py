"""Reasons of the refusals that the HTTP library decides."""

from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType

__all__ = ['RefusalObserver', 'ignore_refusal', 'report_refusal']

# Takes the status and the reason of a refusal.
RefusalObserver = Callable[[int, str], None]

_REASONS = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: 'malformed',
        HTTPStatus.REQUEST_TIMEOUT: 'silent',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: 'body-too-large',
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: 'headers-too-large',
    }
)
_OTHER = 'not-accepted'


def report_refusal(status_line: str, observe: RefusalObserver) -> None:
    """Report the status and the reason of an answer if it is a refusal.

    Examples
    --------
    >>> report_refusal('413 Request Entity Too Large', print)
    413 body-too-large
    >>> report_refusal('500 Internal Server Error', print)

    """
    status = int(status_line.split()[0])
    if HTTPStatus.MULTIPLE_CHOICES <= status < HTTPStatus.INTERNAL_SERVER_ERROR:
        observe(status, _REASONS.get(status, _OTHER))


def ignore_refusal(_status: int, _reason: str) -> None:
    """Do nothing; the default observer."""
