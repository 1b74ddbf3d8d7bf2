"""Requests and answers on the way through a node."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

from sesameroute.exceptions import SesameError
from sesameroute.placement import Outcome
from sesameroute.ports import Answer, Headers

__all__ = [
    'CallerRequest',
    'CallerTerms',
    'Dialect',
    'Marks',
    'TryError',
]


@dataclass(frozen=True, slots=True)
class CallerTerms:
    """What a caller says of its request.

    Attributes
    ----------
    identifier : str
        Identifier of this attempt; empty if the caller gave none.
    key : str
        The object the request concerns; empty if none.
    seconds : float or None
        How long the caller waits.

    """

    identifier: str
    key: str
    seconds: float | None


@dataclass(slots=True)
class CallerRequest:
    """A caller's request as it was read.

    Attributes
    ----------
    target : str
        Path and query as the caller sent them.
    read : callable
        Returns the next bytes of the body, at most as many as asked.
    length : int or None
        Length of the body; None if it comes in chunks.
    arrived : float
        Monotonic time in seconds at which its header was read.
    caller : socket.socket
        The caller's connection.

    """

    method: str
    target: str
    host: str
    headers: Headers
    read: Callable[[int], bytes]
    length: int | None
    arrived: float
    caller: socket.socket

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, slots=True)
class Marks:
    """What a backend server says beside its answer.

    Attributes
    ----------
    identifier : str
        The attempt that it answers; empty if it does not say.
    is_not_run : bool
        It promises that the request has not run.
    is_misdirected : bool
        Another incarnation has the address.
    is_sealed : bool
        The answer is the backend server's own.
    waiting : int
        Requests in its queue; -1 if it does not say.

    """

    identifier: str
    is_not_run: bool
    is_misdirected: bool
    is_sealed: bool
    waiting: int = -1


class Dialect:
    """How terms and marks are written in headers."""

    def read_terms(self, headers: Headers) -> CallerTerms:
        """Return what a caller says of its request."""
        raise NotImplementedError

    def write_terms(self, seconds: float, backend: str) -> Headers:
        """Return the headers for a backend server."""
        raise NotImplementedError

    def is_own(self, name: str) -> bool:
        """Return whether a header is written anew at each hop."""
        raise NotImplementedError

    def read_marks(self, answer: Answer) -> Marks:
        """Return what a backend server says beside its answer."""
        raise NotImplementedError


class TryError(SesameError):
    """A try at a backend server brought no answer.

    Parameters
    ----------
    message : str
        What happened, for a person.
    outcome : Outcome
        How it ended.

    Attributes
    ----------
    may_have_run : bool
        Whether the request may have run.

    """

    code = 'try-failed'

    def __init__(
        self,
        message: str,
        outcome: Outcome,
        *,
        may_have_run: bool,
    ) -> None:
        """Store the message, the outcome and the verdict."""
        super().__init__(message, outcome.value)
        self.outcome = outcome
        self.may_have_run = may_have_run
