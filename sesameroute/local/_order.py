"""Requests of callers, from their plan to the last word."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from sesameroute.caller import Caller, Outcome
from sesameroute.local._options import RunOptions
from sesameroute.statement import Kind, Statement
from sesameroute.verdict import Verdict

__all__ = ['Order', 'Word', 'plan_orders']

_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Word:
    """What a caller heard about one sending.

    Attributes
    ----------
    started, said : float
        Monotonic seconds.
    seconds : float
        Time that the caller allowed.

    """

    verdict: Verdict
    code: str
    key: str
    started: float
    said: float
    seconds: float

    @property
    def is_late(self) -> bool:
        """Whether it came more than a second after the deadline."""
        return self.said - self.started > self.seconds + 1


@dataclass(slots=True)
class Order:
    """What one caller wants done; all its sendings carry the same name.

    Attributes
    ----------
    name : str
        Unique name, part of the path and of the answer.
    planned : float
        Seconds from the start of the load.
    started, ended : float
        Monotonic seconds; `ended` is 0 while it is under way.
    words : list of Word
        What the caller heard, one for each sending.
    outcome : Outcome or None
        The last answer or refusal.
    is_sent_anew : bool
        Whether its user sent the same before under another key, although
        that may have run.

    """

    name: str
    kind: Kind
    caller: Caller
    planned: float = 0
    started: float = 0
    ended: float = 0
    words: list[Word] = field(default_factory=list)
    outcome: Outcome | None = None
    is_sent_anew: bool = False

    @property
    def is_answered(self) -> bool:
        """Whether the last word is an answer."""
        return self.outcome is not None and self.outcome.verdict is Verdict.RAN

    @property
    def deadline(self) -> float:
        """Seconds that the caller waits for an answer."""
        return self.kind.deadline_ms / _MILLISECONDS

    @property
    def body(self) -> bytes:
        """Body of the request, empty for idempotent kinds."""
        return b'' if self.kind.idempotent else self.name.encode()


def plan_orders(
    statement: Statement,
    callers: tuple[Caller, ...],
    options: RunOptions,
) -> Iterator[Order]:
    """Yield the orders of a run: Poisson arrivals, kinds by their share."""
    rng = random.Random(options.seed)
    kinds = tuple(statement.kinds.values())
    shares = [kind.share for kind in kinds]
    planned = rng.expovariate(options.rate)
    number = 0
    while planned < options.seconds:
        kind = rng.choices(kinds, shares)[0]
        name = f'{options.seed}-{number}'
        yield Order(name, kind, rng.choice(callers), planned)
        planned += rng.expovariate(options.rate)
        number += 1
