"""Passes received peer messages to the handler and sends its replies."""

import logging
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from sesameroute.adapters._peer_frames import Frame, FrameKind
from sesameroute.adapters._peer_stream import PeerStream
from sesameroute.exceptions import InputError, describe_error
from sesameroute.ports import (
    DeferredReply,
    MessageHandler,
    decode_message,
    encode_message,
)

__all__ = ['PeerDispatcher']

_WORKERS = 32
_MAX_QUEUED = 256

_logger = logging.getLogger(__name__)


class PeerDispatcher:
    """Handles peer messages on the stream's thread or in a thread pool.

    One-way messages and those registered as quick, whose handlers do not
    block, run on the thread that reads the stream; other calls run in the
    pool.

    Parameters
    ----------
    handler : callable
        Takes the sender's id and a message; returns the reply or None.

    """

    def __init__(self, handler: MessageHandler) -> None:
        """Store the handler and create the thread pool."""
        self.handler = handler
        self._queued = threading.BoundedSemaphore(_MAX_QUEUED)
        self._workers = ThreadPoolExecutor(_WORKERS, 'peer-call')

    def dispatch(self, stream: PeerStream, frame: Frame) -> None:
        """Handle a received message.

        A call fails at once when the queue of the thread pool is full.
        """
        try:
            message = decode_message(frame.content)
        except InputError as error:
            _logger.info(
                'peer message not valid',
                extra={'peer': stream.peer.sender, 'why': error.message},
            )
            _fail(stream, frame, error.message)
            return
        if frame.kind is FrameKind.ONE_WAY or message.is_nonblocking:
            self._handle(stream, frame, message)
        elif self._queued.acquire(blocking=False):
            work = self._workers.submit(self._handle, stream, frame, message)
            work.add_done_callback(lambda _work: self._queued.release())
        else:
            _fail(
                stream,
                frame,
                f'{_MAX_QUEUED} calls are already queued or running',
            )

    def stop(self) -> None:
        """Discard queued calls."""
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _handle(self, stream: PeerStream, frame: Frame, message: Any) -> None:
        try:
            reply = self.handler(stream.peer.sender, message)
        # An error in the handler must fail this call only, not the stream.
        except Exception as error:  # noqa: BLE001
            _logger.error(
                'peer message not handled',
                extra={
                    'type': type(message).__name__,
                    'why': describe_error(error, repr),
                },
            )
            _fail(stream, frame, describe_error(error, repr))
            return
        if frame.kind is not FrameKind.CALL:
            return
        if isinstance(reply, DeferredReply):
            reply.set_sender(lambda deferred: _reply(stream, frame, deferred))
        else:
            _reply(stream, frame, reply)


def _reply(stream: PeerStream, frame: Frame, reply: Any) -> None:
    packed = None if reply is None else encode_message(reply)
    if not stream.send(Frame(FrameKind.REPLY, frame.number, packed)):
        _fail(stream, frame, 'reply could not be sent')


def _fail(stream: PeerStream, frame: Frame, text: str) -> None:
    if frame.kind is FrameKind.CALL:
        stream.send(Frame(FrameKind.FAILURE, frame.number, text))
