"""Client of the platform's metadata store."""

import base64
import json
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
    StoreOutcomeUnknownError,
    StoreUnreachableError,
)
from sesameroute.mirror import HistoryLostError, MirrorUpdate
from sesameroute.platform._calls import (
    LeaseAnswer,
    Page,
    TransactionAnswer,
    WatchAnswer,
    decode_answer,
)
from sesameroute.platform._ignored_items import IgnoredItems
from sesameroute.platform._items import convert_items
from sesameroute.ports import Wire

__all__ = ['LeaseLostError', 'PlatformStore']

_TIMEOUT_SECONDS = 1.0  # for an answer, in addition to the wait of a watch
_MILLISECONDS = 1000
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
_UNAVAILABLE_STATUSES = frozenset((429, 503))
_JSON_HEADERS = (('Content-Type', 'application/json'),)
_ALL_KEYS = ''  # key prefix; one watch covers all keys of the store


class LeaseLostError(ConflictError):
    """The lease has expired or has been ended."""

    code = 'lease-lost'


def _ignore_call(_name: str, _result: str) -> None:
    """Do nothing; default of `on_call`."""


class PlatformStore:
    """HTTP client of the store; implements `mirror.StoreReader`.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port of the store.
    wire : Wire
        Factory of the TCP connections.
    source_ip : str
        Local IP address to bind.
    on_call : callable
        Called after each call with the name of the call and its result: the
        HTTP status, ``down`` if the store could not be reached, or
        ``unknown`` if the call may have taken effect.
    ignored_items : IgnoredItems, optional
        Records the items that are not valid.

    """

    def __init__(
        self,
        address: tuple[str, int],
        wire: Wire,
        source_ip: str,
        on_call: Callable[[str, str], None] = _ignore_call,
        ignored_items: IgnoredItems | None = None,
    ) -> None:
        """Store the parameters and build the connection pool."""
        self.address = address
        self.on_call = on_call
        self.ignored_items = ignored_items or IgnoredItems()
        self._pool = build_pool(wire, source_ip, address, size=2)

    def read_all(self) -> MirrorUpdate:
        """Return all items.

        Items may change while the pages are read. The result therefore has
        the revision of the first page, so that the next watch returns these
        changes.
        """
        pages = list(self._read_pages(_ALL_KEYS))
        items = tuple(
            item
            for page in pages
            for item in convert_items(page.items, self.ignored_items)
        )
        return MirrorUpdate(0, pages[0].current_rev, items)

    def watch(self, revision: int, seconds: float) -> MirrorUpdate:
        """Return the changes after a revision; wait for the first one.

        Raises
        ------
        HistoryLostError
            The store has discarded changes after this revision.
        StoreUnreachableError, StoreOutcomeUnknownError
            The store gave no usable answer.

        """
        query = {
            'path_prefix': _ALL_KEYS,
            'after': revision,
            'wait_ms': int(seconds * _MILLISECONDS),
        }
        path = f'/-/kv-watch?{urlencode(query)}'
        answer = self._call('GET', path, wait=seconds)
        if answer.status == _GONE:
            raise HistoryLostError(f'no history after revision {revision}')
        watch_answer = decode_answer(_check_status(answer, _OK), WatchAnswer)
        items = tuple(convert_items(watch_answer.events, self.ignored_items))
        return MirrorUpdate(revision, watch_answer.current_rev, items)

    def open_lease(self, seconds: float) -> int:
        """Open a lease of this duration; return its identifier."""
        body = {'ttl_ms': int(seconds * _MILLISECONDS)}
        answer = self._call('POST', '/-/kv-lease', body)
        return decode_answer(_check_status(answer, _OK), LeaseAnswer).lease

    def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        Raises
        ------
        LeaseLostError
            The lease has ended.

        """
        answer = self._call('POST', f'/-/kv-keep/{lease}')
        if answer.status == _NOT_FOUND:
            raise LeaseLostError(f'lease {lease} has ended')
        _check_status(answer, _OK)

    def end_lease(self, lease: int) -> None:
        """End a lease; the store removes the keys that were put under it."""
        self._call('DELETE', f'/-/kv-lease-end/{lease}')

    def put(self, key: str, content: bytes, lease: int = 0) -> int:
        """Write a key; return the store's revision after the write.

        Parameters
        ----------
        key : str
            Key to write.
        content : bytes
            Value of the key.
        lease : int, optional
            Lease with whose end the key is removed; 0 for none.

        Raises
        ------
        LeaseLostError
            The lease has ended; nothing was written.
        ConflictError
            The key has another revision; nothing was written.
        StoreUnreachableError
            The store was not reached or is busy; nothing was written.
        StoreOutcomeUnknownError
            No usable answer; the key may have been written.

        """
        new_item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'lease': lease,
        }
        body = {'precondition': [], 'puts': [new_item], 'remove': []}
        answer = self._call('POST', '/-/kv-txn', body)
        if answer.status == _NOT_FOUND:
            raise LeaseLostError(f'lease {lease} has ended')
        if answer.status == _PRECONDITION_FAILED:
            raise ConflictError(f'{key} has another revision')
        return decode_answer(
            _check_status(answer, _OK), TransactionAnswer
        ).revision

    def _read_pages(self, prefix: str) -> Iterator[Page]:
        after = ''
        while True:
            query = {'path_prefix': prefix, 'after': after}
            answer = self._call('GET', f'/-/kv-range?{urlencode(query)}')
            page = decode_answer(_check_status(answer, _OK), Page)
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
                headers=dict(_JSON_HEADERS),
                timeout=_TIMEOUT_SECONDS + wait,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            self.on_call(name, 'down')
            raise StoreUnreachableError(
                f'store was not reached: {error}'
            ) from error
        except (HTTPError, OSError) as error:
            self.on_call(name, 'unknown')
            raise StoreOutcomeUnknownError(
                f'store sent no answer: {error}'
            ) from error
        self.on_call(name, str(answer.status))
        return answer


def _check_status(answer: BaseHTTPResponse, status: int) -> bytes:
    if answer.status == status:
        return answer.data
    text = f'store answered {answer.status}'
    if answer.status in _UNAVAILABLE_STATUSES:
        raise StoreUnreachableError(text)
    raise StoreOutcomeUnknownError(text)
