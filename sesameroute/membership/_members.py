"""Membership table: the latest digest of each entry VM, and who is live."""

import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sesameroute.membership._expiry import ExpiringNames
from sesameroute.membership._messages import Digest
from sesameroute.ports import Clock, ListedVm
from sesameroute.routing import rank_names
from sesameroute.statement import Statement

__all__ = ['LEAVING_EXPIRY_SECONDS', 'Members', 'make_incarnation']

LEAVING_EXPIRY_SECONDS = 30.0

_QUARANTINE_EXPIRY_SECONDS = 600.0
_DIGEST_MAX_AGE_SECONDS = 10.0  # An older digest is no sign of life.
_MAX_MEMBERS = 1024
_RANDOM_BITS = 32
_DIGITS = '0123456789abcdefghijklmnopqrstuvwxyz'
_BASE = len(_DIGITS)


@dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """A digest with the monotonic time in seconds at which it came."""

    digest: Digest
    received_at: float


def make_incarnation(clock: Clock, rng: random.Random) -> str:
    """Return an id of this process run: start time and random bits.

    Returns
    -------
    str
        Base 36. The Unix time of the start in seconds stands above the
        random bits.

    Examples
    --------
    >>> from sesameroute.ports import SystemClock
    >>> make_incarnation(SystemClock(), random.Random()).isalnum()
    True

    """
    started = int(clock.read_wall()) << _RANDOM_BITS
    return _format_base36(started | rng.getrandbits(_RANDOM_BITS))


class Members:
    """Keeps the latest digest of each VM and derives the VMs' states from it.

    A VM may be live, leaving (about to be removed) or draining (to be given
    no new work). A witness is the peer that keeps a second record of which
    of this VM's request keys may have run.

    Parameters
    ----------
    name : str
        Name of this VM.
    clock : Clock
        Source of time.
    list_connected : callable
        Returns the VMs with an open peer stream. A VM is live only if it has
        one: a digest alone does not suffice.

    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        list_connected: Callable[[], tuple[str, ...]],
    ) -> None:
        """Create an empty table."""
        self.name = name
        self.clock = clock
        self.list_connected = list_connected
        self.leaving = ExpiringNames(clock, LEAVING_EXPIRY_SECONDS)
        self.quarantine = ExpiringNames(clock, _QUARANTINE_EXPIRY_SECONDS)
        self._received: dict[str, ReceivedDigest] = {}
        self._lock = threading.Lock()

    def observe(self, digest: Digest) -> None:
        """Record a peer's digest and the names that it relays."""
        received = ReceivedDigest(digest, self.clock.read_monotonic())
        with self._lock:
            self._received.pop(digest.vm, None)
            self._received[digest.vm] = received
            # The first entry is the VM whose last digest is the oldest.
            if len(self._received) > _MAX_MEMBERS:
                self._received.pop(next(iter(self._received)))
            self.leaving.merge(digest.leaving)
            self.quarantine.merge(digest.quarantine)

    def observe_vm_list(self, listed: Iterable[ListedVm]) -> None:
        """Record which VMs the platform lists as leaving.

        A listed VM does not count as live: the list lags.
        """
        pairs = [
            (vm.name, LEAVING_EXPIRY_SECONDS) for vm in listed if vm.leaving
        ]
        with self._lock:
            self.leaving.merge(pairs)

    def drop_digests(self) -> None:
        """Drop all digests, which are out of date after a pause."""
        with self._lock:
            self._received.clear()

    def find_digest(self, vm: str) -> tuple[Digest, float] | None:
        """Return a VM's latest digest with its age in seconds."""
        received = self._received.get(vm)
        if received is None:
            return None
        return (
            received.digest,
            self.clock.read_monotonic() - received.received_at,
        )

    def find_incarnation(self, vm: str) -> str:
        """Return the incarnation of a live VM; empty if not live."""
        found = self.find_digest(vm)
        is_live = found is not None and vm in self.list_live()
        return found[0].incarnation if is_live else ''

    def list_live(self) -> tuple[str, ...]:
        """Return the other VMs that have a stream and a recent digest."""
        return tuple(
            vm
            for vm in self.list_connected()
            if vm != self.name and self._is_fresh(vm)
        )

    def list_leaving(self) -> tuple[str, ...]:
        """Return the VMs and backend servers reported as leaving."""
        return self.leaving.list_names()

    def list_witnesses(self, statement: Statement | None) -> tuple[str, ...]:
        """Return the live VMs that may be this VM's witness, best first.

        Those of its own failure domain come first, then those of its own
        region. VMs that are leaving or draining are left out.
        """
        if statement is None or self.name not in statement.vms:
            return ()
        own_domain = statement.vms[self.name].domain
        ranked = rank_names(
            self.name, filter(self._is_available, statement.vms)
        )
        live = set(self.list_live())
        near = [
            vm
            for vm in ranked
            if vm in live and _is_in_region_of(statement, own_domain, vm)
        ]
        return tuple(
            sorted(near, key=lambda vm: statement.vms[vm].domain != own_domain),
        )

    def _is_fresh(self, vm: str) -> bool:
        found = self.find_digest(vm)
        return found is not None and found[1] < _DIGEST_MAX_AGE_SECONDS

    def _is_available(self, vm: str) -> bool:
        received = self._received.get(vm)
        is_draining = received is not None and received.digest.draining
        return not is_draining and vm not in self.list_leaving()


def _is_in_region_of(statement: Statement, own_domain: str, vm: str) -> bool:
    places = statement.places
    region = places.find_region(statement.vms[vm].domain)
    return region == places.find_region(own_domain)


def _format_base36(number: int) -> str:
    digits = []
    while number:
        number, digit = divmod(number, _BASE)
        digits.append(_DIGITS[digit])
    return ''.join(reversed(digits))
