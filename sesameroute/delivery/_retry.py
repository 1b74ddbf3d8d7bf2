"""Tries of one request at several backend servers, inside a budget."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from sesameroute.delivery._attempt import LOCAL_CODES, Attempt
from sesameroute.exceptions import RequestError
from sesameroute.limits import Budget
from sesameroute.ports import Answer, Choice, Request
from sesameroute.statement import Statement
from sesameroute.verdict import Verdict

__all__ = ['Retrier']

_MAX_TRIES: Final = 4
_MAX_LOSSES: Final = 2  # of backend servers by one request
_RETRY_BURST: Final = 10.0  # retries that a service may save up
_LOSS_CODES: Final = frozenset(('lost', 'truncated', 'cut-answer'))


@dataclass(slots=True)
class _Tries:
    """What the tries of one request showed so far."""

    names: list[str] = field(default_factory=list)
    count: int = 0
    losses: int = 0
    verdict: Verdict = Verdict.NOT_RUN

    def add(self, choice: Choice, error: RequestError) -> None:
        """Note a failed try."""
        self.names.append(choice.upstream.name)
        self.count += 1
        self.losses += error.code in _LOSS_CODES
        if error.verdict is not Verdict.NOT_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN

    def make_error(self, error: RequestError) -> RequestError:
        """Return the last error with the verdict over all tries."""
        return RequestError(
            error.message,
            self.verdict,
            error.code,
            error.retry_after,
        )


class Retrier:
    """Sends a request until it is answered or given up.

    Parameters
    ----------
    attempt : Attempt
        Makes the single tries.
    statement : callable
        Returns the statement in force, or None.

    """

    def __init__(
        self,
        attempt: Attempt,
        statement: Callable[[], Statement | None],
    ) -> None:
        """Store the parameters; budgets are made per service."""
        self.attempt = attempt
        self.statement = statement
        self.budgets_: dict[str, Budget] = {}

    def deliver(
        self,
        request: Request,
        fingerprint: str,
        approve: Callable[[Choice], None],
        exclude: tuple[str, ...] = (),
    ) -> Answer:
        """Return the answer of a backend server.

        Parameters
        ----------
        approve : callable
            Called once with the first choice, before the first byte goes
            out; raises RequestError when the request must not run.
        exclude : tuple of str
            Names of backend servers not to use.

        Raises
        ------
        RequestError
            `NOT_RUN` only if no try may have run.

        """
        tries = _Tries(list(exclude))
        budget = self._find_budget(request.kind.service)
        budget.observe()
        while True:
            choice = self._choose(request, tries)
            if not tries.count:
                self._approve(choice, approve)
            try:
                return self.attempt.send(choice, request, fingerprint)
            except RequestError as error:
                failure = self._judge(error, request)
            tries.add(choice, failure)
            if not self._may_retry(request, tries, failure, budget):
                raise tries.make_error(failure)

    def _choose(self, request: Request, tries: _Tries) -> Choice:
        steering = self.attempt.steering
        try:
            return steering.choose(request, tuple(tries.names))
        except RequestError as error:
            raise tries.make_error(error) from error

    def _approve(
        self,
        choice: Choice,
        approve: Callable[[Choice], None],
    ) -> None:
        try:
            approve(choice)
        except BaseException:
            self.attempt.steering.release(choice)
            raise

    def _judge(self, error: RequestError, request: Request) -> RequestError:
        """Return the error with a verdict that the statement trusts."""
        statement = self.statement()
        service = statement and statement.services.get(request.kind.service)
        if error.code != 'shed' or (service and service.trusts_shed):
            return error
        return RequestError(
            error.message,
            Verdict.MAY_HAVE_RUN,
            error.code,
            error.retry_after,
        )

    def _may_retry(
        self,
        request: Request,
        tries: _Tries,
        error: RequestError,
        budget: Budget,
    ) -> bool:
        certain = error.verdict is Verdict.NOT_RUN
        if not (certain or request.kind.idempotent):
            return False
        if error.code in LOCAL_CODES or tries.losses >= _MAX_LOSSES:
            return False
        if tries.count >= _MAX_TRIES:
            return False
        return error.code == 'refused' or budget.choose()

    def _find_budget(self, service: str) -> Budget:
        statement = self.statement()
        ratio = statement.policy.retry_budget if statement else 0
        budget = self.budgets_.get(service)
        if budget is None or budget.ratio != ratio:
            budget = Budget(ratio, _RETRY_BURST)
            self.budgets_[service] = budget
        return budget
