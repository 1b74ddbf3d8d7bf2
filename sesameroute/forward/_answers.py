"""Passes the answers of backend servers on to callers."""

from collections.abc import Iterator
from typing import Protocol

from sesameroute.forward._caller_body import count_bytes
from sesameroute.forward._message import TryError
from sesameroute.forward._request_state import (
    HOP_BY_HOP_HEADERS,
    MAX_BUFFERED_BYTES,
)
from sesameroute.forward._sender import ReceivedAnswer
from sesameroute.placement import ObservedAnswer, Outcome
from sesameroute.ports import Answer

__all__ = ['EndObserver', 'observe_answer', 'pass_on']


class EndObserver(Protocol):
    """Callable that is told how an answer ended."""

    def __call__(self, outcome: Outcome, error: TryError | None = None) -> None:
        """Note that the body ended, was cut, or is read no further."""


def pass_on(received: ReceivedAnswer, observe_end: EndObserver) -> Answer:
    """Return the answer for the caller: a short body is buffered.

    Parameters
    ----------
    received : ReceivedAnswer
        The answer with its body unread.
    observe_end : callable
        Called once at the end of the body.

    Raises
    ------
    TryError
        A short body was truncated; `observe_end` is not called.

    """
    first, is_whole = received.body.read_up_to(MAX_BUFFERED_BYTES)
    answer = received.answer
    answer.headers = tuple(
        (name, text)
        for name, text in answer.headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    if is_whole:
        observe_end(Outcome.ANSWERED)
        answer.length = len(first)
        answer.chunks = iter((first,))
        return answer
    chunks = _stream(received, first, observe_end)
    # Closing a generator runs its finally block, which ends the answer, only
    # if the generator has been started.
    next(chunks)
    answer.chunks = chunks
    return answer


def _stream(
    received: ReceivedAnswer, first: bytes, observe_end: EndObserver
) -> Iterator[bytes]:
    outcome, failure = Outcome.CANCELLED, None
    try:
        yield from (b'', first)
        yield from received.body
        outcome = Outcome.ANSWERED
    except TryError as error:
        outcome, failure = error.outcome, error
        raise
    finally:
        received.body.close()
        observe_end(outcome, failure)


def observe_answer(body: object, received: ReceivedAnswer) -> ObservedAnswer:
    """Return what an answer tells the pool that granted its slot.

    Parameters
    ----------
    body : bytes, iterable of bytes or None
        Body of the request.
    received : ReceivedAnswer
        The answer, as far as it was read.

    """
    return ObservedAnswer(
        received.answer_metadata.load,
        count_bytes(body) + received.body.byte_count_,
    )
