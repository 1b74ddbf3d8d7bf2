"""Requests whose home is another entry VM or an earlier incarnation."""

from dataclasses import replace
from typing import Final, Protocol

from sesameroute.delivery._body import read_body
from sesameroute.delivery._key import RequestKey
from sesameroute.delivery._message import (
    FenceKeyRequest,
    WitnessReply,
    WitnessStatus,
)
from sesameroute.delivery._record_entry import StoredAnswer
from sesameroute.delivery._witness import Witness
from sesameroute.exceptions import InputError, PeerError, RequestError
from sesameroute.ports import Answer, Clock, Peers, Request
from sesameroute.verdict import Verdict

__all__ = ['RELAYED_HEADER', 'EntryRelay', 'Relay']

RELAYED_HEADER: Final = 'Sesame-Relayed'
# Subtracted from the deadline, so that the witness can still be asked.
_FENCE_TIMEOUT_SECONDS: Final = 0.3
_RETRY_AFTER_SECONDS: Final = 1.0


class EntryRelay(Protocol):
    """Relays requests to the entry port of another entry VM."""

    def send(self, vm: str, request: Request, timeout: float) -> Answer:
        """Send a request to its home and return the response of the home.

        Parameters
        ----------
        vm : str
            Name of the home VM.
        timeout : float
            Seconds to wait for the response headers.

        Raises
        ------
        RequestError
            The error that the home reported in its verdict headers.
        InputError
            The home reported that the request is not valid.
        PeerError
            The home could not be reached, or its response was lost.

        """


class Relay:
    """Gets the response or verdict of a request whose home is elsewhere.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    peers : Peers
        Sends messages to witnesses.
    witness : Witness
        Witness of this VM; used without a call if a key names it.
    entry_relay : EntryRelay
        Relays requests to their homes.

    """

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        witness: Witness,
        entry_relay: EntryRelay,
    ) -> None:
        """Store the parameters."""
        self.clock = clock
        self.peers = peers
        self.witness = witness
        self.entry_relay = entry_relay

    def deliver(
        self,
        request: Request,
        key: RequestKey,
        fingerprint: str,
    ) -> StoredAnswer:
        """Return the response of the home, or else what the witness knows.

        Raises
        ------
        RequestError
            `NOT_RUN` only if the home or the witness reported it.

        """
        if any(name == RELAYED_HEADER for name, _ in request.headers):
            raise RequestError(
                'the request was relayed to a VM that is not its home',
                Verdict.MAY_HAVE_RUN,
                'misrouted',
                _RETRY_AFTER_SECONDS,
            )
        try:
            return self._call_home(request, key)
        except PeerError:
            return self.query_witness(key, fingerprint)

    def query_witness(self, key: RequestKey, fingerprint: str) -> StoredAnswer:
        """Ask the witness for the response of a home that can't be reached.

        Raises
        ------
        RequestError
            `NOT_RUN` if the witness ensures that the request never runs.

        """
        if key.witness is None:
            raise _make_uncertain_error(
                'no-witness', 'the home of the key could not be reached'
            )
        try:
            reply = self._fence_key(key)
        except PeerError as error:
            raise _make_uncertain_error(
                'witness-unreachable',
                'neither home nor witness of the key could be reached',
            ) from error
        return _read_reply(reply, fingerprint)

    def _call_home(self, request: Request, key: RequestKey) -> StoredAnswer:
        remaining_seconds = request.deadline - self.clock.read_monotonic()
        timeout = max(
            remaining_seconds - _FENCE_TIMEOUT_SECONDS, remaining_seconds / 2
        )
        relayed = replace(
            request,
            headers=(*request.headers, (RELAYED_HEADER, '1')),
            deadline=request.deadline - remaining_seconds + timeout,
        )
        answer = self.entry_relay.send(key.home.vm, relayed, timeout)
        try:
            body = read_body(answer)
        except RequestError as error:
            raise PeerError(error.message) from error
        return StoredAnswer(answer.status, answer.headers, body)

    def _fence_key(self, key: RequestKey) -> WitnessReply:
        if key.witness == self.witness.identity:
            return self.witness.fence(key)
        return self.peers.call(
            key.witness.vm,
            FenceKeyRequest(str(key)),
            _FENCE_TIMEOUT_SECONDS,
        )


def _read_reply(reply: WitnessReply, fingerprint: str) -> StoredAnswer:
    if reply.status is WitnessStatus.ANSWERED:
        if reply.fingerprint != fingerprint:
            raise InputError('the key belongs to another request', 'key-reused')
        return StoredAnswer(reply.answer_status, reply.headers, reply.body)
    if reply.status is WitnessStatus.SEALED:
        raise RequestError(
            'the home of the key was lost before it ran the request',
            Verdict.NOT_RUN,
            'home-lost',
        )
    raise _make_uncertain_error('home-lost', 'the home of the key was lost')


def _make_uncertain_error(code: str, message: str) -> RequestError:
    return RequestError(
        message, Verdict.MAY_HAVE_RUN, code, _RETRY_AFTER_SECONDS
    )
