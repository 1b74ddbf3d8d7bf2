"""Watches the platform's store and VM list, on a few VMs per domain."""

from sesameroute.exceptions import InputError, SesameError
from sesameroute.membership._configuration import (
    ConfigurationKeeper,
    decode_configuration,
)
from sesameroute.membership._context import MembershipContext
from sesameroute.membership._freshness import PauseDetector
from sesameroute.membership._members import Members
from sesameroute.membership._targets import WatcherElection
from sesameroute.ports import StoredValue

__all__ = ['VmListPoller', 'ConfigurationWatcher']


# A connection that went silent is noticed only at the end of its watch.
_WATCH_TIMEOUT_SECONDS = 2.0
# A store without tags watches for a higher revision, so that only a read shows
# that it was restored from an older copy.
_READ_EVERY_CALLS = 300
_POLL_INTERVAL_SECONDS = 600.0  # For VMs that are not watchers.
_ELECTION_CHECK_SECONDS = 1.0
_MIN_DELAY_SECONDS = 0.3
_MAX_DELAY_SECONDS = 2.0
_LIST_INTERVAL_SECONDS = 5.0


class ConfigurationWatcher:
    """Watches the configuration in the store while this VM is a watcher.

    Other VMs read it now and then, and after they were paused.

    Parameters
    ----------
    context : MembershipContext
        Ports and settings.
    keeper : ConfigurationKeeper
        Receives the stored configuration.
    members : Members
        Source of the live VMs, for the election.
    pause_detector : PauseDetector
        Informed of answers, which end the stale state.

    Attributes
    ----------
    revision : int
        Revision of the last value that the store returned.
    tag : str
        Its tag; empty if the store has none.
    is_store_reachable : bool
        Whether the last call was answered.

    """

    def __init__(
        self,
        context: MembershipContext,
        keeper: ConfigurationKeeper,
        members: Members,
        pause_detector: PauseDetector,
    ) -> None:
        """Store the parameters."""
        self.context = context
        self.keeper = keeper
        self.members = members
        self.pause_detector = pause_detector
        self.revision = 0
        self.tag = ''
        self._election = WatcherElection(context.identity.name, context.domain)
        self.is_store_reachable = False
        self._calls = 0
        self._failures = 0
        self._last_call: float | None = None

    def step(self) -> float:
        """Call the store if that is due; return seconds until the next step."""
        is_watcher = self._election.is_elected(
            self.keeper.statement,
            self.members.list_live(),
        )
        if not (
            is_watcher or self.pause_detector.is_stale or self._is_poll_due()
        ):
            return self._jitter(_ELECTION_CHECK_SECONDS)
        asked_at = self.context.clock.read_monotonic()
        self._last_call = asked_at
        try:
            stored = self._call_store(is_watcher=is_watcher)
        except SesameError:
            return self._back_off()
        self._failures = 0
        self.is_store_reachable = True
        self.pause_detector.confirm(asked_at)
        if stored is None or self._apply(stored):
            return self._jitter(_MIN_DELAY_SECONDS)
        # Replicas that answer in turn end every watch at once.
        return self._jitter(_MAX_DELAY_SECONDS)

    def _is_poll_due(self) -> bool:
        now = self.context.clock.read_monotonic()
        if self._last_call is None:
            self._last_call = (
                now - self.context.rng.random() * _POLL_INTERVAL_SECONDS
            )
        return now - self._last_call >= _POLL_INTERVAL_SECONDS

    def _call_store(self, *, is_watcher: bool) -> StoredValue | None:
        """Read the value, or wait for another one with a watch.

        A watch counts as one call, however long it waits.
        """
        store = self.context.store
        must_read = not is_watcher or self._calls % _READ_EVERY_CALLS == 0
        self._calls += 1
        if must_read or self.pause_detector.is_stale or not self.revision:
            return store.read(self.context.store_key)
        return store.watch(
            self.context.store_key,
            self.revision,
            _WATCH_TIMEOUT_SECONDS,
            self.tag,
        )

    def _apply(self, stored: StoredValue) -> bool:
        """Return whether the value is the configuration in force now."""
        self.revision = stored.revision
        self.tag = stored.tag
        try:
            configuration = decode_configuration(stored.content)
        except InputError:
            self.keeper.report_unreadable()
            return False
        if not self.keeper.observe(configuration):
            self.keeper.report_older(configuration)
        return configuration == self.keeper.current

    def _back_off(self) -> float:
        """Return an exponentially growing delay with jitter."""
        self.is_store_reachable = False
        self._calls = 0
        delay = _MIN_DELAY_SECONDS * 2 ** min(self._failures, 8)
        self._failures += 1
        return self._jitter(min(delay, _MAX_DELAY_SECONDS))

    def _jitter(self, seconds: float) -> float:
        return seconds * (0.5 + 0.5 * self.context.rng.random())


class VmListPoller:
    """Polls the platform's VM list while this VM is a watcher.

    Parameters
    ----------
    context : MembershipContext
        Ports and settings.
    keeper : ConfigurationKeeper
        Source of the statement, for the election.
    members : Members
        Source of the live VMs; receives the leaving ones.

    """

    def __init__(
        self,
        context: MembershipContext,
        keeper: ConfigurationKeeper,
        members: Members,
    ) -> None:
        """Store the parameters."""
        self.context = context
        self.keeper = keeper
        self.members = members
        self.failures = 0
        self._election = WatcherElection(context.identity.name, context.domain)

    def step(self) -> float:
        """Poll if this VM is a watcher; return seconds until the next step."""
        if self._election.is_elected(
            self.keeper.statement, self.members.list_live()
        ):
            self._poll()
        return _LIST_INTERVAL_SECONDS * (0.5 + 0.5 * self.context.rng.random())

    def _poll(self) -> None:
        try:
            listed = self.context.vm_list.fetch()
        except SesameError:
            self.failures += 1
            return
        self.members.observe_vm_list(listed)
