"""Turns the store's items into the product's types and passes them on."""

import logging
from typing import Protocol

import msgspec

from sesameroute.exceptions import InputError
from sesameroute.mirror import MirrorItem
from sesameroute.platform._documents import (
    decode_backend,
    decode_configuration,
)
from sesameroute.platform._names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    MEMBER_PREFIX,
    REGISTRY_PREFIX,
)
from sesameroute.registry import Backend
from sesameroute.routes import Configuration

__all__ = ['PlatformFeed', 'Receiver']

_logger = logging.getLogger(__name__)


class Receiver(Protocol):
    """Takes what the store says."""

    def take_configuration(self, configuration: Configuration) -> None:
        """Take the operator's newest configuration."""

    def replace_evacuated(self, zones: frozenset[str]) -> None:
        """Take the zones under evacuation."""

    def put_backend(self, backend: Backend) -> None:
        """Take a backend server's entry."""

    def remove_backend(self, name: str) -> None:
        """Take the end of a backend server's entry."""

    def put_member(self, address: str, zone: str, region: str) -> None:
        """Take a node's entry."""


class _Member(msgspec.Struct):
    ip: str
    zone: str
    region: str


class PlatformFeed:
    """Passes changed items on; what can't be read changes nothing.

    Parameters
    ----------
    receiver : Receiver
        Takes what the items say.

    """

    def __init__(self, receiver: Receiver) -> None:
        """Store the receiver."""
        self.receiver = receiver
        self._evacuated: frozenset[str] = frozenset()

    def take(self, item: MirrorItem) -> None:
        """Pass one changed item on."""
        try:
            self._take(item)
        except (InputError, msgspec.MsgspecError) as error:
            _logger.warning(
                'item not valid',
                extra={'key': item.key, 'why': str(error)},
            )

    def write_member(self, address: str, zone: str, region: str) -> bytes:
        """Return the content of a node's own entry."""
        return msgspec.json.encode(_Member(address, zone, region))

    def name_member(self, address: str) -> str:
        """Return the key of a node's own entry."""
        return f'{MEMBER_PREFIX}{address}'

    def _take(self, item: MirrorItem) -> None:
        if item.key == CONFIGURATION_KEY:
            self._take_configuration(item)
        elif item.key.startswith(EVACUATION_PREFIX):
            self._take_evacuation(item)
        elif item.key.startswith(REGISTRY_PREFIX):
            self._take_backend(item)
        elif item.key.startswith(MEMBER_PREFIX):
            self._take_member(item)

    def _take_configuration(self, item: MirrorItem) -> None:
        if item.content is not None:
            found = decode_configuration(item.content)
            self.receiver.take_configuration(found)

    def _take_member(self, item: MirrorItem) -> None:
        if item.content is not None:
            member = msgspec.json.decode(item.content, type=_Member)
            self.receiver.put_member(member.ip, member.zone, member.region)

    def _take_evacuation(self, item: MirrorItem) -> None:
        zone = item.key.removeprefix(EVACUATION_PREFIX)
        if item.content is None:
            self._evacuated -= {zone}
        else:
            self._evacuated |= {zone}
        self.receiver.replace_evacuated(self._evacuated)

    def _take_backend(self, item: MirrorItem) -> None:
        name = item.key.removeprefix(REGISTRY_PREFIX)
        if item.content is None:
            self.receiver.remove_backend(name)
        else:
            self.receiver.put_backend(decode_backend(name, item.content))
