"""A request's way through an entry VM, top to bottom.

Admit, decide, record, send, answer.
"""

import threading
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from sesameroute.delivery._book import RecordLimits
from sesameroute.delivery._entry import KeptAnswer
from sesameroute.delivery._fingerprint import compute_fingerprint
from sesameroute.delivery._handler import PeerHandler
from sesameroute.delivery._key import Identity, RequestKey, make_nonce
from sesameroute.delivery._parts import DeliveryPorts, assemble_parts
from sesameroute.delivery._stop import StopReport
from sesameroute.exceptions import RequestError
from sesameroute.ports import Answer, Request
from sesameroute.verdict import Verdict

__all__ = ['Pipeline']

_DEFAULT_LIMITS: Final = RecordLimits()
_NEW_KEY_CODES: Final = frozenset(('witness-lost', 'epoch-closed'))
_STATEMENT_SECONDS: Final = 1.0  # after which there may be a statement


class Pipeline:
    """Takes callers' requests and returns answers or verdicts.

    Parameters
    ----------
    identity : Identity
        This VM and the present life of its process.
    ports : DeliveryPorts
        The rest of the entry.
    limits : RecordLimits, optional
        Bounds of the request record.
    make_event : callable, optional
        Makes the events on which copies of a request wait.

    Notes
    -----
    `deliver` blocks in the thread of the caller's connection. No lock is
    held while a port is called.

    """

    def __init__(
        self,
        identity: Identity,
        ports: DeliveryPorts,
        limits: RecordLimits = _DEFAULT_LIMITS,
        make_event: Callable[[], threading.Event] = threading.Event,
    ) -> None:
        """Put the parts together; nothing runs yet."""
        self.identity = identity
        self.ports = ports
        self.parts = assemble_parts(identity, ports, limits, make_event)

    @property
    def peer_handler(self) -> PeerHandler:
        """Handler of the peer messages of delivery."""
        return self.parts.peer_handler

    @property
    def prefix(self) -> str:
        """Prefix of the request keys that look-ups hand out now."""
        return self.parts.keeper.refresh().prefix

    def deliver(self, request: Request) -> Answer:
        """Return the answer to a request.

        Close `chunks` of the answer if the caller leaves before its end.

        Raises
        ------
        RequestError
            The verdict on a request without an answer.
        InputError
            The key isn't valid or belongs to another request.

        """
        fingerprint = compute_fingerprint(request)
        if request.kind.idempotent:
            return self._deliver_idempotent(request, fingerprint)
        if request.key:
            key = RequestKey.parse(request.key)
            kept = self._deliver_keyed(request, key, fingerprint)
        else:
            kept = self._deliver_unkeyed(request, fingerprint)
        return Answer(
            kept.status,
            kept.headers,
            iter((kept.body,)),
            len(kept.body),
        )

    def refresh(self) -> None:
        """Open and forget epochs; to be called about once a second."""
        self.parts.keeper.refresh()
        self.parts.record.expire(self.ports.clock.read_monotonic())

    def stop(self, deadline: float) -> StopReport:
        """Refuse new keys, end requests, hand answers to the witnesses.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds at which the stop ends in any case.

        """
        return self.parts.stopper.stop(deadline)

    def _deliver_idempotent(
        self,
        request: Request,
        fingerprint: str,
    ) -> Answer:
        if self.ports.statement() is None:
            raise RequestError(
                'no statement is known yet',
                Verdict.NOT_RUN,
                'no-statement',
                _STATEMENT_SECONDS,
            )
        self.parts.quarantine.check(fingerprint)
        # A key lets the backend server be told when nobody waits any more.
        keyed = replace(request, key=request.key or make_nonce())
        return self.parts.hedger.deliver(keyed, fingerprint)

    def _deliver_keyed(
        self,
        request: Request,
        key: RequestKey,
        fingerprint: str,
    ) -> KeptAnswer:
        if key.home.vm != self.identity.vm:
            return self.parts.relay.deliver(request, key, fingerprint)
        if not self._is_home(key):
            return self.parts.relay.ask_witness(key, fingerprint)
        return self.parts.home.deliver(request, key, fingerprint)

    def _is_home(self, key: RequestKey) -> bool:
        return key.home == self.identity

    def _deliver_unkeyed(
        self,
        request: Request,
        fingerprint: str,
    ) -> KeptAnswer:
        """Run a request under a key of this home's own."""
        try:
            return self._deliver_new(request, fingerprint)
        except RequestError as error:
            if error.code not in _NEW_KEY_CODES:
                raise
        return self._deliver_new(request, fingerprint)

    def _deliver_new(self, request: Request, fingerprint: str) -> KeptAnswer:
        key = self.parts.keeper.make_key()
        request = replace(request, key=str(key))
        return self.parts.home.deliver(request, key, fingerprint)
