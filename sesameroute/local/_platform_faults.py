"""Faults of the platform's store and list, and what operators do."""

from functools import partial

from sesameroute.fakes import StoreOutage
from sesameroute.local._fault import Fault, register_fault
from sesameroute.local._scene import Scene
from sesameroute.local._watch import DrainWatch
from sesameroute.submission import add_drain, remove_drain

__all__ = ['PLATFORM_FAULTS']

_OPERATORS = 4
_SLOW_SECONDS = 1.0
_LOST_ANSWERS = 3


@register_fault('store-down')
class StoreDown(Fault):
    """The store does not answer at all."""

    seconds = 6

    def inject(self, scene: Scene) -> None:
        """Let it hang."""
        scene.deployment.store.faults.outage = StoreOutage.HANG

    def heal(self, scene: Scene) -> None:
        """Let it answer."""
        scene.deployment.store.faults.outage = StoreOutage.NONE


@register_fault('store-slow')
class StoreSlow(Fault):
    """Every answer of the store takes a second; an operator submits."""

    def inject(self, scene: Scene) -> None:
        """Slow it."""
        scene.deployment.store.faults.delay = _SLOW_SECONDS
        scene.run_aside(partial(drain_and_undrain, scene))

    def heal(self, scene: Scene) -> None:
        """Let it answer as usual."""
        scene.deployment.store.faults.delay = 0


@register_fault('store-lost-answers')
class StoreLostAnswers(Fault):
    """Answers of the store get lost after the write took effect."""

    def inject(self, scene: Scene) -> None:
        """Lose the next answers, and submit."""
        scene.deployment.store.faults.lost_answers = _LOST_ANSWERS
        scene.run_aside(partial(drain_and_undrain, scene))

    def heal(self, scene: Scene) -> None:
        """Lose no more."""
        scene.deployment.store.faults.lost_answers = 0


@register_fault('store-rollback')
class StoreRollback(Fault):
    """The store comes back with an older configuration than the fleet has."""

    def inject(self, scene: Scene) -> None:
        """Submit a change and restore the one before it."""
        scene.run_aside(partial(self._roll_back, scene))

    def _roll_back(self, scene: Scene) -> None:
        if drain_and_undrain(scene):
            scene.wait_settled()
            scene.deployment.store.memory.restore(scene.deployment.store_key, 1)


@register_fault('vmlist-stale')
class VmListStale(Fault):
    """The VM list stands still while a backend server leaves."""

    def inject(self, scene: Scene) -> None:
        """Stop the list and let a server drain."""
        scene.deployment.vm_list.is_stale = True
        self.fake = scene.pick_upstream()
        name = self.fake.upstream.name
        self.watch = scene.watch_drain(name, name)
        self.fake.drain()

    def heal(self, scene: Scene) -> None:
        """Let both go on."""
        self.watch.ended = scene.read_time()
        self.fake.drain(leaving=False)
        scene.deployment.vm_list.is_stale = False


@register_fault('vmlist-down')
class VmListDown(Fault):
    """The VM list is not served."""

    def inject(self, scene: Scene) -> None:
        """Take it down."""
        scene.deployment.vm_list.is_down = True

    def heal(self, scene: Scene) -> None:
        """Serve it again."""
        scene.deployment.vm_list.is_down = False


@register_fault('operators-race')
class OperatorsRace(Fault):
    """Operators submit different changes at the same moment."""

    def inject(self, scene: Scene) -> None:
        """Let each drain another backend server."""
        upstreams = sorted(scene.deployment.upstreams)
        self.subjects = scene.rng.sample(upstreams, _OPERATORS)
        self.accepted: list[str] = []
        operators = map(partial(partial, self._submit, scene), self.subjects)
        self.threads = tuple(map(scene.run_aside, operators))

    def heal(self, scene: Scene) -> None:
        """Compare what was accepted with what is stored; undo all."""
        for operator in self.threads:
            operator.join()
        base = scene.deployment.open_desk().read()
        for subject in self.accepted:
            if f'[drain {subject}]' not in base.text:
                scene.watch.problems.append(f'accepted {subject} got lost')
        for subject in self.subjects:
            scene.submit(partial(remove_drain, subject=subject))

    def _submit(self, scene: Scene, subject: str) -> None:
        if scene.submit(partial(add_drain, subject=subject)):
            self.accepted.append(subject)


class OperatorDrain(Fault):
    """An operator drains something and takes the drain back later."""

    seconds = 5

    def choose(self, scene: Scene) -> tuple[str, tuple[str, ...]]:
        """Return the subject and the backend servers that it empties."""
        raise NotImplementedError

    def inject(self, scene: Scene) -> None:
        """Submit the drain."""
        subject, upstreams = self.choose(scene)
        self.subject = subject
        scene.submit(partial(add_drain, subject=subject))
        self.watch: DrainWatch = scene.watch_drain(subject, *upstreams)

    def heal(self, scene: Scene) -> None:
        """Take it back."""
        self.watch.ended = scene.read_time()
        scene.submit(partial(remove_drain, subject=self.subject))


@register_fault('drain-upstream')
class DrainUpstream(OperatorDrain):
    """An operator drains a backend server."""

    def choose(self, scene: Scene) -> tuple[str, tuple[str, ...]]:
        """Choose a server."""
        name = scene.pick_upstream().upstream.name
        return name, (name,)


@register_fault('drain-domain')
class DrainDomain(OperatorDrain):
    """An operator drains a failure domain."""

    def choose(self, scene: Scene) -> tuple[str, tuple[str, ...]]:
        """Choose a failure domain and all servers in it."""
        domain = scene.pick_domain()
        return domain, scene.list_upstreams((domain,))


@register_fault('drain-vm')
class DrainVm(OperatorDrain):
    """An operator drains an entry VM."""

    def choose(self, scene: Scene) -> tuple[str, tuple[str, ...]]:
        """Choose a VM."""
        self.vm = scene.pick_vm()
        return self.vm.name, ()

    def inject(self, scene: Scene) -> None:
        """Submit the drain and see when the VM has no more work."""
        super().inject(scene)
        scene.run_aside(partial(scene.time_idle, self.vm, self.watch))


def drain_and_undrain(scene: Scene) -> bool:
    """Submit two changes that cancel out; return if both were accepted."""
    subject = scene.pick_upstream().upstream.name
    accepted = scene.submit(partial(add_drain, subject=subject))
    return scene.submit(partial(remove_drain, subject=subject)) and accepted


PLATFORM_FAULTS = (
    StoreDown,
    StoreSlow,
    StoreLostAnswers,
    StoreRollback,
    VmListStale,
    VmListDown,
    OperatorsRace,
    DrainUpstream,
    DrainDomain,
    DrainVm,
)
