"""Types of the fields in the platform's documents, with their ranges.

Any writer may leave a document in the store. The ranges are ones that all
later parts can carry: messages between nodes have integers of 64 bits, time
limits end up in poll(2), and names in headers and log lines.
"""

from typing import Annotated

from msgspec import Meta

from sesameroute.mirror import MAX_REVISION

__all__ = [
    'MAX_ENTRY_BYTES',
    'MAX_KEY_CHARACTERS',
    'Address',
    'Count',
    'Incarnation',
    'Key',
    'Milliseconds',
    'Name',
    'PathPrefix',
    'Rate',
    'Revision',
    'Seconds',
    'Slots',
    'TenantName',
    'Text',
    'TimeLimit',
    'Version',
    'Weight',
]

# Each item but the configuration, so that a copy of the store fits into a
# frame between nodes.
MAX_ENTRY_BYTES = 65_536
MAX_KEY_CHARACTERS = 200
_MAX_NAME_CHARACTERS = 200
_MAX_TEXT_CHARACTERS = 255
_MAX_PATH_CHARACTERS = 4096
_MAX_ADDRESS_CHARACTERS = 64  # IP address and port
_MAX_INTEGER = 9_007_199_254_740_991  # exact as a float, too
_MAX_INCARNATION = 9_223_372_036_854_775_807  # largest one of 64 bits
_MAX_SLOTS = 100_000
_MAX_MILLISECONDS = 2_147_483_647  # longest time-out of poll(2)
_MAX_SECONDS = _MAX_MILLISECONDS / 1000
_MAX_RATE_PER_SECOND = 1e9
_MAX_WEIGHT = 1e9

Count = Annotated[int, Meta(ge=0, le=_MAX_INTEGER)]
Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]
Incarnation = Annotated[int, Meta(ge=0, le=_MAX_INCARNATION)]
Slots = Annotated[int, Meta(ge=1, le=_MAX_SLOTS)]
Milliseconds = Annotated[float, Meta(le=_MAX_MILLISECONDS)]
Seconds = Annotated[float, Meta(ge=0, le=_MAX_SECONDS)]
TimeLimit = Annotated[float, Meta(gt=0, le=_MAX_MILLISECONDS)]
Rate = Annotated[float, Meta(ge=0, le=_MAX_RATE_PER_SECOND)]
Weight = Annotated[float, Meta(le=_MAX_WEIGHT)]
Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_CHARACTERS)]
Name = Annotated[str, Meta(min_length=1, max_length=_MAX_NAME_CHARACTERS)]
# Part of a header: printable ASCII, no space at either end.
TenantName = Annotated[str, Meta(pattern=r'\A[!-~]([ -~]{0,198}[!-~])?\Z')]
Text = Annotated[str, Meta(max_length=_MAX_TEXT_CHARACTERS)]
PathPrefix = Annotated[str, Meta(max_length=_MAX_PATH_CHARACTERS)]
Address = Annotated[str, Meta(max_length=_MAX_ADDRESS_CHARACTERS)]
Version = Annotated[str, Meta(pattern=r'\A[0-9a-fA-F]{1,8}\Z')]
