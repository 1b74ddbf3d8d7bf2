"""Decodes changed items of the store and passes them to a receiver."""

from dataclasses import replace
from typing import Protocol

import msgspec

from sesameroute.exceptions import InputError
from sesameroute.mirror import MirrorItem
from sesameroute.platform._documents import decode_configuration
from sesameroute.platform._entries import (
    Member,
    decode_backend,
    decode_member,
)
from sesameroute.platform._field_types import MAX_KEY_CHARACTERS
from sesameroute.platform._ignored_items import IgnoredItems
from sesameroute.platform._names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    MEMBER_PREFIX,
    REGISTRY_PREFIX,
)
from sesameroute.registry import Backend
from sesameroute.routes import Configuration, ConfigurationOrigin
from sesameroute.telemetry import survive

__all__ = ['StoreItemDispatcher', 'Receiver']


class Receiver(Protocol):
    """Handler of the documents in the store."""

    def put_configuration(self, configuration: Configuration) -> None:
        """Handle a configuration written by the operator."""

    def replace_evacuated(self, zones: frozenset[str]) -> None:
        """Handle a new set of evacuated zones."""

    def put_backend(self, backend: Backend) -> None:
        """Handle a new or changed entry of a backend server."""

    def remove_backend(self, name: str) -> None:
        """Handle the removal of a backend server's entry."""

    def lose_backend(self, name: str) -> None:
        """Handle an entry that the store may have lost in a restore."""

    def put_member(self, address: str, zone: str, region: str) -> None:
        """Handle a new or changed entry of a node."""


class StoreItemDispatcher:
    """Decodes changed items by key and passes them to a receiver.

    An item that is not valid is logged and has no other effect.

    Parameters
    ----------
    receiver : Receiver
        Called with the decoded documents.
    ignored_items : IgnoredItems, optional
        Records the items that are not valid.

    """

    def __init__(
        self,
        receiver: Receiver,
        ignored_items: IgnoredItems | None = None,
    ) -> None:
        """Store the parameters and start without evacuated zones."""
        self.receiver = receiver
        self.ignored_items = ignored_items or IgnoredItems()
        self._evacuated: frozenset[str] = frozenset()

    def dispatch(self, item: MirrorItem) -> None:
        """Decode a changed item and pass it to the receiver.

        It raises no error, so that the items after this one are handled.
        """
        with survive(f'item {item.key[:MAX_KEY_CHARACTERS]}'):
            try:
                self._dispatch(item)
            except InputError as error:
                self.ignored_items.record(item.key, error)

    def dispatch_loss(self, key: str) -> None:
        """Pass on that the store may have lost an item in a restore."""
        if key.startswith(REGISTRY_PREFIX):
            self.receiver.lose_backend(key.removeprefix(REGISTRY_PREFIX))

    def encode_member(self, address: str, zone: str, region: str) -> bytes:
        """Return the content of a node's entry."""
        return msgspec.json.encode(Member(address, zone, region))

    def build_member_key(self, address: str) -> str:
        """Return the key of a node's entry."""
        return f'{MEMBER_PREFIX}{address}'

    def _dispatch(self, item: MirrorItem) -> None:
        if item.key == CONFIGURATION_KEY:
            self._handle_configuration(item)
        elif item.key.startswith(EVACUATION_PREFIX):
            self._handle_evacuation(item)
        elif item.key.startswith(REGISTRY_PREFIX):
            self._handle_backend(item)
        elif item.key.startswith(MEMBER_PREFIX):
            self._handle_member(item)

    def _handle_configuration(self, item: MirrorItem) -> None:
        if item.content is not None:
            decoded = decode_configuration(item.content)
            origin = ConfigurationOrigin(item.revision)
            for part in decoded.unreadable:
                self.ignored_items.record_part(part)
            self.receiver.put_configuration(replace(decoded, origin=origin))

    def _handle_member(self, item: MirrorItem) -> None:
        if item.content is not None:
            member = decode_member(item.content)
            self.receiver.put_member(member.ip, member.zone, member.region)

    def _handle_evacuation(self, item: MirrorItem) -> None:
        zone = item.key.removeprefix(EVACUATION_PREFIX)
        if item.content is None:
            self._evacuated -= {zone}
        else:
            self._evacuated |= {zone}
        self.receiver.replace_evacuated(self._evacuated)

    def _handle_backend(self, item: MirrorItem) -> None:
        name = item.key.removeprefix(REGISTRY_PREFIX)
        if item.content is None:
            self.receiver.remove_backend(name)
        else:
            self.receiver.put_backend(decode_backend(name, item.content))
