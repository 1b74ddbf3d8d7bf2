"""Reader and writer of the platform's HTTP headers."""

import math
import re
from collections.abc import Iterator
from http import HTTPStatus

from sesameroute.forward import AnswerMetadata, HeaderCodec, RequestMetadata
from sesameroute.placement import ServerLoad
from sesameroute.platform._names import (
    AFFINITY_HEADER,
    API_KEY_HEADER,
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    EXPECTED_INSTANCE_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    PAUSE_HEADER,
    SEAL_HEADER,
    TENANT_HEADER,
)
from sesameroute.ports import Answer, Headers
from sesameroute.registry import MAX_PAUSE_SECONDS

__all__ = ['PlatformHeaderCodec']

_MILLISECONDS = 1000
_MISDIRECTED = 421  # HTTP status `Misdirected Request`
# Larger numbers are not valid.
_WHOLE_NUMBER = re.compile('[0-9]{1,15}')
_SECONDS = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')
# The load header has the fields `running,waiting,slots` and, from servers that
# say how fast they work, `pace` in percent of the usual time.
_COUNT_FIELDS = 3
_ALL_LOAD_FIELDS = 4
_PERCENT = 100
_IS_LEAVING = '1'  # the only valid value of that header
# Headers that a node replaces instead of forwarding.
_PER_HOP_HEADERS = frozenset(
    (DEADLINE_HEADER.lower(), EXPECTED_INSTANCE_HEADER.lower())
)
# Headers that no backend server gets from a caller if there are tenants.
_TENANT_HEADERS = frozenset((API_KEY_HEADER.lower(), TENANT_HEADER.lower()))


class PlatformHeaderCodec(HeaderCodec):
    """Implements `HeaderCodec` with the platform's headers."""

    def read_request_metadata(self, headers: Headers) -> RequestMetadata:
        """Return identifier, affinity key and deadline of a request."""
        by_name = _index_headers(headers)
        return RequestMetadata(
            by_name.get(ATTEMPT_HEADER.lower(), ''),
            by_name.get(AFFINITY_HEADER.lower(), ''),
            _parse_deadline(by_name.get(DEADLINE_HEADER.lower(), '')),
            tuple(_list_keys(headers)),
        )

    def build_backend_headers(self, seconds: float, backend: str) -> Headers:
        """Return the headers that a node sets towards a backend server.

        Parameters
        ----------
        seconds : float
            Time left until the deadline.
        backend : str
            Name of the backend server that is to run the request.

        """
        return (
            *self.build_deadline_header(seconds),
            (EXPECTED_INSTANCE_HEADER, backend),
        )

    def build_deadline_header(self, seconds: float) -> Headers:
        """Return the header with the time left until the deadline."""
        milliseconds = max(int(seconds * _MILLISECONDS), 1)
        return ((DEADLINE_HEADER, str(milliseconds)),)

    def is_replaced_per_hop(self, name: str) -> bool:
        """Return whether a node replaces this header itself."""
        return name.lower() in _PER_HOP_HEADERS

    def is_of_tenants(self, name: str) -> bool:
        """Return whether a header tells whose a request is."""
        return name.lower() in _TENANT_HEADERS

    def build_tenant_headers(self, tenant: str) -> Headers:
        """Return the header with the tenant's name, if there is one."""
        return ((TENANT_HEADER, tenant),) if tenant else ()

    def read_answer_metadata(self, answer: Answer) -> AnswerMetadata:
        """Return what the headers and the status of an answer indicate."""
        by_name = _index_headers(answer.headers)
        is_misdirected = answer.status == _MISDIRECTED
        load = _parse_load(by_name.get(LOAD_HEADER.lower(), ''))
        return AnswerMetadata(
            by_name.get(ATTEMPT_HEADER.lower(), ''),
            is_misdirected or NOT_RUN_HEADER.lower() in by_name,
            is_misdirected,
            SEAL_HEADER.lower() in by_name,
            -1 if load is None else load.waiting,
            _parse_limit(by_name.get(LIMIT_HEADER.lower(), '')),
            by_name.get(LEAVING_HEADER.lower(), '').strip() == _IS_LEAVING,
            load,
            _read_pause(answer.status, by_name),
        )


def _read_pause(status: int, by_name: dict[str, str]) -> float:
    """Return for how many seconds a server wants no requests; 0 if it may.

    Dates, signs, exponents and words say nothing.

    Examples
    --------
    >>> _read_pause(503, {'retry-after': '2.5'}), _read_pause(503, {})
    (2.5, 0)
    >>> _read_pause(200, {'retry-after': '2'})
    0

    """
    text = by_name.get(PAUSE_HEADER.lower(), '').strip()
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0
    if not _SECONDS.fullmatch(text):
        return 0
    return min(float(text), MAX_PAUSE_SECONDS)


def _index_headers(headers: Headers) -> dict[str, str]:
    return {name.lower(): text for name, text in headers}


def _list_keys(headers: Headers) -> Iterator[str]:
    """Yield each key; bytes that are no text match none."""
    for name, text in headers:
        if name.lower() == API_KEY_HEADER.lower():
            yield text.encode('latin-1', 'replace').decode('utf-8', 'replace')


def _parse_deadline(text: str) -> float | None:
    """Return a deadline in seconds, None if it is not valid."""
    if not _WHOLE_NUMBER.fullmatch(text):
        return None
    return int(text) / _MILLISECONDS


def _parse_limit(text: str) -> float | None:
    """Return a limit in requests per second, None if it is not valid.

    Examples
    --------
    >>> _parse_limit('7.1'), _parse_limit('0'), _parse_limit('-1')
    (7.1, 0.0, None)
    >>> _parse_limit('nan'), _parse_limit('1e999'), _parse_limit('many')
    (None, None, None)

    """
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None


def _parse_load(text: str) -> ServerLoad | None:
    """Return what a load header says, None if its counts are not valid.

    Examples
    --------
    >>> _parse_load('3,2,8,250').pace, _parse_load('3,2,8').waiting
    (2.5, 2)
    >>> _parse_load('3,2,8,nan').pace, _parse_load('busy')
    (0.0, None)

    """
    counts = [field.strip() for field in text.split(',')]
    pace: float = 0
    if len(counts) == _ALL_LOAD_FIELDS:
        pace = (_parse_limit(counts.pop()) or 0) / _PERCENT
    if len(counts) != _COUNT_FIELDS:
        return None
    if not all(map(_WHOLE_NUMBER.fullmatch, counts)):
        return None
    return ServerLoad(*map(int, counts), pace)
