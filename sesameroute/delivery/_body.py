"""Response bodies: buffered, or streamed with their length checked."""

from collections.abc import Callable, Iterator
from typing import Final

from sesameroute.exceptions import RequestError
from sesameroute.ports import Answer
from sesameroute.verdict import Verdict

__all__ = ['LengthCheckedBody', 'read_body']

_MAX_BUFFERED_BYTES: Final = 8_000_000


def read_body(answer: Answer) -> bytes:
    """Return the complete body of a response.

    Raises
    ------
    RequestError
        The body is truncated, or too large to be held in memory.

    Examples
    --------
    >>> read_body(Answer(200, chunks=iter((b'ab', b'c')), length=3))
    b'abc'
    >>> read_body(Answer(200, chunks=iter((b'ab',)), length=3))
    Traceback (most recent call last):
        ...
    sesameroute.exceptions.RequestError: response cut at 2 of 3 bytes

    """
    parts = []
    received = 0
    for chunk in answer.chunks:
        parts.append(chunk)
        received += len(chunk)
        if received > _MAX_BUFFERED_BYTES:
            raise RequestError(
                f'response is over {_MAX_BUFFERED_BYTES} bytes',
                Verdict.MAY_HAVE_RUN,
                'answer-too-large',
            )
    _check_length(received, answer.length)
    return b''.join(parts)


class LengthCheckedBody:
    """Iterator over the chunks of a streamed response.

    Parameters
    ----------
    answer : Answer
        Response of a backend server, its body unread.
    charge_bytes : callable
        Called with the size of each chunk in bytes before the chunk is
        passed on; may block.
    finish : callable
        Called once at the end with whether the body was complete; also when
        the caller disconnects and the body is closed early.

    """

    def __init__(
        self,
        answer: Answer,
        charge_bytes: Callable[[int], None],
        finish: Callable[[bool], None],
    ) -> None:
        """Store the parameters; nothing is read yet."""
        self.answer = answer
        self.charge_bytes = charge_bytes
        self.finish = finish
        self.received_ = 0
        self.closed_ = False

    def __iter__(self) -> Iterator[bytes]:
        """Return the iterator itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk; raise RequestError if it was truncated."""
        try:
            chunk = self._read()
        except StopIteration:
            self._close(whole=True)
            raise
        except BaseException:
            self._close(whole=False)
            raise
        return chunk

    def close(self) -> None:
        """Stop reading before the end of the body.

        `finish` tells the backend server that nobody waits any more.
        """
        self._close(whole=False)

    def _read(self) -> bytes:
        if self.closed_:
            raise StopIteration
        chunk = next(self.answer.chunks, None)
        if chunk is None:
            _check_length(self.received_, self.answer.length)
            raise StopIteration
        self.received_ += len(chunk)
        self.charge_bytes(len(chunk))
        return chunk

    def _close(self, *, whole: bool) -> None:
        if self.closed_:
            return
        self.closed_ = True
        close = getattr(self.answer.chunks, 'close', None)
        if close:
            close()
        self.finish(whole)


def _check_length(received: int, length: int | None) -> None:
    if length is not None and received != length:
        raise RequestError(
            f'response cut at {received} of {length} bytes',
            Verdict.MAY_HAVE_RUN,
            'truncated',
        )
