"""Actions that faults share: submit changes, record drains and wait."""

import time
from collections.abc import Callable
from threading import Thread, Timer

from sesameroute.exceptions import SesameError
from sesameroute.local._client_request import ClientRequest
from sesameroute.local._deployment import Deployment
from sesameroute.local._load_generator import LoadGenerator
from sesameroute.local._monitors import ConfigurationMonitor, DrainRecord
from sesameroute.local._target_picker import TargetPicker
from sesameroute.local._vm import LocalVm
from sesameroute.statement import Statement
from sesameroute.submission import Submitter

__all__ = ['FaultContext']

_POLL_INTERVAL_SECONDS = 0.02
_IDLE_POLL_COUNT = 15
_WAIT_TIMEOUT_SECONDS = 10.0

StatementChange = Callable[[Statement], Statement]


class FaultContext(TargetPicker):
    """Access of faults to the deployment, its load and its operators.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    load : LoadGenerator
        Load on the deployment.
    seed : int
        Seed of the choice of targets.

    Attributes
    ----------
    drains : list of DrainRecord
        Drains that have begun so far.
    monitor : ConfigurationMonitor
        Tracks the configuration version of every process.
    notes : list of str
        Errors that operators received for their submissions.

    """

    def __init__(
        self,
        deployment: Deployment,
        load: LoadGenerator,
        seed: int,
    ) -> None:
        """Store the parameters."""
        super().__init__(deployment, seed)
        self.load = load
        self.drains: list[DrainRecord] = []
        self.monitor = ConfigurationMonitor(
            tuple(deployment.vms.values()),
            self.faulty_vms,
        )
        self.notes: list[str] = []

    def submit(self, change: StatementChange) -> bool:
        """Submit a change as an operator; return whether it was accepted."""
        submitter = Submitter(self.deployment.open_configuration_store())
        try:
            accepted = submitter.edit(change, self.monitor.highest_version)
        except SesameError as error:
            self.notes.append(f'{error.code}: {error.message}')
            return False
        self.monitor.expect(accepted.version)
        return True

    def run_in_background(self, action: Callable[[], object]) -> Thread:
        """Run an action in a new thread and return the thread."""
        thread = Thread(target=action, daemon=True)
        thread.start()
        return thread

    def send_later(self, seconds: float, request: ClientRequest) -> None:
        """Send an additional request after some seconds."""
        timer = Timer(seconds, self.load.send_now, (request,))
        timer.daemon = True
        timer.start()

    def record_drain(self, subject: str, *upstreams: str) -> DrainRecord:
        """Record that a drain begins now."""
        drain_record = DrainRecord(
            subject,
            frozenset(upstreams),
            time.monotonic(),
        )
        self.drains.append(drain_record)
        return drain_record

    def measure_vm_drain(self, vm: LocalVm, drain_record: DrainRecord) -> None:
        """Measure the time until the last request of an entry VM ends.

        Stops when the VM was idle in 15 polls in a row or the drain was undone.
        """
        idle_polls = 0
        while idle_polls < _IDLE_POLL_COUNT and not drain_record.ended:
            node = vm.entry.node
            if node is None or not node.parts.application.running:
                idle_polls += 1
            else:
                idle_polls = 0
                drain_record.seconds = time.monotonic() - drain_record.started
            time.sleep(_POLL_INTERVAL_SECONDS)

    def wait_until_applied(self) -> bool:
        """Wait until all accepted versions are in force; return success.

        Gives up after `_WAIT_TIMEOUT_SECONDS`.
        """
        deadline = time.monotonic() + _WAIT_TIMEOUT_SECONDS
        while not self.monitor.is_applied() and time.monotonic() < deadline:
            time.sleep(_POLL_INTERVAL_SECONDS)
        return self.monitor.is_applied()

    def wait_until_finished(self, request: ClientRequest) -> bool:
        """Wait until a request has ended; return success.

        Gives up after `_WAIT_TIMEOUT_SECONDS`.
        """
        deadline = time.monotonic() + _WAIT_TIMEOUT_SECONDS
        while not request.ended and time.monotonic() < deadline:
            time.sleep(_POLL_INTERVAL_SECONDS)
        return bool(request.ended)

    def read_time(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()
