"""How a stand-in backend server behaves, changed while it runs."""

from dataclasses import dataclass

__all__ = ['Behaviour', 'WorkKind']


@dataclass(frozen=True, slots=True)
class WorkKind:
    """Work of one kind: seconds on a warm server, bytes of an answer."""

    seconds: float = 0.01
    answer_bytes: int = 1000


@dataclass(slots=True)
class Behaviour:
    """Faults and habits of one stand-in; a test sets them at any time.

    Attributes
    ----------
    work_factor : float
        Multiplies all work time.
    cold_seconds, cold_factor : float
        After a start, work takes `cold_factor` times as long, falling to
        its usual time over `cold_seconds`.
    reports_load : bool
        Whether answers and ``/-/load`` tell the load.
    load_lag : float
        Age in seconds of the load that is told.
    load_lie : int or None
        Told instead of the true number of used slots.
    queue_seconds : float
        Longest wait for a slot before a request is shed.
    leaves_after : float
        Seconds from the start of a drain until new work is refused.
    poison : bytes
        A body or path that holds it crashes the server; empty for none.

    """

    work_factor: float = 1
    cold_seconds: float = 0
    cold_factor: float = 5
    reports_load: bool = True
    load_lag: float = 0.2
    load_lie: int | None = None
    queue_seconds: float = 0.25
    leaves_after: float = 2
    poison: bytes = b'poison'
