"""Text stream with a bounded queue and a writer thread."""

import contextlib
import queue
import threading
from collections.abc import Callable
from typing import TextIO

__all__ = ['QueuedStream']

_QUEUE_LINES = 4096  # about 1 MB of log lines
_BATCH_LINES = 256  # most lines in one write to the stream


class QueuedStream:
    """Text stream whose `write` never blocks.

    A separate thread writes the queued lines to the underlying stream. While
    that stream blocks and the queue is full, further lines are dropped and
    counted; a notice with the count precedes the next batch that is written.

    Parameters
    ----------
    stream : file
        Underlying stream.
    format_drop_notice : callable
        Takes the number of dropped lines and returns the notice to write,
        without a line break.
    max_lines : int, optional
        Capacity of the queue in lines.

    Attributes
    ----------
    dropped_ : int
        Dropped lines that no notice has reported yet.

    """

    def __init__(
        self,
        stream: TextIO,
        format_drop_notice: Callable[[int], str],
        max_lines: int = _QUEUE_LINES,
    ) -> None:
        """Store the parameters and start the writer thread."""
        self.stream = stream
        self.format_drop_notice = format_drop_notice
        self.dropped_ = 0
        self._lines: queue.Queue[str] = queue.Queue(max_lines)
        self._is_closed = threading.Event()
        self._writer = threading.Thread(
            target=self._write_batches,
            name='log-writer',
            daemon=True,
        )
        self._writer.start()

    def write(self, text: str) -> None:
        """Queue a line, or count it as dropped if the queue is full."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped_ += 1

    def flush(self) -> None:
        """Do nothing: the writer thread flushes after each batch."""

    def close(self, timeout_seconds: float) -> None:
        """Write the queued lines and end the writer thread.

        Parameters
        ----------
        timeout_seconds : float
            Longest time to wait for the writer thread.

        """
        self._is_closed.set()
        with contextlib.suppress(queue.Full):
            # Wakes a writer thread that waits for a line. If the queue is
            # full, the writer thread is not waiting.
            self._lines.put_nowait('')
        self._writer.join(timeout_seconds)

    def _write_batches(self) -> None:
        while not (self._is_closed.is_set() and self._lines.empty()):
            text = self._take_batch()
            dropped = self.dropped_
            if dropped:
                self.dropped_ -= dropped
                text = f'{self.format_drop_notice(dropped)}\n{text}'
            try:
                self.stream.write(text)
                self.stream.flush()
            except (OSError, ValueError):
                # The log itself failed, so the error can't be logged.
                self.dropped_ += dropped + text.count('\n')

    def _take_batch(self) -> str:
        lines = [self._lines.get()]
        while len(lines) < _BATCH_LINES:
            try:
                lines.append(self._lines.get_nowait())
            except queue.Empty:
                break
        return ''.join(lines)
