"""Lines that one thread writes, so that no other waits for the reader."""

import contextlib
import queue
import threading
from collections.abc import Callable
from typing import TextIO

__all__ = ['QueuedStream']

_MOST_LINES = 4096  # that wait for the writer: about 1 MB
_BATCH = 256  # lines in one call of the stream


class QueuedStream:
    """A text stream that never blocks those who write to it.

    When the other end does not read, lines are dropped and counted; the
    count is written before the next line that gets through.

    Parameters
    ----------
    stream : file
        Where the lines go.
    describe : callable
        Takes a count and returns the line that tells of dropped ones.
    most : int, optional
        Most lines that wait.

    Attributes
    ----------
    dropped_ : int
        Lines that were dropped and not told of yet.

    """

    def __init__(
        self,
        stream: TextIO,
        describe: Callable[[int], str],
        most: int = _MOST_LINES,
    ) -> None:
        """Store the parameters and start the thread."""
        self.stream = stream
        self.describe = describe
        self.dropped_ = 0
        self._lines: queue.Queue[str] = queue.Queue(most)
        self._is_over = threading.Event()
        self._writer = threading.Thread(
            target=self._run,
            name='log-writer',
            daemon=True,
        )
        self._writer.start()

    def write(self, text: str) -> None:
        """Hand a line to the writer, or count it as dropped."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped_ += 1

    def flush(self) -> None:
        """Do nothing: the writer flushes what it has written."""

    def close(self, seconds: float) -> None:
        """Write what waits, for some seconds at most; end the thread."""
        self._is_over.set()
        with contextlib.suppress(queue.Full):
            # Wakes a writer that waits; one with a full queue does not.
            self._lines.put_nowait('')
        self._writer.join(seconds)

    def _run(self) -> None:
        while not (self._is_over.is_set() and self._lines.empty()):
            text = self._take_batch()
            dropped = self.dropped_
            if dropped:
                self.dropped_ -= dropped
                text = f'{self.describe(dropped)}\n{text}'
            try:
                self.stream.write(text)
                self.stream.flush()
            except (OSError, ValueError):
                # Nobody can be told: the log itself is gone.
                self.dropped_ += dropped + text.count('\n')

    def _take_batch(self) -> str:
        lines = [self._lines.get()]
        while len(lines) < _BATCH:
            try:
                lines.append(self._lines.get_nowait())
            except queue.Empty:
                break
        return ''.join(lines)
