"""What tries at backend servers have shown: losses, slowness, sheds."""

from collections.abc import Iterable
from dataclasses import dataclass

from sesameroute.ports import Outcome, OutcomeCode
from sesameroute.statement import Upstream

__all__ = ['Health']

_LOSSES = 2  # losses in a row after which a backend server is ejected
_FIRST_EJECTION = 1.0  # seconds; doubles with each further one
_LONGEST_EJECTION = 16.0  # seconds
_MOST_EJECTED = 0.6  # part of a service's backend servers
_SHED_PAUSE = 0.25  # seconds without new work after a shed answer
_LEAVING_PAUSE = 30.0  # seconds without new work after a draining answer
_SMOOTHING = 0.2  # weight of the newest round trip
_LOAD_HALF_LIFE = 0.5  # seconds after which a load report counts half
_DISTRUST = 0.5  # factor on the trust in a report that was contradicted
_REGAIN = 0.02  # trust regained with each report that was not
_BUSY = 0.9  # reported load that a quick answer contradicts
_IDLE = 0.5  # reported load that a shed answer contradicts
_BAD_CODES = frozenset(
    (OutcomeCode.REFUSED, OutcomeCode.LOST, OutcomeCode.TIMEOUT),
)


@dataclass(slots=True)
class _Record:
    """What is known of one backend server."""

    slowness: float = 1
    losses: int = 0
    ejections: int = 0
    until: float = 0
    leaving: float = 0
    successes: int = 0
    cold: bool = False
    load: float = 0
    load_since: float = 0
    trust: float = 1


_UNKNOWN = _Record()


class Health:
    """Own experience with backend servers, and their reports.

    Own refusals and round trips go before load reports, which count less
    with age and with each time that experience contradicted them.
    """

    def __init__(self) -> None:
        """Know nothing."""
        self.records_: dict[str, _Record] = {}

    def observe(
        self,
        upstream: Upstream,
        outcome: Outcome,
        slowness: float,
        now: float,
    ) -> None:
        """Learn from a try.

        Parameters
        ----------
        upstream : Upstream
            The backend server.
        outcome : Outcome
            How the try ended.
        slowness : float
            Its time as a multiple of the usual time.
        now : float
            Monotonic time in seconds.

        """
        record = self.records_.setdefault(upstream.name, _Record())
        if outcome.draining or outcome.code is OutcomeCode.DRAINING:
            record.leaving = now + _LEAVING_PAUSE
            record.cold = True
            record.successes = 0
        elif outcome.code is OutcomeCode.ANSWERED:
            self._observe_answer(record, outcome, slowness, now)
        elif outcome.code is OutcomeCode.SHED:
            self._observe_shed(record, now)
        elif outcome.code in _BAD_CODES:
            self._observe_loss(record, now)

    def list_leaving(self, now: float) -> tuple[str, ...]:
        """Return those that said themselves that they leave.

        Any thread may call it: it reads a copy made at once.
        """
        return tuple(
            name
            for name, record in tuple(self.records_.items())
            if record.leaving > now
        )

    def list_out(
        self,
        upstreams: Iterable[Upstream],
        now: float,
    ) -> frozenset[str]:
        """Return those of one service that get no work now.

        When most look bad, the fault is likely not theirs: then only those
        that said that they leave are left out.
        """
        names = [one.name for one in upstreams]
        known = {
            name: self.records_[name] for name in names if name in self.records_
        }
        leaving = {name for name, one in known.items() if one.leaving > now}
        bad = {name for name, one in known.items() if one.until > now}
        if len(bad) > len(names) * _MOST_EJECTED:
            bad.clear()
        return frozenset(leaving | bad)

    def limit_slots(self, upstream: Upstream) -> int:
        """Return how many slots may be used while it warms or is on trial."""
        record = self.records_.get(upstream.name)
        if record is None:
            return upstream.slots
        if record.losses >= _LOSSES:
            return 1
        if record.cold:
            return min(upstream.slots, 1 + record.successes // 2)
        return upstream.slots

    def rate(self, upstream: Upstream, now: float) -> float:
        """Return a penalty of at least 1 for slowness and reported load."""
        record = self.records_.get(upstream.name)
        if record is None:
            return 1
        age = now - record.load_since
        weight = record.trust * _LOAD_HALF_LIFE / (_LOAD_HALF_LIFE + age)
        return max(1, record.slowness) * (1 + record.load * weight)

    def mark_cold(self, name: str) -> None:
        """Let a new backend server start with few slots."""
        self.records_[name] = _Record(cold=True)

    def _observe_answer(
        self,
        record: _Record,
        outcome: Outcome,
        slowness: float,
        now: float,
    ) -> None:
        record.losses = 0
        record.ejections = 0
        record.successes += 1
        record.slowness += (slowness - record.slowness) * _SMOOTHING
        if outcome.load is None:
            return
        quick = slowness <= 1
        if quick and outcome.load >= _BUSY:
            record.trust *= _DISTRUST
        else:
            record.trust = min(1, record.trust + _REGAIN)
        record.load = outcome.load
        record.load_since = now

    def _observe_shed(self, record: _Record, now: float) -> None:
        record.until = max(record.until, now + _SHED_PAUSE)
        if record.load < _IDLE:
            record.trust *= _DISTRUST

    def _observe_loss(self, record: _Record, now: float) -> None:
        record.losses += 1
        if record.losses < _LOSSES:
            return
        pause = min(_LONGEST_EJECTION, _FIRST_EJECTION * 2**record.ejections)
        record.ejections += 1
        record.until = now + pause
        record.successes = 0
        record.cold = True
