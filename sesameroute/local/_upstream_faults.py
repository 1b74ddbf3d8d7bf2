"""Faults of backend servers."""

from functools import partial

from xxhash import xxh3_64_intdigest

from sesameroute.fakes import DelayedStream, FakeUpstream
from sesameroute.local._client_request import ClientRequest
from sesameroute.local._fault import Fault, register_fault
from sesameroute.local._fault_context import FaultContext
from sesameroute.statement import Kind

__all__ = ['UPSTREAM_FAULTS']

_COLD_SECONDS = 3.0
_COLD_START_STRIDE = 3  # every third server is restarted
_OVERLOAD_FACTOR = 1.5  # offered load as a multiple of the slots
_WORK_FRACTION = 0.3  # work time as a fraction of the deadline
_MAX_EXTRA_REQUESTS_PER_SECOND = 60.0
_MILLISECONDS = 1000
_POISON_REQUEST_COUNT = 3  # per kind, not counting retries of the client


@register_fault('upstream-crash')
class UpstreamCrash(Fault):
    """A backend server crashes, closing every socket without an answer."""

    def inject(self, context: FaultContext) -> None:
        """Crash a server."""
        self.fake = context.pick_upstream()
        self.fake.crash()

    def heal(self, context: FaultContext) -> None:
        """Restart the server, which is slow until it has warmed up."""
        _restart(self.fake)


@register_fault('upstream-restart')
class UpstreamRestart(UpstreamCrash):
    """A backend server crashes and restarts cold within half a second."""

    seconds = 0.5


@register_fault('upstream-leaves')
class UpstreamLeaves(Fault):
    """A backend server announces that it leaves; the VM list lags behind."""

    def inject(self, context: FaultContext) -> None:
        """Let the server announce a drain and list it as leaving."""
        self.fake = context.pick_upstream()
        name = self.fake.upstream.name
        self.drain_record = context.record_drain(name, name)
        self.fake.drain()
        context.deployment.publish_vms(name)

    def heal(self, context: FaultContext) -> None:
        """Undo the drain and list the server as staying."""
        self.drain_record.ended = context.read_time()
        self.fake.drain(leaving=False)
        context.deployment.publish_vms()


@register_fault('cold-starts')
class ColdStarts(Fault):
    """A third of the backend servers restart and need to warm up."""

    def inject(self, context: FaultContext) -> None:
        """Restart every third server."""
        fakes = tuple(context.deployment.upstreams.values())
        for fake in fakes[::_COLD_START_STRIDE]:
            fake.crash()
            _restart(fake)

    def heal(self, context: FaultContext) -> None:
        """Do nothing: the servers have warmed up by now."""


@register_fault('load-lies')
class LoadLies(Fault):
    """Half of the backend servers report no load, the others full load."""

    def inject(self, context: FaultContext) -> None:
        """Override the reported load."""
        for number, fake in enumerate(context.deployment.upstreams.values()):
            idle = number % 2 == 0
            fake.behaviour.load_override = 0 if idle else fake.upstream.slots

    def heal(self, context: FaultContext) -> None:
        """Report the real load again."""
        for fake in context.deployment.upstreams.values():
            fake.behaviour.load_override = None


@register_fault('measurements-stop')
class MeasurementsStop(Fault):
    """All backend servers stop reporting their load."""

    def inject(self, context: FaultContext) -> None:
        """Stop the load reports."""
        _set_reports(context, reports=False)

    def heal(self, context: FaultContext) -> None:
        """Resume the load reports."""
        _set_reports(context, reports=True)


@register_fault('silent-connections')
class SilentConnections(Fault):
    """Half of the open connections drop all data; new connections work."""

    def inject(self, context: FaultContext) -> None:
        """Drop all data of the selected connections from now on."""

        def selects(stream: DelayedStream) -> bool:
            # Sorted, so that both directions of a connection get the same hash.
            endpoints = sorted((stream.source, stream.target))
            return (
                xxh3_64_intdigest(f'{endpoints}{stream.port}'.encode()) % 2 == 0
            )

        context.deployment.wire.silence(selects)


@register_fault('request-of-death')
class RequestOfDeath(Fault):
    """A request crashes each server that runs it and is sent repeatedly."""

    def inject(self, context: FaultContext) -> None:
        """Send crashing requests, one idempotent and one non-idempotent."""
        self.is_healed = False
        kinds = context.deployment.statement.kinds.values()
        by_deadline = sorted(kinds, key=lambda each: -each.deadline_ms)
        for kind in {each.idempotent: each for each in by_deadline}.values():
            context.run_in_background(
                partial(self._send_poison_requests, context, kind),
            )

    def heal(self, context: FaultContext) -> None:
        """Stop the requests and restart crashed servers."""
        self.is_healed = True
        for fake in context.deployment.upstreams.values():
            if not fake.is_running:
                _restart(fake)

    def _send_poison_requests(self, context: FaultContext, kind: Kind) -> None:
        caller = context.rng.choice(context.deployment.callers)
        for _ in range(_POISON_REQUEST_COUNT):
            if self.is_healed:
                return
            request = ClientRequest(f'poison-{kind.name}', kind, caller)
            request.is_resent_with_new_key = True
            context.load.send_now(request)
            context.wait_until_finished(request)


@register_fault('overload')
class Overload(Fault):
    """One service gets 1.5 times the load that its slots can take."""

    def inject(self, context: FaultContext) -> None:
        """Slow the servers of one service and send extra requests to it."""
        statement = context.deployment.statement
        kind = max(statement.kinds.values(), key=lambda each: each.deadline_ms)
        self.fakes = [
            context.deployment.upstreams[upstream.name]
            for upstream in statement.list_upstreams(kind.service)
        ]
        factor = kind.deadline_ms * _WORK_FRACTION / kind.work_ms
        slots = 0
        for fake in self.fakes:
            fake.behaviour.work_factor = factor
            slots += fake.upstream.slots
        self._send_extra_requests(context, kind, slots)

    def heal(self, context: FaultContext) -> None:
        """Restore the work time of the servers."""
        for fake in self.fakes:
            fake.behaviour.work_factor = 1

    def _send_extra_requests(
        self,
        context: FaultContext,
        kind: Kind,
        slots: int,
    ) -> None:
        seconds = kind.deadline_ms * _WORK_FRACTION / _MILLISECONDS
        rate = min(
            slots * _OVERLOAD_FACTOR / seconds,
            _MAX_EXTRA_REQUESTS_PER_SECOND,
        )
        for number in range(int(rate * self.seconds)):
            caller = context.rng.choice(context.deployment.callers)
            request = ClientRequest(f'extra-{number}', kind, caller)
            context.send_later(number / rate, request)


def _restart(fake: FakeUpstream) -> None:
    fake.behaviour.cold_seconds = _COLD_SECONDS
    if not fake.is_running:
        fake.start()


def _set_reports(context: FaultContext, *, reports: bool) -> None:
    for fake in context.deployment.upstreams.values():
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
