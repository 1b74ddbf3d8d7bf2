"""Frames of peer streams: bounded, sealed with a key, numbered.

A frame is four bytes of length, a truncated HMAC and a msgpack body. Each
direction has its own key and counts its frames, so that a frame can't be
forged, repeated, left out or turned back.
"""

import hmac
import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Any

import msgpack

from sesameroute.exceptions import PeerError

__all__ = [
    'MAX_FRAME_BYTES',
    'Frame',
    'FrameKind',
    'FrameReader',
    'FrameSealer',
]

MAX_FRAME_BYTES = 2_097_152  # a statement of 1 MB and its escapes

_LENGTH_BYTES = 4
_COUNTER = struct.Struct('>Q')
_SEAL_BYTES = 16
_DIGEST = 'sha256'
_COMPRESS_BYTES = 4096
_MAX_BODY_BYTES = MAX_FRAME_BYTES - 1024  # leaves room for the seal
_COMPRESSED = b'\xc1'  # the byte that msgpack never uses


@unique
class FrameKind(IntEnum):
    """What a frame carries."""

    BEAT = 0
    CAST = 1
    CALL = 2
    REPLY = 3
    FAILURE = 4


_KINDS = tuple(FrameKind)


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame; `number` ties a reply to its call."""

    kind: FrameKind
    number: int = 0
    content: Any = None


class FrameSealer:
    """Packs frames for one direction of a stream.

    Parameters
    ----------
    key : bytes
        Key of this direction.

    """

    def __init__(self, key: bytes) -> None:
        """Store the key."""
        self.key = key
        self._count = 0

    def seal(self, packed: bytes) -> bytes:
        """Return the bytes on the wire for the next packed frame."""
        self._count += 1
        tag = _compute_seal(self.key, self._count, packed)
        length = len(packed) + _SEAL_BYTES
        return length.to_bytes(_LENGTH_BYTES, 'big') + tag + packed


class FrameReader:
    """Cuts received bytes into checked frames.

    Parameters
    ----------
    key : bytes
        Key of this direction.
    limit : int
        Largest frame in bytes.

    Examples
    --------
    >>> sealed = FrameSealer(b'key').seal(pack_frame(Frame(FrameKind.BEAT)))
    >>> [frame.number for frame in FrameReader(b'key').feed(sealed)]
    [0]
    >>> list(FrameReader(b'other').feed(sealed))
    Traceback (most recent call last):
    ...
    sesameroute.exceptions.PeerError: frame has a wrong seal

    """

    def __init__(self, key: bytes, limit: int = MAX_FRAME_BYTES) -> None:
        """Store the key and the bound."""
        self.key = key
        self.limit = limit
        self._count = 0
        self._buffer = bytearray()

    def feed(self, received: bytes) -> list[Frame]:
        """Return the frames that are complete now.

        Raises
        ------
        PeerError
            A frame is too long, has a wrong seal or is no frame.

        """
        self._buffer += received
        packed = iter(self._cut, None)
        return [unpack_frame(body) for body in packed]

    def _cut(self) -> bytes | None:
        """Remove the first whole frame; return its packed body."""
        if len(self._buffer) < _LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:_LENGTH_BYTES], 'big')
        if not _SEAL_BYTES <= length <= self.limit:
            raise PeerError(f'frame of {length} bytes is not allowed')
        end = _LENGTH_BYTES + length
        if len(self._buffer) < end:
            return None
        sealed = bytes(self._buffer[_LENGTH_BYTES:end])
        self._buffer = self._buffer[end:]
        return self._open(sealed)

    def _open(self, sealed: bytes) -> bytes:
        self._count += 1
        packed = sealed[_SEAL_BYTES:]
        tag = _compute_seal(self.key, self._count, packed)
        if not hmac.compare_digest(tag, sealed[:_SEAL_BYTES]):
            raise PeerError('frame has a wrong seal')
        return packed


def pack_frame(frame: Frame) -> bytes:
    """Return the msgpack body of a frame; large ones are compressed.

    Raises
    ------
    PeerError
        The frame is longer than a reader takes.

    """
    fields = (int(frame.kind), frame.number, frame.content)
    packed = msgpack.packb(fields)
    if len(packed) > _MAX_BODY_BYTES:
        raise PeerError(f'frame of {len(packed)} bytes is too long')
    if len(packed) < _COMPRESS_BYTES:
        return packed
    return _COMPRESSED + zlib.compress(packed)


def unpack_frame(packed: bytes) -> Frame:
    """Return the frame; raise PeerError when the body is no frame."""
    try:
        kind, number, content = msgpack.unpackb(_expand(packed))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise PeerError(f'frame is not valid: {error}') from error
    if kind not in _KINDS or not isinstance(number, int):
        raise PeerError('frame has an unknown kind or no number')
    return Frame(FrameKind(kind), number, content)


def _expand(packed: bytes) -> bytes:
    """Return the msgpack form; raise ValueError if it would be too long."""
    if not packed.startswith(_COMPRESSED):
        return packed
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(packed[1:], _MAX_BODY_BYTES)
    except zlib.error as error:
        raise ValueError(f'compressed frame is broken: {error}') from error
    if not expander.eof:
        raise ValueError(f'frame is longer than {_MAX_BODY_BYTES} bytes')
    return expanded


def _compute_seal(key: bytes, count: int, packed: bytes) -> bytes:
    numbered = _COUNTER.pack(count) + packed
    return hmac.digest(key, numbered, _DIGEST)[:_SEAL_BYTES]
