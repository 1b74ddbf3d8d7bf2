"""Retries of a request at other backend servers, within a budget."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from sesameroute.delivery._attempt import SERVER_UNRELATED_CODES, Attempt
from sesameroute.exceptions import RequestError
from sesameroute.limits import Budget
from sesameroute.ports import Answer, Choice, Request
from sesameroute.statement import Statement
from sesameroute.verdict import Verdict

__all__ = ['Retrier']

_MAX_ATTEMPTS: Final = 4
# Backend servers that one request may lose, for example by crashing them.
_MAX_LOSSES: Final = 2
_RETRY_BURST: Final = 10.0  # unused retries that a service may accumulate
_LOSS_CODES: Final = frozenset(('lost', 'truncated', 'cut-answer'))


@dataclass(slots=True)
class _AttemptHistory:
    """Failed attempts of one request so far.

    Attributes
    ----------
    upstream_names : list of str
        Names of backend servers not to use again.
    count : int
        Number of failed attempts.
    losses : int
        Number of attempts in which the response was lost or truncated.
    verdict : Verdict
        Verdict over all attempts.

    """

    upstream_names: list[str] = field(default_factory=list)
    count: int = 0
    losses: int = 0
    verdict: Verdict = Verdict.NOT_RUN

    def add(self, choice: Choice, error: RequestError) -> None:
        """Add a failed attempt."""
        self.upstream_names.append(choice.upstream.name)
        self.count += 1
        self.losses += error.code in _LOSS_CODES
        if error.verdict is not Verdict.NOT_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN

    def make_error(self, error: RequestError) -> RequestError:
        """Return an error like `error` with the verdict over all attempts."""
        return RequestError(
            error.message,
            self.verdict,
            error.code,
            error.retry_after,
        )


class Retrier:
    """Sends a request until it gets a response or no retry is allowed.

    Parameters
    ----------
    attempt : Attempt
        Sends the request to one backend server.
    statement : callable
        Returns the statement in force, or None.

    """

    def __init__(
        self,
        attempt: Attempt,
        statement: Callable[[], Statement | None],
    ) -> None:
        """Store the parameters; budgets are created per service."""
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
        """Return the response of a backend server.

        Parameters
        ----------
        approve : callable
            Called once with the first choice, before anything is sent;
            raises RequestError if the request must not run.
        exclude : tuple of str
            Names of backend servers not to use.

        Raises
        ------
        RequestError
            `NOT_RUN` only if no attempt may have run.

        """
        history = _AttemptHistory(list(exclude))
        budget = self._find_budget(request.kind.service)
        budget.record_first_attempt()
        while True:
            choice = self._choose(request, history)
            if not history.count:
                self._approve(choice, approve)
            try:
                return self.attempt.send(choice, request, fingerprint)
            except RequestError as error:
                failure = self._apply_shed_trust(error, request)
            history.add(choice, failure)
            if not self._may_retry(request, history, failure, budget):
                raise history.make_error(failure)

    def _choose(self, request: Request, history: _AttemptHistory) -> Choice:
        steering = self.attempt.steering
        try:
            return steering.choose(request, tuple(history.upstream_names))
        except RequestError as error:
            raise history.make_error(error) from error

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

    def _apply_shed_trust(
        self, error: RequestError, request: Request
    ) -> RequestError:
        """Return the error with a verdict that can be relied on.

        A backend server that sheds a request claims not to have run it. The
        claim counts only if the statement trusts it for the service.
        """
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
        history: _AttemptHistory,
        error: RequestError,
        budget: Budget,
    ) -> bool:
        surely_not_run = error.verdict is Verdict.NOT_RUN
        if not (surely_not_run or request.kind.idempotent):
            return False
        if (
            error.code in SERVER_UNRELATED_CODES
            or history.losses >= _MAX_LOSSES
        ):
            return False
        if history.count >= _MAX_ATTEMPTS:
            return False
        return error.code == 'refused' or budget.try_acquire()

    def _find_budget(self, service: str) -> Budget:
        statement = self.statement()
        ratio = statement.policy.retry_budget if statement else 0
        budget = self.budgets_.get(service)
        if budget is None or budget.ratio != ratio:
            budget = Budget(ratio, _RETRY_BURST)
            self.budgets_[service] = budget
        return budget
