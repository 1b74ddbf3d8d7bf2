"""Handshake of peer streams: both ends prove that they hold the key.

The dialer says who it is with a nonce; the accepter answers with its own
and a proof over both; the dialer's proof follows. Fresh nonces from both
ends make a recorded handshake useless, and the keys of the stream's two
directions come from the same transcript, so that an end in the middle that
only passes proofs on can't speak afterwards.
"""

import hmac
import secrets
import socket
import time
from dataclasses import dataclass
from typing import Any

import msgpack
import msgspec

from sesameroute.exceptions import PeerError
from sesameroute.ports import PeerIdentity, PeerRole

__all__ = ['MIN_KEY_BYTES', 'Session', 'accept_handshake', 'dial_handshake']

MIN_KEY_BYTES = 16

_PROTOCOL = 1
_NONCE_BYTES = 16
_LENGTH_BYTES = 2
_HANDSHAKE_SECONDS = 2.0
_MAX_HELLO_BYTES = 1024
_DIGEST = 'sha256'


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each end."""

    protocol: int
    name: str
    incarnation: str
    role: PeerRole
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Session:
    """What both ends know after the handshake."""

    peer: PeerIdentity
    sending_key: bytes
    receiving_key: bytes


_HELLO_FIELDS = ('protocol', 'name', 'incarnation', 'role', 'nonce')


def dial_handshake(
    connection: socket.socket,
    identity: PeerIdentity,
    key: bytes,
) -> Session:
    """Prove this end to the accepter and check the accepter.

    Raises
    ------
    PeerError
        The other end sent garbage or does not hold the key.
    OSError
        The connection broke or took too long.

    """
    channel = _Channel(connection)
    mine = _pack_hello(identity)
    channel.send(mine)
    theirs = channel.receive()
    transcript = _Transcript(key, mine, theirs)
    transcript.check('accept', channel.receive())
    peer = _read_hello(theirs)
    channel.send(transcript.derive('dial'))
    return Session(
        peer,
        transcript.derive('from-dialer'),
        transcript.derive('from-accepter'),
    )


def accept_handshake(
    connection: socket.socket,
    identity: PeerIdentity,
    key: bytes,
) -> Session:
    """Check the dialer and prove this end to it; raises like the dialer."""
    channel = _Channel(connection)
    theirs = channel.receive()
    peer = _read_hello(theirs)
    mine = _pack_hello(identity)
    transcript = _Transcript(key, theirs, mine)
    channel.send(mine)
    channel.send(transcript.derive('accept'))
    transcript.check('dial', channel.receive())
    return Session(
        peer,
        transcript.derive('from-accepter'),
        transcript.derive('from-dialer'),
    )


@dataclass(frozen=True, slots=True)
class _Transcript:
    """Both hellos under the key; proofs and keys derive from it."""

    key: bytes
    dialer: bytes
    accepter: bytes

    def derive(self, label: str) -> bytes:
        """Return the secret for one use."""
        parts = (label.encode(), self.dialer, self.accepter)
        return hmac.digest(self.key, msgpack.packb(parts), _DIGEST)

    def check(self, label: str, proof: bytes) -> None:
        """Raise PeerError unless `proof` is right."""
        if not hmac.compare_digest(self.derive(label), proof):
            raise PeerError('peer does not hold the key', 'peer-key')


class _Channel:
    """Sends and receives short messages for a bounded time in all."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._ends = time.monotonic() + _HANDSHAKE_SECONDS

    def send(self, packed: bytes) -> None:
        """Send one message with its length."""
        length = len(packed).to_bytes(_LENGTH_BYTES, 'big')
        self._limit()
        self._connection.sendall(length + packed)

    def receive(self) -> bytes:
        """Return the next message."""
        length = int.from_bytes(self._receive_exactly(_LENGTH_BYTES), 'big')
        if length > _MAX_HELLO_BYTES:
            raise PeerError(f'hello of {length} bytes is too long')
        return self._receive_exactly(length)

    def _receive_exactly(self, size: int) -> bytes:
        received = b''
        while len(received) < size:
            self._limit()
            part = self._connection.recv(size - len(received))
            if not part:
                raise ConnectionError('peer closed during the handshake')
            received += part
        return received

    def _limit(self) -> None:
        remaining = self._ends - time.monotonic()
        if remaining <= 0:
            raise TimeoutError('handshake took too long')
        self._connection.settimeout(remaining)


def _pack_hello(identity: PeerIdentity) -> bytes:
    nonce = secrets.token_bytes(_NONCE_BYTES)
    role = str(identity.role)
    fields = (_PROTOCOL, identity.name, identity.incarnation, role, nonce)
    return msgpack.packb(fields)


def _read_hello(packed: bytes) -> PeerIdentity:
    try:
        return _parse_hello(msgpack.unpackb(packed))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise PeerError(f'hello is not valid: {error}') from error


def _parse_hello(fields: Any) -> PeerIdentity:
    named = dict(zip(_HELLO_FIELDS, fields, strict=True))
    hello = msgspec.convert(named, Hello, builtin_types=(bytes,))
    if hello.protocol != _PROTOCOL:
        raise ValueError(f'protocol {hello.protocol} is not {_PROTOCOL}')
    if len(hello.nonce) != _NONCE_BYTES:
        raise ValueError('nonce has a wrong length')
    return PeerIdentity(hello.name, hello.incarnation, hello.role)
