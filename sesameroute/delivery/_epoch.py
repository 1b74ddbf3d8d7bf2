"""The home's epochs: each names the witness of its request keys."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from sesameroute.delivery._key import Identity, RequestKey, make_nonce
from sesameroute.delivery._record import Record
from sesameroute.ports import Clock

__all__ = ['Epoch', 'EpochKeeper', 'Members']

_LOG = logging.getLogger(__name__)
_EPOCH_SECONDS: Final = 30.0  # after which the next epoch is opened
_SHORTEST_SECONDS: Final = 0.2  # before a better witness is named
_OVERLAP_SECONDS: Final = 15.0  # for which the one before still takes keys
_SUSPECT_SECONDS: Final = 2.0  # for which a silent witness is not named


class Members(Protocol):
    """What delivery asks of the membership."""

    def find_incarnation(self, vm: str) -> str | None:
        """Return the last known incarnation of a VM, None if unknown."""

    def list_witnesses(self) -> tuple[tuple[str, str], ...]:
        """Return names and incarnations of live VMs, best witness first."""


@dataclass(frozen=True, slots=True)
class Epoch:
    """A stretch of time in which a home uses one witness."""

    home: Identity
    number: int
    witness: Identity | None
    opened: float

    @property
    def prefix(self) -> str:
        """Prefix of the request keys of this epoch."""
        return RequestKey(self.home, self.number, self.witness, '').prefix


class EpochKeeper:
    """Opens and closes the epochs of one home.

    Parameters
    ----------
    identity : Identity
        This VM and the present life of its process.
    members : Members
        Source of witnesses.
    record : Record
        Told of every epoch opened and closed.
    clock : Clock
        Source of time.
    announce : callable
        Called without a lock after an epoch was opened in place of another.

    """

    def __init__(
        self,
        identity: Identity,
        members: Members,
        record: Record,
        clock: Clock,
        announce: Callable[[], None],
    ) -> None:
        """Store the parameters; no epoch is open yet."""
        self.announce = announce
        self.identity = identity
        self.members = members
        self.record = record
        self.clock = clock
        self.epoch_: Epoch | None = None
        self.former_: Epoch | None = None
        self.stopped_ = False
        self.suspects_: dict[Identity, float] = {}
        self._lock = threading.RLock()

    def read_epoch(self) -> Epoch:
        """Return the current epoch; open the first when there is none."""
        with self._lock:
            return self.epoch_ or self._open(self.clock.read_monotonic())

    def make_key(self) -> RequestKey:
        """Return a new key in the current epoch."""
        epoch = self.refresh()
        return RequestKey(
            self.identity,
            epoch.number,
            epoch.witness,
            make_nonce(),
        )

    def refresh(self) -> Epoch:
        """Open a new epoch if the current one should not be used more."""
        now = self.clock.read_monotonic()
        with self._lock:
            self._close_former(now)
            epoch = self.read_epoch()
            if self.stopped_ or not self._is_due(epoch, now):
                return epoch
            epoch = self._open(now)
        self.announce()
        return epoch

    def give_up(self, key: RequestKey, reason: str) -> None:
        """Close the epoch of a key whose witness didn't acknowledge it."""
        with self._lock:
            now = self.clock.read_monotonic()
            self.record.close_epochs(now, key.epoch)
            if key.witness and reason != 'fenced':
                self.suspects_[key.witness] = now + _SUSPECT_SECONDS
        _LOG.warning(
            'epoch-closed',
            extra={'epoch': key.epoch, 'reason': reason},
        )
        self.refresh()

    def stop(self) -> None:
        """Close every epoch for good."""
        with self._lock:
            self.stopped_ = True
            self.record.close_epochs(self.clock.read_monotonic())

    def _is_due(self, epoch: Epoch, now: float) -> bool:
        if not self.record.is_open(epoch.number):
            return self.record.has_room()
        age = now - epoch.opened
        if not _SHORTEST_SECONDS <= age <= _EPOCH_SECONDS:
            return age > _EPOCH_SECONDS
        if epoch.witness is None:
            return self._choose_witness(now) is not None
        life = self.members.find_incarnation(epoch.witness.vm)
        return life != epoch.witness.incarnation

    def _open(self, now: float) -> Epoch:
        former = self.epoch_
        number = former.number + 1 if former else 1
        witness = self._choose_witness(now)
        if self.former_:
            self.record.close_epochs(now, self.former_.number)
        self.former_ = former
        self.epoch_ = Epoch(self.identity, number, witness, now)
        self.record.open_epoch(number, witness)
        _LOG.info(
            'epoch-opened',
            extra={'epoch': number, 'witness': witness and witness.vm},
        )
        return self.epoch_

    def _close_former(self, now: float) -> None:
        former = self.former_
        epoch = self.epoch_
        if former and epoch and now - epoch.opened > _OVERLAP_SECONDS:
            self.record.close_epochs(now, former.number)
            self.former_ = None

    def _choose_witness(self, now: float) -> Identity | None:
        for vm, incarnation in self.members.list_witnesses():
            witness = Identity(vm, incarnation)
            if vm == self.identity.vm:
                continue
            if self.suspects_.get(witness, now) <= now:
                self.suspects_.pop(witness, None)
                return witness
        return None
