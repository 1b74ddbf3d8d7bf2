"""Heartbeats with digests, and the choice of peers."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from sesameroute.membership._configuration import ConfigurationKeeper
from sesameroute.membership._freshness import Freshness
from sesameroute.membership._members import LEAVING_SECONDS, Members
from sesameroute.membership._messages import Digest, VmReport
from sesameroute.membership._surroundings import Surroundings
from sesameroute.membership._targets import choose_targets
from sesameroute.ports import PeerRole

__all__ = ['Spreader']

_TICK_SECONDS = 0.2
_MIN_BEAT_SECONDS = 0.5
_MAX_BEAT_SECONDS = 1.5  # routing takes older room for no news
_BEAT_SECONDS_PER_STREAM = 0.1  # bounds the bytes sent in a second
_JITTER = (0.9, 1.1)
_TARGET_SECONDS = 1.0


class Spreader:
    """Sends this node's digest to its peers and keeps its targets.

    Parameters
    ----------
    around : Surroundings
        Ports and settings.
    keeper : ConfigurationKeeper
        Gives the version and the statement.
    members : Members
        Gives who leaves and what is quarantined.
    freshness : Freshness
        Told that the process runs.
    collect : callable
        Returns the `VmReport` of this VM's other parts.

    """

    def __init__(
        self,
        around: Surroundings,
        keeper: ConfigurationKeeper,
        members: Members,
        freshness: Freshness,
        collect: Callable[[], VmReport],
    ) -> None:
        """Store the parameters."""
        self.around = around
        self.keeper = keeper
        self.members = members
        self.freshness = freshness
        self.collect = collect
        self._beat_due: float = 0
        self._target_due: float = 0

    def step(self) -> float:
        """Look for a pause, set the targets, and send what is due."""
        if self.freshness.tick():
            self.members.forget()
        now = self.around.clock.read_monotonic()
        if now >= self._target_due:
            self._target_due = now + _TARGET_SECONDS
            self.set_targets()
        if now >= self._beat_due:
            self.beat()
        return _TICK_SECONDS

    def set_targets(self) -> None:
        """Tell the peer network whom to keep streams to."""
        around = self.around
        targets = dict(around.seeds)
        statement = self.keeper.statement
        if statement is not None:
            targets = choose_targets(
                statement,
                around.identity.name,
                around.domain,
                around.fan_out,
                around.peers.list_connected(),
            )
        if around.identity.role is PeerRole.ENTRY:
            targets.pop(around.identity.name, None)
        around.peers.set_targets(targets)

    def beat(self) -> None:
        """Send the digest to all connected processes now."""
        peers = self.around.peers
        receivers = peers.list_connected() + peers.list_observers()
        pause = len(receivers) * _BEAT_SECONDS_PER_STREAM
        pause = min(max(pause, _MIN_BEAT_SECONDS), _MAX_BEAT_SECONDS)
        pause *= self.around.rng.uniform(*_JITTER)
        self._beat_due = self.around.clock.read_monotonic() + pause
        if self.around.identity.role is PeerRole.ENTRY:
            digest = self.make_digest()
            for receiver in receivers:
                peers.cast(receiver, digest)

    def make_digest(self) -> Digest:
        """Return the digest of this node."""
        report = self.collect()
        members = self.members
        members.leaving.merge(
            (name, LEAVING_SECONDS) for name in report.leaving
        )
        members.quarantine.merge(report.quarantine)
        identity = self.around.identity
        make = partial(Digest, identity.name, identity.incarnation)
        return replace(
            make(self.keeper.version, report.prefix, report.headroom),
            leaving=members.leaving.list_pairs(),
            quarantine=members.quarantine.list_pairs(),
            draining=report.draining,
        )
