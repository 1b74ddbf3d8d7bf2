"""Types of the values in a statement, with their allowed ranges."""

from typing import Annotated

from pydantic import (
    BeforeValidator,
    Field,
    IPvAnyAddress,
    PlainSerializer,
)

__all__ = [
    'Address',
    'ByteCount',
    'FractionBelowOne',
    'Milliseconds',
    'Name',
    'NameList',
    'NonNegative',
    'Port',
    'PositiveCount',
    'PositiveFraction',
    'PositiveMilliseconds',
    'PositiveNumber',
]

_MAX_PORT = 65_535
_MAX_DURATION_MS = 3_600_000  # one hour
_MAX_BYTES = 1_000_000_000
_MAX_COUNT = 1_000_000
_MAX_NUMBER = 1e12


def _split_names(text: object) -> object:
    """Split a comma-separated list; pass other types on to pydantic."""
    if not isinstance(text, str):
        return text
    return tuple(name.strip() for name in text.split(','))


Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
NameList = Annotated[
    tuple[Name, ...],
    BeforeValidator(_split_names),
    Field(min_length=1),
]
Address = Annotated[IPvAnyAddress, PlainSerializer(str)]
Port = Annotated[int, Field(ge=1, le=_MAX_PORT)]
PositiveCount = Annotated[int, Field(ge=1, le=_MAX_COUNT)]
PositiveNumber = Annotated[
    float, Field(gt=0, le=_MAX_NUMBER, allow_inf_nan=False)
]
NonNegative = Annotated[float, Field(ge=0, le=_MAX_NUMBER, allow_inf_nan=False)]
Milliseconds = Annotated[int, Field(ge=0, le=_MAX_DURATION_MS)]
PositiveMilliseconds = Annotated[int, Field(ge=1, le=_MAX_DURATION_MS)]
PositiveFraction = Annotated[float, Field(gt=0, le=1, allow_inf_nan=False)]
FractionBelowOne = Annotated[float, Field(ge=0, lt=1, allow_inf_nan=False)]
ByteCount = Annotated[int, Field(ge=0, le=_MAX_BYTES)]
