"""One entry process: start, planned stop and crash."""

import threading
from typing import TextIO

from sesameroute.adapters import HttpServer, ServerLimits
from sesameroute.delivery import StopReport
from sesameroute.membership import ServiceHeadroom, VmReport
from sesameroute.programs._entry_pages import EntryPages
from sesameroute.programs._entry_parts import build_entry_parts
from sesameroute.programs._observers import build_observers
from sesameroute.programs._surroundings import Outside
from sesameroute.routing import is_drained
from sesameroute.settings import Settings

__all__ = ['EntryNode']

_REFRESH_SECONDS = 0.5
_STOP_SECONDS = 20.0
_NOTICE_SECONDS = 0.5  # for peers and look-ups to hear of the drain
_POLL_SECONDS = 0.02
_MILLISECONDS = 1000


class EntryNode:
    """The process that serves callers on one entry VM.

    Parameters
    ----------
    settings : Settings
        Addresses, keys and bounds of this process.
    outside : Outside
        Wire, clock and random choices.
    stream : file, optional
        Where log lines go; standard error by default.

    """

    def __init__(
        self,
        settings: Settings,
        outside: Outside,
        stream: TextIO | None = None,
    ) -> None:
        """Compose the parts; `start` gives them threads."""
        self.settings = settings
        self.outside = outside
        self.observers = build_observers(settings, settings.vm.name, stream)
        self.parts = build_entry_parts(
            settings,
            outside,
            self.observers,
            self._collect,
        )
        self.server = HttpServer(
            (settings.vm.address, settings.ports.entry),
            self.parts.application,
            EntryPages(self.parts, self.observers, settings.operator.token),
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
        """Whether this VM should get no new work."""
        statement = self.parts.membership.statement
        if self._is_leaving or statement is None:
            return self._is_leaving
        own = self.settings.vm
        return is_drained(statement, own.name, own.domain)

    def start(self) -> None:
        """Join the peers and serve callers.

        Raises
        ------
        InputError
            A setting is outside what is allowed.
        OSError
            An address is taken or not of this machine.

        """
        self.parts.network.start(self.parts.handle)
        self.parts.membership.start()
        self.parts.steering.start()
        self.server.start()
        threading.Thread(
            target=self._refresh,
            name='entry-refresh',
            daemon=True,
        ).start()
        life = self.parts.network.identity.incarnation
        self.observers.log.write('entry-started', incarnation=life)

    def stop(self, seconds: float = _STOP_SECONDS) -> StopReport:
        """Leave without cutting a request.

        Peers and look-ups hear of it, callers' kept look-ups run out,
        requests end, kept answers go to the witnesses.

        Parameters
        ----------
        seconds : float
            Longest time to take.

        """
        clock = self.outside.clock
        started = clock.read_monotonic()
        deadline = started + seconds
        self._is_leaving = True
        self.parts.membership.announce()
        clock.sleep(min(self._read_notice(), seconds / 2))
        report = self.parts.pipeline.stop(deadline)
        while self.parts.application.running:
            if clock.read_monotonic() >= deadline:
                break
            clock.sleep(_POLL_SECONDS)
        self.crash()
        self.observers.log.write(
            'entry-stopped',
            seconds=f'{clock.read_monotonic() - started:.2f}',
            running=report.running,
            handed=report.handed,
        )
        return report

    def crash(self) -> None:
        """Close everything at once, as the death of the process would."""
        self._is_stopping.set()
        self.parts.steering.stop()
        self.parts.membership.stop()
        self.parts.network.stop()
        self.server.stop()
        self.parts.upstreams.close()
        self.parts.relay.close()

    def _collect(self) -> VmReport:
        headroom = self.parts.steering.report_headroom()
        return VmReport(
            prefix=self.parts.pipeline.prefix,
            headroom=tuple(
                ServiceHeadroom(service, *slots)
                for service, slots in headroom.items()
            ),
            leaving=self.parts.steering.book_.list_leaving(),
            draining=self.is_draining,
        )

    def _read_notice(self) -> float:
        statement = self.parts.membership.statement
        if statement is None:
            return 0
        kept = statement.policy.lookup_ttl_ms / _MILLISECONDS
        return kept + _NOTICE_SECONDS

    def _refresh(self) -> None:
        while not self._is_stopping.wait(_REFRESH_SECONDS):
            self.parts.pipeline.refresh()
