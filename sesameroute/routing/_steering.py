"""The steering of an entry VM: which backend server takes a request."""

import itertools
import random
import threading
from collections.abc import Callable
from typing import Any

from sesameroute.exceptions import RequestError
from sesameroute.limits import Waiter, WaitQueue, limit_wait
from sesameroute.ports import Choice, Clock, Outcome, Peers, Request
from sesameroute.routing._book import SlotBook
from sesameroute.routing._picker import Picker
from sesameroute.routing._view import Headroom, Members
from sesameroute.statement import Kind, Statement
from sesameroute.verdict import Verdict

__all__ = ['SlotSteering']

_MILLISECONDS = 1000  # in a second
_QUEUE_LIMIT = 256  # requests a service
_MIN_RETRY_AFTER = 0.05  # seconds
_PUMP_INTERVAL = 0.02  # seconds between looks at a waiting request


class SlotSteering:
    """Chooses backend servers by slots that are counted, not guessed.

    Parameters
    ----------
    statement : callable
        Returns the statement in force, None before the first one.
    vm : str
        Name of this VM.
    members : Members
        The entry VMs as membership sees them.
    peers : Peers
        Streams to the other entry VMs.
    clock : Clock
        Source of time.
    rng : random.Random
        Breaks ties.

    """

    def __init__(
        self,
        statement: Callable[[], Statement | None],
        vm: str,
        members: Members,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Store the arguments; no slot is taken."""
        self.statement = statement
        self.vm = vm
        self.members = members
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.book_ = SlotBook(statement, vm, clock)
        self.picker_ = Picker(self.book_, members, rng)
        self.queues_: dict[str, WaitQueue] = {}
        self.held_: dict[int, str] = {}
        self._tickets = itertools.count(1)
        self._lock = threading.RLock()

    def choose(
        self,
        request: Request,
        exclude: tuple[str, ...] = (),
    ) -> Choice:
        """Wait for a permitted slot and take it.

        Parameters
        ----------
        request : Request
            The request to place.
        exclude : tuple of str
            Names of backend servers already tried.

        Returns
        -------
        Choice
            A backend server with a slot that must be released.

        Raises
        ------
        RequestError
            No slot in time; `NOT_RUN`, code ``no-room``, with `retry_after`.

        """
        waiter = self.submit(request, exclude)
        while not waiter.done.wait(_PUMP_INTERVAL):
            self.pump(request.kind.service)
        if waiter.choice is None:
            raise RequestError(
                f'no slot of {request.kind.service} is free',
                Verdict.NOT_RUN,
                'no-room',
                waiter.retry_after,
            )
        return waiter.choice

    def submit(
        self,
        request: Request,
        exclude: tuple[str, ...] = (),
    ) -> Waiter:
        """Take a slot, join the queue or be refused, without blocking."""
        now = self.clock.read_monotonic()
        with self._lock:
            longest = self.book_.read_queue_seconds()
            waiter = Waiter(
                request,
                exclude,
                now,
                now + limit_wait(request, now, longest),
            )
            loser = self._find_queue(request.kind.service).offer(waiter)
            self.pump(request.kind.service)
            if loser and not loser.done.is_set():
                loser.refuse(self._estimate_wait(request.kind))
        return waiter

    def pump(self, service: str) -> None:
        """Hand free slots to those who wait and refuse those too late."""
        with self._lock:
            queue = self._find_queue(service)
            for waiter in tuple(queue.waiting_):
                choice = self.try_choose(waiter.request, waiter.exclude)
                if choice is None:
                    break
                queue.remove(waiter)
                waiter.settle(choice)
            for late in queue.pop_late(self.clock.read_monotonic()):
                late.refuse(self._estimate_wait(late.request.kind))

    def try_choose(
        self,
        request: Request,
        exclude: tuple[str, ...] = (),
    ) -> Choice | None:
        """Take a permitted slot if one is free now."""
        with self._lock:
            upstream = self.picker_.pick(request, exclude)
            if upstream is None:
                return None
            self.book_.take(upstream.name)
            ticket = next(self._tickets)
            self.held_[ticket] = upstream.name
        return Choice(upstream, ticket, 'free slot')

    def observe(self, choice: Choice, outcome: Outcome) -> None:
        """Learn from a try."""

    def release(self, choice: Choice) -> None:
        """Give the slot back; a second call does nothing."""
        with self._lock:
            name = self.held_.pop(choice.ticket, None)
            if name is None:
                return
            self.book_.give_back(name)
        self.pump(choice.upstream.service)

    def charge(self, choice: Choice, body_bytes: int) -> None:
        """Charge bytes to the link as they flow; may block briefly."""

    def handle(self, sender: str, message: Any) -> Any:
        """Take a peer's message about grants; return the reply or None."""

    def report_headroom(self) -> Headroom:
        """Return free and total slots by service, for the heartbeat."""
        with self._lock:
            return self.book_.report_headroom()

    def _find_queue(self, service: str) -> WaitQueue:
        return self.queues_.setdefault(service, WaitQueue(_QUEUE_LIMIT))

    def _estimate_wait(self, kind: Kind) -> float:
        waiting = len(self._find_queue(kind.service)) + 1
        work = kind.work_ms / _MILLISECONDS
        jitter = 1 + self.rng.random()
        return max(_MIN_RETRY_AFTER, work * waiting) * jitter
