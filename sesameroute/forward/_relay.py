"""Passes requests on to other nodes while this one reaches no server."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from sesameroute.forward._answers import pass_on
from sesameroute.forward._local_answers import (
    CallerClosedError,
    build_failure_answer,
)
from sesameroute.forward._message import TryError
from sesameroute.forward._relay_codec import (
    RelayCodec,
    is_refusal,
    strip_relay_header,
)
from sesameroute.forward._request_log import log_event
from sesameroute.forward._request_state import (
    RequestState,
    build_relayed_request,
    is_consumed,
)
from sesameroute.forward._retries import RetryBudgets
from sesameroute.forward._sender import Sender
from sesameroute.placement import Outcome
from sesameroute.ports import Answer

__all__ = ['NoRelay', 'Relay', 'RelayPeer', 'RelayPeerFinder']

# Nodes that one request is passed on to, one after the other.
_MAX_PEERS = 2


class RelayPeer(NamedTuple):
    """A node that takes requests from other nodes."""

    name: str
    target: tuple[str, int]


class RelayPeerFinder(Protocol):
    """Finds nodes that can send requests in place of this one."""

    def choose(
        self, homes: frozenset[str], excluded: tuple[str, ...]
    ) -> RelayPeer | None:
        """Return a node, or None if there is none.

        Parameters
        ----------
        homes : frozenset of str
            Regions that may see the request; empty means all.
        excluded : tuple of str
            Names of nodes that were tried already.

        """


class NoRelay:
    """Passes no request on; for a node without peers."""

    def is_needed(self, _state: RequestState) -> bool:
        """Return False: this node sends all requests itself."""
        return False

    def forward(self, _state: RequestState) -> None:
        """Pass nothing on."""


class Relay:
    """Passes requests on to nodes that reach the backend servers.

    The other node decides as for a request of its own: it gets the slot,
    retries within the budget and enforces the deadline. A request is passed
    on once, so it can't circulate.

    Parameters
    ----------
    sender : Sender
        Sends requests to nodes; its header codec is a `RelayCodec`.
    peers : RelayPeerFinder
        Finds the nodes.
    should_detour : callable
        Returns whether this node reaches no backend server but others do.
    retries : RetryBudgets
        Limits how often a request is sent again that may have run.
    read_version : callable
        Returns the version of the configuration in force.

    """

    def __init__(
        self,
        sender: Sender,
        peers: RelayPeerFinder,
        should_detour: Callable[[], bool],
        retries: RetryBudgets,
        read_version: Callable[[], int],
    ) -> None:
        """Store the parameters."""
        self.sender = sender
        self.peers = peers
        self.should_detour = should_detour
        self.retries = retries
        self.read_version = read_version

    def is_needed(self, state: RequestState) -> bool:
        """Whether to pass a request on instead of sending it."""
        may_relay = (
            state.request.relayed is None
            and len(state.relayed_to) < _MAX_PEERS
            and not is_consumed(state.body)
        )
        return (
            may_relay
            and self.should_detour()
            and self._choose_peer(state) is not None
        )

    def forward(self, state: RequestState) -> Answer | None:
        """Return the answer of another node, or None to decide anew.

        Raises
        ------
        CallerClosedError
            The caller has closed its connection.

        """
        peer = self._choose_peer(state)
        if peer is None:
            return None  # it has been lost meanwhile
        state.relayed_to = (*state.relayed_to, peer.name)
        try:
            return self._send(state, peer)
        except TryError as error:
            return self._handle_failure(state, error, peer)

    def _choose_peer(self, state: RequestState) -> RelayPeer | None:
        return self.peers.choose(state.homes, state.relayed_to)

    def _send(self, state: RequestState, peer: RelayPeer) -> Answer:
        codec: RelayCodec = self.sender.header_codec
        outgoing = build_relayed_request(
            state,
            codec,
            codec.encode_context(
                self.read_version(),
                state.compute_elapsed(self._read_clock()),
                has_tenants=state.table.tenants.is_used,
            ),
            self._read_clock(),
        )
        received = self.sender.send(
            peer.target,
            outgoing,
            new_connection=not state.route.kind.is_idempotent,
        )

        def observe_end(
            outcome: Outcome, error: TryError | None = None
        ) -> None:
            if error is not None:
                log_event(state, 'answer cut midway', outcome.value, peer.name)

        if state.may_have_run and is_refusal(
            received.answer, codec.platform_codec
        ):
            # The other node knows nothing of the earlier try.
            received.body.drain()
            return build_failure_answer(state.last_error, 0, may_have_run=True)
        answer = pass_on(received, observe_end)
        answer.headers = strip_relay_header(answer.headers)
        return answer

    def _handle_failure(
        self, state: RequestState, error: TryError, peer: RelayPeer
    ) -> Answer | None:
        """Return None to go on, or the final answer."""
        state.last_error = error
        state.may_have_run = state.may_have_run or error.may_have_run
        if error.outcome is Outcome.CANCELLED:
            log_event(state, 'request dropped', 'caller-left', peer.name)
            raise CallerClosedError(
                'caller closed its connection while a peer had its request'
            )
        log_event(state, 'relay failed', error.code, peer.name)
        now = self._read_clock()
        may_repeat = state.has_time_to_retry(now) and not is_consumed(
            state.body
        )
        if error.may_have_run:
            may_repeat = (
                may_repeat
                and state.route.kind.is_idempotent
                and self.retries.acquire(state.service)
            )
        if may_repeat:
            return None
        return build_failure_answer(
            error,
            state.compute_retry_after(now),
            may_have_run=state.may_have_run,
        )

    def _read_clock(self) -> float:
        return self.sender.clock.read_monotonic()
