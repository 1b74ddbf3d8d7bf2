"""Fetches newer configurations from peers, one request at a time."""

import threading
from collections.abc import Iterable

from sesameroute.exceptions import PeerError
from sesameroute.membership._configuration import (
    Configuration,
    ConfigurationKeeper,
)
from sesameroute.membership._context import MembershipContext
from sesameroute.membership._freshness import PauseDetector
from sesameroute.membership._messages import ConfigurationRequest

__all__ = ['Fetcher']

_CALL_TIMEOUT_SECONDS = 0.7
_IDLE_WAIT_SECONDS = 0.25
# Delay before a version is requested again that was rejected before.
_REJECTED_RETRY_SECONDS = 10.0
# Without an answer for this long after a pause, the state counts as fresh.
_NO_PEER_SECONDS = 1.5
_CATCH_UP_PEERS = 3


class Fetcher:
    """Requests configurations from peers, and catches up after a pause.

    Parameters
    ----------
    context : MembershipContext
        Ports and settings.
    keeper : ConfigurationKeeper
        Receives the fetched configurations.
    pause_detector : PauseDetector
        Informed of answers, which end the stale state.

    """

    def __init__(
        self,
        context: MembershipContext,
        keeper: ConfigurationKeeper,
        pause_detector: PauseDetector,
    ) -> None:
        """Store the parameters."""
        self.context = context
        self.keeper = keeper
        self.pause_detector = pause_detector
        self._advertised: dict[str, int] = {}
        self._rejected: dict[int, float] = {}
        self._has_work = threading.Event()

    def note_version(self, vm: str, version: int) -> None:
        """Record the version of a peer; schedule a fetch if it is newer."""
        if version > self.keeper.version:
            self._advertised[vm] = version
            self._has_work.set()

    def wait_and_step(self) -> float:
        """Wait for a newer version or a short time, then run a step.

        Returns
        -------
        float
            Seconds until the next run: 0, since the wait is done here.

        """
        self._has_work.wait(_IDLE_WAIT_SECONDS)
        self._has_work.clear()
        self.step()
        return 0

    def step(self) -> None:
        """Catch up after a pause, or fetch one configuration."""
        if self.pause_detector.pause_detected_at is not None:
            self._catch_up(self.pause_detector.pause_detected_at)
        vm = self._choose_peer()
        if vm:
            version = self._advertised.pop(vm)
            has_answered = self._request_from(vm)
            if has_answered and version > self.keeper.version:
                now = self.context.clock.read_monotonic()
                self._rejected = {version: now}

    def _choose_peer(self) -> str | None:
        """Return the peer with the newest version to fetch, if any."""
        newer = {
            vm: version
            for vm, version in tuple(self._advertised.items())
            if version > self.keeper.version and not self._is_rejected(version)
        }
        self._advertised = newer
        return max(newer, key=newer.__getitem__, default=None)

    def _is_rejected(self, version: int) -> bool:
        rejected_at = self._rejected.get(version)
        if rejected_at is None:
            return False
        now = self.context.clock.read_monotonic()
        return now - rejected_at < _REJECTED_RETRY_SECONDS

    def _catch_up(self, pause_detected_at: float) -> None:
        """Request from a few peers; if none answers in time, go on as fresh.

        The store is read by the watcher at the same time.
        """
        connected = list(self.context.peers.list_connected())
        self.context.rng.shuffle(connected)
        if self._request_from_all(connected[:_CATCH_UP_PEERS]):
            return
        now = self.context.clock.read_monotonic()
        if now - pause_detected_at > _NO_PEER_SECONDS:
            self.pause_detector.confirm(now)

    def _request_from_all(self, vms: Iterable[str]) -> bool:
        # Ask all: the first to answer may not have the newest version.
        answers = [self._request_from(vm) for vm in vms]
        return any(answers)

    def _request_from(self, vm: str) -> bool:
        """Request the configuration of one peer; return whether it answered."""
        asked_at = self.context.clock.read_monotonic()
        request = ConfigurationRequest(self.keeper.version)
        try:
            reply = self.context.peers.call(vm, request, _CALL_TIMEOUT_SECONDS)
        except PeerError:
            return False
        if isinstance(reply, Configuration):
            self.keeper.observe(reply)
        self.pause_detector.confirm(asked_at)
        return True
