"""Configuration and membership of one process: composes the parts."""

from collections.abc import Callable
from typing import Any

from sesameroute.exceptions import PeerError
from sesameroute.membership._configuration import (
    Configuration,
    ConfigurationKeeper,
)
from sesameroute.membership._context import MembershipContext
from sesameroute.membership._fetcher import Fetcher
from sesameroute.membership._freshness import PauseDetector
from sesameroute.membership._heartbeat import HeartbeatSender
from sesameroute.membership._members import Members
from sesameroute.membership._messages import (
    ConfigurationRequest,
    Digest,
    VmReport,
)
from sesameroute.membership._periodic import PeriodicThreads
from sesameroute.membership._watcher import ConfigurationWatcher, VmListPoller
from sesameroute.statement import Statement

__all__ = ['Membership']


class Membership:
    """Keeps the configuration and the table of members up to date.

    Entry VMs send and receive heartbeats; look-up processes only receive.

    Parameters
    ----------
    context : MembershipContext
        Ports and settings.
    read_statement : callable
        Parses a statement's INI text.
    collect_report : callable
        Returns the `VmReport` of this VM's other components.

    Attributes
    ----------
    keeper : ConfigurationKeeper
    members : Members
    pause_detector : PauseDetector
    heartbeat_sender : HeartbeatSender
    fetcher : Fetcher
    watcher : ConfigurationWatcher
    threads : PeriodicThreads

    """

    def __init__(
        self,
        context: MembershipContext,
        read_statement: Callable[[str], Statement],
        collect_report: Callable[[], VmReport] = VmReport,
    ) -> None:
        """Compose the parts; their threads start in `start`."""
        self.context = context
        self.keeper = ConfigurationKeeper(read_statement)
        self.members = Members(
            context.identity.sender,
            context.clock,
            context.peers.list_connected,
        )
        self.pause_detector = PauseDetector(context.clock)
        self.fetcher = Fetcher(context, self.keeper, self.pause_detector)
        self.heartbeat_sender = HeartbeatSender(
            context,
            self.keeper,
            self.members,
            self.pause_detector,
            collect_report,
        )
        self.watcher = ConfigurationWatcher(
            context,
            self.keeper,
            self.members,
            self.pause_detector,
        )
        self.threads = PeriodicThreads()
        self.keeper.add_listener(self._apply)

    @property
    def statement(self) -> Statement | None:
        """The statement in force; None when none is known."""
        return self.keeper.statement

    @property
    def version(self) -> int:
        """The configuration version in force; 0 when none is known."""
        return self.keeper.version

    @property
    def is_stale(self) -> bool:
        """Whether the process was paused and has not caught up."""
        return self.pause_detector.is_stale

    def start(self) -> None:
        """Start the threads; the peer network must be running."""
        self.heartbeat_sender.set_targets()
        self.threads.spawn('membership-beat', self.heartbeat_sender.step)
        self.threads.spawn('membership-fetch', self.fetcher.wait_and_step)
        if self.context.store is not None:
            self.threads.spawn('membership-watch', self.watcher.step)
        if self.context.vm_list is not None:
            poller = VmListPoller(self.context, self.keeper, self.members)
            self.threads.spawn('membership-list', poller.step)

    def stop(self) -> None:
        """Signal the threads to end after their current step."""
        self.threads.stop()

    def handle(self, sender: str, message: Any) -> Configuration | None:
        """Handle a peer's message; return the reply to a request.

        Returns
        -------
        Configuration or None
            The configuration in force if the requesting peer is behind.

        Raises
        ------
        PeerError
            This process was paused and its state may be out of date. Code
            ``peer-stale``.

        """
        if isinstance(message, ConfigurationRequest):
            if self.is_stale:
                raise PeerError(
                    'process was paused and is catching up', 'peer-stale'
                )
            is_behind = message.version < self.keeper.version
            return self.keeper.current if is_behind else None
        if isinstance(message, Digest) and message.vm == sender:
            self.members.observe(message)
            self.fetcher.note_version(sender, message.version)
        return None

    def send_heartbeats_now(self) -> None:
        """Send the digest now instead of with the next heartbeat."""
        self.heartbeat_sender.send_heartbeats()

    def find_key_prefix(self, vm: str) -> str:
        """Return the request-key prefix of a VM; empty if unknown."""
        found = self.members.find_digest(vm)
        return found[0].prefix if found else ''

    def list_witnesses(self) -> tuple[str, ...]:
        """Return the live VMs that may be this VM's witness, best first."""
        return self.members.list_witnesses(self.statement)

    def _apply(self, _statement: Statement) -> None:
        """Adjust the streams to a new statement and announce its version."""
        self.heartbeat_sender.set_targets()
        self.heartbeat_sender.send_heartbeats()
