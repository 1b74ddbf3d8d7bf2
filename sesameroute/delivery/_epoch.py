"""Epochs of a home: each is a period in which it uses one witness."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from sesameroute.delivery._key import ProcessIdentity, RequestKey, make_nonce
from sesameroute.delivery._record import Record
from sesameroute.ports import Clock

__all__ = ['Epoch', 'EpochManager', 'MembershipView']

_LOG = logging.getLogger(__name__)
# An epoch of this age is replaced by a new one.
_MAX_EPOCH_SECONDS: Final = 30.0
# An epoch is not replaced for the sake of another witness before this age.
_MIN_EPOCH_SECONDS: Final = 0.2
# The previous epoch still admits keys for this time after its replacement.
_OVERLAP_SECONDS: Final = 15.0
# A witness that did not reply is not chosen again for this time.
_WITNESS_SUSPICION_SECONDS: Final = 2.0


class MembershipView(Protocol):
    """What delivery needs to know about the live VMs."""

    def find_incarnation(self, vm: str) -> str | None:
        """Return the last known incarnation of a VM, None if unknown."""

    def list_witnesses(self) -> tuple[tuple[str, str], ...]:
        """Return names and incarnations of live VMs, best witness first."""


@dataclass(frozen=True, slots=True)
class Epoch:
    """A period in which a home uses one witness.

    Attributes
    ----------
    home : ProcessIdentity
        The process that the epoch belongs to.
    number : int
        Number of the epoch, counted from 1 in each incarnation.
    witness : ProcessIdentity or None
        The process that records the keys, None if there was none to choose.
    opened_at : float
        Monotonic time in seconds at which the epoch was opened.

    """

    home: ProcessIdentity
    number: int
    witness: ProcessIdentity | None
    opened_at: float

    @property
    def prefix(self) -> str:
        """Prefix of the request keys of this epoch, without the nonce."""
        return RequestKey(self.home, self.number, self.witness, '').prefix


class EpochManager:
    """Opens and closes the epochs of one home and chooses their witnesses.

    Parameters
    ----------
    identity : ProcessIdentity
        This VM and the incarnation of this process.
    membership : MembershipView
        Lists the VMs that can serve as witnesses.
    record : Record
        Receives every epoch that is opened or closed.
    clock : Clock
        Source of the current time.
    on_new_prefix : callable
        Called after an epoch has replaced another, without a lock held.

    """

    def __init__(
        self,
        identity: ProcessIdentity,
        membership: MembershipView,
        record: Record,
        clock: Clock,
        on_new_prefix: Callable[[], None],
    ) -> None:
        """Store the parameters; no epoch is open yet."""
        self.on_new_prefix = on_new_prefix
        self.identity = identity
        self.membership = membership
        self.record = record
        self.clock = clock
        self.current_: Epoch | None = None
        self.previous_: Epoch | None = None
        self.stopped_ = False
        self.suspected_until_: dict[ProcessIdentity, float] = {}
        self._lock = threading.RLock()

    def get_epoch(self) -> Epoch:
        """Return the current epoch; open the first one if there is none."""
        with self._lock:
            return self.current_ or self._open(self.clock.read_monotonic())

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
        """Return the current epoch, after opening a new one if it is due."""
        now = self.clock.read_monotonic()
        with self._lock:
            self._close_previous(now)
            epoch = self.get_epoch()
            if self.stopped_ or not self._needs_new_epoch(epoch, now):
                return epoch
            epoch = self._open(now)
        self.on_new_prefix()
        return epoch

    def abandon_epoch(self, key: RequestKey, reason: str) -> None:
        """Close the epoch of a key that its witness didn't acknowledge."""
        with self._lock:
            now = self.clock.read_monotonic()
            self.record.close_epochs(now, key.epoch)
            if key.witness and reason != 'fenced':
                self.suspected_until_[key.witness] = (
                    now + _WITNESS_SUSPICION_SECONDS
                )
        _LOG.warning(
            'epoch-closed',
            extra={'epoch': key.epoch, 'reason': reason},
        )
        self.refresh()

    def stop(self) -> None:
        """Close all epochs and open no new one."""
        with self._lock:
            self.stopped_ = True
            self.record.close_epochs(self.clock.read_monotonic())

    def _needs_new_epoch(self, epoch: Epoch, now: float) -> bool:
        if not self.record.is_open(epoch.number):
            return self.record.has_room()
        age = now - epoch.opened_at
        if not _MIN_EPOCH_SECONDS <= age <= _MAX_EPOCH_SECONDS:
            return age > _MAX_EPOCH_SECONDS
        if epoch.witness is None:
            return self._choose_witness(now) is not None
        current_incarnation = self.membership.find_incarnation(epoch.witness.vm)
        return current_incarnation != epoch.witness.incarnation

    def _open(self, now: float) -> Epoch:
        previous = self.current_
        number = previous.number + 1 if previous else 1
        witness = self._choose_witness(now)
        if self.previous_:
            self.record.close_epochs(now, self.previous_.number)
        self.previous_ = previous
        self.current_ = Epoch(self.identity, number, witness, now)
        self.record.open_epoch(number, witness)
        _LOG.info(
            'epoch-opened',
            extra={'epoch': number, 'witness': witness and witness.vm},
        )
        return self.current_

    def _close_previous(self, now: float) -> None:
        previous = self.previous_
        epoch = self.current_
        if previous and epoch and now - epoch.opened_at > _OVERLAP_SECONDS:
            self.record.close_epochs(now, previous.number)
            self.previous_ = None

    def _choose_witness(self, now: float) -> ProcessIdentity | None:
        for vm, incarnation in self.membership.list_witnesses():
            witness = ProcessIdentity(vm, incarnation)
            if vm == self.identity.vm:
                continue
            if self.suspected_until_.get(witness, now) <= now:
                self.suspected_until_.pop(witness, None)
                return witness
        return None
