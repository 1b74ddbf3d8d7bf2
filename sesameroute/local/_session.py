"""Runs a deployment under load and faults."""

import sys
import time
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TextIO

from sesameroute.local._client_request import plan_requests
from sesameroute.local._costs import ControlPlaneCosts, CostMeter
from sesameroute.local._deployment import Deployment
from sesameroute.local._fault import Fault, find_fault
from sesameroute.local._fault_context import FaultContext
from sesameroute.local._load_generator import LoadGenerator
from sesameroute.local._options import RunOptions
from sesameroute.local._processor_affinity import limit_processors
from sesameroute.local._sampler import Sampler
from sesameroute.statement import Statement

__all__ = ['FaultInterval', 'RunResult', 'run_local_deployment']

_POLL_INTERVAL_SECONDS = 0.02
_FINAL_WAIT_SECONDS = 25.0


@dataclass(slots=True)
class FaultInterval:
    """A fault with its begin and end, in seconds from the start of the load."""

    fault: Fault
    begins: float
    ends: float

    def describe(self) -> str:
        """Return the name of the fault with its begin and end."""
        return f'{self.fault.name} {self.begins:.1f}-{self.ends:.1f}'


@dataclass(slots=True)
class RunResult:
    """Measurements of a run, from which the report is built.

    Attributes
    ----------
    context : FaultContext
        Deployment and load, with the drains and problems recorded by faults.
    sampler : Sampler
        Samples over time.
    intervals : tuple of FaultInterval
        Faults that were injected.
    costs : ControlPlaneCosts
        Resource use before the load.
    store_calls_before, store_calls : int
        Calls of the store before and during the load.
    unfinished_requests : int
        Requests still in flight at the end.
    seconds : float
        Time from the start of the load to the end of the final wait.

    """

    context: FaultContext
    sampler: Sampler
    intervals: tuple[FaultInterval, ...]
    costs: ControlPlaneCosts
    store_calls_before: int = 0
    store_calls: int = 0
    unfinished_requests: int = 0
    seconds: float = 0


def run_local_deployment(
    statement: Statement,
    options: RunOptions,
    progress: TextIO = sys.stderr,
) -> RunResult:
    """Run a deployment under load and faults and return the measurements.

    Raises
    ------
    InputError
        An option is out of range or a fault is unknown; nothing was started.

    """
    options.check()
    intervals = _plan_intervals(options)
    deployment = Deployment(statement, options)
    with ExitStack() as stack:
        stack.enter_context(limit_processors())
        stack.callback(deployment.stop)
        costs = CostMeter(deployment).start_and_measure()
        load = LoadGenerator(
            plan_requests(statement, deployment.callers, options),
        )
        context = FaultContext(deployment, load, options.seed)
        result = RunResult(
            context,
            Sampler(deployment, load),
            intervals,
            costs,
            deployment.store.call_counts.total(),
        )
        _run_load(result, options, progress)
    return result


def _run_load(result: RunResult, options: RunOptions, progress: TextIO) -> None:
    context = result.context
    for component in (context.monitor, result.sampler, context.load):
        component.start()
    _run_faults(context, result.intervals, options, progress)
    result.unfinished_requests = context.load.wait(_FINAL_WAIT_SECONDS)
    context.wait_until_applied()
    result.seconds = time.monotonic() - context.load.started
    calls = context.deployment.store.call_counts.total()
    result.store_calls = calls - result.store_calls_before
    for component in (context.monitor, result.sampler, context.load):
        component.stop()


def _plan_intervals(options: RunOptions) -> tuple[FaultInterval, ...]:
    intervals = []
    for planned in options.faults:
        fault = find_fault(planned.name)
        begins = options.find_start_second(planned)
        intervals.append(FaultInterval(fault, begins, begins + fault.seconds))
    return tuple(intervals)


def _run_faults(
    context: FaultContext,
    intervals: tuple[FaultInterval, ...],
    options: RunOptions,
    progress: TextIO,
) -> None:
    """Inject and heal faults at their times and print progress each second."""
    events = sorted(
        [
            *(
                (interval.begins, number, 'inject')
                for number, interval in enumerate(intervals)
            ),
            *(
                (interval.ends, number, 'heal')
                for number, interval in enumerate(intervals)
            ),
        ],
    )
    next_progress_second = 0
    now: float = 0
    while events or now < options.seconds:
        now = time.monotonic() - context.load.started
        if events and events[0][0] <= now:
            _, number, action = events.pop(0)
            getattr(intervals[number].fault, action)(context)
            print(
                f'{now:6.1f} s  {action} {intervals[number].fault.name}',
                file=progress,
            )
        if now >= next_progress_second:
            _print_progress(context, now, progress)
            next_progress_second += 1
        time.sleep(_POLL_INTERVAL_SECONDS)


def _print_progress(
    context: FaultContext,
    now: float,
    progress: TextIO,
) -> None:
    answered, refused = context.load.count_finished()
    in_flight = context.load.count_in_flight()
    print(
        f'{now:6.1f} s  answered {answered}  refused {refused}'
        f'  in flight {in_flight}',
        file=progress,
        flush=True,
    )
