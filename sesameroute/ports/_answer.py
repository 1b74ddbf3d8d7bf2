"""HTTP answers while they are passed on to callers."""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ['Answer', 'Headers']

Headers = tuple[tuple[str, str], ...]


@dataclass(slots=True)
class Answer:
    """An HTTP answer whose body is read while it is passed on.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        Names and values.
    chunks : iterator of bytes
        The body; raises RequestError if the connection ends before it does.
    length : int or None
        Length of the body in bytes, if known.

    """

    status: int
    headers: Headers = ()
    chunks: Iterator[bytes] = field(default_factory=lambda: iter(()))
    length: int | None = None
