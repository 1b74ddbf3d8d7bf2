"""Judges what callers heard by the stand-ins' journal."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from sesameroute.fakes import Journal, Run, read_mark
from sesameroute.local._order import Order, Word
from sesameroute.verdict import Verdict

__all__ = ['Finding', 'KindCounts', 'count_kinds', 'judge_order']

_OK = 200
_FAULTS = ('lost', 'doubled', 'wrong_answer', 'false_not_run')


@dataclass(slots=True)
class KindCounts:
    """Counts of one kind, in the words of the report."""

    sent: int = 0
    answered: int = 0
    refused_not_run: int = 0
    may_have_run: int = 0
    lost: int = 0
    doubled: int = 0
    wrong_answer: int = 0
    false_not_run: int = 0

    @property
    def faults(self) -> int:
        """Number of broken promises."""
        return sum(getattr(self, name) for name in _FAULTS)


@dataclass(frozen=True, slots=True)
class Finding:
    """One word of the report about one order, with its evidence."""

    order: Order
    word: str
    evidence: str = ''

    def describe(self) -> str:
        """Return order, word and evidence as a line."""
        order = self.order
        return f'{order.kind.name} {order.name} {self.word}: {self.evidence}'


def count_kinds(
    orders: Iterable[Order],
    journal: Journal,
) -> tuple[dict[str, KindCounts], list[Finding]]:
    """Return the counts by kind and the broken promises."""
    counts: dict[str, KindCounts] = defaultdict(KindCounts)
    broken = []
    for order in orders:
        kind = counts[order.kind.name]
        kind.sent += 1
        for finding in judge_order(order, journal.find(order.name)):
            setattr(kind, finding.word, getattr(kind, finding.word) + 1)
            if finding.word in _FAULTS:
                broken.append(finding)
    return dict(counts), broken


def judge_order(order: Order, runs: tuple[Run, ...]) -> Iterator[Finding]:
    """Yield what holds for an order: its end and any broken promise.

    Parameters
    ----------
    order : Order
        What the caller heard.
    runs : tuple of Run
        What backend servers ran of it.

    """
    yield _judge_end(order, runs)
    if any(word.is_late for word in order.words):
        yield Finding(order, 'lost', 'a word came over a second late')
    if not order.kind.idempotent and _is_doubled(order, runs):
        yield Finding(order, 'doubled', _describe_runs(runs))
    for word in order.words:
        if word.verdict is Verdict.NOT_RUN and _contradicts(order, word, runs):
            yield Finding(order, 'false_not_run', f'{word} {runs}')
            break


def _judge_end(order: Order, runs: tuple[Run, ...]) -> Finding:
    outcome = order.outcome
    if not order.ended or outcome is None:
        return Finding(order, 'lost', 'nothing was heard')
    if outcome.verdict is Verdict.NOT_RUN:
        return Finding(order, 'refused_not_run')
    if outcome.verdict is Verdict.MAY_HAVE_RUN:
        return Finding(order, 'may_have_run')
    if outcome.status != _OK:
        return Finding(order, 'wrong_answer', f'status {outcome.status}')
    return _judge_body(order, outcome.body, runs)


def _judge_body(
    order: Order,
    body: bytes,
    runs: tuple[Run, ...],
) -> Finding:
    mark = read_mark(body)
    if mark is None:
        return Finding(order, 'wrong_answer', f'cut at {len(body)} bytes')
    if mark.order != order.name:
        return Finding(order, 'wrong_answer', f'is the one to {mark.order}')
    run = next((each for each in runs if each.number == mark.run), None)
    if run is None or not run.ended:
        return Finding(order, 'lost', f'run {mark.run} is in no journal')
    if run.digest != mark.digest:
        return Finding(order, 'wrong_answer', "digest is not the journal's")
    return Finding(order, 'answered')


def _is_doubled(order: Order, runs: tuple[Run, ...]) -> bool:
    """Return whether one key ran twice, or a key after a false refusal.

    A user who keeps to the verdicts changes the key after `NOT_RUN` only.
    """
    if order.is_sent_anew:
        keys = Counter(run.key for run in runs)
        return max(keys.values(), default=0) > 1
    return len(runs) > 1


def _contradicts(order: Order, word: Word, runs: tuple[Run, ...]) -> bool:
    """Return whether a request ran although it was said not to have.

    A sealed key must never run; without a key it must not have run between
    the sending and the word.
    """
    if word.key and not order.kind.idempotent:
        return any(run.key == word.key for run in runs)
    return any(word.started <= run.started <= word.said for run in runs)


def _describe_runs(runs: tuple[Run, ...]) -> str:
    return ', '.join(
        f'{run.upstream} {run.key} {run.started:.3f}-{run.ended:.3f}'
        for run in runs
    )
