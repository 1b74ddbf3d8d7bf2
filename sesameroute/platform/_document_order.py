"""Order of the documents in the store, by what they say of themselves."""

import msgspec

from sesameroute.exceptions import InputError
from sesameroute.mirror import MirrorItem
from sesameroute.platform._documents import decode_configuration
from sesameroute.platform._entries import decode_backend
from sesameroute.platform._field_types import Count
from sesameroute.platform._names import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    REGISTRY_PREFIX,
)

__all__ = ['PlatformDocumentOrder']


class _BackendStamp(msgspec.Struct):
    sequence: Count


class PlatformDocumentOrder:
    """Implements `mirror.DocumentOrder` for the platform's documents."""

    def read_stamp(self, document: MirrorItem) -> tuple[int, ...] | None:
        """Return a stamp that rises with each write of the document's key.

        A configuration has its version, a backend server's entry the time of
        its start and the number of its writes since; evacuations and
        documents that are not valid have none.
        """
        try:
            return _decode_stamp(document)
        except InputError:
            return None  # the document is ignored, which is logged there

    def is_durable(self, key: str) -> bool:
        """Whether an item outlives a restore without it.

        Operators' orders do; servers and nodes write their entries again.
        """
        return key.startswith(OPERATOR_PREFIX)


def _decode_stamp(document: MirrorItem) -> tuple[int, ...] | None:
    if document.content is None:
        return None
    if document.key == CONFIGURATION_KEY:
        return (decode_configuration(document.content).version,)
    if document.key.startswith(REGISTRY_PREFIX):
        name = document.key.removeprefix(REGISTRY_PREFIX)
        backend = decode_backend(name, document.content)
        stamp = msgspec.json.decode(document.content, type=_BackendStamp)
        return backend.incarnation, stamp.sequence
    return None
