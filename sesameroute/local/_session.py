"""One local run from start to report."""

import sys
import time
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TextIO

from sesameroute.local._costs import CostMeter, Costs
from sesameroute.local._deployment import Deployment
from sesameroute.local._fault import Fault, find_fault
from sesameroute.local._load import Load
from sesameroute.local._options import RunOptions
from sesameroute.local._order import plan_orders
from sesameroute.local._processor import keep_processors
from sesameroute.local._sampler import Sampler
from sesameroute.local._scene import Scene
from sesameroute.statement import Statement

__all__ = ['FaultSpan', 'Result', 'run_session']

_STEP_SECONDS = 0.02
_LAST_SECONDS = 25.0


@dataclass(slots=True)
class FaultSpan:
    """A fault and its seconds from the start of the load."""

    fault: Fault
    begins: float
    ends: float

    def describe(self) -> str:
        """Return name and seconds."""
        return f'{self.fault.name} {self.begins:.1f}-{self.ends:.1f}'


@dataclass(slots=True)
class Result:
    """All that a run has shown.

    Attributes
    ----------
    calls_before, store_calls : int
        Calls of the store before and during the load.
    open_orders : int
        Orders of which nothing was heard in the end.
    seconds : float
        Length of load and last answers.

    """

    scene: Scene
    sampler: Sampler
    spans: tuple[FaultSpan, ...]
    costs: Costs
    calls_before: int = 0
    store_calls: int = 0
    open_orders: int = 0
    seconds: float = 0


def run_session(
    statement: Statement,
    options: RunOptions,
    progress: TextIO = sys.stderr,
) -> Result:
    """Run a deployment under load and faults and return what was seen.

    Raises
    ------
    InputError
        An option is outside of what is allowed; nothing was started.

    """
    options.check()
    spans = _plan_spans(options)
    deployment = Deployment(statement, options)
    with ExitStack() as stack:
        stack.enter_context(keep_processors())
        stack.callback(deployment.stop)
        costs = CostMeter(deployment).start_all()
        load = Load(plan_orders(statement, deployment.callers, options))
        scene = Scene(deployment, load, options.seed)
        result = Result(
            scene,
            Sampler(deployment, load),
            spans,
            costs,
            deployment.store.call_counts.total(),
        )
        _run_load(result, options, progress)
    return result


def _run_load(result: Result, options: RunOptions, progress: TextIO) -> None:
    scene = result.scene
    for part in (scene.watch, result.sampler, scene.load):
        part.start()
    _play(scene, result.spans, options, progress)
    result.open_orders = scene.load.wait(_LAST_SECONDS)
    scene.wait_settled()
    result.seconds = time.monotonic() - scene.load.started
    calls = scene.deployment.store.call_counts.total()
    result.store_calls = calls - result.calls_before
    for part in (scene.watch, result.sampler, scene.load):
        part.stop()


def _plan_spans(options: RunOptions) -> tuple[FaultSpan, ...]:
    spans = []
    for planned in options.faults:
        fault = find_fault(planned.name)
        begins = options.find_second(planned)
        spans.append(FaultSpan(fault, begins, begins + fault.seconds))
    return tuple(spans)


def _play(
    scene: Scene,
    spans: tuple[FaultSpan, ...],
    options: RunOptions,
    progress: TextIO,
) -> None:
    """Inject and heal the faults at their times, and tell each second."""
    events = sorted(
        [
            *(
                (span.begins, number, 'inject')
                for number, span in enumerate(spans)
            ),
            *((span.ends, number, 'heal') for number, span in enumerate(spans)),
        ],
    )
    told = 0
    now: float = 0
    while events or now < options.seconds:
        now = time.monotonic() - scene.load.started
        if events and events[0][0] <= now:
            _, number, action = events.pop(0)
            getattr(spans[number].fault, action)(scene)
            print(
                f'{now:6.1f} s  {action} {spans[number].fault.name}',
                file=progress,
            )
        if now >= told:
            _tell(scene, now, progress)
            told += 1
        time.sleep(_STEP_SECONDS)


def _tell(scene: Scene, now: float, progress: TextIO) -> None:
    answered, refused = scene.load.count_ended()
    under_way = scene.load.count_open()
    print(
        f'{now:6.1f} s  answered {answered}  refused {refused}'
        f'  under way {under_way}',
        file=progress,
        flush=True,
    )
