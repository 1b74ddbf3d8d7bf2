"""Request execution of a fake backend server."""

import time
from collections.abc import Mapping
from contextlib import ExitStack
from http import HTTPStatus

from sesameroute.fakes._behaviour import Behaviour, WorkKind
from sesameroute.fakes._body import build_body
from sesameroute.fakes._connection import Connection
from sesameroute.fakes._exchange import HttpRequest, Reply
from sesameroute.fakes._journal import ExecutionLog, Run
from sesameroute.fakes._slots import SlotQueue

__all__ = ['CrashError', 'Worker']

# Interval at which a run checks whether its request was abandoned.
_CHECK_SECONDS = 0.02
_MAX_CANCELLED_KEYS = 1000


class CrashError(Exception):
    """A request crashed the server."""


class Worker:
    """Runs requests within its slots and records them in the execution log.

    Parameters
    ----------
    name : str
        Name of the backend server.
    slots : int
        Maximum number of requests that run at once; as many may wait.
    kinds : mapping of str to WorkKind
        Duration and answer size by kind of request.
    execution_log : ExecutionLog
        Records every run.
    behaviour : Behaviour
        Performance settings and faults.

    """

    def __init__(
        self,
        name: str,
        slots: int,
        kinds: Mapping[str, WorkKind],
        execution_log: ExecutionLog,
        behaviour: Behaviour,
    ) -> None:
        """Store the parameters."""
        self.name = name
        self.kinds = kinds
        self.execution_log = execution_log
        self.behaviour = behaviour
        self.slots = SlotQueue(slots, slots)
        self.shed_count = 0
        self._started_at = time.monotonic()
        self._load_sampled_at = 0
        self._sampled_load = 0
        self._cancelled: dict[str, None] = {}

    def cancel(self, key: str) -> None:
        """Stop the work of a request key, also if its request comes later."""
        self._cancelled[key] = None
        if len(self._cancelled) > _MAX_CANCELLED_KEYS:
            self._cancelled.pop(next(iter(self._cancelled)), None)

    def answer(self, request: HttpRequest, connection: Connection) -> Reply:
        """Return the reply to a request; a status of None means no reply.

        Raises
        ------
        CrashError
            The request contains the bytes that crash the server.

        """
        wait_seconds = min(self.behaviour.queue_seconds, request.seconds_left)
        if not self.slots.acquire(wait_seconds):
            self.shed_count += 1
            shed = (('Sesame-Shed', '1'), *self.build_load_headers())
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE, shed)
        with ExitStack() as stack:
            stack.callback(self.slots.release)
            return self._run(request, connection)

    def build_load_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the load header; its value may be delayed or falsified."""
        behaviour = self.behaviour
        if not behaviour.reports_load:
            return ()
        now = time.monotonic()
        if now - self._load_sampled_at >= behaviour.load_lag:
            self._load_sampled_at = now
            self._sampled_load = self.slots.active
        used = behaviour.load_override
        if used is None:
            used = self._sampled_load
        return (('Sesame-Load', f'{used}/{self.slots.slots}'),)

    def _run(self, request: HttpRequest, connection: Connection) -> Reply:
        target = request.split_path()
        run = self.execution_log.start(request.key, target, self.name)
        self._crash_if_poisoned(request, run.order)
        work = self.kinds.get(run.kind, WorkKind())
        if not self._simulate_work(work, run, request, connection):
            return Reply(None)
        checksum_line, chunks = build_body(
            run.order, run.number, work.answer_bytes
        )
        self.execution_log.finish(run, checksum_line.digest)
        length = (
            'Content-Length',
            str(len(checksum_line.encode()) + checksum_line.length),
        )
        return Reply(
            HTTPStatus.OK,
            (*self.build_load_headers(), length),
            chunks,
        )

    def _crash_if_poisoned(self, request: HttpRequest, order: str) -> None:
        poison = self.behaviour.poison
        if poison and (poison in request.body or poison in order.encode()):
            raise CrashError(order)

    def _simulate_work(
        self,
        work: WorkKind,
        run: Run,
        request: HttpRequest,
        connection: Connection,
    ) -> bool:
        """Sleep for the duration of the work; return whether it completed."""
        seconds = (
            work.seconds
            * self.behaviour.work_factor
            * self._compute_cold_factor()
        )
        end_time = run.started + seconds
        seconds_to_sleep = seconds
        while seconds_to_sleep > 0:
            time.sleep(min(seconds_to_sleep, _CHECK_SECONDS))
            is_abandoned = (
                run.key in self._cancelled or request.seconds_left <= 0
            )
            if is_abandoned or connection.is_closed_by_peer():
                return False
            seconds_to_sleep = end_time - time.monotonic()
        return True

    def _compute_cold_factor(self) -> float:
        behaviour = self.behaviour
        age = time.monotonic() - self._started_at
        if age >= behaviour.cold_seconds:
            return 1
        cold_fraction = 1 - age / behaviour.cold_seconds
        return 1 + (behaviour.cold_factor - 1) * cold_fraction
