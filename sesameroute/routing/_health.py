"""Outlier detection: health of backend servers from their answers."""

from collections.abc import Iterable
from dataclasses import dataclass

from sesameroute.ports import Outcome, OutcomeCode
from sesameroute.statement import Upstream

__all__ = ['Health']

_LOSSES_TO_EJECT = 2  # consecutive failures that eject a backend server
_BASE_EJECTION_SECONDS = 1.0  # doubles with each further ejection
_MAX_EJECTION_SECONDS = 16.0
_MAX_EJECTED_FRACTION = 0.6  # of a service's backend servers
_SHED_PAUSE_SECONDS = 0.25  # without new work after a shed answer
_DRAINING_PAUSE_SECONDS = 30.0  # without new work after a draining answer
_SLOWNESS_EWMA_WEIGHT = 0.2  # of the newest try
_LOAD_HALF_WEIGHT_SECONDS = 0.5  # age at which a load report counts half
_TRUST_LOSS_FACTOR = 0.5  # applied when a load report is contradicted
_TRUST_REGAIN = 0.02  # added when a load report is not contradicted
_BUSY_LOAD = 0.9  # at or above: contradicted by a fast answer
_IDLE_LOAD = 0.5  # below: contradicted by a shed answer
_LOSS_CODES = frozenset(
    (OutcomeCode.REFUSED, OutcomeCode.LOST, OutcomeCode.TIMEOUT),
)


@dataclass(slots=True)
class _BackendState:
    """Health of one backend server; times are monotonic, in seconds.

    Attributes
    ----------
    slowness : float
        Moving average of durations, as multiples of the expected duration.
    losses : int
        Consecutive failures.
    ejections : int
        Ejections since the last answer.
    successes : int
        Answers since the warm-up started.
    load : float
        Last reported fraction of slots in use.
    trust : float
        Weight of load reports, 0 to 1.

    """

    slowness: float = 1
    losses: int = 0
    ejections: int = 0
    ejected_until: float = 0
    draining_until: float = 0
    successes: int = 0
    is_warming_up: bool = False
    load: float = 0
    load_reported_at: float = 0
    trust: float = 1


_UNKNOWN = _BackendState()


class Health:
    """Tracks failures, latency and reported load of backend servers.

    Measured failures and round trips take precedence over reported load.
    A load report loses weight with its age and with each measurement that
    contradicted a report of the same backend server.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.states_: dict[str, _BackendState] = {}

    def observe(
        self,
        upstream: Upstream,
        outcome: Outcome,
        slowness: float,
        now: float,
    ) -> None:
        """Record the outcome of a try.

        Parameters
        ----------
        upstream : Upstream
            The backend server.
        outcome : Outcome
            How the try ended.
        slowness : float
            Its duration as a multiple of the expected duration.
        now : float
            Monotonic time in seconds.

        """
        state = self.states_.setdefault(upstream.name, _BackendState())
        if outcome.draining or outcome.code is OutcomeCode.DRAINING:
            state.draining_until = now + _DRAINING_PAUSE_SECONDS
            state.is_warming_up = True
            state.successes = 0
        elif outcome.code is OutcomeCode.ANSWERED:
            self._observe_answer(state, outcome, slowness, now)
        elif outcome.code is OutcomeCode.SHED:
            self._observe_shed(state, now)
        elif outcome.code in _LOSS_CODES:
            self._observe_loss(state, now)

    def list_leaving(self, now: float) -> tuple[str, ...]:
        """Return backend servers that announced that they are draining.

        Safe to call from any thread: it iterates over a copy.
        """
        return tuple(
            name
            for name, state in tuple(self.states_.items())
            if state.draining_until > now
        )

    def list_unavailable(
        self,
        upstreams: Iterable[Upstream],
        now: float,
    ) -> frozenset[str]:
        """Return the backend servers of a service that get no work now.

        When more than _MAX_EJECTED_FRACTION of them would be ejected, the
        cause is probably elsewhere; then nobody is ejected and only those
        that announced that they are draining are returned.
        """
        names = [server.name for server in upstreams]
        known = {
            name: self.states_[name] for name in names if name in self.states_
        }
        announced = {
            name for name, entry in known.items() if entry.draining_until > now
        }
        ejected = {
            name for name, entry in known.items() if entry.ejected_until > now
        }
        if len(ejected) > len(names) * _MAX_EJECTED_FRACTION:
            ejected.clear()
        return frozenset(announced | ejected)

    def limit_slots(self, upstream: Upstream) -> int:
        """Return the usable slots: fewer after failures and in warm-up."""
        state = self.states_.get(upstream.name)
        if state is None:
            return upstream.slots
        if state.losses >= _LOSSES_TO_EJECT:
            return 1
        if state.is_warming_up:
            return min(upstream.slots, 1 + state.successes // 2)
        return upstream.slots

    def compute_penalty(self, upstream: Upstream, now: float) -> float:
        """Return a penalty factor, at least 1, for slowness and load."""
        state = self.states_.get(upstream.name)
        if state is None:
            return 1
        age = now - state.load_reported_at
        weight = (
            state.trust
            * _LOAD_HALF_WEIGHT_SECONDS
            / (_LOAD_HALF_WEIGHT_SECONDS + age)
        )
        return max(1, state.slowness) * (1 + state.load * weight)

    def start_warm_up(self, name: str) -> None:
        """Start a new backend server with one slot, plus one per 2 answers."""
        self.states_[name] = _BackendState(is_warming_up=True)

    def _observe_answer(
        self,
        state: _BackendState,
        outcome: Outcome,
        slowness: float,
        now: float,
    ) -> None:
        state.losses = 0
        state.ejections = 0
        state.successes += 1
        state.slowness += (slowness - state.slowness) * _SLOWNESS_EWMA_WEIGHT
        if outcome.load is None:
            return
        is_fast = slowness <= 1
        if is_fast and outcome.load >= _BUSY_LOAD:
            state.trust *= _TRUST_LOSS_FACTOR
        else:
            state.trust = min(1, state.trust + _TRUST_REGAIN)
        state.load = outcome.load
        state.load_reported_at = now

    def _observe_shed(self, state: _BackendState, now: float) -> None:
        state.ejected_until = max(
            state.ejected_until, now + _SHED_PAUSE_SECONDS
        )
        if state.load < _IDLE_LOAD:
            state.trust *= _TRUST_LOSS_FACTOR

    def _observe_loss(self, state: _BackendState, now: float) -> None:
        state.losses += 1
        if state.losses < _LOSSES_TO_EJECT:
            return
        ejection = min(
            _MAX_EJECTION_SECONDS, _BASE_EJECTION_SECONDS * 2**state.ejections
        )
        state.ejections += 1
        state.ejected_until = now + ejection
        state.successes = 0
        state.is_warming_up = True
