"""Configuration and membership of one process."""

from collections.abc import Callable
from typing import Any

from sesameroute.exceptions import PeerError
from sesameroute.membership._configuration import (
    Configuration,
    ConfigurationKeeper,
)
from sesameroute.membership._fetcher import Fetcher
from sesameroute.membership._freshness import Freshness
from sesameroute.membership._members import Members
from sesameroute.membership._messages import ConfigurationAsk, Digest, VmReport
from sesameroute.membership._spread import Spreader
from sesameroute.membership._steps import StepThreads
from sesameroute.membership._surroundings import Surroundings
from sesameroute.membership._watcher import ListPoller, Watcher
from sesameroute.statement import Statement

__all__ = ['Membership']


class Membership:
    """Composes the keeper, the members, the spreader and the watcher.

    Used by entry VMs, and by look-up processes, which only listen.

    Parameters
    ----------
    around : Surroundings
        Ports and settings.
    read_statement : callable
        Parses a statement's INI text.
    collect : callable
        Returns the `VmReport` of this VM's other parts.

    Attributes
    ----------
    keeper : ConfigurationKeeper
    members : Members
    freshness : Freshness
    spreader : Spreader
    fetcher : Fetcher
    watcher : Watcher
    threads : StepThreads

    """

    def __init__(
        self,
        around: Surroundings,
        read_statement: Callable[[str], Statement],
        collect: Callable[[], VmReport] = VmReport,
    ) -> None:
        """Compose the parts; `start` gives them threads."""
        self.around = around
        self.keeper = ConfigurationKeeper(read_statement)
        self.members = Members(
            around.identity.sender,
            around.clock,
            around.peers.list_connected,
        )
        self.freshness = Freshness(around.clock)
        self.fetcher = Fetcher(around, self.keeper, self.freshness)
        self.spreader = Spreader(
            around,
            self.keeper,
            self.members,
            self.freshness,
            collect,
        )
        self.watcher = Watcher(
            around,
            self.keeper,
            self.members,
            self.freshness,
        )
        self.threads = StepThreads()
        self.keeper.listen(self._apply)

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
        return self.freshness.is_stale

    def start(self) -> None:
        """Start the threads; the peer network must have been started."""
        self.spreader.set_targets()
        self.threads.spawn('membership-beat', self.spreader.step)
        self.threads.spawn('membership-fetch', self.fetcher.wait_step)
        if self.around.store is not None:
            self.threads.spawn('membership-watch', self.watcher.step)
        if self.around.vm_list is not None:
            poller = ListPoller(self.around, self.keeper, self.members)
            self.threads.spawn('membership-list', poller.step)

    def stop(self) -> None:
        """Let the threads end after their present step."""
        self.threads.stop()

    def handle(self, sender: str, message: Any) -> Configuration | None:
        """Take a peer's message; return the reply to a question.

        Raises
        ------
        PeerError
            This process was paused: its answer would show nothing.

        """
        if isinstance(message, ConfigurationAsk):
            if self.is_stale:
                raise PeerError('was paused', 'peer-stale')
            is_behind = message.version < self.keeper.version
            return self.keeper.current if is_behind else None
        if isinstance(message, Digest) and message.vm == sender:
            self.members.observe(message)
            self.fetcher.want(sender, message.version)
        return None

    def announce(self) -> None:
        """Send the digest now: something in it should be known at once."""
        self.spreader.beat()

    def prefix_of(self, vm: str) -> str:
        """Return the request-key prefix of a VM; empty if unknown."""
        found = self.members.find_digest(vm)
        return found[0].prefix if found else ''

    def list_witnesses(self) -> tuple[str, ...]:
        """Return live VMs fit to witness for this one, best first."""
        return self.members.list_witnesses(self.statement)

    def _apply(self, _statement: Statement) -> None:
        """Follow a new statement at once and tell the peers."""
        self.spreader.set_targets()
        self.spreader.beat()
