"""Tables of requests suspected of crashing backend servers."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from sesameroute.ports import Clock
from sesameroute.quarantine._messages import LossReport, PastLoss

__all__ = ['Suspect', 'SuspectList']

# How long a request stays suspected, and then quarantined, after its last
# loss. Each loss after a quarantine doubles the next one.
_SUSPICION_SECONDS: Final = 60.0
# How long a request that was quarantined is remembered, and the longest
# quarantine.
_MEMORY_SECONDS: Final = 600.0
_MAX_DOUBLINGS: Final = 4
# How long losses of a request are ignored after it has been answered.
_CLEARED_SECONDS: Final = 60.0
# Losses of one backend server within this time count as one crash.
_SAME_CRASH_SECONDS: Final = 1.0
# Capacity of each table; a full table takes less than 1 MB.
_MAX_FINGERPRINTS: Final = 4096


@dataclass(slots=True, eq=False)
class Suspect:
    """A request during which backend servers were lost.

    Attributes
    ----------
    reporter : str
        Name of the VM that saw the first loss.
    last_loss : float
        Monotonic time in seconds of the last loss.
    loss_times : dict of str to list of float
        Monotonic times in seconds of the crashes of each backend server, by
        the server's name.
    trial_until : float
        Monotonic time in seconds until which a trial is running.

    """

    reporter: str
    last_loss: float
    loss_times: dict[str, list[float]] = field(default_factory=dict)
    trial_until: float = 0

    @property
    def losses(self) -> int:
        """Number of crashes counted."""
        return sum(map(len, self.loss_times.values()))

    def observe(self, upstream: str, lost_at: float) -> None:
        """Count a loss; several requests lost in one crash count once."""
        times = self.loss_times.setdefault(upstream, [])
        if all(abs(lost_at - each) >= _SAME_CRASH_SECONDS for each in times):
            times.append(lost_at)
        self.last_loss = max(self.last_loss, lost_at)


class SuspectList:
    """Bounded tables of suspected and of cleared requests; not thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_losses : int
        Number of losses at which a request is quarantined.

    Attributes
    ----------
    suspects_ : OrderedDict of str to Suspect
        Suspected requests by fingerprint, the oldest loss first.
    cleared_ : OrderedDict of str to float
        Monotonic time in seconds of the last answer to each request, by
        fingerprint, the oldest answer first.

    """

    def __init__(self, clock: Clock, max_losses: int) -> None:
        """Start with empty tables."""
        self.clock = clock
        self.max_losses = max_losses
        self.suspects_: OrderedDict[str, Suspect] = OrderedDict()
        self.cleared_: OrderedDict[str, float] = OrderedDict()

    def find(self, fingerprint: str) -> Suspect | None:
        """Return the suspect, or None if there is none or it has expired."""
        suspect = self.suspects_.get(fingerprint)
        if suspect and self.compute_remaining_seconds(suspect) <= 0:
            self.drop(fingerprint)
            return None
        return suspect

    def count_losses(self, fingerprint: str) -> int:
        """Return how many losses of a request are known."""
        suspect = self.find(fingerprint)
        return suspect.losses if suspect else 0

    def compute_remaining_seconds(self, suspect: Suspect) -> float:
        """Return the seconds until the suspect is forgotten."""
        age = self.clock.read_monotonic() - suspect.last_loss
        if suspect.losses < self.max_losses:
            return _SUSPICION_SECONDS - age
        return _MEMORY_SECONDS - age

    def compute_quarantine_seconds(self, fingerprint: str) -> float:
        """Return the seconds until a request may be sent; 0 if it may now."""
        suspect = self.find(fingerprint)
        if suspect is None or suspect.losses < self.max_losses:
            return 0
        excess_losses = suspect.losses - self.max_losses
        age = self.clock.read_monotonic() - suspect.last_loss
        seconds = _SUSPICION_SECONDS * 2 ** min(excess_losses, _MAX_DOUBLINGS)
        return max(min(seconds, _MEMORY_SECONDS) - age, 0)

    def record_loss(
        self, report: LossReport, reporter: str, seconds_ago: float = 0
    ) -> bool:
        """Count a loss; return False if the request is cleared."""
        now = self.clock.read_monotonic()
        answered = self.cleared_.get(report.fingerprint)
        if answered is not None and now - answered < _CLEARED_SECONDS:
            return False
        lost_at = now - max(seconds_ago, 0)
        suspect = self.find(report.fingerprint) or Suspect(reporter, lost_at)
        suspect.observe(report.upstream, lost_at)
        self.suspects_[report.fingerprint] = suspect
        self.suspects_.move_to_end(report.fingerprint)
        if len(self.suspects_) > _MAX_FINGERPRINTS:
            self.suspects_.popitem(last=False)
        return True

    def record_answer(self, fingerprint: str) -> bool:
        """Clear an answered request; return whether it was suspected."""
        self.cleared_[fingerprint] = self.clock.read_monotonic()
        self.cleared_.move_to_end(fingerprint)
        if len(self.cleared_) > _MAX_FINGERPRINTS:
            self.cleared_.popitem(last=False)
        return self.drop(fingerprint)

    def list_active(self) -> list[tuple[str, Suspect]]:
        """Return the suspects with their fingerprints, most losses first."""
        active = [
            (fingerprint, suspect)
            for fingerprint, suspect in self.suspects_.items()
            if self.compute_remaining_seconds(suspect) > 0
        ]
        return sorted(
            active,
            key=lambda item: (item[1].losses, item[1].last_loss),
            reverse=True,
        )

    def iterate_losses(self) -> Iterator[PastLoss]:
        """Yield all counted losses, those of the most lost request first."""
        now = self.clock.read_monotonic()
        for fingerprint, suspect in self.list_active():
            for upstream, times in suspect.loss_times.items():
                for lost_at in times:
                    yield PastLoss(
                        fingerprint, upstream, suspect.reporter, now - lost_at
                    )

    def drop(self, fingerprint: str) -> bool:
        """Remove a suspect; return whether there was one."""
        return self.suspects_.pop(fingerprint, None) is not None
