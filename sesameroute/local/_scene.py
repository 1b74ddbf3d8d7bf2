"""What faults act on: the deployment, its load and its operators."""

import time
from collections.abc import Callable
from threading import Thread, Timer

from sesameroute.exceptions import SesameError
from sesameroute.local._deployment import Deployment
from sesameroute.local._load import Load
from sesameroute.local._order import Order
from sesameroute.local._picks import Picks
from sesameroute.local._vm import LocalVm
from sesameroute.local._watch import ConfigurationWatch, DrainWatch
from sesameroute.statement import Statement
from sesameroute.submission import Submitter

__all__ = ['Scene']

_POLL_SECONDS = 0.02
_IDLE_POLLS = 15
_PATIENCE_SECONDS = 10.0

Change = Callable[[Statement], Statement]


class Scene(Picks):
    """Shared actions of the faults of one run.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    load : Load
        Its load.
    seed : int
        Seed of the choices.

    Attributes
    ----------
    drains : list of DrainWatch
        All drains so far.
    watch : ConfigurationWatch
        Sees what is in force.
    notes : list of str
        What operators were told that is not an acceptance.

    """

    def __init__(self, deployment: Deployment, load: Load, seed: int) -> None:
        """Store the parameters."""
        super().__init__(deployment, seed)
        self.load = load
        self.drains: list[DrainWatch] = []
        self.watch = ConfigurationWatch(
            tuple(deployment.vms.values()),
            self.sick,
        )
        self.notes: list[str] = []

    def submit(self, change: Change) -> bool:
        """Change the configuration as an operator; return if accepted."""
        desk = Submitter(self.deployment.open_desk())
        try:
            accepted = desk.edit(change, self.watch.highest)
        except SesameError as error:
            self.notes.append(f'{error.code}: {error.message}')
            return False
        self.watch.expect(accepted.version)
        return True

    def run_aside(self, action: Callable[[], object]) -> Thread:
        """Run an action in a thread of its own."""
        thread = Thread(target=action, daemon=True)
        thread.start()
        return thread

    def put_later(self, seconds: float, order: Order) -> None:
        """Hand out an order after some seconds."""
        timer = Timer(seconds, self.load.put, (order,))
        timer.daemon = True
        timer.start()

    def watch_drain(self, subject: str, *upstreams: str) -> DrainWatch:
        """Note that a drain begins now."""
        watch = DrainWatch(subject, frozenset(upstreams), time.monotonic())
        self.drains.append(watch)
        return watch

    def time_idle(self, vm: LocalVm, watch: DrainWatch) -> None:
        """Measure until an entry VM has had no request for a while."""
        idle = 0
        while idle < _IDLE_POLLS and not watch.ended:
            node = vm.entry.node
            if node is None or not node.parts.application.running:
                idle += 1
            else:
                idle = 0
                watch.seconds = time.monotonic() - watch.started
            time.sleep(_POLL_SECONDS)

    def wait_settled(self) -> bool:
        """Wait until all accepted versions are in force; return if so."""
        ends = time.monotonic() + _PATIENCE_SECONDS
        while not self.watch.is_settled() and time.monotonic() < ends:
            time.sleep(_POLL_SECONDS)
        return self.watch.is_settled()

    def wait_ended(self, order: Order) -> bool:
        """Wait until an order has its last word; return if it has."""
        ends = time.monotonic() + _PATIENCE_SECONDS
        while not order.ended and time.monotonic() < ends:
            time.sleep(_POLL_SECONDS)
        return bool(order.ended)

    def read_time(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()
