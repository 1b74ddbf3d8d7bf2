"""Exceptions of the package.

Each has a stable error code; exceptions about a request also carry the
verdict on whether the request may have run.
"""

from collections.abc import Callable
from enum import IntEnum, unique
from http.client import IncompleteRead

from sesameroute.verdict import Verdict

__all__ = [
    'ConflictError',
    'ExitCode',
    'InputError',
    'PeerError',
    'RequestError',
    'SesameError',
    'StoreUnreachableError',
    'StoreOutcomeUnknownError',
    'describe_error',
    'has_broken_off',
    'has_refused',
]

_MAX_REASON_CHARACTERS = 200


@unique
class ExitCode(IntEnum):
    """Exit codes of the command line programs."""

    OK = 0
    INTERNAL = 1
    INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    REFUSED = 5


class SesameError(Exception):
    """Base class of all exceptions of this package.

    Parameters
    ----------
    message : str
        Human-readable description of the error.
    code : str, optional
        Stable machine-readable code; the class attribute `code` by default.

    """

    code = 'internal'
    exit_code = ExitCode.INTERNAL

    def __init__(self, message: str, code: str | None = None) -> None:
        """Store the message and the code."""
        super().__init__(message)
        self.message = message
        if code:
            self.code = code  # noqa: WPS601


class InputError(SesameError):
    """A setting, a statement or a request is not valid."""

    code = 'bad-input'
    exit_code = ExitCode.INPUT


class ConflictError(SesameError):
    """A compare-and-swap failed because another writer came first."""

    code = 'conflict'
    exit_code = ExitCode.CONFLICT


class StoreUnreachableError(SesameError):
    """The store could not be reached; the operation took no effect."""

    code = 'store-down'
    exit_code = ExitCode.UNREACHABLE


class StoreOutcomeUnknownError(SesameError):
    """The store's response was lost; a write may have taken effect."""

    code = 'store-unknown'
    exit_code = ExitCode.UNREACHABLE


class PeerError(SesameError):
    """A peer did not reply to a call."""

    code = 'peer-unreachable'
    exit_code = ExitCode.UNREACHABLE


class RequestError(SesameError):
    """A request ended without a response from a backend server.

    Parameters
    ----------
    message : str
        Human-readable description of the error.
    verdict : Verdict
        Whether the request may have run.
    code : str, optional
        Stable machine-readable code such as ``no-room`` or ``upstream-lost``.
    retry_after : float, optional
        Seconds after which the caller may try again.

    """

    code = 'request-failed'
    exit_code = ExitCode.REFUSED

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        code: str | None = None,
        retry_after: float = 0,
    ) -> None:
        """Store the message, the verdict, the code and the delay."""
        super().__init__(message, code)
        self.verdict = verdict
        self.retry_after = retry_after


def describe_error(
    error: BaseException, render: Callable[[BaseException], str] = str
) -> str:
    """Return the text of an error, cut to a length that suits a log line.

    An error may quote the value that it is about, whatever its size.

    Parameters
    ----------
    error : BaseException
        The error.
    render : callable, optional
        `str` or `repr`.

    Examples
    --------
    >>> describe_error(KeyError('name'), repr)
    "KeyError('name')"
    >>> len(describe_error(InputError('x' * 10_000)))
    203

    """
    try:
        text = render(error)
    except (ValueError, RecursionError):  # an integer too long to print
        return type(error).__name__
    if len(text) > _MAX_REASON_CHARACTERS:
        return f'{text[:_MAX_REASON_CHARACTERS]}...'
    return text


def has_broken_off(error: BaseException | None) -> bool:
    """Whether a server closed or reset a connection before it had answered.

    Parameters
    ----------
    error : BaseException or None
        The error, which may have others as its causes or arguments.

    """
    if isinstance(error, ConnectionError | IncompleteRead):
        return True
    if error is None:
        return False
    inner = [each for each in error.args if isinstance(each, BaseException)]
    return any(map(has_broken_off, [*inner, error.__cause__]))


def has_refused(error: BaseException | None) -> bool:
    """Whether a server refused a connection: no process listens there.

    Parameters
    ----------
    error : BaseException or None
        The error, which may have others as its causes.

    """
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False
