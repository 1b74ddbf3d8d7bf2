"""Handling of a request by an entry VM, from its receipt to its response.

The steps are: admit the request, choose a backend server, record the key,
send the request and return the response.
"""

import threading
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from sesameroute.delivery._epoch_table import RecordLimits
from sesameroute.delivery._fingerprint import compute_fingerprint
from sesameroute.delivery._handler import PeerHandler
from sesameroute.delivery._key import ProcessIdentity, RequestKey, make_nonce
from sesameroute.delivery._parts import DeliveryPorts, build_components
from sesameroute.delivery._record_entry import StoredAnswer
from sesameroute.delivery._stop import StopReport
from sesameroute.exceptions import RequestError
from sesameroute.ports import Answer, Request
from sesameroute.verdict import Verdict

__all__ = ['Pipeline']

_DEFAULT_LIMITS: Final = RecordLimits()
# Errors after which an unkeyed request is run under another key.
_NEW_KEY_RETRY_CODES: Final = frozenset(('witness-lost', 'epoch-closed'))
# A statement may have been received by then.
_STATEMENT_RETRY_AFTER_SECONDS: Final = 1.0


class Pipeline:
    """Handles callers' requests: returns a response or raises a verdict.

    Parameters
    ----------
    identity : ProcessIdentity
        This VM and the incarnation of this process.
    ports : DeliveryPorts
        Interfaces to the rest of the entry process.
    limits : RecordLimits, optional
        Limits of the record of request keys.
    make_event : callable, optional
        Creates the events on which copies of a request wait.

    Notes
    -----
    `deliver` blocks the thread of the caller's connection. No lock is held
    while one of `ports` is called.

    """

    def __init__(
        self,
        identity: ProcessIdentity,
        ports: DeliveryPorts,
        limits: RecordLimits = _DEFAULT_LIMITS,
        make_event: Callable[[], threading.Event] = threading.Event,
    ) -> None:
        """Build the components; nothing runs yet."""
        self.identity = identity
        self.ports = ports
        self.components = build_components(identity, ports, limits, make_event)

    @property
    def peer_handler(self) -> PeerHandler:
        """Handler of the messages that other entry VMs send to delivery."""
        return self.components.peer_handler

    @property
    def prefix(self) -> str:
        """Prefix of the request keys that look-ups currently return."""
        return self.components.epoch_manager.refresh().prefix

    def deliver(self, request: Request) -> Answer:
        """Return the response to a request.

        Close `chunks` of the response if the caller disconnects before its
        end.

        Raises
        ------
        RequestError
            The request got no response; the error carries the verdict.
        InputError
            The key isn't valid or belongs to another request.

        """
        fingerprint = compute_fingerprint(request)
        if request.kind.idempotent:
            return self._deliver_idempotent(request, fingerprint)
        if request.key:
            key = RequestKey.parse(request.key)
            stored_answer = self._deliver_keyed(request, key, fingerprint)
        else:
            stored_answer = self._deliver_unkeyed(request, fingerprint)
        return Answer(
            stored_answer.status,
            stored_answer.headers,
            iter((stored_answer.body,)),
            len(stored_answer.body),
        )

    def refresh(self) -> None:
        """Open new and forget old epochs; call it about once a second."""
        self.components.epoch_manager.refresh()
        self.components.record.expire(self.ports.clock.read_monotonic())
        self.components.peer_handler.loss_exchange.share_with_next()

    def stop(self, deadline: float) -> StopReport:
        """Refuse new keys, let requests end, hand the record to witnesses.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds at which the stop ends, even if requests
            are still running or entries have not been handed over.

        """
        return self.components.stopper.stop(deadline)

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
                _STATEMENT_RETRY_AFTER_SECONDS,
            )
        self.components.quarantine.check(fingerprint)
        # Cancelling the request at the backend server needs a key.
        keyed = replace(request, key=request.key or make_nonce())
        return self.components.hedger.deliver(keyed, fingerprint)

    def _deliver_keyed(
        self,
        request: Request,
        key: RequestKey,
        fingerprint: str,
    ) -> StoredAnswer:
        if key.home.vm != self.identity.vm:
            return self.components.relay.deliver(request, key, fingerprint)
        if not self._is_own_incarnation(key):
            return self.components.relay.query_witness(key, fingerprint)
        return self.components.home.deliver(request, key, fingerprint)

    def _is_own_incarnation(self, key: RequestKey) -> bool:
        return key.home == self.identity

    def _deliver_unkeyed(
        self,
        request: Request,
        fingerprint: str,
    ) -> StoredAnswer:
        """Run a request of a caller without a key, under a key of this home."""
        try:
            return self._deliver_new(request, fingerprint)
        except RequestError as error:
            if error.code not in _NEW_KEY_RETRY_CODES:
                raise
        return self._deliver_new(request, fingerprint)

    def _deliver_new(self, request: Request, fingerprint: str) -> StoredAnswer:
        key = self.components.epoch_manager.make_key()
        request = replace(request, key=str(key))
        return self.components.home.deliver(request, key, fingerprint)
