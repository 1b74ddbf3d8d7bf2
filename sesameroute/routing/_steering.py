"""The steering of an entry VM: which backend server takes a request."""

import random
import threading
from collections.abc import Callable
from typing import Any

from sesameroute.exceptions import RequestError
from sesameroute.limits import Waiter
from sesameroute.ports import Choice, Clock, Outcome, Peers, Request
from sesameroute.routing._admission import Admission
from sesameroute.routing._book import SlotBook
from sesameroute.routing._exchange import Exchange
from sesameroute.routing._headroom import report_headroom
from sesameroute.routing._picker import Picker
from sesameroute.routing._ticker import Ticker
from sesameroute.routing._view import Headroom, Members
from sesameroute.statement import Statement
from sesameroute.verdict import Verdict

__all__ = ['SlotSteering']

_TICK_INTERVAL = 0.05  # seconds between looks at those who wait
_BALANCE_INTERVAL = 0.2  # seconds between balancing while nobody waits


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
        self.clock = clock
        self.peers = peers
        self.book_ = SlotBook(statement, vm, members, clock)
        self.picker_ = Picker(self.book_, rng)
        self.exchange_ = Exchange(
            self.book_,
            peers,
            rng,
            self.picker_.pop_wishes,
        )
        self.admission_ = Admission(self.book_, self.try_choose, rng)
        self._balance_due: float = 0
        self._lock = threading.RLock()
        self._ticker = Ticker(self.tick, _TICK_INTERVAL)

    def start(self) -> None:
        """Start the thread that balances slots with the other VMs."""
        self._ticker.start()

    def stop(self) -> None:
        """End the balancing thread."""
        self._ticker.stop()

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
        while not waiter.done.wait(self.admission_.measure_left(waiter)):
            with self._lock:
                self.admission_.pump(request.kind.service)
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
        with self._lock:
            waiter = self.admission_.submit(request, exclude)
            if not waiter.done.is_set():
                service = request.kind.service
                self.exchange_.balance(
                    service,
                    self.admission_.count_waiting(service),
                )
        return waiter

    def try_choose(
        self,
        request: Request,
        exclude: tuple[str, ...] = (),
    ) -> Choice | None:
        """Take a permitted slot if one is free now."""
        with self._lock:
            pick = self.picker_.pick(request, exclude)
            if pick is None:
                return None
            self.picker_.count_move(pick.upstream)
            ticket = self.book_.hold(pick.upstream.name, request.kind)
            return Choice(pick.upstream, ticket, pick.reason)

    def tick(self) -> None:
        """Balance slots with the other VMs; call it often."""
        now = self.clock.read_monotonic()
        with self._lock:
            geography = self.book_.read_geography()
            services = geography.statement.services if geography else ()
            for ticket in self.book_.stopping_.pop_due():
                self.book_.release(ticket)
            is_due = now >= self._balance_due
            if is_due:
                self._balance_due = now + _BALANCE_INTERVAL
            for service in services:
                waiting = self.admission_.count_waiting(service)
                if waiting or is_due:
                    self.exchange_.balance(service, waiting)
                    self.admission_.pump(service)

    def observe(self, choice: Choice, outcome: Outcome) -> None:
        """Learn from a try."""
        with self._lock:
            self.book_.observe(choice, outcome)

    def release(self, choice: Choice, *, runs: bool = False) -> None:
        """Give the slot back; a second call does nothing."""
        with self._lock:
            if runs:
                self.book_.stopping_.add(choice.ticket)
            elif self.book_.release(choice.ticket):
                self.admission_.pump(choice.upstream.service)

    def charge(self, choice: Choice, body_bytes: int) -> None:
        """Charge bytes to the link as they flow; may block briefly."""
        with self._lock:
            wait = self.picker_.pass_bytes(choice.upstream, body_bytes)
        if wait > 0:
            self.clock.sleep(wait)

    def handle(self, sender: str, message: Any) -> Any:
        """Take a peer's message about grants; all replies are casts."""
        with self._lock:
            service = self.exchange_.handle(message, sender)
            if service:
                self.admission_.pump(service)

    def report_headroom(self) -> Headroom:
        """Return free and total slots by service, for the heartbeat."""
        with self._lock:
            return report_headroom(self.book_)
