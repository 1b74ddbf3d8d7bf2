"""Client of the platform's metadata store."""

import base64
import json
import logging
from collections.abc import Callable, Iterator
from urllib.parse import urlencode

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from sesameroute.adapters import build_pool
from sesameroute.exceptions import (
    ConflictError,
    StoreDownError,
    StoreUnknownError,
)
from sesameroute.mirror import HistoryLostError, MirrorItem, MirrorNews
from sesameroute.platform._calls import (
    Changes,
    Leased,
    Page,
    Written,
    convert_item,
    decode_answer,
)
from sesameroute.ports import Wire

__all__ = ['LeaseLostError', 'PlatformStore']

_TIMEOUT_SECONDS = 1.0  # for an answer, beside the wait of a watch
_MILLISECONDS = 1000
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
_UNAVAILABLE = frozenset((429, 503))
_JSON = (('Content-Type', 'application/json'),)
_EVERYTHING = ''  # one watch covers all prefixes

_logger = logging.getLogger(__name__)


class LeaseLostError(ConflictError):
    """The lease has ended."""

    code = 'lease-lost'


def _ignore_call(_name: str, _result: str) -> None:
    """Count nothing."""


class PlatformStore:
    """Reads, watches and writes the store; implements `mirror.Source`.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port of the store.
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    on_call : callable
        Called with the name and the result of each call.

    """

    def __init__(
        self,
        address: tuple[str, int],
        wire: Wire,
        source: str,
        on_call: Callable[[str, str], None] = _ignore_call,
    ) -> None:
        """Store the parameters and prepare the pool."""
        self.address = address
        self.on_call = on_call
        self._pool = build_pool(wire, source, address, size=2)

    def read_all(self) -> MirrorNews:
        """Return all items.

        Pages are not a snapshot: the first page's revision counts, and
        what changed meanwhile comes with the next watch.
        """
        pages = list(self._read_pages(_EVERYTHING))
        items = tuple(
            item for page in pages for item in _convert_items(page.items)
        )
        return MirrorNews(0, pages[0].current_rev, items)

    def watch(self, revision: int, seconds: float) -> MirrorNews:
        """Return the changes after a revision; wait for the first.

        Raises
        ------
        HistoryLostError
            The store has dropped this part of its history.
        StoreDownError, StoreUnknownError
            There is no answer to use.

        """
        query = {
            'path_prefix': _EVERYTHING,
            'after': revision,
            'wait_ms': int(seconds * _MILLISECONDS),
        }
        path = f'/-/kv-watch?{urlencode(query)}'
        answer = self._call('GET', path, wait=seconds)
        if answer.status == _GONE:
            raise HistoryLostError(f'no history after revision {revision}')
        changes = decode_answer(_expect(answer, _OK), Changes)
        items = tuple(_convert_items(changes.events))
        return MirrorNews(revision, changes.current_rev, items)

    def open_lease(self, seconds: float) -> int:
        """Return the identifier of a new lease."""
        body = {'ttl_ms': int(seconds * _MILLISECONDS)}
        answer = self._call('POST', '/-/kv-lease', body)
        return decode_answer(_expect(answer, _OK), Leased).lease

    def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseLostError when it has ended."""
        answer = self._call('POST', f'/-/kv-keep/{lease}')
        if answer.status == _NOT_FOUND:
            raise LeaseLostError(f'lease {lease} has ended')
        _expect(answer, _OK)

    def end_lease(self, lease: int) -> None:
        """End a lease and with it its keys."""
        self._call('DELETE', f'/-/kv-lease-end/{lease}')

    def put(self, key: str, content: bytes, lease: int = 0) -> int:
        """Write a key under a lease; return the store's revision."""
        written = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'lease': lease,
        }
        body = {'precondition': [], 'puts': [written], 'remove': []}
        answer = self._call('POST', '/-/kv-txn', body)
        if answer.status == _NOT_FOUND:
            raise LeaseLostError(f'lease {lease} has ended')
        if answer.status == _PRECONDITION_FAILED:
            raise ConflictError(f'{key} has another revision')
        return decode_answer(_expect(answer, _OK), Written).revision

    def _read_pages(self, prefix: str) -> Iterator[Page]:
        after = ''
        while True:
            query = {'path_prefix': prefix, 'after': after}
            answer = self._call('GET', f'/-/kv-range?{urlencode(query)}')
            page = decode_answer(_expect(answer, _OK), Page)
            yield page
            if not page.has_more or not page.items:
                return
            after = page.items[-1].key

    def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        wait: float = 0,
    ) -> BaseHTTPResponse:
        name = path.partition('?')[0].split('/')[2]
        try:
            answer = self._pool.urlopen(
                method,
                path,
                body=None if body is None else json.dumps(body).encode(),
                headers=dict(_JSON),
                timeout=_TIMEOUT_SECONDS + wait,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            self.on_call(name, 'down')
            raise StoreDownError(f'store was not reached: {error}') from error
        except (HTTPError, OSError) as error:
            self.on_call(name, 'unknown')
            raise StoreUnknownError(f'store sent no answer: {error}') from error
        self.on_call(name, str(answer.status))
        return answer


def _expect(answer: BaseHTTPResponse, status: int) -> bytes:
    if answer.status == status:
        return answer.data
    text = f'store answered {answer.status}'
    if answer.status in _UNAVAILABLE:
        raise StoreDownError(text)
    raise StoreUnknownError(text)


def _convert_items(wires: list) -> Iterator[MirrorItem]:
    """Yield the items that can be read; the others are logged."""
    for wire in wires:
        try:
            yield convert_item(wire)
        except StoreUnknownError as error:
            _logger.warning('item ignored', extra={'why': error.message})
