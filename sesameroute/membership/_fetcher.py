"""Fetches newer configurations from peers, one at a time."""

import threading
from collections.abc import Iterable

from sesameroute.exceptions import PeerError
from sesameroute.membership._configuration import (
    Configuration,
    ConfigurationKeeper,
)
from sesameroute.membership._freshness import Freshness
from sesameroute.membership._messages import ConfigurationAsk
from sesameroute.membership._surroundings import Surroundings

__all__ = ['Fetcher']

_CALL_SECONDS = 0.7
_IDLE_SECONDS = 0.25
_DECLINED_SECONDS = 10.0  # before a version that was not taken is asked again
_ALONE_SECONDS = 1.5  # without any answer after a pause
_ASKED_PEERS = 3


class Fetcher:
    """Asks peers for configurations and catches up after a pause.

    Parameters
    ----------
    around : Surroundings
        Ports and settings.
    keeper : ConfigurationKeeper
        Takes what comes.
    freshness : Freshness
        Told of answers.

    """

    def __init__(
        self,
        around: Surroundings,
        keeper: ConfigurationKeeper,
        freshness: Freshness,
    ) -> None:
        """Store the parameters."""
        self.around = around
        self.keeper = keeper
        self.freshness = freshness
        self._wanted: dict[str, int] = {}
        self._declined: dict[int, float] = {}
        self._is_wanted = threading.Event()

    def want(self, vm: str, version: int) -> None:
        """Note that a peer has a newer configuration."""
        if version > self.keeper.version:
            self._wanted[vm] = version
            self._is_wanted.set()

    def wait_step(self) -> float:
        """Wait until there may be something to do, and do it."""
        self._is_wanted.wait(_IDLE_SECONDS)
        self._is_wanted.clear()
        self.step()
        return 0

    def step(self) -> None:
        """Catch up after a pause, or fetch one configuration."""
        if self.freshness.lost is not None:
            self._catch_up(self.freshness.lost)
        vm = self._choose()
        if vm:
            version = self._wanted.pop(vm)
            is_answered = self._ask(vm)
            if is_answered and version > self.keeper.version:
                now = self.around.clock.read_monotonic()
                self._declined = {version: now}

    def _choose(self) -> str | None:
        """Return the peer with the newest version that is wanted."""
        wanted = {
            vm: version
            for vm, version in tuple(self._wanted.items())
            if version > self.keeper.version and not self._is_declined(version)
        }
        self._wanted = wanted
        return max(wanted, key=wanted.__getitem__, default=None)

    def _is_declined(self, version: int) -> bool:
        declined = self._declined.get(version)
        if declined is None:
            return False
        now = self.around.clock.read_monotonic()
        return now - declined < _DECLINED_SECONDS

    def _catch_up(self, lost: float) -> None:
        """Ask a few peers, then the store; alone, go on after a while."""
        connected = list(self.around.peers.list_connected())
        self.around.rng.shuffle(connected)
        if self._ask_any(connected[:_ASKED_PEERS]):
            return
        now = self.around.clock.read_monotonic()
        if now - lost > _ALONE_SECONDS:
            self.freshness.confirm(now)

    def _ask_any(self, vms: Iterable[str]) -> bool:
        # All are asked: the first to answer may not have the newest.
        answers = [self._ask(vm) for vm in vms]
        return any(answers)

    def _ask(self, vm: str) -> bool:
        """Ask one peer; return whether it answered."""
        asked = self.around.clock.read_monotonic()
        question = ConfigurationAsk(self.keeper.version)
        try:
            reply = self.around.peers.call(vm, question, _CALL_SECONDS)
        except PeerError:
            return False
        if isinstance(reply, Configuration):
            self.keeper.observe(reply)
        self.freshness.confirm(asked)
        return True
