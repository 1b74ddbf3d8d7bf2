"""Asks the platform's store and VM list, a few nodes for all."""

from sesameroute.exceptions import InputError, SesameError
from sesameroute.membership._configuration import (
    ConfigurationKeeper,
    decode_configuration,
)
from sesameroute.membership._freshness import Freshness
from sesameroute.membership._members import Members
from sesameroute.membership._surroundings import Surroundings
from sesameroute.membership._targets import WatchDuty
from sesameroute.ports import StoredValue

__all__ = ['ListPoller', 'Watcher']


_WATCH_SECONDS = 2.0  # a connection gone silent costs no more than this
_READ_EVERY = 300  # watches: a store from an older backup shows in a read
_POLL_SECONDS = 600.0  # of nodes without the duty
_DUTY_SECONDS = 1.0  # between looks at who has it
_MIN_PAUSE_SECONDS = 0.3
_MAX_PAUSE_SECONDS = 2.0
_LIST_SECONDS = 5.0


class Watcher:
    """Holds the store's watch while this node has the duty.

    Parameters
    ----------
    around : Surroundings
        Ports and settings.
    keeper : ConfigurationKeeper
        Takes what the store holds, if it is newer.
    members : Members
        Tells who lives, for the duty.
    freshness : Freshness
        Told of answers.

    Attributes
    ----------
    revision : int
        Revision of the store's value that was seen last.
    is_reached : bool
        Whether the last call was answered.

    """

    def __init__(
        self,
        around: Surroundings,
        keeper: ConfigurationKeeper,
        members: Members,
        freshness: Freshness,
    ) -> None:
        """Store the parameters."""
        self.around = around
        self.keeper = keeper
        self.members = members
        self.freshness = freshness
        self.revision = 0
        self._duty = WatchDuty(around.identity.name, around.domain)
        self.is_reached = False
        self._calls = 0
        self._failures = 0
        self._polled: float | None = None

    def step(self) -> float:
        """Make the call that is due; return seconds until the next step."""
        has_duty = self._duty.holds(
            self.keeper.statement,
            self.members.list_live(),
        )
        if not (has_duty or self.freshness.is_stale or self._is_poll_due()):
            return self._jitter(_DUTY_SECONDS)
        asked = self.around.clock.read_monotonic()
        self._polled = asked
        try:
            found = self._ask(has_duty=has_duty)
        except SesameError:
            return self._back_off()
        self._failures = 0
        self.is_reached = True
        self.freshness.confirm(asked)
        self._take(found)
        return self._jitter(_MIN_PAUSE_SECONDS)

    def _is_poll_due(self) -> bool:
        now = self.around.clock.read_monotonic()
        if self._polled is None:
            self._polled = now - self.around.rng.random() * _POLL_SECONDS
        return now - self._polled >= _POLL_SECONDS

    def _ask(self, *, has_duty: bool) -> StoredValue | None:
        """Read, or hold the watch that counts as one call."""
        store = self.around.store
        is_read = not has_duty or self._calls % _READ_EVERY == 0
        self._calls += 1
        if is_read or self.freshness.is_stale or not self.revision:
            return store.read(self.around.store_key)
        return store.watch(
            self.around.store_key,
            self.revision,
            _WATCH_SECONDS,
        )

    def _take(self, found: StoredValue | None) -> None:
        if found is None:
            return
        self.revision = found.revision
        try:
            configuration = decode_configuration(found.content)
        except InputError:
            self.keeper.report_unreadable()
            return
        if not self.keeper.observe(configuration):
            self.keeper.report_older(configuration)

    def _back_off(self) -> float:
        """Return a growing pause with jitter."""
        self.is_reached = False
        self._calls = 0
        pause = _MIN_PAUSE_SECONDS * 2 ** min(self._failures, 8)
        self._failures += 1
        return self._jitter(min(pause, _MAX_PAUSE_SECONDS))

    def _jitter(self, seconds: float) -> float:
        return seconds * (0.5 + 0.5 * self.around.rng.random())


class ListPoller:
    """Polls the VM list while this node has the duty.

    Parameters
    ----------
    around : Surroundings
        Ports and settings.
    keeper : ConfigurationKeeper
        Gives the statement, for the duty.
    members : Members
        Takes who leaves.

    """

    def __init__(
        self,
        around: Surroundings,
        keeper: ConfigurationKeeper,
        members: Members,
    ) -> None:
        """Store the parameters."""
        self.around = around
        self.keeper = keeper
        self.members = members
        self.failures = 0
        self._duty = WatchDuty(around.identity.name, around.domain)

    def step(self) -> float:
        """Read the list if this is a duty; return seconds until the next."""
        if self._duty.holds(self.keeper.statement, self.members.list_live()):
            self._poll()
        return _LIST_SECONDS * (0.5 + 0.5 * self.around.rng.random())

    def _poll(self) -> None:
        try:
            listed = self.around.vm_list.fetch()
        except SesameError:
            self.failures += 1
            return
        self.members.observe_list(listed)
