"""Logs and counts the requests that a node refuses on its own."""

import logging
from collections.abc import Callable
from http import HTTPStatus

from sesameroute.forward._local_answers import build_answer
from sesameroute.forward._message import CallerRequest, HeaderCodec
from sesameroute.mirror import Position
from sesameroute.ports import Answer, Clock
from sesameroute.routes import ActiveConfiguration, RouteTable

__all__ = ['Refusals']

# Retry-After while no configuration is in force; one likely arrives within it.
_CONFIGURATION_RETRY_SECONDS = 0.3
_MILLISECONDS = 1000
_MAX_LOGGED_CHARACTERS = 128  # of what a caller has sent

_logger = logging.getLogger(__name__)


class Refusals:
    """Records the answers of 3xx and 4xx that this node gives itself.

    Each gets a log line with the configuration by which it was decided.

    Parameters
    ----------
    active_configuration : ActiveConfiguration
        Holds the configuration in force.
    header_codec : HeaderCodec
        Reads the identifiers of requests.
    clock : Clock
        Source of time.

    Attributes
    ----------
    observer_ : callable
        Called with the status and the reason of each refusal.

    """

    def __init__(
        self,
        active_configuration: ActiveConfiguration,
        header_codec: HeaderCodec,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.active_configuration = active_configuration
        self.header_codec = header_codec
        self.clock = clock
        self.observer_: Callable[[int, str], None] = _ignore_refusal

    def answer_unrouted(
        self, request: CallerRequest, table: RouteTable | None
    ) -> Answer:
        """Return the answer to a request that has no route.

        Parameters
        ----------
        request : CallerRequest
            The request.
        table : RouteTable or None
            The routes without one for it; None while there are none yet.

        """
        status, reason, retry_after = HTTPStatus.NOT_FOUND, 'no-route', None
        if table is None:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            reason = 'no-configuration'
            retry_after = _CONFIGURATION_RETRY_SECONDS
        elif table.may_have_route(request.host, request.path):
            status = HTTPStatus.SERVICE_UNAVAILABLE
            reason = 'part-not-understood'
        request_metadata = self.header_codec.read_request_metadata(
            request.headers
        )
        self.record(
            status,
            reason,
            request=request_metadata.identifier,
            host=request.host[:_MAX_LOGGED_CHARACTERS],
            path=request.path[:_MAX_LOGGED_CHARACTERS],
        )
        return build_answer(status, reason, retry_after)

    def record(self, status: int, reason: str, **details: str) -> None:
        """Log and count a refusal.

        Parameters
        ----------
        status : int
            Status of the answer.
        reason : str
            Why the request is refused; one of a few words.
        details : str
            Further fields of the log line.

        """
        event = 'request refused'
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            event = 'request turned away'  # callers come again after a 503
        _logger.info(
            event,
            extra={
                'status': int(status),
                'why': reason,
                **self._describe_configuration(),
                **details,
            },
        )
        self.observer_(int(status), reason)

    def _describe_configuration(self) -> dict[str, object]:
        configuration = self.active_configuration.configuration
        if configuration is None:
            return {'version': '-'}
        origin = configuration.origin
        position = Position.unpack(origin.position)
        age = self.clock.read_monotonic() - origin.received_at
        return {
            'version': configuration.version,
            'era': position.era,
            'revision': position.revision,
            'source': origin.source or '-',
            'age_ms': round(age * _MILLISECONDS),
        }


def _ignore_refusal(_status: int, _reason: str) -> None:
    """Do nothing; the default observer."""
