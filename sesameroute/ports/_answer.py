"""Answers on their way to callers."""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ['Answer', 'Headers']

Headers = tuple[tuple[str, str], ...]


@dataclass(slots=True)
class Answer:
    """An answer on its way to the caller.

    Attributes
    ----------
    chunks : iterator of bytes
        The body; raises RequestError when it is cut.
    length : int or None
        Length of the body in bytes, if known.

    """

    status: int
    headers: Headers = ()
    chunks: Iterator[bytes] = field(default_factory=lambda: iter(()))
    length: int | None = None
