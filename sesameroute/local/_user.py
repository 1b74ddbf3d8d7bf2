"""What a caller's user does about refusals and open fates."""

import time

from sesameroute.caller import Outcome
from sesameroute.local._order import Order, Word

__all__ = ['follow_order']

_FIRST_PAUSE = 0.1  # seconds, doubled with each sending
_MOST_ASKS = 2  # for the fate of a non-idempotent request, after its deadline
_ASK_SECONDS = 2.0
_SHORTEST_SECONDS = 0.2  # worth a sending


def follow_order(order: Order) -> None:
    """Send an order until it is answered, refused in time, or unclear.

    A refused request is sent again until the deadline, as the refusal says
    when. A non-idempotent one whose fate is open keeps its key; after the
    deadline its user asks for the fate a few times more.
    """
    order.started = time.monotonic()
    ends = order.started + order.deadline
    key = ''
    left = order.deadline
    while left > _SHORTEST_SECONDS:
        key = _send(order, key, left)
        if order.is_answered:
            break
        _pause(order, ends)
        left = ends - time.monotonic()
    else:
        _ask(order, key)
    order.ended = time.monotonic()


def _ask(order: Order, key: str) -> None:
    """Ask for the fate of a request that may have run."""
    asks = 0
    while key and asks < _MOST_ASKS and not order.is_answered:
        key = _send(order, key, _ASK_SECONDS)
        asks += 1


def _send(order: Order, key: str, seconds: float) -> str:
    """Send an order once and return the key for the next time."""
    started = time.monotonic()
    outcome = order.caller.send(
        order.kind,
        order.name,
        order.body,
        seconds,
        key,
    )
    word = Word(
        outcome.verdict,
        outcome.code,
        outcome.key,
        started,
        time.monotonic(),
        seconds,
    )
    order.words.append(word)
    order.outcome = outcome
    return _choose_key(order, outcome)


def _choose_key(order: Order, outcome: Outcome) -> str:
    if order.kind.idempotent or outcome.verdict.allows_retry:
        return ''
    return outcome.key


def _pause(order: Order, ends: float) -> None:
    pause = _FIRST_PAUSE * 2 ** (len(order.words) - 1)
    if order.outcome.retry_after:
        pause = order.outcome.retry_after
    left = max(ends - time.monotonic(), _FIRST_PAUSE)
    time.sleep(min(pause, left))
