"""Hedged copies of light, idempotent requests."""

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
_HEDGE_BURST: Final = 3.0  # hedged copies that may be saved up
_PERCENTILE: Final = 0.95
_STEP: Final = 0.05  # of the estimate, for each answer
_FIRST_ESTIMATE: Final = 3  # times the usual work of the kind
_MILLISECONDS: Final = 1000


class _Estimate:
    """Running estimate of the 95th percentile of a kind's seconds."""

    def __init__(self, seconds: float) -> None:
        """Store the first estimate."""
        self.seconds = seconds

    def observe(self, seconds: float) -> None:
        """Move a little towards an observed time."""
        above = seconds > self.seconds
        share = _PERCENTILE if above else _PERCENTILE - 1
        self.seconds += share * _STEP * self.seconds


@dataclass(slots=True, eq=False)
class _Copy:
    """One of the two copies of a request, and where it runs."""

    request: Request
    choice: Choice | None = None

    def note(self, choice: Choice) -> None:
        """Note where the copy runs."""
        self.choice = choice


class Hedger:
    """Sends a second copy of a request that takes unusually long.

    Parameters
    ----------
    retrier : Retrier
        Sends each copy.
    statement : callable
        Returns the statement in force, or None.

    Notes
    -----
    Only for light idempotent kinds of an institution that puts latency
    first. Copies stay inside the hedge budget; the loser is cancelled.

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
        self.estimates_: dict[str, _Estimate] = {}
        self._pool = ThreadPoolExecutor(_MAX_THREADS, 'hedge')
        self._free = threading.BoundedSemaphore(_MAX_THREADS // 2)

    def deliver(self, request: Request, fingerprint: str) -> Answer:
        """Return the answer of whichever copy is answered first.

        Raises
        ------
        RequestError
            No copy was answered.

        """
        hedges = self._may_hedge(request.kind)
        if not (hedges and self._free.acquire(blocking=False)):
            return self.retrier.deliver(request, fingerprint, _ignore)
        with ExitStack() as stack:
            stack.callback(self._free.release)
            return self._measure(request, fingerprint)

    def _may_hedge(self, kind: Kind) -> bool:
        statement = self.statement()
        if statement is None or kind.heavy or not kind.idempotent:
            return False
        policy = statement.policy
        return policy.priority is Priority.LATENCY and policy.hedge_budget > 0

    def _measure(self, request: Request, fingerprint: str) -> Answer:
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
        patience: float,
    ) -> Answer:
        """Start a second copy after `patience` seconds without an answer."""
        budget = self._find_budget(request.kind.service)
        budget.observe()
        first = _Copy(request)
        running = {self._start(first, fingerprint): first}
        done, _ = wait(running, timeout=patience)
        if not done and first.choice and budget.choose():
            second = _Copy(replace(request, key=make_nonce()))
            exclude = (first.choice.upstream.name,)
            running[self._start(second, fingerprint, exclude)] = second
        return self._take_first(running)

    def _start(
        self,
        copy: _Copy,
        fingerprint: str,
        exclude: tuple[str, ...] = (),
    ) -> 'Future[Answer]':
        return self._pool.submit(
            self.retrier.deliver,
            copy.request,
            fingerprint,
            copy.note,
            exclude,
        )

    def _take_first(self, running: 'dict[Future[Answer], _Copy]') -> Answer:
        """Return the first answer and cancel the other copy."""
        failure: BaseException | None = None
        while running:
            done, _ = wait(running, return_when=FIRST_COMPLETED)
            finished = done.pop()
            running.pop(finished)
            if finished.exception() is None:
                self._cancel(running)
                return finished.result()
            failure = _choose_worse(failure, finished.exception())
        raise failure

    def _cancel(self, running: 'dict[Future[Answer], _Copy]') -> None:
        for copy in running.values():
            if copy.choice:
                self._pool.submit(
                    self.retrier.attempt.cancel,
                    copy.choice,
                    copy.request.key,
                )

    def _find_estimate(self, kind: Kind) -> _Estimate:
        seconds = kind.work_ms * _FIRST_ESTIMATE / _MILLISECONDS
        return self.estimates_.setdefault(kind.name, _Estimate(seconds))

    def _find_budget(self, service: str) -> Budget:
        ratio = self.statement().policy.hedge_budget
        budget = self.budgets_.get(service)
        if budget is None or budget.ratio != ratio:
            budget = Budget(ratio, _HEDGE_BURST)
            self.budgets_[service] = budget
        return budget


def _choose_worse(
    former: BaseException | None,
    latter: BaseException,
) -> BaseException:
    """Return the failure to report: that of a copy that may have run."""
    if isinstance(former, RequestError) and not former.verdict.allows_retry:
        return former
    return latter


def _ignore(choice: Choice) -> None:
    """Let an idempotent request run without a record."""
