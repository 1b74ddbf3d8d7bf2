"""Handshake of peer streams: both ends prove that they hold the key.

The dialer, which opened the connection, sends a hello with its identity and
a nonce. The accepter replies with its own hello and an HMAC over both hellos
as proof; the dialer's proof follows. Fresh nonces of both ends prevent the
replay of a recorded handshake. The keys for the two directions of the stream
are derived from the same two hellos, so that a man in the middle who forwards
the proofs still can't send valid frames afterwards.
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
_MAX_MESSAGE_BYTES = 1024
_DIGEST = 'sha256'


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each end: its identity and a nonce."""

    protocol: int
    name: str
    incarnation: str
    role: PeerRole
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Session:
    """Result of a handshake.

    Attributes
    ----------
    peer : PeerIdentity
        Identity of the other end.
    sending_key, receiving_key : bytes
        Keys that authenticate the frames of each direction.

    """

    peer: PeerIdentity
    sending_key: bytes
    receiving_key: bytes


_HELLO_FIELDS = ('protocol', 'name', 'incarnation', 'role', 'nonce')


def dial_handshake(
    connection: socket.socket,
    identity: PeerIdentity,
    key: bytes,
) -> Session:
    """Authenticate both ends, as the end that opened the connection.

    Raises
    ------
    PeerError
        The other end sent an invalid message or does not hold the key.
    OSError
        The connection failed, or the handshake took too long.

    """
    channel = _Channel(connection)
    own_hello = _pack_hello(identity)
    channel.send(own_hello)
    peer_hello = channel.receive()
    transcript = _Transcript(key, own_hello, peer_hello)
    transcript.check('accept', channel.receive())
    peer = _read_hello(peer_hello)
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
    """Authenticate both ends, as the end that accepted the connection.

    Raises the same errors as `dial_handshake`.
    """
    channel = _Channel(connection)
    peer_hello = channel.receive()
    peer = _read_hello(peer_hello)
    own_hello = _pack_hello(identity)
    transcript = _Transcript(key, peer_hello, own_hello)
    channel.send(own_hello)
    channel.send(transcript.derive('accept'))
    transcript.check('dial', channel.receive())
    return Session(
        peer,
        transcript.derive('from-accepter'),
        transcript.derive('from-dialer'),
    )


@dataclass(frozen=True, slots=True)
class _Transcript:
    """Both hellos and the shared key; derives proofs and stream keys.

    Attributes
    ----------
    key : bytes
        The key that both ends share.
    dialer, accepter : bytes
        The packed hello of each end.

    """

    key: bytes
    dialer: bytes
    accepter: bytes

    def derive(self, label: str) -> bytes:
        """Return the proof or key for the use named by `label`."""
        parts = (label.encode(), self.dialer, self.accepter)
        return hmac.digest(self.key, msgpack.packb(parts), _DIGEST)

    def check(self, label: str, proof: bytes) -> None:
        """Raise PeerError unless `proof` is the one for `label`."""
        if not hmac.compare_digest(self.derive(label), proof):
            raise PeerError('peer does not hold the key', 'peer-key')


class _Channel:
    """Sends and receives short messages within one overall time limit."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._deadline = time.monotonic() + _HANDSHAKE_SECONDS

    def send(self, packed: bytes) -> None:
        """Send one message, preceded by its length."""
        length = len(packed).to_bytes(_LENGTH_BYTES, 'big')
        self._set_timeout()
        self._connection.sendall(length + packed)

    def receive(self) -> bytes:
        """Return the next message."""
        length = int.from_bytes(self._receive_exactly(_LENGTH_BYTES), 'big')
        if length > _MAX_MESSAGE_BYTES:
            raise PeerError(
                f'handshake message has {length} bytes,'
                f' allowed: {_MAX_MESSAGE_BYTES}'
            )
        return self._receive_exactly(length)

    def _receive_exactly(self, size: int) -> bytes:
        received = b''
        while len(received) < size:
            self._set_timeout()
            part = self._connection.recv(size - len(received))
            if not part:
                raise ConnectionError(
                    'peer closed the connection during the handshake'
                )
            received += part
        return received

    def _set_timeout(self) -> None:
        remaining = self._deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError(
                f'handshake took longer than {_HANDSHAKE_SECONDS} s'
            )
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
    fields_by_name = dict(zip(_HELLO_FIELDS, fields, strict=True))
    hello = msgspec.convert(fields_by_name, Hello, builtin_types=(bytes,))
    if hello.protocol != _PROTOCOL:
        raise ValueError(
            f'protocol version is {hello.protocol}, expected {_PROTOCOL}'
        )
    if len(hello.nonce) != _NONCE_BYTES:
        raise ValueError(
            f'nonce has {len(hello.nonce)} bytes, expected {_NONCE_BYTES}'
        )
    return PeerIdentity(hello.name, hello.incarnation, hello.role)
