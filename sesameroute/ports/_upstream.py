"""Upstream port: sends requests to backend servers."""

import socket
from dataclasses import dataclass, field
from typing import Protocol

from sesameroute.ports._answer import Answer, Headers
from sesameroute.statement import Kind, Upstream

__all__ = ['Answer', 'Headers', 'Request', 'Upstreams']


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, as passed on by an entry VM.

    Attributes
    ----------
    kind : Kind
        Kind of the request.
    key : str
        Request key; empty for idempotent requests without one.
    deadline : float
        Monotonic time of this machine, in seconds, by which the caller needs
        the answer.
    domain : str
        Failure domain nearest to the caller; empty if unknown.
    caller : socket or None
        The caller's connection. When the caller closes it, an attempt at an
        idempotent request is aborted.

    """

    kind: Kind
    method: str
    path: str
    headers: Headers = ()
    body: bytes = b''
    key: str = ''
    deadline: float = 0
    domain: str = ''
    caller: socket.socket | None = field(
        default=None,
        repr=False,
        compare=False,
    )


class Upstreams(Protocol):
    """Sends requests to backend servers."""

    def send(
        self,
        upstream: Upstream,
        request: Request,
        *,
        new_connection: bool,
    ) -> Answer:
        """Send a request and return the answer with its body unread.

        Parameters
        ----------
        new_connection : bool
            Open a new connection instead of reusing an idle one.

        Raises
        ------
        RequestError
            `NOT_RUN` only if nothing was written or the server refused the
            request. Codes `refused`, `shed`, `draining`, `lost`, `timeout`.

        """

    def cancel(self, upstream: Upstream, key: str) -> None:
        """Tell a backend server that the caller no longer waits."""
