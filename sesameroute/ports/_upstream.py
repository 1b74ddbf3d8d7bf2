"""Upstream port: requests to backend servers."""

import socket
from dataclasses import dataclass, field
from typing import Protocol

from sesameroute.ports._answer import Answer, Headers
from sesameroute.statement import Kind, Upstream

__all__ = ['Answer', 'Headers', 'Request', 'Upstreams']


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request inside an entry VM.

    Attributes
    ----------
    key : str
        Request key; empty for idempotent requests without one.
    deadline : float
        Monotonic time of this machine in seconds.
    domain : str
        Failure domain nearest to the caller; empty if unknown.
    caller : socket or None
        The caller's connection; a try at an idempotent request ends when
        the caller closes it.

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
        fresh: bool,
    ) -> Answer:
        """Send a request and return the answer with its body unread.

        Parameters
        ----------
        fresh : bool
            Open a new connection instead of reusing a kept one.

        Raises
        ------
        RequestError
            `NOT_RUN` only when nothing was written or the server shed it;
            codes `refused`, `shed`, `draining`, `lost`, `timeout`.

        """

    def cancel(self, upstream: Upstream, key: str) -> None:
        """Tell a backend server that nobody waits for the answer."""
