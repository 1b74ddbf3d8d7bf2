"""HTTP handler for requests that other nodes pass on."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from sesameroute.forward import (
    CallerRequest,
    Forwarder,
    decode_context,
    is_refusal,
    mark_answer,
    strip_relay_header,
)
from sesameroute.node._front import ForwardHandler
from sesameroute.ports import Answer, Clock

__all__ = ['RelayHandler']


class RelayHandler(ForwardHandler):
    """Forwards the requests of other nodes' callers and marks the answers.

    A request is declined, and has not run then, if this node reaches no
    backend server either or does not know the configuration by which the
    other node has accepted the request.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards the requests.
    clock : Clock
        Source of time.
    is_cut_off : callable
        Returns whether this node reaches no backend server.

    """

    def __init__(
        self,
        forwarder: Forwarder,
        clock: Clock,
        is_cut_off: Callable[[], bool],
    ) -> None:
        """Store the parameters."""
        super().__init__(forwarder, clock)
        self.is_cut_off = is_cut_off

    def respond(self, request: CallerRequest) -> Answer:
        """Return the marked answer to a request of another node."""
        codec = self.forwarder.sender.header_codec
        identifier = codec.read_request_metadata(request.headers).identifier
        if self._should_decline(request):
            answer = Answer(HTTPStatus.SERVICE_UNAVAILABLE, (), iter(()), 0)
            return mark_answer(answer, identifier, declined=True)
        answer = self.forwarder.forward(request)
        # What a stopping node refuses may run at another one.
        declined = self.forwarder.guards.shutdown.has_begun() and (
            is_refusal(answer, codec)
        )
        return mark_answer(answer, identifier, declined=declined)

    def _read(self, request: Any) -> CallerRequest:
        caller_request = super()._read(request)
        caller_request.relayed = decode_context(caller_request.headers)
        caller_request.headers = strip_relay_header(caller_request.headers)
        return caller_request

    def _should_decline(self, request: CallerRequest) -> bool:
        relayed = request.relayed
        known = self.forwarder.active_configuration.version
        return relayed is None or relayed.version > known or self.is_cut_off()
