"""Messages between nodes and the pools that grant slots."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from sesameroute.ports import register_message

__all__ = [
    'SlotRequest',
    'NO_ANSWER',
    'Grant',
    'ObservedAnswer',
    'Outcome',
    'Reason',
    'Refusal',
    'Release',
    'PoolReport',
    'ServerLoad',
]


@unique
class Reason(StrEnum):
    """Why a request was refused."""

    NO_ROOM = 'no-room'
    NO_BACKEND = 'no-backend'
    TOO_LATE = 'too-late'
    # The tenant sends more than its allowance; never said by a pool.
    OVER_ALLOWANCE = 'over-allowance'


@unique
class Outcome(StrEnum):
    """How a try with a granted slot ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    SHED = 'shed'
    MISDIRECTED = 'misdirected'
    UNREACHED = 'unreached'
    LOST = 'lost'
    TIMED_OUT = 'timed-out'
    CANCELLED = 'cancelled'


@register_message('ask', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Asks a pool for a slot for one request.

    Attributes
    ----------
    service : str
        Name of the service.
    flow : str
        Name of the route. Requests of the same route have similar run times.
    key : str
        Identifies the object that the request is about; empty if none.
    priority : int
        Requests with a lower number are served first.
    objective : float
        Target latency in seconds; a later answer is late.
    on_time : float
        Seconds left of the objective; negative if it has been missed.
    time_left : float
        Seconds left until the deadline.
    is_returning : bool
        Whether this is a retry after a refusal.
    homes : tuple of str
        Regions that may serve the request; empty means all.
    excluded : tuple of str
        Names of the backend servers that were tried already.
    tenant : str
        Tenant that sends the request; empty if the configuration has none.
    tenant_priority : int
        Priority of the tenant, which goes before that of the route.
    allowance : float
        Requests per second that the tenant may send; 0 means no limit.
    body_bytes : int
        Size of the request's body; -1 if it is not known.
    ticket : str
        Identifies the message, so that it can be withdrawn; empty if not.
    caller_time_left : float
        Seconds that the caller still waits, over all its attempts; 0 if it
        is not known.

    """

    service: str
    flow: str
    key: str
    priority: int
    objective: float
    on_time: float
    time_left: float
    is_returning: bool = False
    homes: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()
    tenant: str = ''
    tenant_priority: int = 0
    allowance: float = field(default_factory=float)
    body_bytes: int = 0
    ticket: str = ''
    caller_time_left: float = field(default_factory=float)


@register_message('grant', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to send one request to one backend server.

    Attributes
    ----------
    number : int
        Identifies the grant within its pool.
    backend : str
        Name of the backend server.
    incarnation : int
        Incarnation of the backend server for which the grant is valid.
    is_warm : bool
        Whether the backend server probably has the object in its cache.
    waited : float
        Seconds that the request waited in the pool's queue.
    holder : str
        Address of the node whose pool granted the slot.
    run_seconds : float
        Time in seconds that the request must have left when it is sent; 0 if
        any time will do.

    """

    number: int
    backend: str
    incarnation: int
    is_warm: bool = False
    waited: float = field(default_factory=float)
    holder: str = ''
    run_seconds: float = field(default_factory=float)


@register_message('refusal', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class Refusal:
    """No slot is available in time; retry after `retry_after` seconds."""

    reason: Reason
    retry_after: float


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a backend server says of its load in an answer.

    Attributes
    ----------
    running : int
        Requests that it runs.
    waiting : int
        Requests in its queue.
    slots : int
        Requests that it can run at once.
    pace : float
        Ratio of the time that work takes at this moment to the usual time;
        0 if it does not say.

    """

    running: int
    waiting: int
    slots: int
    pace: float = 0


@dataclass(frozen=True, slots=True)
class ObservedAnswer:
    """What the answer to a request showed of it and of the server.

    Attributes
    ----------
    load : ServerLoad or None
        What the server said of its load.
    byte_count : int
        Bytes of the request's body and of the answer's, as far as known.

    """

    load: ServerLoad | None = None
    byte_count: int = 0


NO_ANSWER = ObservedAnswer()


@register_message('release', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class Release:
    """Returns the slot of a grant when the try has ended.

    Attributes
    ----------
    service : str
        Name of the service.
    number : int
        Number of the grant.
    outcome : Outcome
        How the try ended.
    seconds : float
        Time in seconds from sending the request to its answer.
    byte_count : int
        Bytes of the request's body and of the answer's.
    load : ServerLoad or None
        What the backend server said of its load in the answer.
    ticket : str
        Withdraws the slot request with this ticket, whether it waits or has
        its slot; `number` is 0 then.

    """

    service: str
    number: int
    outcome: Outcome
    seconds: float
    byte_count: int = 0
    load: ServerLoad | None = None
    ticket: str = ''


@register_message('report', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class PoolReport:
    """State of a pool, sent to the service's pools on other nodes.

    Attributes
    ----------
    service : str
        Name of the service.
    region : str
        Region of the pool.
    held : dict of str to int
        Slots in use by the pool's grants, by backend server.
    demand : float
        Average number of slots that requests from the region need.
    room : float
        Number of slots of the usable backend servers in the region.
    shares : dict of str to dict of str to float
        Fraction of each region's requests that each other region serves, as
        far as the sender knows.

    """

    service: str
    region: str
    held: dict[str, int]
    demand: float
    room: float
    shares: dict[str, dict[str, float]] = field(default_factory=dict)
