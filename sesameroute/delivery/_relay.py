"""Requests whose home is another entry VM, or an earlier life of this one."""

from dataclasses import replace
from typing import Final, Protocol

from sesameroute.delivery._body import read_whole
from sesameroute.delivery._entry import KeptAnswer
from sesameroute.delivery._key import RequestKey
from sesameroute.delivery._message import (
    FenceAsk,
    WitnessReply,
    WitnessStatus,
)
from sesameroute.delivery._witness import Witness
from sesameroute.exceptions import InputError, PeerError, RequestError
from sesameroute.ports import Answer, Clock, Peers, Request
from sesameroute.verdict import Verdict

__all__ = ['RELAYED_HEADER', 'EntryRelay', 'Relay']

RELAYED_HEADER: Final = 'Sesame-Relayed'
_FENCE_SECONDS: Final = 0.3  # kept back from the deadline for the witness
_LATER_SECONDS: Final = 1.0  # after which to ask again


class EntryRelay(Protocol):
    """Way to the entry port of another entry VM."""

    def send(self, vm: str, request: Request, timeout: float) -> Answer:
        """Send a request to its home and return the home's answer.

        Parameters
        ----------
        vm : str
            Name of the home.
        timeout : float
            Seconds to wait for the answer's head.

        Raises
        ------
        RequestError
            The home's own word, as its verdict headers say.
        InputError
            The home's own word that the request is not valid.
        PeerError
            The home was not reached, or its answer got lost.

        """


class Relay:
    """Finds the answer or the verdict of a request from its key.

    Parameters
    ----------
    clock : Clock
        Source of time.
    peers : Peers
        Way to witnesses.
    witness : Witness
        The witness of this VM; it may be the one of the key.
    entries : EntryRelay
        Way to homes.

    """

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        witness: Witness,
        entries: EntryRelay,
    ) -> None:
        """Store the parameters."""
        self.clock = clock
        self.peers = peers
        self.witness = witness
        self.entries = entries

    def deliver(
        self,
        request: Request,
        key: RequestKey,
        fingerprint: str,
    ) -> KeptAnswer:
        """Return the answer of the home, else what the witness knows.

        Raises
        ------
        RequestError
            `NOT_RUN` only if the home or the witness said so.

        """
        if any(name == RELAYED_HEADER for name, _ in request.headers):
            raise RequestError(
                'the request was relayed to a VM that is not its home',
                Verdict.MAY_HAVE_RUN,
                'misrouted',
                _LATER_SECONDS,
            )
        try:
            return self._ask_home(request, key)
        except PeerError:
            return self.ask_witness(key, fingerprint)

    def ask_witness(self, key: RequestKey, fingerprint: str) -> KeptAnswer:
        """Return the kept answer of a home that can't be reached.

        Raises
        ------
        RequestError
            `NOT_RUN` if the witness has sealed the key.

        """
        if key.witness is None:
            raise _doubt('no-witness', 'the home of the key is not reached')
        try:
            reply = self._fence(key)
        except PeerError as error:
            raise _doubt(
                'witness-unreachable',
                'neither home nor witness of the key is reached',
            ) from error
        return _read_reply(reply, fingerprint)

    def _ask_home(self, request: Request, key: RequestKey) -> KeptAnswer:
        left = request.deadline - self.clock.read_monotonic()
        timeout = max(left - _FENCE_SECONDS, left / 2)
        relayed = replace(
            request,
            headers=(*request.headers, (RELAYED_HEADER, '1')),
            deadline=request.deadline - left + timeout,
        )
        answer = self.entries.send(key.home.vm, relayed, timeout)
        try:
            body = read_whole(answer)
        except RequestError as error:
            raise PeerError(error.message) from error
        return KeptAnswer(answer.status, answer.headers, body)

    def _fence(self, key: RequestKey) -> WitnessReply:
        if key.witness == self.witness.identity:
            return self.witness.fence(key)
        return self.peers.call(
            key.witness.vm,
            FenceAsk(str(key)),
            _FENCE_SECONDS,
        )


def _read_reply(reply: WitnessReply, fingerprint: str) -> KeptAnswer:
    if reply.status is WitnessStatus.ANSWERED:
        if reply.fingerprint != fingerprint:
            raise InputError('the key belongs to another request', 'key-reused')
        return KeptAnswer(reply.answer_status, reply.headers, reply.body)
    if reply.status is WitnessStatus.SEALED:
        raise RequestError(
            'the home of the key is lost before it ran the request',
            Verdict.NOT_RUN,
            'home-lost',
        )
    raise _doubt('home-lost', 'the home of the key is lost')


def _doubt(code: str, message: str) -> RequestError:
    return RequestError(message, Verdict.MAY_HAVE_RUN, code, _LATER_SECONDS)
