"""Passes received peer messages to the handler and sends its replies."""

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from sesameroute.adapters._peer_frames import Frame, FrameKind
from sesameroute.adapters._peer_stream import PeerStream
from sesameroute.adapters._peer_workers import PeerWorkers
from sesameroute.exceptions import InputError, describe_error
from sesameroute.ports import (
    DeferredReply,
    MessageHandler,
    decode_message,
    encode_message,
)

__all__ = ['PeerDispatcher']

_CALL_THREADS = 32
_MAX_CALLS = 256
_ORDERED_THREADS = 8
_MAX_ORDERED = 4096  # one for each stream whose messages wait
# Larger messages are decoded and handled in a thread, whatever they are.
_MAX_DIRECT_BYTES = 16_384

_REPLY_KINDS = frozenset((FrameKind.REPLY, FrameKind.FAILURE))

_logger = logging.getLogger(__name__)


class PeerDispatcher:
    """Handles peer messages on the loop or in threads.

    Small messages that are registered as non-blocking are handled on the
    loop. Other one-way messages are handled in threads, those of each stream
    in their order, and so is what arrives behind them, replies too; calls that
    may block have threads of their own.

    Parameters
    ----------
    handler : callable
        Takes the sender's id and a message; returns the reply or None.
    complete : callable
        Takes a stream and a reply or failure that has come on it.

    """

    def __init__(
        self,
        handler: MessageHandler,
        complete: Callable[[PeerStream, Frame], None],
    ) -> None:
        """Store the parameters; no thread runs yet."""
        self.handler = handler
        self.complete = complete
        self._calls = PeerWorkers('peer-call', _CALL_THREADS, _MAX_CALLS)
        self._ordered = PeerWorkers(
            'peer-message', _ORDERED_THREADS, _MAX_ORDERED
        )

    def dispatch(self, stream: PeerStream, frame: Frame) -> None:
        """Handle a received frame, or pass it to a thread.

        A call that may block fails at once when too many are pending.
        """
        if stream.mailbox.is_busy:
            self._defer(stream, frame, None)
        elif frame.kind in _REPLY_KINDS:
            self.complete(stream, frame)
        elif frame.size > _MAX_DIRECT_BYTES:
            self._defer(stream, frame, None)
        else:
            self._dispatch_message(stream, frame)

    def stop(self) -> None:
        """Discard queued calls and messages."""
        self._calls.stop()
        self._ordered.stop()

    def _dispatch_message(self, stream: PeerStream, frame: Frame) -> None:
        message = _decode(stream, frame)
        if message is None:
            return
        if frame.kind is FrameKind.ONE_WAY and not message.is_nonblocking:
            self._defer(stream, frame, message)
        else:
            self._route(stream, frame, message)

    def _defer(self, stream: PeerStream, frame: Frame, message: Any) -> None:
        """Let a thread handle a message after the earlier ones."""
        if stream.mailbox.put(frame, message):
            drain = partial(self._drain, stream)
            if not self._ordered.submit(drain):
                stream.close()

    def _drain(self, stream: PeerStream) -> None:
        """Handle what waits in the mailbox of a stream."""
        for frame, message in iter(stream.mailbox.take, None):
            if frame.kind in _REPLY_KINDS:
                self.complete(stream, frame)
            else:
                self._handle_deferred(stream, frame, message)
            if stream.mailbox.reopen():
                stream.resume()

    def _handle_deferred(
        self, stream: PeerStream, frame: Frame, message: Any
    ) -> None:
        decoded = _decode(stream, frame) if message is None else message
        if decoded is not None:
            self._route(stream, frame, decoded)

    def _route(self, stream: PeerStream, frame: Frame, message: Any) -> None:
        is_direct = frame.kind is FrameKind.ONE_WAY or message.is_nonblocking
        handle = partial(self._handle, stream, frame, message)
        if is_direct:
            handle()
        elif not self._calls.submit(handle):
            _fail(
                stream,
                frame,
                f'{_MAX_CALLS} calls are already queued or running',
            )

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


def _decode(stream: PeerStream, frame: Frame) -> Any:
    """Return the message of a frame, or None if it is not valid."""
    try:
        return decode_message(frame.content)
    except InputError as error:
        _logger.info(
            'peer message not valid',
            extra={'peer': stream.peer.sender, 'why': error.message},
        )
        _fail(stream, frame, error.message)
    return None


def _reply(stream: PeerStream, frame: Frame, reply: Any) -> None:
    packed = None if reply is None else encode_message(reply)
    if not stream.send(Frame(FrameKind.REPLY, frame.number, packed)):
        _fail(stream, frame, 'reply could not be sent')


def _fail(stream: PeerStream, frame: Frame, text: str) -> None:
    if frame.kind is FrameKind.CALL:
        stream.send(Frame(FrameKind.FAILURE, frame.number, text))
