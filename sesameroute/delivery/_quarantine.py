"""Quarantine of requests that crash the backend servers that run them."""

import logging
import threading
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from sesameroute.delivery._message import Acquittal, LossReport
from sesameroute.exceptions import RequestError
from sesameroute.ports import Clock, Peers
from sesameroute.verdict import Verdict

__all__ = ['Quarantine']

_LOG = logging.getLogger(__name__)
_MAX_LOSSES: Final = 2  # backend servers lost to one request
_QUARANTINE_SECONDS: Final = 60.0
_INNOCENT_SECONDS: Final = 60.0  # for which an answered request is trusted
_MAX_FINGERPRINTS: Final = 10_000


@dataclass(slots=True)
class _Suspect:
    """Backend servers lost with one fingerprint, and when the last was."""

    changed: float
    upstreams: set[str] = field(default_factory=set)


class Quarantine:
    """Refuses requests that were lost with two backend servers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    peers : Peers
        Told of each loss, so that all entry VMs refuse together.

    Notes
    -----
    A request that was answered a short time ago doesn't crash its servers:
    its losses aren't counted, else the loss of a region would make the most
    common reads refused everywhere.

    """

    def __init__(self, clock: Clock, peers: Peers) -> None:
        """Store the parameters; nothing is suspected yet."""
        self.clock = clock
        self.peers = peers
        self.suspects_: OrderedDict[str, _Suspect] = OrderedDict()
        self.innocent_: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def check(self, fingerprint: str) -> None:
        """Raise RequestError, `NOT_RUN`, if the request is quarantined."""
        if not self.suspects_:
            return
        with self._lock:
            suspect = self._find_suspect(fingerprint)
            if suspect and len(suspect.upstreams) >= _MAX_LOSSES:
                raise RequestError(
                    'backend servers were lost while they ran this request',
                    Verdict.NOT_RUN,
                    'quarantined',
                    _QUARANTINE_SECONDS,
                )

    def observe_answer(self, fingerprint: str) -> None:
        """Note that a backend server survived the request."""
        with self._lock:
            self.suspects_.pop(fingerprint, None)
            self.innocent_[fingerprint] = self.clock.read_monotonic()
            self.innocent_.move_to_end(fingerprint)
            if len(self.innocent_) > _MAX_FINGERPRINTS:
                self.innocent_.popitem(last=False)

    def observe_loss(self, fingerprint: str, upstream: str) -> None:
        """Note a loss of this VM's own and report it to all peers."""
        if self.merge(LossReport(fingerprint, upstream)):
            _LOG.warning(
                'upstream lost',
                extra={'fingerprint': fingerprint, 'upstream': upstream},
            )
            for vm in self.peers.list_connected():
                self.peers.cast(vm, LossReport(fingerprint, upstream))

    def merge(self, report: LossReport) -> bool:
        """Count a loss; return False if the request is known to be good."""
        now = self.clock.read_monotonic()
        with self._lock:
            answered = self.innocent_.get(report.fingerprint)
            if answered is not None and now - answered < _INNOCENT_SECONDS:
                return False
            suspect = self._find_suspect(report.fingerprint) or _Suspect(now)
            suspect.changed = now
            suspect.upstreams.add(report.upstream)
            self.suspects_[report.fingerprint] = suspect
            self.suspects_.move_to_end(report.fingerprint)
            if len(self.suspects_) > _MAX_FINGERPRINTS:
                self.suspects_.popitem(last=False)
        return True

    def acquit(self, acquittal: Acquittal) -> None:
        """Clear a request that another VM saw answered."""
        with self._lock:
            self.suspects_.pop(acquittal.fingerprint, None)

    def _find_suspect(self, fingerprint: str) -> _Suspect | None:
        suspect = self.suspects_.get(fingerprint)
        now = self.clock.read_monotonic()
        if suspect and now - suspect.changed > _QUARANTINE_SECONDS:
            self.suspects_.pop(fingerprint)
            return None
        return suspect
