"""The witness: remembers for other homes which keys may have run."""

import threading
from collections import OrderedDict
from dataclasses import dataclass, field

from sesameroute.delivery._key import Identity, RequestKey
from sesameroute.delivery._message import (
    KeptWord,
    WitnessReply,
    WitnessStatus,
)
from sesameroute.ports import Clock

__all__ = ['Witness', 'WitnessLimits']


@dataclass(frozen=True, slots=True)
class WitnessLimits:
    """Bounds of a witness.

    Attributes
    ----------
    keys : int
        Keys remembered over all homes.
    epochs : int
        Epochs remembered over all homes.
    homes : int
        Lives of homes of which a forgotten epoch is remembered.
    body_bytes : int
        Bytes of answers kept for homes that stopped.
    retention : float
        Seconds for which an epoch is remembered after its last change.

    """

    keys: int = 200_000
    epochs: int = 4096
    homes: int = 4096
    body_bytes: int = 64_000_000
    retention: float = 300


_DEFAULT_LIMITS = WitnessLimits()


@dataclass(slots=True, eq=False)
class _Ledger:
    """What is known of one epoch of one home."""

    changed: float
    fenced: bool = False
    nonces: dict[str, KeptWord | None] = field(default_factory=dict)


_LedgerKey = tuple[Identity, int]
_Life = tuple[int, str]


class Witness:
    """Acknowledges keys for homes, and tells others when a home can't.

    Parameters
    ----------
    identity : Identity
        This VM and the present life of its process.
    clock : Clock
        Source of time.
    limits : WitnessLimits, optional
        Bounds on number, bytes and age.

    Notes
    -----
    A forgotten epoch must never be acknowledged again, else a key that was
    sealed might run. Per home a floor is kept under which all epochs count
    as forgotten; homes that are forgotten themselves fall under a floor of
    incarnations, which begin with their start time.

    """

    def __init__(
        self,
        identity: Identity,
        clock: Clock,
        limits: WitnessLimits = _DEFAULT_LIMITS,
    ) -> None:
        """Store the parameters; nothing is acknowledged yet."""
        self.identity = identity
        self.clock = clock
        self.limits = limits
        self.ledgers_: OrderedDict[_LedgerKey, _Ledger] = OrderedDict()
        self.floors_: dict[Identity, int] = {}
        self.life_floor_: _Life = (0, '')
        self.keys_ = 0
        self.body_bytes_ = 0
        self._lock = threading.Lock()

    def acknowledge(self, key: RequestKey) -> WitnessStatus:
        """Remember a key that its home is about to run."""
        with self._lock:
            ledger = self._find_ledger(key)
            if ledger is None:
                return WitnessStatus.FORGOTTEN
            if ledger.fenced:
                return WitnessStatus.FENCED
            if key.nonce not in ledger.nonces:
                ledger.nonces[key.nonce] = None
                self.keys_ += 1
            return WitnessStatus.RECORDED

    def fence(self, key: RequestKey) -> WitnessReply:
        """Say what became of a key; fence its epoch if it isn't recorded."""
        with self._lock:
            ledger = self._find_ledger(key)
            if ledger is None:
                return WitnessReply(WitnessStatus.FORGOTTEN)
            if key.nonce not in ledger.nonces:
                ledger.fenced = True
                return WitnessReply(WitnessStatus.SEALED)
            return _describe(ledger.nonces[key.nonce])

    def keep(self, word: KeptWord) -> bool:
        """Keep the word of a stopping home on a key; return whether kept."""
        key = RequestKey.parse(word.key)
        with self._lock:
            ledger = self._find_ledger(key)
            size = self.body_bytes_ + len(word.body)
            if ledger is None or size > self.limits.body_bytes:
                return False
            if ledger.nonces.get(key.nonce) is None:
                self.keys_ += key.nonce not in ledger.nonces
                self.body_bytes_ = size
                ledger.nonces[key.nonce] = word
            return True

    def _find_ledger(self, key: RequestKey) -> _Ledger | None:
        """Return the ledger of a key's epoch, None if it is forgotten."""
        home = key.home
        if not self._is_mine(key) or self._is_forgotten(key):
            return None
        now = self.clock.read_monotonic()
        ledger = self.ledgers_.setdefault(
            (home, key.epoch),
            _Ledger(now),
        )
        ledger.changed = now
        self.ledgers_.move_to_end((home, key.epoch))
        self._evict(now)
        return None if self._is_forgotten(key) else ledger

    def _is_mine(self, key: RequestKey) -> bool:
        return key.witness == self.identity

    def _is_forgotten(self, key: RequestKey) -> bool:
        return (
            key.epoch <= self.floors_.get(key.home, 0)
            or _order_life(key.home) <= self.life_floor_
        )

    def _evict(self, now: float) -> None:
        while self.ledgers_:
            (home, epoch), ledger = next(iter(self.ledgers_.items()))
            if not self._is_due(ledger, now):
                return
            self._forget(home, epoch)

    def _is_due(self, ledger: _Ledger, now: float) -> bool:
        return (
            self.keys_ > self.limits.keys
            or len(self.ledgers_) > self.limits.epochs
            or now - ledger.changed > self.limits.retention
        )

    def _forget(self, home: Identity, epoch: int) -> None:
        ledger = self.ledgers_.pop((home, epoch))
        self.keys_ -= len(ledger.nonces)
        self.body_bytes_ -= sum(
            len(word.body) for word in ledger.nonces.values() if word
        )
        self.floors_[home] = max(epoch, self.floors_.get(home, 0))
        if len(self.floors_) > self.limits.homes:
            oldest = min(self.floors_, key=_order_life)
            self.floors_.pop(oldest)
            self.life_floor_ = _order_life(oldest)


def _order_life(home: Identity) -> _Life:
    """Return a sort key that puts earlier start times first."""
    return len(home.incarnation), home.incarnation


def _describe(word: KeptWord | None) -> WitnessReply:
    if word is None:
        return WitnessReply(WitnessStatus.RECORDED)
    return WitnessReply(
        word.status,
        word.answer_status,
        word.headers,
        word.body,
        word.fingerprint,
    )
