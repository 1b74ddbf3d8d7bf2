"""State of one request while it is forwarded, and its outgoing form."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from sesameroute.forward._answer_wait import ServerCondition
from sesameroute.forward._caller_body import (
    MAX_BUFFERED_BYTES,
    CallerBody,
    is_consumed,
    read_body,
)
from sesameroute.forward._message import (
    AnswerMetadata,
    CallerRequest,
    HeaderCodec,
    RequestMetadata,
    TryError,
)
from sesameroute.forward._sender import OutgoingRequest
from sesameroute.placement import Grant, SlotRequest
from sesameroute.ports import Headers
from sesameroute.quarantine import SentTry
from sesameroute.registry import Backend
from sesameroute.routes import Route, RouteTable
from sesameroute.tenants import Denial, Tenant

__all__ = [
    'HOP_BY_HOP_HEADERS',
    'MAX_BUFFERED_BYTES',
    'RequestState',
    'TryHooks',
    'build_outgoing_request',
    'build_relayed_request',
    'compute_fingerprint',
    'is_consumed',
    'read_body',
]

HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# No retry is started with less time left before the deadline.
_MIN_RETRY_SECONDS = 0.03
# Part of the route's time-out after which a slow try may be abandoned for
# one at another backend server.
_ABANDON_FRACTION = 0.6
# Retry-After is at most this part of the time left before the deadline,
# because callers wait no longer.
_RETRY_AFTER_FRACTION = 1 / 3
# Upper limit of Retry-After. A failed try does not mean that slots are
# scarce, and the next attempt gets a slot independently of it.
_MAX_RETRY_AFTER_SECONDS = 0.01


@dataclass(slots=True)
class RequestState:
    """One request and the state of its tries.

    Attributes
    ----------
    table : RouteTable or None
        Routes that have the route.
    deadline : float
        Monotonic time in seconds by which the final answer is given.
    earlier_seconds : float
        Time that the caller's earlier attempts took.
    body : bytes, iterable of bytes or None
        The body as `read_body` returned it.
    tries : int
        Number of tries sent to backend servers.
    excluded : tuple of str
        Backend servers that the next try must not use.
    last_error : TryError or None
        How the last try failed.
    may_have_run : bool
        Whether any failed try may have run.
    reserved : tuple of (SlotRequest, Grant) or None
        Slot of the next try, reserved while the last one ran.
    waited : float
        Seconds spent waiting for slots.
    decided_at : float
        Monotonic time in seconds at which a slot was last granted or refused,
        before that the time of arrival.
    backend : str
        Backend server of the last try.
    incarnation : int
        Its incarnation.
    fingerprint : str
        Digest that is equal for repetitions of the same request.
    sent_try : SentTry or None
        The last try, as the quarantine knows it.
    relayed_to : tuple of str
        Nodes that the request was passed on to.
    tenant : Tenant or None
        Whose request it is; None if it needs no key.
    denial : Denial or None
        Why it is not let through by its key.
    charged : Tenant or None
        Tenant in whose allowance the next try is counted already.
    checked_server_at : float
        Monotonic time in seconds at which a silent server was last checked.
    left_server : tuple of (str, int) or None
        Server that was found to leave during its try.

    """

    request: CallerRequest
    route: Route
    service: str
    request_metadata: RequestMetadata
    deadline: float
    earlier_seconds: float
    table: RouteTable | None = None
    body: object = None
    tries: int = 0
    excluded: tuple[str, ...] = ()
    last_error: TryError | None = None
    may_have_run: bool = False
    reserved: tuple[SlotRequest, Grant] | None = None
    waited: float = 0
    decided_at: float = 0
    backend: str = ''
    incarnation: int = 0
    fingerprint: str = ''
    sent_try: SentTry | None = None
    relayed_to: tuple[str, ...] = ()
    tenant: Tenant | None = None
    denial: Denial | None = None
    charged: Tenant | None = None

    @property
    def homes(self) -> frozenset[str]:
        """Regions that route and tenant both permit; empty means all."""
        own = self.route.homes
        return self.tenant.limit_homes(own) if self.tenant else own

    def describe_tenant(self) -> dict[str, object]:
        """Return the fields of a slot request that tell whose it is."""
        tenant = self.tenant
        if tenant is None:
            return {}
        return {
            'tenant': tenant.name,
            'tenant_priority': tenant.priority,
            'allowance': tenant.rate,
        }

    checked_server_at: float = 0
    left_server: tuple[str, int] | None = None

    def has_time_to_retry(self, now: float) -> bool:
        """Whether enough time is left before the deadline for another try."""
        return self.deadline - now > _MIN_RETRY_SECONDS

    def has_time_to_run(self, grant: Grant, now: float) -> bool:
        """Whether a granted request can end before the deadline."""
        return self.deadline - now > grant.run_seconds

    def compute_elapsed(self, now: float) -> float:
        """Return the seconds since the caller's first attempt."""
        return now - self.request.arrived + self.earlier_seconds

    def compute_caller_time_left(self, now: float) -> float:
        """Return the seconds that the caller still waits; 0 if not known.

        The route's time-out counts for each attempt, the caller's time for
        all of them.
        """
        seconds = self.request_metadata.timeout_seconds
        if seconds is None or self.request.relayed is not None:
            return 0
        return max(self.request.arrived + seconds - now, 0)

    def compute_retry_after(self, now: float) -> float:
        """Return the Retry-After for a failed request, in seconds."""
        remaining = max(self.deadline - now, 0)
        return min(remaining * _RETRY_AFTER_FRACTION, _MAX_RETRY_AFTER_SECONDS)


class TryHooks(NamedTuple):
    """Functions that are called during a try.

    `may_abandon` decides on a retry at another backend server instead of the
    running try, `may_resend` on sending to the same one on a new connection.
    `observe_metadata` gets what the server says of itself in its answer,
    `find_condition` tells whether a silent server still runs.
    """

    may_abandon: Callable[[RequestState], bool]
    may_resend: Callable[[RequestState], bool]
    observe_metadata: Callable[[RequestState, AnswerMetadata], None]
    find_condition: Callable[[RequestState], ServerCondition]


def compute_fingerprint(state: RequestState) -> str:
    """Return a digest of method, host, target and body.

    Of a long body only the beginning counts. Headers don't count: the affinity
    key says where a request should run, not what it is.
    """
    request = state.request
    digest = xxhash.xxh3_64()
    for part in (request.method, request.host, request.target):
        digest.update(f'{part}\0'.encode())
    if state.body is not None:
        digest.update(getattr(state.body, 'first', state.body))
    return digest.hexdigest()


def build_outgoing_request(
    state: RequestState,
    backend: Backend,
    header_codec: HeaderCodec,
    hooks: TryHooks,
    now: float,
) -> OutgoingRequest:
    """Return the request to send to a backend server.

    Parameters
    ----------
    state : RequestState
        The request.
    backend : Backend
        Where it is sent.
    header_codec : HeaderCodec
        Writes the added headers.
    hooks : TryHooks
        Called during the try.
    now : float
        Monotonic time in seconds.

    """
    route = state.route
    retry_at = math.inf
    if route.kind.is_idempotent and state.tries < route.max_attempts:
        abandon_seconds = _ABANDON_FRACTION * route.timeout
        retry_at = max(now + abandon_seconds, state.deadline - abandon_seconds)
    return OutgoingRequest(
        state.request.method,
        state.request.target,
        _list_headers(
            state,
            header_codec,
            (
                *header_codec.build_backend_headers(
                    state.deadline - now, backend.name
                ),
                *_build_tenant_headers(state, header_codec),
            ),
            keeps_keys=False,
        ),
        state.body,
        state.request_metadata.identifier,
        state.deadline,
        state.request.caller if route.kind.is_idempotent else None,
        retry_at,
        lambda: hooks.may_abandon(state),
        lambda: hooks.may_resend(state),
        lambda metadata: hooks.observe_metadata(state, metadata),
        lambda: hooks.find_condition(state),
    )


def build_relayed_request(
    state: RequestState,
    header_codec: HeaderCodec,
    context: Headers,
    now: float,
) -> OutgoingRequest:
    """Return the request to pass on to another node.

    Parameters
    ----------
    state : RequestState
        The request.
    header_codec : HeaderCodec
        Writes the added headers.
    context : Headers
        Headers that tell the other node about the request.
    now : float
        Monotonic time in seconds.

    """
    deadline_header = header_codec.build_deadline_header(state.deadline - now)
    return OutgoingRequest(
        state.request.method,
        state.request.target,
        _list_headers(
            state, header_codec, (*deadline_header, *context), keeps_keys=True
        ),
        state.body,
        state.request_metadata.identifier,
        state.deadline,
        state.request.caller if state.route.kind.is_idempotent else None,
        may_resend=lambda: not is_consumed(state.body),
    )


def _list_headers(
    state: RequestState,
    header_codec: HeaderCodec,
    added: Headers,
    *,
    keeps_keys: bool,
) -> Headers:
    keeps_keys = keeps_keys or not _has_tenants(state)
    forwarded = tuple(
        (name, text)
        for name, text in state.request.headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and not header_codec.is_replaced_per_hop(name)
        and (keeps_keys or not header_codec.is_of_tenants(name))
    )
    if state.request.length and isinstance(state.body, CallerBody):
        added = (*added, ('Content-Length', str(state.request.length)))
    return (*forwarded, *added)


def _build_tenant_headers(
    state: RequestState, header_codec: HeaderCodec
) -> Headers:
    if state.tenant is None:
        return ()
    return header_codec.build_tenant_headers(state.tenant.name)


def _has_tenants(state: RequestState) -> bool:
    return state.table is not None and state.table.tenants.is_used
