"""Reads a server's answer until a deadline, however slowly its bytes come."""

import math
import socket
import time
from io import RawIOBase

from sesameroute.adapters._caller_disconnect import wait_for_first_byte

__all__ = ['LimitedReader', 'ReadLimit']

# After the deadline, bytes that have come already are read for so long: the
# process may have been paused while a whole answer came.
_LATE_READ_SECONDS = 0.25


class ReadLimit:
    """What ends the reading of an answer before its last byte.

    Parameters
    ----------
    seconds : float
        Time from now by which the last byte must have come.
    caller : socket.socket or None
        Connection of the caller, whose end ends the reading; None for
        requests that go on without their caller.
    max_bytes : float, optional
        Largest size of the answer, for one that is kept whole.

    """

    def __init__(
        self,
        seconds: float,
        caller: socket.socket | None = None,
        max_bytes: float = math.inf,
    ) -> None:
        """Compute the deadline."""
        self.deadline = time.monotonic() + seconds
        self.caller = caller
        self.remaining_bytes = max_bytes
        self._late_until = math.inf

    def wait(self, server: RawIOBase) -> None:
        """Wait until the server has sent bytes.

        Raises
        ------
        TimeoutError
            The deadline has passed.
        RequestError
            The caller closed its connection.

        """
        now = time.monotonic()
        if now >= self.deadline:
            self._late_until = min(self._late_until, now + _LATE_READ_SECONDS)
            if now > self._late_until:
                raise TimeoutError('answer not complete at the deadline')
        wait_for_first_byte(server, self.caller, self.deadline - now)

    def count(self, size: int | None) -> None:
        """Count bytes that were read; raise OSError if they are too many."""
        self.remaining_bytes -= size or 0
        if self.remaining_bytes < 0:
            raise OSError('answer too long')


class LimitedReader(RawIOBase):
    """Reads from a socket within a limit.

    The time-out of a socket counts for each read alone, so a server that
    sends a byte now and then could hold its reader for good.

    Parameters
    ----------
    raw : RawIOBase
        Unbuffered reader of the socket.
    limit : ReadLimit or None
        The limit; None leaves it to the socket's time-out.
    write_error : OSError or None
        Error of an earlier write to the socket. The system reports the error
        of a connection once: after a write has got it, the end of a reset
        connection reads like that of a closed one.

    """

    def __init__(
        self,
        raw: RawIOBase,
        limit: ReadLimit | None,
        write_error: OSError | None = None,
    ) -> None:
        """Store the parameters."""
        super().__init__()
        self.raw = raw
        self.limit = limit
        self.write_error = write_error

    def readable(self) -> bool:
        """Return that this can be read."""
        return True

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self.raw.fileno()

    def readinto(self, buffer: bytearray) -> int | None:
        """Read bytes that have come; wait for the first one.

        Raises
        ------
        TimeoutError, RequestError
            As `ReadLimit.wait`.
        ConnectionResetError
            The connection has ended after a write to it had failed.
        OSError
            The answer is too long.

        """
        if self.limit is not None:
            self.limit.wait(self.raw)
        size = self.raw.readinto(buffer)
        if size == 0 and self.write_error is not None:
            raise ConnectionResetError(
                'connection ended while the request was sent'
            ) from self.write_error
        if self.limit is not None:
            self.limit.count(size)
        return size

    def close(self) -> None:
        """Close the reader, which lets the socket close."""
        self.raw.close()
        super().close()
