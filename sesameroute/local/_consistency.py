"""Checks the outcomes reported to callers against the execution log.

The execution log records every execution on the simulated backend servers.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from sesameroute.fakes import ExecutionLog, Run, read_checksum_line
from sesameroute.local._client_request import Attempt, ClientRequest
from sesameroute.verdict import Verdict

__all__ = ['Finding', 'KindCounts', 'check_request', 'count_kinds']

_HTTP_OK = 200
_VIOLATIONS = ('lost', 'doubled', 'wrong_answer', 'false_not_run')


@dataclass(slots=True)
class KindCounts:
    """Request counts of one kind; the fields are keys of the report."""

    sent: int = 0
    answered: int = 0
    refused_not_run: int = 0
    may_have_run: int = 0
    lost: int = 0
    doubled: int = 0
    wrong_answer: int = 0
    false_not_run: int = 0

    @property
    def violation_count(self) -> int:
        """Number of violated delivery guarantees."""
        return sum(getattr(self, name) for name in _VIOLATIONS)


@dataclass(frozen=True, slots=True)
class Finding:
    """Outcome or violation found for one request.

    Attributes
    ----------
    order : ClientRequest
        Request that the finding is about.
    word : str
        Name of the field of `KindCounts` that counts the finding.
    evidence : str
        Explanation of a violation, empty for other outcomes.

    """

    order: ClientRequest
    word: str
    evidence: str = ''

    def describe(self) -> str:
        """Return kind, request, outcome and evidence as one line."""
        request = self.order
        return (
            f'{request.kind.name} {request.name} {self.word}: {self.evidence}'
        )


def count_kinds(
    requests: Iterable[ClientRequest],
    execution_log: ExecutionLog,
) -> tuple[dict[str, KindCounts], list[Finding]]:
    """Return the counts by kind and the violations found."""
    counts: dict[str, KindCounts] = defaultdict(KindCounts)
    violations = []
    for request in requests:
        kind = counts[request.kind.name]
        kind.sent += 1
        for finding in check_request(request, execution_log.find(request.name)):
            setattr(kind, finding.word, getattr(kind, finding.word) + 1)
            if finding.word in _VIOLATIONS:
                violations.append(finding)
    return dict(counts), violations


def check_request(
    request: ClientRequest,
    runs: tuple[Run, ...],
) -> Iterator[Finding]:
    """Yield the final outcome of a request and each violation found.

    Parameters
    ----------
    request : ClientRequest
        Request with the outcomes that its caller received.
    runs : tuple of Run
        Executions of the request on backend servers.

    """
    yield _classify_outcome(request, runs)
    if any(attempt.is_late for attempt in request.attempts):
        yield Finding(request, 'lost', 'an outcome arrived over a second late')
    if not request.kind.idempotent and _is_duplicated(request, runs):
        yield Finding(request, 'doubled', _describe_runs(runs))
    for attempt in request.attempts:
        if attempt.verdict is Verdict.NOT_RUN and _ran_despite_refusal(
            request,
            attempt,
            runs,
        ):
            yield Finding(request, 'false_not_run', f'{attempt} {runs}')
            break


def _classify_outcome(request: ClientRequest, runs: tuple[Run, ...]) -> Finding:
    outcome = request.outcome
    if not request.ended or outcome is None:
        return Finding(request, 'lost', 'no outcome was received')
    if outcome.verdict is Verdict.NOT_RUN:
        return Finding(request, 'refused_not_run')
    if outcome.verdict is Verdict.MAY_HAVE_RUN:
        return Finding(request, 'may_have_run')
    if outcome.status != _HTTP_OK:
        return Finding(request, 'wrong_answer', f'status {outcome.status}')
    return _classify_body(request, outcome.body, runs)


def _classify_body(
    request: ClientRequest,
    body: bytes,
    runs: tuple[Run, ...],
) -> Finding:
    checksum_line = read_checksum_line(body)
    if checksum_line is None:
        return Finding(
            request,
            'wrong_answer',
            f'answer truncated or corrupt: got {len(body)} bytes',
        )
    if checksum_line.order != request.name:
        return Finding(
            request,
            'wrong_answer',
            f'answer belongs to request {checksum_line.order}',
        )
    run = next(
        (each for each in runs if each.number == checksum_line.run), None
    )
    if run is None or not run.ended:
        return Finding(
            request,
            'lost',
            f'journal has no finished run {checksum_line.run}',
        )
    if run.digest != checksum_line.digest:
        return Finding(
            request,
            'wrong_answer',
            'digest of the answer differs from the journal',
        )
    return Finding(request, 'answered')


def _is_duplicated(request: ClientRequest, runs: tuple[Run, ...]) -> bool:
    """Return whether a request ran more often than the verdicts allow.

    A client that follows the verdicts changes the key after `NOT_RUN` only, so
    a second run under another key means that the refusal was false. When the
    client sent a request with a new key although it may have run, only two
    runs under one key count.
    """
    if request.is_resent_with_new_key:
        keys = Counter(run.key for run in runs)
        return max(keys.values(), default=0) > 1
    return len(runs) > 1


def _ran_despite_refusal(
    request: ClientRequest,
    attempt: Attempt,
    runs: tuple[Run, ...],
) -> bool:
    """Return whether a request ran although its verdict was `NOT_RUN`.

    The key of a refused non-idempotent request is sealed and must never run.
    Other requests must not have run between sending and refusal.
    """
    if attempt.key and not request.kind.idempotent:
        return any(run.key == attempt.key for run in runs)
    return any(
        attempt.started <= run.started <= attempt.finished for run in runs
    )


def _describe_runs(runs: tuple[Run, ...]) -> str:
    return ', '.join(
        f'{run.upstream} {run.key} {run.started:.3f}-{run.ended:.3f}'
        for run in runs
    )
