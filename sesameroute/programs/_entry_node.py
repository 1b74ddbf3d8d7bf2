"""Entry process: start, graceful stop and abrupt close."""

import threading
from typing import TextIO

from sesameroute.adapters import HttpServer, ServerLimits
from sesameroute.delivery import StopReport
from sesameroute.membership import ServiceHeadroom, VmReport
from sesameroute.programs._entry_pages import EntryPages
from sesameroute.programs._entry_parts import build_entry_parts
from sesameroute.programs._host_environment import HostEnvironment
from sesameroute.programs._telemetry import build_telemetry
from sesameroute.routing import is_drained
from sesameroute.settings import Settings

__all__ = ['EntryNode']

_REFRESH_INTERVAL_SECONDS = 0.5
_STOP_TIMEOUT_SECONDS = 20.0
_PROPAGATION_SECONDS = 0.5  # time for peers and look-ups to learn of a drain
_POLL_INTERVAL_SECONDS = 0.02
_MILLISECONDS = 1000


class EntryNode:
    """Process that receives callers' requests on one entry VM.

    Parameters
    ----------
    settings : Settings
        Addresses, keys and limits of this process.
    host_environment : HostEnvironment
        TCP connections, clock and source of random numbers.
    stream : file, optional
        Stream for log lines; standard error by default.

    """

    def __init__(
        self,
        settings: Settings,
        host_environment: HostEnvironment,
        stream: TextIO | None = None,
    ) -> None:
        """Build the components; `start` starts their threads."""
        self.settings = settings
        self.host_environment = host_environment
        self.telemetry = build_telemetry(settings, settings.vm.name, stream)
        self.parts = build_entry_parts(
            settings,
            host_environment,
            self.telemetry,
            self._build_vm_report,
        )
        self.server = HttpServer(
            (settings.vm.address, settings.ports.entry),
            self.parts.application,
            EntryPages(self.parts, self.telemetry, settings.operator.token),
            ServerLimits(
                settings.limits.threads,
                settings.limits.header_bytes,
                settings.limits.body_bytes,
            ),
        )
        self._is_leaving = False
        self._is_stopping = threading.Event()

    @property
    def is_draining(self) -> bool:
        """Whether peers and look-ups should send this VM no new work."""
        statement = self.parts.membership.statement
        if self._is_leaving or statement is None:
            return self._is_leaving
        own = self.settings.vm
        return is_drained(statement, own.name, own.domain)

    def start(self) -> None:
        """Connect to the peers and start to serve callers.

        Raises
        ------
        InputError
            A setting is outside its allowed range.
        OSError
            An address is in use or does not belong to this machine.

        """
        self.parts.network.start(self.parts.handle)
        self.parts.membership.start()
        self.parts.steering.start()
        self.server.start()
        threading.Thread(
            target=self._run_refresh,
            name='entry-refresh',
            daemon=True,
        ).start()
        own_incarnation = self.parts.network.identity.incarnation
        self.telemetry.log.write('entry-started', incarnation=own_incarnation)

    def stop(self, seconds: float = _STOP_TIMEOUT_SECONDS) -> StopReport:
        """Drain this VM, then close everything.

        Peers and look-ups are told of the drain; callers' cached look-ups
        expire; running requests end; stored answers are handed over to the
        witnesses.

        Parameters
        ----------
        seconds : float
            Time limit for all of these steps in seconds.

        Returns
        -------
        StopReport
            Requests still running and answers handed over.

        """
        clock = self.host_environment.clock
        started = clock.read_monotonic()
        deadline = started + seconds
        self._is_leaving = True
        self.parts.membership.send_heartbeats_now()
        clock.sleep(min(self._compute_drain_notice(), seconds / 2))
        report = self.parts.pipeline.stop(deadline)
        while self.parts.application.running:
            if clock.read_monotonic() >= deadline:
                break
            clock.sleep(_POLL_INTERVAL_SECONDS)
        self.crash()
        self.telemetry.log.write(
            'entry-stopped',
            seconds=f'{clock.read_monotonic() - started:.2f}',
            running=report.running,
            handed=report.handed_over,
        )
        return report

    def crash(self) -> None:
        """Close everything at once, as if the process had been killed."""
        self._is_stopping.set()
        self.parts.steering.stop()
        self.parts.membership.stop()
        self.parts.network.stop()
        self.server.stop()
        self.parts.upstreams.close()
        self.parts.relay.close()

    def _build_vm_report(self) -> VmReport:
        headroom = self.parts.steering.report_headroom()
        return VmReport(
            prefix=self.parts.pipeline.prefix,
            headroom=tuple(
                ServiceHeadroom(service, *slots)
                for service, slots in headroom.items()
            ),
            leaving=self.parts.steering.table_.list_leaving(),
            draining=self.is_draining,
        )

    def _compute_drain_notice(self) -> float:
        statement = self.parts.membership.statement
        if statement is None:
            return 0
        cache_seconds = statement.policy.lookup_ttl_ms / _MILLISECONDS
        return cache_seconds + _PROPAGATION_SECONDS

    def _run_refresh(self) -> None:
        while not self._is_stopping.wait(_REFRESH_INTERVAL_SECONDS):
            self.parts.pipeline.refresh()
