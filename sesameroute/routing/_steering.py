"""Steering of an entry VM: the choice of backend server per request."""

import random
import threading
from collections.abc import Callable
from typing import Any

from sesameroute.exceptions import RequestError
from sesameroute.limits import WaitingRequest
from sesameroute.ports import Choice, Clock, Outcome, Peers, Request
from sesameroute.routing._admission import Admission
from sesameroute.routing._headroom import report_headroom
from sesameroute.routing._lease_coordinator import LeaseCoordinator
from sesameroute.routing._picker import Picker
from sesameroute.routing._slot_table import SlotTable
from sesameroute.routing._ticker import Ticker
from sesameroute.routing._view import Headroom, Members
from sesameroute.statement import Statement
from sesameroute.verdict import Verdict

__all__ = ['SlotSteering']

_TICK_INTERVAL_SECONDS = 0.05  # while requests wait
_BALANCE_INTERVAL_SECONDS = 0.2  # while no request waits


class SlotSteering:
    """Chooses backend servers by exact slot counts, not estimates.

    Parameters
    ----------
    statement : callable
        Returns the statement in force, None before the first one.
    vm : str
        Name of this VM.
    members : Members
        Membership view of the entry VMs.
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
        """Create the parts; no slot is taken and no thread runs."""
        self.clock = clock
        self.peers = peers
        self.table_ = SlotTable(statement, vm, members, clock)
        self.picker_ = Picker(self.table_, rng)
        self.lease_coordinator_ = LeaseCoordinator(
            self.table_,
            peers,
            rng,
            self.picker_.pop_unmet_count,
        )
        self.admission_ = Admission(self.table_, self.try_choose, rng)
        self._next_balance: float = 0
        self._lock = threading.RLock()
        self._ticker = Ticker(self.tick, _TICK_INTERVAL_SECONDS)

    def start(self) -> None:
        """Start the thread that balances slots with the other VMs."""
        self._ticker.start()

    def stop(self) -> None:
        """Tell the balancing thread to stop."""
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
        while not waiter.done.wait(self.admission_.measure_time_left(waiter)):
            with self._lock:
                self.admission_.serve_queue(request.kind.service)
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
    ) -> WaitingRequest:
        """Take a slot, queue the request or refuse it, without blocking."""
        with self._lock:
            waiter = self.admission_.submit(request, exclude)
            if not waiter.done.is_set():
                service = request.kind.service
                self.lease_coordinator_.balance(
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
            self.picker_.record_move(pick.upstream)
            slot_id = self.table_.take_slot(pick.upstream.name, request.kind)
            return Choice(pick.upstream, slot_id, pick.reason)

    def tick(self) -> None:
        """Balance slots with the other VMs and serve the queues.

        The background thread calls it every _TICK_INTERVAL_SECONDS.
        """
        now = self.clock.read_monotonic()
        with self._lock:
            topology = self.table_.read_topology()
            services = topology.statement.services if topology else ()
            for slot_id in self.table_.cancelled_.pop_due():
                self.table_.release(slot_id)
            is_due = now >= self._next_balance
            if is_due:
                self._next_balance = now + _BALANCE_INTERVAL_SECONDS
            for service in services:
                waiting = self.admission_.count_waiting(service)
                if waiting or is_due:
                    self.lease_coordinator_.balance(service, waiting)
                    self.admission_.serve_queue(service)

    def record_outcome(self, choice: Choice, outcome: Outcome) -> None:
        """Record the outcome of a try."""
        with self._lock:
            self.table_.record_outcome(choice, outcome)

    def release(self, choice: Choice, *, may_still_run: bool = False) -> None:
        """Release the slot; a second call does nothing.

        Parameters
        ----------
        may_still_run : bool
            Whether the backend server may still be working: then the slot
            becomes free only after BACKEND_STOP_SECONDS.

        """
        with self._lock:
            if may_still_run:
                self.table_.cancelled_.add(choice.slot_id)
            elif self.table_.release(choice.slot_id):
                self.admission_.serve_queue(choice.upstream.service)

    def charge_bytes(self, choice: Choice, body_bytes: int) -> None:
        """Charge bytes to the link budget; may block briefly."""
        with self._lock:
            wait = self.picker_.charge_bytes(choice.upstream, body_bytes)
        if wait > 0:
            self.clock.sleep(wait)

    def handle(self, sender: str, message: Any) -> Any:
        """Handle a peer's lease message; replies are one-way messages."""
        with self._lock:
            service = self.lease_coordinator_.handle(message, sender)
            if service:
                self.admission_.serve_queue(service)

    def report_headroom(self) -> Headroom:
        """Return free and total slots by service, for the heartbeat."""
        with self._lock:
            return report_headroom(self.table_)
