"""Types of the keys of a statement, with their limits."""

from typing import Annotated

from pydantic import (
    BeforeValidator,
    Field,
    IPvAnyAddress,
    PlainSerializer,
)

__all__ = [
    'Address',
    'Amount',
    'Bytes',
    'Count',
    'Deadline',
    'Fraction',
    'Milliseconds',
    'Name',
    'Names',
    'Part',
    'Port',
    'Positive',
]

_LAST_PORT = 65_535
_HOUR_MS = 3_600_000
_MOST_BYTES = 1_000_000_000
_MOST_COUNT = 1_000_000
_MOST_AMOUNT = 1e12


def _split_names(text: object) -> object:
    """Split a comma-separated list; leave other types to pydantic."""
    if not isinstance(text, str):
        return text
    return tuple(name.strip() for name in text.split(','))


Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Names = Annotated[
    tuple[Name, ...],
    BeforeValidator(_split_names),
    Field(min_length=1),
]
Address = Annotated[IPvAnyAddress, PlainSerializer(str)]
Port = Annotated[int, Field(ge=1, le=_LAST_PORT)]
Count = Annotated[int, Field(ge=1, le=_MOST_COUNT)]
Positive = Annotated[float, Field(gt=0, le=_MOST_AMOUNT, allow_inf_nan=False)]
Amount = Annotated[float, Field(ge=0, le=_MOST_AMOUNT, allow_inf_nan=False)]
Milliseconds = Annotated[int, Field(ge=0, le=_HOUR_MS)]
Deadline = Annotated[int, Field(ge=1, le=_HOUR_MS)]
Part = Annotated[float, Field(gt=0, le=1, allow_inf_nan=False)]
Fraction = Annotated[float, Field(ge=0, lt=1, allow_inf_nan=False)]
Bytes = Annotated[int, Field(ge=0, le=_MOST_BYTES)]
