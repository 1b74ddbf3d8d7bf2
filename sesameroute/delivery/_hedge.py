"""Hedging: second copies of slow requests of light, idempotent kinds."""

import threading
from collections.abc import Callable
from concurrent.futures import (
    FIRST_COMPLETED,
    Future,
    ThreadPoolExecutor,
    wait,
)
from contextlib import ExitStack
from dataclasses import dataclass, replace
from typing import Final

from sesameroute.delivery._key import make_nonce
from sesameroute.delivery._retry import Retrier
from sesameroute.exceptions import RequestError
from sesameroute.limits import Budget
from sesameroute.ports import Answer, Choice, Request
from sesameroute.statement import Kind, Priority, Statement

__all__ = ['Hedger']

_MAX_THREADS: Final = 64
_HEDGE_BURST: Final = 3.0  # unused copies that a service may accumulate
_QUANTILE: Final = 0.95
# Step by which each response moves the estimate, as a fraction of it.
_STEP_FRACTION: Final = 0.05
# The first estimate is the usual work of the kind times this factor.
_INITIAL_WORK_FACTOR: Final = 3
_MILLISECONDS: Final = 1000


class _PercentileEstimate:
    """Running estimate of the 95th percentile of a kind's response time."""

    def __init__(self, seconds: float) -> None:
        """Store the first estimate in seconds."""
        self.seconds = seconds

    def observe(self, seconds: float) -> None:
        """Move the estimate one step towards an observed time in seconds."""
        is_above = seconds > self.seconds
        weight = _QUANTILE if is_above else _QUANTILE - 1
        self.seconds += weight * _STEP_FRACTION * self.seconds


@dataclass(slots=True, eq=False)
class _HedgedCopy:
    """One of up to two copies of a request, and its backend server."""

    request: Request
    choice: Choice | None = None

    def assign_choice(self, choice: Choice) -> None:
        """Store the backend server that the copy is sent to."""
        self.choice = choice


class Hedger:
    """Sends a second copy of a request whose response takes unusually long.

    Parameters
    ----------
    retrier : Retrier
        Sends each copy.
    statement : callable
        Returns the statement in force, or None.

    Notes
    -----
    Hedging applies only to light, idempotent kinds of institutions whose
    policy gives priority to latency. The hedge budget limits the second
    copies. The copy that is still running after a response is cancelled.

    """

    def __init__(
        self,
        retrier: Retrier,
        statement: Callable[[], Statement | None],
    ) -> None:
        """Store the parameters; threads start with the first requests."""
        self.retrier = retrier
        self.statement = statement
        self.budgets_: dict[str, Budget] = {}
        self.estimates_: dict[str, _PercentileEstimate] = {}
        self._pool = ThreadPoolExecutor(_MAX_THREADS, 'hedge')
        self._race_slots = threading.BoundedSemaphore(_MAX_THREADS // 2)

    def deliver(self, request: Request, fingerprint: str) -> Answer:
        """Return the response that arrives first.

        Raises
        ------
        RequestError
            No copy got a response.

        """
        may_hedge = self._may_hedge(request.kind)
        if not (may_hedge and self._race_slots.acquire(blocking=False)):
            return self.retrier.deliver(request, fingerprint, _approve_always)
        with ExitStack() as stack:
            stack.callback(self._race_slots.release)
            return self._deliver_measured(request, fingerprint)

    def _may_hedge(self, kind: Kind) -> bool:
        statement = self.statement()
        if statement is None or kind.heavy or not kind.idempotent:
            return False
        policy = statement.policy
        return policy.priority is Priority.LATENCY and policy.hedge_budget > 0

    def _deliver_measured(self, request: Request, fingerprint: str) -> Answer:
        clock = self.retrier.attempt.clock
        started = clock.read_monotonic()
        estimate = self._find_estimate(request.kind)
        answer = self._race(request, fingerprint, estimate.seconds)
        estimate.observe(clock.read_monotonic() - started)
        return answer

    def _race(
        self,
        request: Request,
        fingerprint: str,
        hedge_delay: float,
    ) -> Answer:
        """Send a second copy after `hedge_delay` seconds without a response."""
        budget = self._find_budget(request.kind.service)
        budget.record_first_attempt()
        first = _HedgedCopy(request)
        running = {self._start(first, fingerprint): first}
        done, _ = wait(running, timeout=hedge_delay)
        if not done and first.choice and budget.try_acquire():
            second = _HedgedCopy(replace(request, key=make_nonce()))
            exclude = (first.choice.upstream.name,)
            running[self._start(second, fingerprint, exclude)] = second
        return self._await_first_answer(running)

    def _start(
        self,
        copy: _HedgedCopy,
        fingerprint: str,
        exclude: tuple[str, ...] = (),
    ) -> 'Future[Answer]':
        return self._pool.submit(
            self.retrier.deliver,
            copy.request,
            fingerprint,
            copy.assign_choice,
            exclude,
        )

    def _await_first_answer(
        self, running: 'dict[Future[Answer], _HedgedCopy]'
    ) -> Answer:
        """Return the first response and cancel the other copy."""
        failure: BaseException | None = None
        while running:
            done, _ = wait(running, return_when=FIRST_COMPLETED)
            finished = done.pop()
            running.pop(finished)
            if finished.exception() is None:
                self._cancel(running)
                return finished.result()
            failure = _choose_failure(failure, finished.exception())
        raise failure

    def _cancel(self, running: 'dict[Future[Answer], _HedgedCopy]') -> None:
        for copy in running.values():
            if copy.choice:
                self._pool.submit(
                    self.retrier.attempt.cancel,
                    copy.choice,
                    copy.request.key,
                )

    def _find_estimate(self, kind: Kind) -> _PercentileEstimate:
        seconds = kind.work_ms * _INITIAL_WORK_FACTOR / _MILLISECONDS
        return self.estimates_.setdefault(
            kind.name, _PercentileEstimate(seconds)
        )

    def _find_budget(self, service: str) -> Budget:
        ratio = self.statement().policy.hedge_budget
        budget = self.budgets_.get(service)
        if budget is None or budget.ratio != ratio:
            budget = Budget(ratio, _HEDGE_BURST)
            self.budgets_[service] = budget
        return budget


def _choose_failure(
    previous: BaseException | None,
    latest: BaseException,
) -> BaseException:
    """Return the failure to report, preferably of a copy that may have run."""
    if isinstance(previous, RequestError) and not previous.verdict.allows_retry:
        return previous
    return latest


def _approve_always(choice: Choice) -> None:
    """Approve an idempotent request, which needs no record."""
