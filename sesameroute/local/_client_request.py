"""Requests of callers with their attempts and final outcome."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from sesameroute.caller import Caller, Outcome
from sesameroute.local._options import RunOptions
from sesameroute.statement import Kind, Statement
from sesameroute.verdict import Verdict

__all__ = ['Attempt', 'ClientRequest', 'plan_requests']

_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Attempt:
    """One transmission of a request and the verdict that its caller received.

    Attributes
    ----------
    verdict : Verdict
        Whether the request ran.
    code : str
        Error code of a refusal.
    key : str
        Request key, empty for none.
    started, finished : float
        Monotonic seconds.
    timeout_seconds : float
        Time-out of the attempt.

    """

    verdict: Verdict
    code: str
    key: str
    started: float
    finished: float
    timeout_seconds: float

    @property
    def is_late(self) -> bool:
        """Whether the outcome came more than a second after the time-out."""
        return self.finished - self.started > self.timeout_seconds + 1


@dataclass(slots=True)
class ClientRequest:
    """One logical request of a caller; all its attempts carry the same name.

    Attributes
    ----------
    name : str
        Unique name, part of the path and of the answer.
    kind : Kind
        Kind of the request.
    caller : Caller
        Caller that sends it.
    planned_second : float
        Scheduled time, in seconds from the start of the load.
    started, ended : float
        Monotonic seconds; `ended` is 0 while the request is in flight.
    attempts : list of Attempt
        Completed attempts, oldest first.
    outcome : Outcome or None
        Outcome of the last attempt.
    is_resent_with_new_key : bool
        Whether the client sent the same request before under another key,
        although that one may have run.

    """

    name: str
    kind: Kind
    caller: Caller
    planned_second: float = 0
    started: float = 0
    ended: float = 0
    attempts: list[Attempt] = field(default_factory=list)
    outcome: Outcome | None = None
    is_resent_with_new_key: bool = False

    @property
    def is_answered(self) -> bool:
        """Whether the last attempt was answered."""
        return self.outcome is not None and self.outcome.verdict is Verdict.RAN

    @property
    def deadline_seconds(self) -> float:
        """Seconds after which the caller no longer waits for an answer."""
        return self.kind.deadline_ms / _MILLISECONDS

    @property
    def body(self) -> bytes:
        """Body of the request, empty for idempotent kinds."""
        return b'' if self.kind.idempotent else self.name.encode()


def plan_requests(
    statement: Statement,
    callers: tuple[Caller, ...],
    options: RunOptions,
) -> Iterator[ClientRequest]:
    """Yield the requests of a run: Poisson arrivals, kinds by their share."""
    rng = random.Random(options.seed)
    kinds = tuple(statement.kinds.values())
    shares = [kind.share for kind in kinds]
    planned_second = rng.expovariate(options.rate)
    number = 0
    while planned_second < options.seconds:
        kind = rng.choices(kinds, shares)[0]
        name = f'{options.seed}-{number}'
        yield ClientRequest(name, kind, rng.choice(callers), planned_second)
        planned_second += rng.expovariate(options.rate)
        number += 1
