"""Decoders for the entries of backend servers and nodes.

The models check the types and ranges of the JSON fields. An entry of a backend
server is then converted to the type of `registry`.
"""

import ipaddress
import re

import msgspec

from sesameroute.exceptions import InputError, describe_error
from sesameroute.platform._field_types import (
    Address,
    Count,
    Incarnation,
    Milliseconds,
    Name,
    Slots,
)
from sesameroute.registry import Backend, BackendState

__all__ = ['Member', 'decode_backend', 'decode_member']

_MILLISECONDS = 1000
_DECODING_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)
_MAX_PORT = 65_535
_PORT = re.compile('[0-9]{1,5}')
# A header carries the name of the backend server.
_BACKEND_NAME = re.compile(r'[\x21-\x7e]{1,200}')


class _Backend(msgspec.Struct):
    service: Name
    address: Address
    zone: Name
    slots: Slots
    state: BackendState
    # Remaining warm-up time after the server's start, as of this heartbeat.
    cold_left_ms: Milliseconds
    # Number of heartbeats that this incarnation has written.
    sequence: Count
    # Unix time of the server's start in milliseconds; used as the number of
    # the incarnation.
    born: Incarnation = 0


class Member(msgspec.Struct):
    """The entry of a node."""

    ip: Address
    zone: Name
    region: Name


def decode_backend(name: str, content: bytes) -> Backend:
    """Return a backend server from its entry in the store.

    Raises
    ------
    InputError
        The document is not valid.

    """
    if not _BACKEND_NAME.fullmatch(name):
        raise InputError('name of the entry is not short printable ASCII')
    try:
        document = msgspec.json.decode(content, type=_Backend)
        host, port = _parse_target(document.address)
    except _DECODING_ERRORS as error:
        raise InputError(
            f'entry is not valid: {describe_error(error)}'
        ) from error
    return Backend(
        name,
        document.service,
        host,
        port,
        document.zone,
        document.slots,
        document.state,
        max(document.cold_left_ms, 0) / _MILLISECONDS,
        document.born,
    )


def decode_member(content: bytes) -> Member:
    """Return the entry of a node.

    Raises
    ------
    InputError
        The document is not valid.

    """
    try:
        member = msgspec.json.decode(content, type=Member)
        ipaddress.ip_address(member.ip)
    except _DECODING_ERRORS as error:
        raise InputError(
            f'entry is not valid: {describe_error(error)}'
        ) from error
    return member


def _parse_target(address: str) -> tuple[str, int]:
    host, _, port_text = address.rpartition(':')
    port = int(port_text) if _PORT.fullmatch(port_text) else 0
    if not 1 <= port <= _MAX_PORT:
        raise ValueError(f'address has no port from 1 to {_MAX_PORT}')
    ipaddress.ip_address(host)
    return host, port
