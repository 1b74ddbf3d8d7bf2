"""Terms and marks in the platform's headers."""

from sesameroute.forward import CallerTerms, Dialect, Marks
from sesameroute.platform._names import (
    AFFINITY_HEADER,
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    EXPECT_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    SEAL_HEADER,
)
from sesameroute.ports import Answer, Headers

__all__ = ['PlatformDialect']

_MILLISECONDS = 1000
_MISDIRECTED = 421
_LOAD_PARTS = 3  # running, waiting, slots
_OWN = frozenset((DEADLINE_HEADER.lower(), EXPECT_HEADER.lower()))


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def read_terms(self, headers: Headers) -> CallerTerms:
        """Return what a caller says of its request."""
        named = _name_headers(headers)
        return CallerTerms(
            named.get(ATTEMPT_HEADER.lower(), ''),
            named.get(AFFINITY_HEADER.lower(), ''),
            _read_seconds(named.get(DEADLINE_HEADER.lower(), '')),
        )

    def write_terms(self, seconds: float, backend: str) -> Headers:
        """Return the headers for a backend server."""
        return (
            (DEADLINE_HEADER, str(max(int(seconds * _MILLISECONDS), 1))),
            (EXPECT_HEADER, backend),
        )

    def is_own(self, name: str) -> bool:
        """Return whether a header is written anew at each hop."""
        return name.lower() in _OWN

    def read_marks(self, answer: Answer) -> Marks:
        """Return what a backend server says beside its answer."""
        named = _name_headers(answer.headers)
        is_misdirected = answer.status == _MISDIRECTED
        return Marks(
            named.get(ATTEMPT_HEADER.lower(), ''),
            is_misdirected or NOT_RUN_HEADER.lower() in named,
            is_misdirected,
            SEAL_HEADER.lower() in named,
            _read_waiting(named.get(LOAD_HEADER.lower(), '')),
        )


def _name_headers(headers: Headers) -> dict[str, str]:
    return {name.lower(): text for name, text in headers}


def _read_seconds(text: str) -> float | None:
    if not text.isdigit():
        return None
    return int(text) / _MILLISECONDS


def _read_waiting(text: str) -> int:
    """Return the length of the queue in a load header, -1 if unreadable.

    Examples
    --------
    >>> _read_waiting('3,2,8'), _read_waiting('busy')
    (2, -1)

    """
    parts = text.split(',')
    if len(parts) != _LOAD_PARTS or not parts[1].strip().isdigit():
        return -1
    return int(parts[1])
