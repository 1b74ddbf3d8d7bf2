"""What a node asks of a pool, and what it is told."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from sesameroute.ports import register_message

__all__ = ['Ask', 'Grant', 'Outcome', 'Reason', 'Refusal', 'Release', 'Report']


@unique
class Reason(StrEnum):
    """Why a request was turned away."""

    NO_ROOM = 'no-room'
    NO_BACKEND = 'no-backend'
    TOO_LATE = 'too-late'


@unique
class Outcome(StrEnum):
    """How a granted try ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    SHED = 'shed'
    MISDIRECTED = 'misdirected'
    UNREACHED = 'unreached'
    LOST = 'lost'
    TIMED_OUT = 'timed-out'
    CANCELLED = 'cancelled'


@register_message('ask', quick=True)
@dataclass(frozen=True, slots=True)
class Ask:
    """A request that needs a slot.

    Attributes
    ----------
    flow : str
        Name of the route: requests of one flow take similar time.
    key : str
        The object the request concerns; empty if none.
    objective : float
        Seconds within which an answer is on time.
    on_time : float
        Seconds left until the objective; may be negative.
    time_left : float
        Seconds left until the deadline.
    is_returning : bool
        Whether the caller has been turned away before.
    homes : frozenset of str
        Regions that may serve it; empty means all.
    excluded : tuple of str
        Backend servers that were tried already.

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


@register_message('grant', quick=True)
@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to send one request to one incarnation.

    Attributes
    ----------
    number : int
        Identifies the grant within its pool.
    is_warm : bool
        Whether the backend server is believed to know the object.
    waited : float
        Seconds spent in the pool's queue.
    holder : str
        Node whose pool granted it.

    """

    number: int
    backend: str
    incarnation: int
    is_warm: bool = False
    waited: float = 0
    holder: str = ''


@register_message('refusal', quick=True)
@dataclass(frozen=True, slots=True)
class Refusal:
    """No slot can be had in time; `retry_after` in seconds."""

    reason: Reason
    retry_after: float


@register_message('release', quick=True)
@dataclass(frozen=True, slots=True)
class Release:
    """The end of a granted try.

    Attributes
    ----------
    seconds : float
        Time from sending the request to its answer.

    """

    service: str
    number: int
    outcome: Outcome
    seconds: float


@register_message('report', quick=True)
@dataclass(frozen=True, slots=True)
class Report:
    """What a pool holds, for the pools of the same service elsewhere.

    Attributes
    ----------
    held : dict of str to int
        Slots in use by the pool's grants, by backend server.
    demand : float
        Slots that the region's own requests keep busy on average.
    room : float
        Slots of the usable backend servers in the region.
    shares : dict
        Shares that regions hand to others, as far as the pool has heard.

    """

    service: str
    region: str
    held: dict[str, int]
    demand: float
    room: float
    shares: dict[str, dict[str, float]] = field(default_factory=dict)
