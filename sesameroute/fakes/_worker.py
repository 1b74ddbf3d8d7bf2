"""Work of a stand-in backend server: slots, time, load and journal."""

import time
from collections.abc import Mapping
from contextlib import ExitStack
from http import HTTPStatus

from sesameroute.fakes._behaviour import Behaviour, WorkKind
from sesameroute.fakes._body import build_body
from sesameroute.fakes._connection import Connection
from sesameroute.fakes._exchange import HttpRequest, Reply
from sesameroute.fakes._journal import Journal, Run
from sesameroute.fakes._slots import SlotQueue

__all__ = ['CrashError', 'Worker']

_STEP_SECONDS = 0.02
_REMEMBERED_CANCELS = 1000


class CrashError(Exception):
    """A request brought the server down."""


class Worker:
    """Runs requests in slots and journals them.

    Parameters
    ----------
    name : str
        Name of the backend server.
    slots : int
        Most requests that run at once; as many wait.
    kinds : mapping of str to WorkKind
        Work by kind of request.
    journal : Journal
        Takes every run.
    behaviour : Behaviour
        Habits and faults.

    """

    def __init__(
        self,
        name: str,
        slots: int,
        kinds: Mapping[str, WorkKind],
        journal: Journal,
        behaviour: Behaviour,
    ) -> None:
        """Store the parameters."""
        self.name = name
        self.kinds = kinds
        self.journal = journal
        self.behaviour = behaviour
        self.slots = SlotQueue(slots, slots)
        self.shed_count = 0
        self._started_at = time.monotonic()
        self._told_at = 0
        self._told_load = 0
        self._cancelled: dict[str, None] = {}

    def cancel(self, key: str) -> None:
        """Give up the work of a key, now or when it comes."""
        self._cancelled[key] = None
        if len(self._cancelled) > _REMEMBERED_CANCELS:
            self._cancelled.pop(next(iter(self._cancelled)), None)

    def answer(self, request: HttpRequest, connection: Connection) -> Reply:
        """Return the reply to a request; a reply without status is none.

        Raises
        ------
        CrashError
            The request is one that brings servers down.

        """
        patience = min(self.behaviour.queue_seconds, request.seconds_left)
        if not self.slots.enter(patience):
            self.shed_count += 1
            shed = (('Sesame-Shed', '1'), *self.tell_load())
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE, shed)
        with ExitStack() as stack:
            stack.callback(self.slots.leave)
            return self._run(request, connection)

    def tell_load(self) -> tuple[tuple[str, str], ...]:
        """Return the header with the load, late or wrong as it may be."""
        behaviour = self.behaviour
        if not behaviour.reports_load:
            return ()
        now = time.monotonic()
        if now - self._told_at >= behaviour.load_lag:
            self._told_at = now
            self._told_load = self.slots.active
        used = behaviour.load_lie
        if used is None:
            used = self._told_load
        return (('Sesame-Load', f'{used}/{self.slots.slots}'),)

    def _run(self, request: HttpRequest, connection: Connection) -> Reply:
        target = request.split_path()
        run = self.journal.start(request.key, target, self.name)
        self._resist(request, run.order)
        work = self.kinds.get(run.kind, WorkKind())
        if not self._spend(work, run, request, connection):
            return Reply(None)
        mark, chunks = build_body(run.order, run.number, work.answer_bytes)
        self.journal.finish(run, mark.digest)
        length = ('Content-Length', str(len(mark.encode()) + mark.length))
        return Reply(HTTPStatus.OK, (*self.tell_load(), length), chunks)

    def _resist(self, request: HttpRequest, order: str) -> None:
        poison = self.behaviour.poison
        if poison and (poison in request.body or poison in order.encode()):
            raise CrashError(order)

    def _spend(
        self,
        work: WorkKind,
        run: Run,
        request: HttpRequest,
        connection: Connection,
    ) -> bool:
        """Work in steps; return whether the end was reached."""
        seconds = work.seconds * self.behaviour.work_factor * self._warm_up()
        ends = run.started + seconds
        left = seconds
        while left > 0:
            time.sleep(min(left, _STEP_SECONDS))
            unwanted = run.key in self._cancelled or request.seconds_left <= 0
            if unwanted or connection.is_gone():
                return False
            left = ends - time.monotonic()
        return True

    def _warm_up(self) -> float:
        behaviour = self.behaviour
        age = time.monotonic() - self._started_at
        if age >= behaviour.cold_seconds:
            return 1
        coldness = 1 - age / behaviour.cold_seconds
        return 1 + (behaviour.cold_factor - 1) * coldness
