"""Order of the documents in the store, by what they say of themselves."""

import msgspec

from sesameroute.mirror import MirrorItem
from sesameroute.platform._names import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    REGISTRY_PREFIX,
)

__all__ = ['PlatformDocumentOrder']

_VERSION_BASE = 16  # versions are hexadecimal numbers


class _ConfigurationStamp(msgspec.Struct):
    version: str


class _BackendStamp(msgspec.Struct):
    sequence: int
    born: int = 0


class PlatformDocumentOrder:
    """Implements `mirror.DocumentOrder` for the platform's documents."""

    def read_stamp(self, document: MirrorItem) -> tuple[int, ...] | None:
        """Return a stamp that rises with each write of the document's key.

        A configuration has its version, a backend server's entry the time of
        its start and the number of its writes since; evacuations have none.
        """
        try:
            return _decode_stamp(document)
        except (msgspec.MsgspecError, ValueError, RecursionError):
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
        configuration = msgspec.json.decode(
            document.content, type=_ConfigurationStamp
        )
        return (int(configuration.version, _VERSION_BASE),)
    if document.key.startswith(REGISTRY_PREFIX):
        backend = msgspec.json.decode(document.content, type=_BackendStamp)
        return backend.born, backend.sequence
    return None
