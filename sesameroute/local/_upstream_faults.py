"""Faults of backend servers."""

from functools import partial

from xxhash import xxh3_64_intdigest

from sesameroute.fakes import FakeUpstream, Lane
from sesameroute.local._fault import Fault, register_fault
from sesameroute.local._order import Order
from sesameroute.local._scene import Scene
from sesameroute.statement import Kind

__all__ = ['UPSTREAM_FAULTS']

_COLD_SECONDS = 3.0
_COLD_PART = 3  # one in so many servers is restarted
_OVERLOAD = 1.5  # times the slots of a service
_WORK_PART = 0.3  # of the deadline
_MOST_RATE = 60.0  # extra requests a second
_MILLISECONDS = 1000
_POISONS = 3  # sendings of each, beside its user's own


@register_fault('upstream-crash')
class UpstreamCrash(Fault):
    """A backend server closes every socket without an answer."""

    def inject(self, scene: Scene) -> None:
        """Crash a server."""
        self.fake = scene.pick_upstream()
        self.fake.crash()

    def heal(self, scene: Scene) -> None:
        """Start it again, cold."""
        _restart(self.fake)


@register_fault('upstream-restart')
class UpstreamRestart(UpstreamCrash):
    """A backend server crashes and is back within half a second, cold."""

    seconds = 0.5


@register_fault('upstream-leaves')
class UpstreamLeaves(Fault):
    """A backend server announces its leaving; the VM list tells it late."""

    def inject(self, scene: Scene) -> None:
        """Let the server drain itself."""
        self.fake = scene.pick_upstream()
        name = self.fake.upstream.name
        self.watch = scene.watch_drain(name, name)
        self.fake.drain()
        scene.deployment.publish_vms(name)

    def heal(self, scene: Scene) -> None:
        """Let it come back."""
        self.watch.ended = scene.read_time()
        self.fake.drain(leaving=False)
        scene.deployment.publish_vms()


@register_fault('cold-starts')
class ColdStarts(Fault):
    """A third of the backend servers restart and are cold."""

    def inject(self, scene: Scene) -> None:
        """Restart every third server."""
        fakes = tuple(scene.deployment.upstreams.values())
        for fake in fakes[::_COLD_PART]:
            fake.crash()
            _restart(fake)

    def heal(self, scene: Scene) -> None:
        """They have warmed up by now."""


@register_fault('load-lies')
class LoadLies(Fault):
    """Half of the backend servers claim to be idle, the others to be full."""

    def inject(self, scene: Scene) -> None:
        """Let them lie."""
        for number, fake in enumerate(scene.deployment.upstreams.values()):
            idle = number % 2 == 0
            fake.behaviour.load_lie = 0 if idle else fake.upstream.slots

    def heal(self, scene: Scene) -> None:
        """Let them tell the truth."""
        for fake in scene.deployment.upstreams.values():
            fake.behaviour.load_lie = None


@register_fault('measurements-stop')
class MeasurementsStop(Fault):
    """No backend server reports its load any more."""

    def inject(self, scene: Scene) -> None:
        """Stop the reports."""
        _set_reports(scene, reports=False)

    def heal(self, scene: Scene) -> None:
        """Let them report again."""
        _set_reports(scene, reports=True)


@register_fault('silent-connections')
class SilentConnections(Fault):
    """Half of the open connections go silent for good; new ones work."""

    def inject(self, scene: Scene) -> None:
        """Lose track of them."""

        def selects(lane: Lane) -> bool:
            # Both directions of a connection must fall alike.
            ends = sorted((lane.source, lane.target))
            return xxh3_64_intdigest(f'{ends}{lane.port}'.encode()) % 2 == 0

        scene.deployment.wire.silence(selects)


@register_fault('request-of-death')
class RequestOfDeath(Fault):
    """A request crashes each server that runs it; its caller sends it again."""

    def inject(self, scene: Scene) -> None:
        """Send one idempotent and one non-idempotent poisonous request."""
        self.is_over = False
        kinds = scene.deployment.statement.kinds.values()
        by_deadline = sorted(kinds, key=lambda each: -each.deadline_ms)
        for kind in {each.idempotent: each for each in by_deadline}.values():
            scene.run_aside(partial(self._send_again, scene, kind))

    def heal(self, scene: Scene) -> None:
        """Start crashed servers again."""
        self.is_over = True
        for fake in scene.deployment.upstreams.values():
            if not fake.is_running:
                _restart(fake)

    def _send_again(self, scene: Scene, kind: Kind) -> None:
        caller = scene.rng.choice(scene.deployment.callers)
        for _ in range(_POISONS):
            if self.is_over:
                return
            order = Order(f'poison-{kind.name}', kind, caller)
            order.is_sent_anew = True
            scene.load.put(order)
            scene.wait_ended(order)


@register_fault('overload')
class Overload(Fault):
    """One service gets half as much work again as it has slots."""

    def inject(self, scene: Scene) -> None:
        """Slow the servers of one service and send more requests to it."""
        statement = scene.deployment.statement
        kind = max(statement.kinds.values(), key=lambda each: each.deadline_ms)
        self.fakes = [
            scene.deployment.upstreams[upstream.name]
            for upstream in statement.list_upstreams(kind.service)
        ]
        factor = kind.deadline_ms * _WORK_PART / kind.work_ms
        slots = 0
        for fake in self.fakes:
            fake.behaviour.work_factor = factor
            slots += fake.upstream.slots
        self._crowd(scene, kind, slots)

    def heal(self, scene: Scene) -> None:
        """Let the servers work as usual."""
        for fake in self.fakes:
            fake.behaviour.work_factor = 1

    def _crowd(self, scene: Scene, kind: Kind, slots: int) -> None:
        seconds = kind.deadline_ms * _WORK_PART / _MILLISECONDS
        rate = min(slots * _OVERLOAD / seconds, _MOST_RATE)
        for number in range(int(rate * self.seconds)):
            caller = scene.rng.choice(scene.deployment.callers)
            order = Order(f'extra-{number}', kind, caller)
            scene.put_later(number / rate, order)


def _restart(fake: FakeUpstream) -> None:
    fake.behaviour.cold_seconds = _COLD_SECONDS
    if not fake.is_running:
        fake.start()


def _set_reports(scene: Scene, *, reports: bool) -> None:
    for fake in scene.deployment.upstreams.values():
        fake.behaviour.reports_load = reports


UPSTREAM_FAULTS = (
    UpstreamCrash,
    UpstreamRestart,
    UpstreamLeaves,
    ColdStarts,
    LoadLies,
    MeasurementsStop,
    SilentConnections,
    RequestOfDeath,
    Overload,
)
