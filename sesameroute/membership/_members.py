"""The table of entry VMs as this node knows them."""

import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sesameroute.membership._expiry import ExpiringNames
from sesameroute.membership._messages import Digest
from sesameroute.ports import Clock, ListedVm
from sesameroute.routing import rank_names
from sesameroute.statement import Statement

__all__ = ['LEAVING_SECONDS', 'Members', 'make_incarnation']

LEAVING_SECONDS = 30.0

_QUARANTINE_SECONDS = 600.0
_DIGEST_SECONDS = 10.0  # older digests say nothing about liveness
_MAX_MEMBERS = 1024
_RANDOM_BITS = 32
_DIGITS = '0123456789abcdefghijklmnopqrstuvwxyz'
_BASE = len(_DIGITS)


@dataclass(frozen=True, slots=True)
class KnownDigest:
    """A digest with the monotonic time at which it came."""

    digest: Digest
    received: float


def make_incarnation(clock: Clock, rng: random.Random) -> str:
    """Return a name for this start of the process: time and random bits.

    Examples
    --------
    >>> from sesameroute.ports import SystemClock
    >>> make_incarnation(SystemClock(), random.Random()).isalnum()
    True

    """
    started = int(clock.read_wall()) << _RANDOM_BITS
    return _format_base36(started | rng.getrandbits(_RANDOM_BITS))


class Members:
    """Digests by VM, and who is live, leaving or fit as a witness.

    Parameters
    ----------
    name : str
        Name of this VM.
    clock : Clock
        Source of time.
    list_connected : callable
        Returns the VMs with a live stream; only contact shows life.

    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        list_connected: Callable[[], tuple[str, ...]],
    ) -> None:
        """Store the parameters; the table is empty."""
        self.name = name
        self.clock = clock
        self.list_connected = list_connected
        self.leaving = ExpiringNames(clock, LEAVING_SECONDS)
        self.quarantine = ExpiringNames(clock, _QUARANTINE_SECONDS)
        self._known: dict[str, KnownDigest] = {}
        self._lock = threading.Lock()

    def observe(self, digest: Digest) -> None:
        """Learn from a peer's digest."""
        known = KnownDigest(digest, self.clock.read_monotonic())
        with self._lock:
            self._known.pop(digest.vm, None)
            self._known[digest.vm] = known
            # The first one has been silent for longest.
            if len(self._known) > _MAX_MEMBERS:
                self._known.pop(next(iter(self._known)))
            self.leaving.merge(digest.leaving)
            self.quarantine.merge(digest.quarantine)

    def observe_list(self, listed: Iterable[ListedVm]) -> None:
        """Learn who leaves from the VM list; it shows nobody alive."""
        pairs = [(vm.name, LEAVING_SECONDS) for vm in listed if vm.leaving]
        with self._lock:
            self.leaving.merge(pairs)

    def forget(self) -> None:
        """Drop all digests: this process was paused and knows nothing."""
        with self._lock:
            self._known.clear()

    def find_digest(self, vm: str) -> tuple[Digest, float] | None:
        """Return a VM's latest digest with its age in seconds."""
        known = self._known.get(vm)
        if known is None:
            return None
        return known.digest, self.clock.read_monotonic() - known.received

    def find_incarnation(self, vm: str) -> str:
        """Return the incarnation of a live VM; empty if not live."""
        found = self.find_digest(vm)
        is_live = found is not None and vm in self.list_live()
        return found[0].incarnation if is_live else ''

    def list_live(self) -> tuple[str, ...]:
        """Return the other VMs that are connected and heard lately."""
        return tuple(
            vm
            for vm in self.list_connected()
            if vm != self.name and self._is_fresh(vm)
        )

    def list_leaving(self) -> tuple[str, ...]:
        """Return VMs and backend servers that are said to leave."""
        return self.leaving.list_names()

    def list_witnesses(self, statement: Statement | None) -> tuple[str, ...]:
        """Return live VMs fit to witness for this one, best first.

        Those of its failure domain come first, then those of its region;
        VMs that leave or drain are left out.
        """
        if statement is None or self.name not in statement.vms:
            return ()
        home = statement.vms[self.name].domain
        ranked = rank_names(self.name, filter(self._is_staying, statement.vms))
        live = set(self.list_live())
        near = [
            vm for vm in ranked if vm in live and _is_near(statement, home, vm)
        ]
        return tuple(
            sorted(near, key=lambda vm: statement.vms[vm].domain != home),
        )

    def _is_fresh(self, vm: str) -> bool:
        found = self.find_digest(vm)
        return found is not None and found[1] < _DIGEST_SECONDS

    def _is_staying(self, vm: str) -> bool:
        known = self._known.get(vm)
        is_draining = known is not None and known.digest.draining
        return not is_draining and vm not in self.list_leaving()


def _is_near(statement: Statement, home: str, vm: str) -> bool:
    places = statement.places
    region = places.find_region(statement.vms[vm].domain)
    return region == places.find_region(home)


def _format_base36(number: int) -> str:
    places = []
    while number:
        number, place = divmod(number, _BASE)
        places.append(_DIGITS[place])
    return ''.join(reversed(places))
