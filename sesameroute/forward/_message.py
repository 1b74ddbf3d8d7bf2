"""Requests of callers, and what headers say beside requests and answers."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from sesameroute.exceptions import SesameError
from sesameroute.placement import Outcome, ServerLoad
from sesameroute.ports import Answer, Headers

__all__ = [
    'CallerRequest',
    'RelayedRequest',
    'RequestMetadata',
    'HeaderCodec',
    'AnswerMetadata',
    'TryError',
]


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata that a caller gives in the headers of its request.

    Attributes
    ----------
    identifier : str
        Identifier of this attempt; empty if the caller gave none.
    affinity_key : str
        Affinity key: the object that the request concerns; empty if none.
    timeout_seconds : float or None
        Time that the caller waits for the answer; None if it gave none.
    keys : tuple of str
        Keys of tenants that it bears; not to be logged.

    """

    identifier: str
    affinity_key: str
    timeout_seconds: float | None
    keys: tuple[str, ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """What another node tells of a request that it passes on.

    Attributes
    ----------
    version : int
        Version of the configuration by which it was accepted.
    elapsed : float
        Seconds that it and the caller's earlier attempts have taken.

    """

    version: int
    elapsed: float


def _is_alone() -> bool:
    return True


@dataclass(slots=True)
class CallerRequest:
    """A caller's request, with its body unread.

    Attributes
    ----------
    target : str
        Path and query as the caller sent them.
    read : callable
        Returns the next bytes of the body, at most as many as requested.
    length : int or None
        Length of the body in bytes; None if it uses chunked encoding.
    arrived : float
        Monotonic time in seconds at which its headers were read.
    caller : socket.socket
        The caller's connection.
    relayed : RelayedRequest or None
        Set if another node has passed the request on.
    has_turn : callable
        Returns whether all requests before it on its connection have been
        answered. Until then it counts as not read if one of these answers
        ends the connection.

    """

    method: str
    target: str
    host: str
    headers: Headers
    read: Callable[[int], bytes]
    length: int | None
    arrived: float
    caller: socket.socket
    relayed: RelayedRequest | None = None
    has_turn: Callable[[], bool] = _is_alone

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Metadata that a backend server gives in the headers of its answer.

    Attributes
    ----------
    identifier : str
        Identifier of the attempt that it answers; empty if not given.
    is_not_run : bool
        Whether the server guarantees that the request has not run.
    is_misdirected : bool
        Whether another incarnation now has the address.
    is_sealed : bool
        Whether the seal header shows that the server itself answered.
    queue_length : int
        Requests in the server's queue; -1 if not given.
    request_limit : float or None
        Requests per second that the server takes from all nodes together;
        None if it names no limit.
    is_leaving : bool
        Whether the server says that it takes no new requests until its end.
    load : ServerLoad or None
        What the server says of its load; None if not given.
    pause : float
        Seconds for which a server that has turned a request away wants no
        others; 0 if it doesn't say.

    """

    identifier: str
    is_not_run: bool
    is_misdirected: bool
    is_sealed: bool
    queue_length: int = -1
    request_limit: float | None = None
    is_leaving: bool = False
    load: ServerLoad | None = field(default=None, compare=False)
    pause: float = 0


class HeaderCodec:
    """Reads and writes the metadata in the headers of requests and answers."""

    def read_request_metadata(self, headers: Headers) -> RequestMetadata:
        """Return the metadata in the headers of a caller's request."""
        raise NotImplementedError

    def build_backend_headers(self, seconds: float, backend: str) -> Headers:
        """Return the headers that are added for a backend server.

        Parameters
        ----------
        seconds : float
            Time until the deadline.
        backend : str
            Name of the backend server that must answer.

        """
        raise NotImplementedError

    def build_deadline_header(self, seconds: float) -> Headers:
        """Return the header with the time until the deadline."""
        raise NotImplementedError

    def is_replaced_per_hop(self, name: str) -> bool:
        """Return whether a header is replaced at each hop."""
        raise NotImplementedError

    def is_of_tenants(self, name: str) -> bool:
        """Return whether a header tells whose a request is."""
        raise NotImplementedError

    def build_tenant_headers(self, tenant: str) -> Headers:
        """Return the headers that tell whose a request is; empty: nobody's."""
        raise NotImplementedError

    def read_answer_metadata(self, answer: Answer) -> AnswerMetadata:
        """Return the metadata in the headers of an answer."""
        raise NotImplementedError


class TryError(SesameError):
    """A request sent to a backend server once got no usable answer.

    Parameters
    ----------
    message : str
        Description of the failure for people.
    outcome : Outcome
        How the try ended.

    Attributes
    ----------
    may_have_run : bool
        Whether the request may have run.
    has_server_ended : bool
        Whether the failure shows that the backend server has ended.

    """

    code = 'try-failed'

    def __init__(
        self,
        message: str,
        outcome: Outcome,
        *,
        may_have_run: bool,
        has_server_ended: bool = False,
    ) -> None:
        """Store the parameters."""
        super().__init__(message, outcome.value)
        self.outcome = outcome
        self.may_have_run = may_have_run
        self.has_server_ended = has_server_ended
