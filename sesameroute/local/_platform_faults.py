"""Faults of the store and the VM list, and actions of operators."""

from functools import partial

from sesameroute.fakes import StoreOutage
from sesameroute.local._fault import Fault, register_fault
from sesameroute.local._fault_context import FaultContext
from sesameroute.local._monitors import DrainRecord
from sesameroute.submission import add_drain, remove_drain

__all__ = ['PLATFORM_FAULTS']

_OPERATOR_COUNT = 4
_SLOW_ANSWER_SECONDS = 1.0
_LOST_ANSWER_COUNT = 3


@register_fault('store-down')
class StoreDown(Fault):
    """The store does not answer at all."""

    seconds = 6

    def inject(self, context: FaultContext) -> None:
        """Let every call of the store hang."""
        context.deployment.store.faults.outage = StoreOutage.HANG

    def heal(self, context: FaultContext) -> None:
        """Let the store answer again."""
        context.deployment.store.faults.outage = StoreOutage.NONE


@register_fault('store-slow')
class StoreSlow(Fault):
    """Store answers take a second while an operator submits changes."""

    def inject(self, context: FaultContext) -> None:
        """Delay the answers and submit two changes."""
        context.deployment.store.faults.delay = _SLOW_ANSWER_SECONDS
        context.run_in_background(partial(drain_and_undrain, context))

    def heal(self, context: FaultContext) -> None:
        """Remove the delay."""
        context.deployment.store.faults.delay = 0


@register_fault('store-lost-answers')
class StoreLostAnswers(Fault):
    """Store answers are lost after the write has taken effect."""

    def inject(self, context: FaultContext) -> None:
        """Drop the next answers and submit two changes."""
        context.deployment.store.faults.lost_answers = _LOST_ANSWER_COUNT
        context.run_in_background(partial(drain_and_undrain, context))

    def heal(self, context: FaultContext) -> None:
        """Drop no further answers."""
        context.deployment.store.faults.lost_answers = 0


@register_fault('store-rollback')
class StoreRollback(Fault):
    """The store is restored with an older configuration than the fleet has."""

    def inject(self, context: FaultContext) -> None:
        """Submit two changes, then roll the store back by one of them."""
        context.run_in_background(partial(self._roll_back, context))

    def _roll_back(self, context: FaultContext) -> None:
        if drain_and_undrain(context):
            context.wait_until_applied()
            context.deployment.store.memory.roll_back(
                context.deployment.store_key,
                1,
            )


@register_fault('vmlist-stale')
class VmListStale(Fault):
    """The VM list is not updated while a backend server leaves."""

    def inject(self, context: FaultContext) -> None:
        """Freeze the list and let a server announce that it drains."""
        context.deployment.vm_list.is_stale = True
        self.fake = context.pick_upstream()
        name = self.fake.upstream.name
        self.drain_record = context.record_drain(name, name)
        self.fake.drain()

    def heal(self, context: FaultContext) -> None:
        """Undo the drain and update the list again."""
        self.drain_record.ended = context.read_time()
        self.fake.drain(leaving=False)
        context.deployment.vm_list.is_stale = False


@register_fault('vmlist-down')
class VmListDown(Fault):
    """The VM list is not served."""

    def inject(self, context: FaultContext) -> None:
        """Stop serving the list."""
        context.deployment.vm_list.is_down = True

    def heal(self, context: FaultContext) -> None:
        """Serve the list again."""
        context.deployment.vm_list.is_down = False


@register_fault('operators-race')
class OperatorsRace(Fault):
    """Several operators submit different changes at the same time."""

    def inject(self, context: FaultContext) -> None:
        """Let each operator drain a different backend server."""
        upstreams = sorted(context.deployment.upstreams)
        self.subjects = context.rng.sample(upstreams, _OPERATOR_COUNT)
        self.accepted: list[str] = []
        submissions = map(
            partial(partial, self._submit, context),
            self.subjects,
        )
        self.threads = tuple(map(context.run_in_background, submissions))

    def heal(self, context: FaultContext) -> None:
        """Check that each accepted change is stored, then undo all of them."""
        for thread in self.threads:
            thread.join()
        stored = context.deployment.open_configuration_store().read()
        for subject in self.accepted:
            if f'[drain {subject}]' not in stored.text:
                context.monitor.problems.append(
                    f'accepted drain of {subject} got lost',
                )
        for subject in self.subjects:
            context.submit(partial(remove_drain, subject=subject))

    def _submit(self, context: FaultContext, subject: str) -> None:
        if context.submit(partial(add_drain, subject=subject)):
            self.accepted.append(subject)


class OperatorDrain(Fault):
    """Base class: an operator submits a drain and later removes it."""

    seconds = 5

    def choose_subject(
        self,
        context: FaultContext,
    ) -> tuple[str, tuple[str, ...]]:
        """Return the name to drain and the backend servers that it covers."""
        raise NotImplementedError

    def inject(self, context: FaultContext) -> None:
        """Submit the drain."""
        subject, upstreams = self.choose_subject(context)
        self.subject = subject
        context.submit(partial(add_drain, subject=subject))
        self.drain_record: DrainRecord = context.record_drain(
            subject,
            *upstreams,
        )

    def heal(self, context: FaultContext) -> None:
        """Remove the drain."""
        self.drain_record.ended = context.read_time()
        context.submit(partial(remove_drain, subject=self.subject))


@register_fault('drain-upstream')
class DrainUpstream(OperatorDrain):
    """An operator drains a backend server."""

    def choose_subject(
        self,
        context: FaultContext,
    ) -> tuple[str, tuple[str, ...]]:
        """Choose a server."""
        name = context.pick_upstream().upstream.name
        return name, (name,)


@register_fault('drain-domain')
class DrainDomain(OperatorDrain):
    """An operator drains a failure domain."""

    def choose_subject(
        self,
        context: FaultContext,
    ) -> tuple[str, tuple[str, ...]]:
        """Choose a failure domain and all servers in it."""
        domain = context.pick_domain()
        return domain, context.list_upstreams((domain,))


@register_fault('drain-vm')
class DrainVm(OperatorDrain):
    """An operator drains an entry VM."""

    def choose_subject(
        self,
        context: FaultContext,
    ) -> tuple[str, tuple[str, ...]]:
        """Choose an entry VM; it covers no backend servers."""
        self.vm = context.pick_vm()
        return self.vm.name, ()

    def inject(self, context: FaultContext) -> None:
        """Submit the drain and measure when the VM has no requests left."""
        super().inject(context)
        context.run_in_background(
            partial(context.measure_vm_drain, self.vm, self.drain_record),
        )


def drain_and_undrain(context: FaultContext) -> bool:
    """Drain and undrain a server; return whether both were accepted."""
    subject = context.pick_upstream().upstream.name
    accepted = context.submit(partial(add_drain, subject=subject))
    return context.submit(partial(remove_drain, subject=subject)) and accepted


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
