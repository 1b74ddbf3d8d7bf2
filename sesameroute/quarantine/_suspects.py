"""Fingerprints of requests with which backend servers were lost."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from sesameroute.ports import Clock
from sesameroute.quarantine._messages import LossReport

__all__ = ['Suspect', 'SuspectList']

_SUSPECT_SECONDS: Final = 60.0  # after the last loss
_INNOCENT_SECONDS: Final = 60.0  # for which an answered request is trusted
_CRASH_SECONDS: Final = 1.0  # between two crashes of one backend server
_MAX_FINGERPRINTS: Final = 4096  # of each list; under 1 MB


@dataclass(slots=True, eq=False)
class Suspect:
    """A request with which backend servers were lost.

    Attributes
    ----------
    judge : str
        Name of the VM that saw the first loss.
    changed : float
        Monotonic time in seconds of the last loss.
    lost : dict of str to float
        Lost backend servers, with the monotonic time in seconds.
    trial : float
        Monotonic time in seconds until which a trial runs.

    """

    judge: str
    changed: float
    losses: int = 0
    lost: dict[str, float] = field(default_factory=dict)
    trial: float = 0

    def observe(self, upstream: str, now: float) -> None:
        """Count a loss; two requests lost in one crash count once."""
        if now - self.lost.get(upstream, -_CRASH_SECONDS) >= _CRASH_SECONDS:
            self.losses += 1
        self.lost[upstream] = now
        self.changed = now


class SuspectList:
    """Suspected and innocent fingerprints, bounded; not safe for threads.

    Parameters
    ----------
    clock : Clock
        Source of time.

    """

    def __init__(self, clock: Clock) -> None:
        """Store the parameters; nothing is suspected yet."""
        self.clock = clock
        self.suspects_: OrderedDict[str, Suspect] = OrderedDict()
        self.innocent_: OrderedDict[str, float] = OrderedDict()

    def find(self, fingerprint: str) -> Suspect | None:
        """Return a suspect whose last loss isn't long ago."""
        suspect = self.suspects_.get(fingerprint)
        if suspect and self.count_seconds(suspect) <= 0:
            self.drop(fingerprint)
            return None
        return suspect

    def count_seconds(self, suspect: Suspect) -> float:
        """Return the seconds for which a suspect stays one."""
        age = self.clock.read_monotonic() - suspect.changed
        return _SUSPECT_SECONDS - age

    def add(self, report: LossReport, judge: str) -> bool:
        """Count a loss; return False if the request is innocent."""
        now = self.clock.read_monotonic()
        answered = self.innocent_.get(report.fingerprint)
        if answered is not None and now - answered < _INNOCENT_SECONDS:
            return False
        suspect = self.find(report.fingerprint) or Suspect(judge, now)
        suspect.observe(report.upstream, now)
        self.suspects_[report.fingerprint] = suspect
        self.suspects_.move_to_end(report.fingerprint)
        if len(self.suspects_) > _MAX_FINGERPRINTS:
            self.suspects_.popitem(last=False)
        return True

    def clear(self, fingerprint: str) -> bool:
        """Note an answered request; return whether it was suspected."""
        self.innocent_[fingerprint] = self.clock.read_monotonic()
        self.innocent_.move_to_end(fingerprint)
        if len(self.innocent_) > _MAX_FINGERPRINTS:
            self.innocent_.popitem(last=False)
        return self.drop(fingerprint)

    def drop(self, fingerprint: str) -> bool:
        """Drop a suspect; return whether it was one."""
        return self.suspects_.pop(fingerprint, None) is not None
