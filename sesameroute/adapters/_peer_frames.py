"""Frames of peer streams: limited in size, authenticated and numbered.

A frame is four bytes of length, a truncated HMAC as the message
authentication code (MAC), and a msgpack body. Each direction has its own key
and the MAC covers a frame counter, so that a frame can't be forged, repeated,
left out or sent back to its sender.
"""

import hmac
import struct
import zlib
from dataclasses import dataclass, field
from enum import IntEnum, unique
from typing import Any

import msgpack

from sesameroute.exceptions import PeerError, describe_error

__all__ = [
    'MAX_FRAME_BYTES',
    'Frame',
    'FrameKind',
    'FrameReader',
    'FrameSigner',
]

# Room for a configuration statement of 1 MB with all its escapes.
MAX_FRAME_BYTES = 2_097_152

_LENGTH_BYTES = 4
_COUNTER = struct.Struct('>Q')
_MAC_BYTES = 16
_DIGEST = 'sha256'
_MIN_COMPRESSED_BYTES = 512
_MAX_BODY_BYTES = MAX_FRAME_BYTES - 1024  # leaves room for the MAC
_ENCODING_ERRORS = (OverflowError, RecursionError, TypeError, ValueError)
_COMPRESSED_MARK = b'\xc1'  # never the first byte of a msgpack object


@unique
class FrameKind(IntEnum):
    """What a frame carries; `ONE_WAY` has no reply."""

    HEARTBEAT = 0
    ONE_WAY = 1
    CALL = 2
    REPLY = 3
    FAILURE = 4


_KINDS = tuple(FrameKind)


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame.

    Attributes
    ----------
    number : int
        Matches a reply or failure to its call.
    size : int
        Bytes of its body when it was received.

    """

    kind: FrameKind
    number: int = 0
    content: Any = None
    size: int = field(default=0, compare=False)


class FrameSigner:
    """Adds length and MAC to the frames of one direction of a stream.

    Parameters
    ----------
    key : bytes
        Key of this direction.

    """

    def __init__(self, key: bytes) -> None:
        """Store the key."""
        self.key = key
        self._count = 0

    def sign(self, packed: bytes) -> bytes:
        """Return the bytes to send for the next packed frame."""
        self._count += 1
        mac = _compute_mac(self.key, self._count, packed)
        length = len(packed) + _MAC_BYTES
        return length.to_bytes(_LENGTH_BYTES, 'big') + mac + packed


class FrameReader:
    """Splits received bytes into frames and verifies them.

    Parameters
    ----------
    key : bytes
        Key of this direction.
    max_bytes : int
        Largest frame in bytes.

    Examples
    --------
    >>> packed = pack_frame(Frame(FrameKind.HEARTBEAT))
    >>> signed = FrameSigner(b'key').sign(packed)
    >>> [frame.number for frame in FrameReader(b'key').feed(signed)]
    [0]
    >>> list(FrameReader(b'other').feed(signed))
    Traceback (most recent call last):
    ...
    sesameroute.exceptions.PeerError: frame has a wrong MAC

    """

    def __init__(self, key: bytes, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """Store the parameters."""
        self.key = key
        self.max_bytes = max_bytes
        self._count = 0
        self._buffer = bytearray()

    def feed(self, received: bytes) -> list[Frame]:
        """Return the frames that are now complete.

        Raises
        ------
        PeerError
            A frame is too long, has a wrong MAC or is not valid.

        """
        self._buffer += received
        packed = iter(self._extract, None)
        return [unpack_frame(body) for body in packed]

    def _extract(self) -> bytes | None:
        """Remove the first complete frame; return its body, or None."""
        if len(self._buffer) < _LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:_LENGTH_BYTES], 'big')
        if not _MAC_BYTES <= length <= self.max_bytes:
            raise PeerError(
                f'frame has {length} bytes,'
                f' allowed: {_MAC_BYTES} to {self.max_bytes}'
            )
        end = _LENGTH_BYTES + length
        if len(self._buffer) < end:
            return None
        signed = bytes(self._buffer[_LENGTH_BYTES:end])
        del self._buffer[:end]  # noqa: WPS420
        return self._verify(signed)

    def _verify(self, signed: bytes) -> bytes:
        self._count += 1
        packed = signed[_MAC_BYTES:]
        mac = _compute_mac(self.key, self._count, packed)
        if not hmac.compare_digest(mac, signed[:_MAC_BYTES]):
            raise PeerError('frame has a wrong MAC')
        return packed


def pack_frame(frame: Frame) -> bytes:
    """Return the msgpack body of a frame; large ones are compressed.

    Raises
    ------
    PeerError
        The frame is longer than a reader accepts, or has a value that msgpack
        can't carry, such as an integer of more than 64 bits.

    """
    fields = (int(frame.kind), frame.number, frame.content)
    try:
        packed = msgpack.packb(fields)
    except _ENCODING_ERRORS as error:
        raise PeerError(
            f'frame could not be encoded: {describe_error(error)}'
        ) from error
    if len(packed) > _MAX_BODY_BYTES:
        raise PeerError(
            f'frame has {len(packed)} bytes, allowed: {_MAX_BODY_BYTES}'
        )
    if len(packed) < _MIN_COMPRESSED_BYTES:
        return packed
    return _COMPRESSED_MARK + zlib.compress(packed)


def unpack_frame(packed: bytes) -> Frame:
    """Return the frame in a body; raise PeerError if it is not valid."""
    try:
        body = _decompress(packed)
        kind, number, content = msgpack.unpackb(body)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise PeerError(
            f'frame is not valid: {describe_error(error)}'
        ) from error
    if kind not in _KINDS or not isinstance(number, int):
        raise PeerError('frame has an unknown kind or no number')
    return Frame(FrameKind(kind), number, content, len(body))


def _decompress(packed: bytes) -> bytes:
    """Return the msgpack body; raise ValueError if it would be too long."""
    if not packed.startswith(_COMPRESSED_MARK):
        return packed
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(packed[1:], _MAX_BODY_BYTES)
    except zlib.error as error:
        raise ValueError(f'frame could not be decompressed: {error}') from error
    if not decompressor.eof:
        raise ValueError(f'frame is longer than {_MAX_BODY_BYTES} bytes')
    return decompressed


def _compute_mac(key: bytes, count: int, packed: bytes) -> bytes:
    numbered = _COUNTER.pack(count) + packed
    return hmac.digest(key, numbered, _DIGEST)[:_MAC_BYTES]
