"""Received messages of one stream that wait for a handler thread."""

import threading
from collections import deque
from typing import Any

from sesameroute.adapters._peer_frames import Frame

__all__ = ['PeerMailbox']

_MAX_WAITING_BYTES = 1_048_576


class PeerMailbox:
    """Keeps the messages of a stream in order while one is handled.

    Attributes
    ----------
    is_full : bool
        Whether so much waits that the stream is not read further.

    """

    def __init__(self) -> None:
        """Start empty and idle."""
        self.is_full = False
        self._waiting: deque[tuple[Frame, Any]] = deque()
        self._byte_count = 0
        self._is_busy = False
        self._lock = threading.Lock()

    @property
    def is_busy(self) -> bool:
        """Whether messages wait or one is handled."""
        return self._is_busy

    def put(self, frame: Frame, message: Any) -> bool:
        """Add a message; return whether a thread has to be asked to handle it.

        Parameters
        ----------
        frame : Frame
            The frame that has come.
        message : object or None
            Its decoded message; None if the thread has to decode it.

        """
        with self._lock:
            self._waiting.append((frame, message))
            self._byte_count += frame.size
            self.is_full = self._byte_count > _MAX_WAITING_BYTES
            was_busy = self._is_busy
            self._is_busy = True
        return not was_busy

    def take(self) -> tuple[Frame, Any] | None:
        """Remove the next message; return None, and be idle, without one."""
        with self._lock:
            if not self._waiting:
                self._is_busy = False
                return None
            taken = self._waiting.popleft()
            self._byte_count -= taken[0].size
        return taken

    def reopen(self) -> bool:
        """Note that there is room again; return whether there was none."""
        with self._lock:
            was_full = self.is_full
            self.is_full = self._byte_count > _MAX_WAITING_BYTES
        return was_full and not self.is_full
