"""Sends heartbeats with digests, and updates the choice of peers."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from sesameroute.membership._configuration import ConfigurationKeeper
from sesameroute.membership._context import MembershipContext
from sesameroute.membership._freshness import PauseDetector
from sesameroute.membership._members import LEAVING_EXPIRY_SECONDS, Members
from sesameroute.membership._messages import Digest, VmReport
from sesameroute.membership._targets import choose_targets
from sesameroute.ports import PeerRole

__all__ = ['HeartbeatSender']

_STEP_SECONDS = 0.2
_MIN_INTERVAL_SECONDS = 0.5
# Must stay below the age at which routing ignores reported free slots.
_MAX_INTERVAL_SECONDS = 1.5
_INTERVAL_SECONDS_PER_STREAM = 0.1  # Bounds the bytes sent per second.
_JITTER_FACTORS = (0.9, 1.1)
_TARGETS_INTERVAL_SECONDS = 1.0


class HeartbeatSender:
    """Sends this VM's digest to its peers, and sets the peers to dial.

    Parameters
    ----------
    context : MembershipContext
        Ports and settings.
    keeper : ConfigurationKeeper
        Source of the version and the statement.
    members : Members
        Source of the leaving and quarantined names; emptied after a pause.
    pause_detector : PauseDetector
        Informed at each step that the process runs.
    collect_report : callable
        Returns the `VmReport` of this VM's other components.

    """

    def __init__(
        self,
        context: MembershipContext,
        keeper: ConfigurationKeeper,
        members: Members,
        pause_detector: PauseDetector,
        collect_report: Callable[[], VmReport],
    ) -> None:
        """Store the parameters."""
        self.context = context
        self.keeper = keeper
        self.members = members
        self.pause_detector = pause_detector
        self.collect_report = collect_report
        self._heartbeat_due: float = 0
        self._targets_due: float = 0

    def step(self) -> float:
        """Check for a pause, and do what is due; return seconds to wait."""
        if self.pause_detector.tick():
            self.members.drop_digests()
        now = self.context.clock.read_monotonic()
        if now >= self._targets_due:
            self._targets_due = now + _TARGETS_INTERVAL_SECONDS
            self.set_targets()
        if now >= self._heartbeat_due:
            self.send_heartbeats()
        return _STEP_SECONDS

    def set_targets(self) -> None:
        """Set the VMs to which the peer network keeps streams.

        Without a statement these are the seeds.
        """
        context = self.context
        targets = dict(context.seeds)
        statement = self.keeper.statement
        if statement is not None:
            targets = choose_targets(
                statement,
                context.identity.name,
                context.domain,
                context.fan_out,
                context.peers.list_connected(),
            )
        if context.identity.role is PeerRole.ENTRY:
            targets.pop(context.identity.name, None)
        context.peers.set_targets(targets)

    def send_heartbeats(self) -> None:
        """Send the digest to all connected processes now.

        Only entry VMs send. The interval until the next heartbeat grows
        with the number of streams.
        """
        peers = self.context.peers
        receivers = peers.list_connected() + peers.list_observers()
        interval = len(receivers) * _INTERVAL_SECONDS_PER_STREAM
        interval = min(
            max(interval, _MIN_INTERVAL_SECONDS), _MAX_INTERVAL_SECONDS
        )
        interval *= self.context.rng.uniform(*_JITTER_FACTORS)
        self._heartbeat_due = self.context.clock.read_monotonic() + interval
        if self.context.identity.role is PeerRole.ENTRY:
            digest = self.make_digest()
            for receiver in receivers:
                peers.send_one_way(receiver, digest)

    def make_digest(self) -> Digest:
        """Return the current digest of this VM."""
        report = self.collect_report()
        members = self.members
        members.leaving.merge(
            (name, LEAVING_EXPIRY_SECONDS) for name in report.leaving
        )
        members.quarantine.merge(report.quarantine)
        identity = self.context.identity
        create_digest = partial(Digest, identity.name, identity.incarnation)
        return replace(
            create_digest(self.keeper.version, report.prefix, report.headroom),
            leaving=members.leaving.list_remaining(),
            quarantine=members.quarantine.list_remaining(),
            draining=report.draining,
        )
