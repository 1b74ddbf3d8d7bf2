"""Performance settings and faults of a fake backend server."""

from dataclasses import dataclass

__all__ = ['Behaviour', 'WorkKind']


@dataclass(frozen=True, slots=True)
class WorkKind:
    """Work that one kind of request causes.

    Attributes
    ----------
    seconds : float
        Duration of the work on a warm server.
    answer_bytes : int
        Size of the answer, without its first line.

    """

    seconds: float = 0.01
    answer_bytes: int = 1000


@dataclass(slots=True)
class Behaviour:
    """Performance settings and faults; a test may set them at any time.

    Attributes
    ----------
    work_factor : float
        Factor on the duration of all work.
    cold_seconds, cold_factor : float
        After a start, work takes `cold_factor` times as long; the factor
        falls linearly to 1 over `cold_seconds`.
    reports_load : bool
        Whether answers and ``/-/load`` carry the load header.
    load_lag : float
        Maximum age in seconds of the load that is reported.
    load_override : int or None
        Reported instead of the true number of used slots, if given.
    queue_seconds : float
        Longest wait for a slot before a request is shed.
    drain_notice_seconds : float
        Time from the announcement of a drain until new work is refused.
    poison : bytes
        A request whose body or order contains these bytes crashes the
        server; empty to disable.

    """

    work_factor: float = 1
    cold_seconds: float = 0
    cold_factor: float = 5
    reports_load: bool = True
    load_lag: float = 0.2
    load_override: int | None = None
    queue_seconds: float = 0.25
    drain_notice_seconds: float = 2
    poison: bytes = b'poison'
