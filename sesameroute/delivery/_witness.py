"""The witness: remembers which requests of other homes may have run."""

import threading
from collections import OrderedDict
from dataclasses import dataclass, field

from sesameroute.delivery._key import ProcessIdentity, RequestKey
from sesameroute.delivery._message import (
    HandoverEntry,
    WitnessReply,
    WitnessStatus,
)
from sesameroute.ports import Clock

__all__ = ['Witness', 'WitnessLimits']


@dataclass(frozen=True, slots=True)
class WitnessLimits:
    """Limits of a witness.

    Attributes
    ----------
    keys : int
        Maximum number of keys remembered over all homes.
    epochs : int
        Maximum number of epochs remembered over all homes.
    homes : int
        Maximum number of homes, each an incarnation of an entry process,
        whose last forgotten epoch is remembered.
    body_bytes : int
        Total bytes of responses stored for homes that stopped.
    retention : float
        Seconds for which an epoch is remembered after its last use.

    """

    keys: int = 200_000
    epochs: int = 4096
    homes: int = 4096
    body_bytes: int = 64_000_000
    retention: float = 300


_DEFAULT_LIMITS = WitnessLimits()


@dataclass(slots=True, eq=False)
class _EpochState:
    """What is known about one epoch of one home.

    Attributes
    ----------
    changed_at : float
        Monotonic time in seconds of the last use.
    fenced : bool
        Whether no more keys are recorded.
    nonces : dict of (str, HandoverEntry or None)
        Recorded keys by nonce, with what the home handed over.

    """

    changed_at: float
    fenced: bool = False
    nonces: dict[str, HandoverEntry | None] = field(default_factory=dict)


_EpochKey = tuple[ProcessIdentity, int]
_IncarnationOrder = tuple[int, str]


class Witness:
    """Records keys for other homes and reports on them if a home fails.

    Parameters
    ----------
    identity : ProcessIdentity
        This VM and the incarnation of this process.
    clock : Clock
        Source of the current time.
    limits : WitnessLimits, optional
        Limits on the number, size and age of what is remembered.

    Notes
    -----
    No key of a forgotten epoch may be recorded again, because a request
    reported as `SEALED` could then run. For each home, the highest forgotten
    epoch is stored, and all epochs up to it count as forgotten. Homes that
    are themselves forgotten are covered by the latest forgotten incarnation:
    incarnations begin with their start time, so all earlier ones count as
    forgotten too.

    """

    def __init__(
        self,
        identity: ProcessIdentity,
        clock: Clock,
        limits: WitnessLimits = _DEFAULT_LIMITS,
    ) -> None:
        """Store the parameters; no key is recorded yet."""
        self.identity = identity
        self.clock = clock
        self.limits = limits
        self.epoch_states_: OrderedDict[_EpochKey, _EpochState] = OrderedDict()
        self.epoch_floors_: dict[ProcessIdentity, int] = {}
        self.incarnation_floor_: _IncarnationOrder = (0, '')
        self.key_count_ = 0
        self.body_bytes_ = 0
        self._lock = threading.Lock()

    def acknowledge(self, key: RequestKey) -> WitnessStatus:
        """Record a key whose request its home is about to send."""
        with self._lock:
            epoch_state = self._find_epoch_state(key)
            if epoch_state is None:
                return WitnessStatus.FORGOTTEN
            if epoch_state.fenced:
                return WitnessStatus.FENCED
            if key.nonce not in epoch_state.nonces:
                epoch_state.nonces[key.nonce] = None
                self.key_count_ += 1
            return WitnessStatus.RECORDED

    def fence(self, key: RequestKey) -> WitnessReply:
        """Report on a key; fence its epoch if the key isn't recorded."""
        with self._lock:
            epoch_state = self._find_epoch_state(key)
            if epoch_state is None:
                return WitnessReply(WitnessStatus.FORGOTTEN)
            if key.nonce not in epoch_state.nonces:
                epoch_state.fenced = True
                return WitnessReply(WitnessStatus.SEALED)
            return _describe(epoch_state.nonces[key.nonce])

    def store_handover_entry(self, handover_entry: HandoverEntry) -> bool:
        """Store an entry of a home that is stopping; return whether stored."""
        key = RequestKey.parse(handover_entry.key)
        with self._lock:
            epoch_state = self._find_epoch_state(key)
            size = self.body_bytes_ + len(handover_entry.body)
            if epoch_state is None or size > self.limits.body_bytes:
                return False
            if epoch_state.nonces.get(key.nonce) is None:
                self.key_count_ += key.nonce not in epoch_state.nonces
                self.body_bytes_ = size
                epoch_state.nonces[key.nonce] = handover_entry
            return True

    def _find_epoch_state(self, key: RequestKey) -> _EpochState | None:
        """Return the state of a key's epoch, None if it is forgotten.

        An unknown epoch is added, and old ones are evicted.
        """
        home = key.home
        if not self._names_this_witness(key) or self._is_forgotten(key):
            return None
        now = self.clock.read_monotonic()
        epoch_state = self.epoch_states_.setdefault(
            (home, key.epoch),
            _EpochState(now),
        )
        epoch_state.changed_at = now
        self.epoch_states_.move_to_end((home, key.epoch))
        self._evict(now)
        return None if self._is_forgotten(key) else epoch_state

    def _names_this_witness(self, key: RequestKey) -> bool:
        return key.witness == self.identity

    def _is_forgotten(self, key: RequestKey) -> bool:
        return (
            key.epoch <= self.epoch_floors_.get(key.home, 0)
            or _build_incarnation_order(key.home) <= self.incarnation_floor_
        )

    def _evict(self, now: float) -> None:
        while self.epoch_states_:
            (home, epoch), epoch_state = next(iter(self.epoch_states_.items()))
            if not self._must_evict(epoch_state, now):
                return
            self._forget(home, epoch)

    def _must_evict(self, epoch_state: _EpochState, now: float) -> bool:
        return (
            self.key_count_ > self.limits.keys
            or len(self.epoch_states_) > self.limits.epochs
            or now - epoch_state.changed_at > self.limits.retention
        )

    def _forget(self, home: ProcessIdentity, epoch: int) -> None:
        epoch_state = self.epoch_states_.pop((home, epoch))
        self.key_count_ -= len(epoch_state.nonces)
        self.body_bytes_ -= sum(
            len(handover_entry.body)
            for handover_entry in epoch_state.nonces.values()
            if handover_entry
        )
        self.epoch_floors_[home] = max(epoch, self.epoch_floors_.get(home, 0))
        if len(self.epoch_floors_) > self.limits.homes:
            oldest = min(self.epoch_floors_, key=_build_incarnation_order)
            self.epoch_floors_.pop(oldest)
            self.incarnation_floor_ = _build_incarnation_order(oldest)


def _build_incarnation_order(home: ProcessIdentity) -> _IncarnationOrder:
    """Return a sort key that orders homes by their start time."""
    return len(home.incarnation), home.incarnation


def _describe(handover_entry: HandoverEntry | None) -> WitnessReply:
    if handover_entry is None:
        return WitnessReply(WitnessStatus.RECORDED)
    return WitnessReply(
        handover_entry.status,
        handover_entry.answer_status,
        handover_entry.headers,
        handover_entry.body,
        handover_entry.fingerprint,
    )
