"""Runs the handler for received messages and sends its replies."""

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from sesameroute.adapters._peer_frames import Frame, FrameKind
from sesameroute.adapters._peer_stream import PeerStream
from sesameroute.exceptions import InputError
from sesameroute.ports import (
    DeferredReply,
    MessageHandler,
    decode_message,
    encode_message,
)

__all__ = ['PeerDispatcher']

_WORKERS = 32
_MAX_QUEUED = 256


class PeerDispatcher:
    """Runs quick messages on the stream's thread and others on workers.

    Parameters
    ----------
    handler : callable
        Takes the sender's id and a message; returns the reply or None.

    """

    def __init__(self, handler: MessageHandler) -> None:
        """Store the handler."""
        self.handler = handler
        self._queued = threading.BoundedSemaphore(_MAX_QUEUED)
        self._workers = ThreadPoolExecutor(_WORKERS, 'peer-call')

    def dispatch(self, stream: PeerStream, frame: Frame) -> None:
        """Handle a frame; a call beyond the queue's bound fails at once."""
        try:
            message = decode_message(frame.content)
        except InputError as error:
            _fail(stream, frame, error.message)
            return
        if frame.kind is FrameKind.CAST or message.is_quick:
            self._handle(stream, frame, message)
        elif self._queued.acquire(blocking=False):
            work = self._workers.submit(self._handle, stream, frame, message)
            work.add_done_callback(lambda _work: self._queued.release())
        else:
            _fail(stream, frame, 'too many calls are waiting')

    def stop(self) -> None:
        """Drop what waits."""
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _handle(self, stream: PeerStream, frame: Frame, message: Any) -> None:
        try:
            reply = self.handler(stream.peer.sender, message)
        # A fault in a handler fails the call and not the stream.
        except Exception as error:  # noqa: BLE001
            _fail(stream, frame, repr(error))
            return
        if frame.kind is not FrameKind.CALL:
            return
        if isinstance(reply, DeferredReply):
            reply.bind(lambda late: _reply(stream, frame, late))
        else:
            _reply(stream, frame, reply)


def _reply(stream: PeerStream, frame: Frame, reply: Any) -> None:
    packed = None if reply is None else encode_message(reply)
    stream.send(Frame(FrameKind.REPLY, frame.number, packed))


def _fail(stream: PeerStream, frame: Frame, text: str) -> None:
    if frame.kind is FrameKind.CALL:
        stream.send(Frame(FrameKind.FAILURE, frame.number, text))
