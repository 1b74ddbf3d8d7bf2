"""Client behaviour after a refusal or an unknown outcome: retry or query."""

import time

from sesameroute.caller import Outcome
from sesameroute.local._client_request import Attempt, ClientRequest

__all__ = ['send_until_resolved']

_INITIAL_BACKOFF_SECONDS = 0.1  # doubled with each attempt
# Queries for the outcome of a non-idempotent request after its deadline.
_MAX_OUTCOME_QUERIES = 2
_OUTCOME_QUERY_SECONDS = 2.0
_MIN_ATTEMPT_SECONDS = 0.2  # no new attempt with less time left


def send_until_resolved(request: ClientRequest) -> None:
    """Send a request until it is answered or its deadline has passed.

    A request without an answer is sent again until the deadline, after the
    delay that the refusal names or else an exponential back-off. A
    non-idempotent request that may have run keeps its key; after the deadline
    the client queries its outcome up to `_MAX_OUTCOME_QUERIES` times.
    """
    request.started = time.monotonic()
    deadline = request.started + request.deadline_seconds
    key = ''
    remaining = request.deadline_seconds
    while remaining > _MIN_ATTEMPT_SECONDS:
        key = _send(request, key, remaining)
        if request.is_answered:
            break
        _wait_before_retry(request, deadline)
        remaining = deadline - time.monotonic()
    else:
        _query_outcome(request, key)
    request.ended = time.monotonic()


def _query_outcome(request: ClientRequest, key: str) -> None:
    """Query the outcome of a request that may have run, by sending its key."""
    queries = 0
    while key and queries < _MAX_OUTCOME_QUERIES and not request.is_answered:
        key = _send(request, key, _OUTCOME_QUERY_SECONDS)
        queries += 1


def _send(request: ClientRequest, key: str, timeout_seconds: float) -> str:
    """Send a request once and return the key for the next attempt."""
    started = time.monotonic()
    outcome = request.caller.send(
        request.kind,
        request.name,
        request.body,
        timeout_seconds,
        key,
    )
    attempt = Attempt(
        outcome.verdict,
        outcome.code,
        outcome.key,
        started,
        time.monotonic(),
        timeout_seconds,
    )
    request.attempts.append(attempt)
    request.outcome = outcome
    return _choose_key(request, outcome)


def _choose_key(request: ClientRequest, outcome: Outcome) -> str:
    if request.kind.idempotent or outcome.verdict.allows_retry:
        return ''
    return outcome.key


def _wait_before_retry(request: ClientRequest, deadline: float) -> None:
    delay = _INITIAL_BACKOFF_SECONDS * 2 ** (len(request.attempts) - 1)
    if request.outcome.retry_after:
        delay = request.outcome.retry_after
    remaining = max(deadline - time.monotonic(), _INITIAL_BACKOFF_SECONDS)
    time.sleep(min(delay, remaining))
