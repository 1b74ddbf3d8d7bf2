"""Client of the platform's metadata store."""

import base64
import json
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
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
from sesameroute.mirror import (
    MAX_ERA,
    HistoryLostError,
    MirrorItem,
    MirrorUpdate,
    Position,
)
from sesameroute.platform._calls import (
    LeaseAnswer,
    Page,
    TransactionAnswer,
    WatchAnswer,
    decode_answer,
)
from sesameroute.platform._ignored_items import IgnoredItems
from sesameroute.platform._items import convert_items
from sesameroute.platform._names import ERA_HEADER
from sesameroute.ports import Wire

__all__ = ['Lease', 'LeaseLostError', 'PlatformStore']

_TIMEOUT_SECONDS = 1.0  # for an answer, in addition to the wait of a watch
_MILLISECONDS = 1000
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
_UNAVAILABLE_STATUSES = frozenset((429, 503))
_JSON_HEADERS = (('Content-Type', 'application/json'),)
_MAX_ERA_DIGITS = 16  # longer numbers are out of range, too
_ALL_KEYS = ''  # key prefix; one watch covers all keys of the store

_logger = logging.getLogger(__name__)


class LeaseLostError(ConflictError):
    """The lease has expired or has been ended."""

    code = 'lease-lost'


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store.

    Attributes
    ----------
    number : int
        Its identifier, which is given out again in a later era.
    era : int
        Era of the store in which it was opened.

    """

    number: int
    era: int


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

    Attributes
    ----------
    era_ : int
        Latest known era of the store. It rises when the store is restored
        from a copy; revisions and leases are compared within one era only.
    first_era_ : int
        Era of the first answer; -1 before it.

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
        self.era_ = 0
        self.first_era_ = -1
        self._pool = build_pool(wire, source_ip, address, size=2)

    def read_all(self) -> MirrorUpdate:
        """Return all items.

        Items may change while the pages are read. The result therefore has
        the revision of the first page, so that the next watch returns these
        changes.

        Raises
        ------
        StoreUnreachableError, StoreOutcomeUnknownError
            The store gave no usable answer, or was restored meanwhile.

        """
        pages = list(self._read_pages(_ALL_KEYS))
        first, era = pages[0]
        if any(page_era != era for _page, page_era in pages):
            raise StoreUnreachableError('store was restored meanwhile')
        items = tuple(
            item
            for page, _era in pages
            for item in self._convert_items(page.items, era)
        )
        return MirrorUpdate(0, Position(era, first.current_rev).pack(), items)

    def watch(self, revision: int, seconds: float) -> MirrorUpdate:
        """Return the changes after a revision; wait for the first one.

        Raises
        ------
        HistoryLostError
            The store has discarded changes after this revision.
        StoreUnreachableError, StoreOutcomeUnknownError
            The store gave no usable answer.

        """
        position = Position.unpack(revision)
        self.era_ = max(self.era_, position.era)
        query = {
            'path_prefix': _ALL_KEYS,
            'after': position.revision,
            'wait_ms': int(seconds * _MILLISECONDS),
        }
        path = f'/-/kv-watch?{urlencode(query)}'
        answer = self._call('GET', path, wait=seconds)
        if answer.status == _GONE:
            raise HistoryLostError(f'no history after {position}')
        content = _check_status(answer, _OK)
        era = self._read_era(answer)
        if era != position.era:
            raise HistoryLostError(f'era {era} has no history of {position}')
        watch_answer = decode_answer(content, WatchAnswer)
        items = tuple(self._convert_items(watch_answer.events, era))
        return MirrorUpdate(
            revision, Position(era, watch_answer.current_rev).pack(), items
        )

    def open_lease(self, seconds: float) -> Lease:
        """Open a lease of this duration."""
        body = {'ttl_ms': int(seconds * _MILLISECONDS)}
        answer = self._call('POST', '/-/kv-lease', body)
        content = _check_status(answer, _OK)
        number = decode_answer(content, LeaseAnswer).lease
        return Lease(number, self._read_era(answer))

    def renew_lease(self, lease: Lease) -> None:
        """Renew a lease.

        Raises
        ------
        LeaseLostError
            The lease has ended.

        """
        answer = self._call('POST', f'/-/kv-keep/{lease.number}')
        if answer.status == _NOT_FOUND:
            raise LeaseLostError(f'{lease} has ended')
        _check_status(answer, _OK)
        self._check_lease(lease, answer)

    def end_lease(self, lease: Lease) -> None:
        """End a lease; the store removes the keys that were put under it.

        Raises
        ------
        LeaseLostError
            The store was restored since; the number may be another lease's.

        """
        if self.era_ != lease.era:
            raise LeaseLostError(f'{lease} is of an earlier era')
        self._call('DELETE', f'/-/kv-lease-end/{lease.number}')

    def put(self, key: str, content: bytes, lease: Lease | None = None) -> int:
        """Write a key; return the store's revision after the write.

        Parameters
        ----------
        key : str
            Key to write.
        content : bytes
            Value of the key.
        lease : Lease, optional
            Lease with whose end the key is removed.

        Raises
        ------
        LeaseLostError
            The lease has ended. Nothing was written, or under a lease of a
            later era with the same number.
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
            'lease': lease.number if lease else 0,
        }
        body = {'precondition': [], 'puts': [new_item], 'remove': []}
        answer = self._call('POST', '/-/kv-txn', body)
        if answer.status == _NOT_FOUND:
            raise LeaseLostError(f'{lease} has ended')
        if answer.status == _PRECONDITION_FAILED:
            raise ConflictError(f'{key} has another revision')
        content = _check_status(answer, _OK)
        if lease:
            self._check_lease(lease, answer)
        return decode_answer(content, TransactionAnswer).revision

    def _convert_items(self, items: list, era: int) -> Iterator[MirrorItem]:
        """Yield the valid items, with their positions as revisions."""
        for item in convert_items(items, self.ignored_items):
            position = Position(era, item.revision)
            yield replace(item, revision=position.pack())

    def _check_lease(self, lease: Lease, answer: BaseHTTPResponse) -> None:
        """Raise LeaseLostError if the store was restored since."""
        if self._read_era(answer) != lease.era:
            raise LeaseLostError(f'{lease} is of an earlier era')

    def _read_pages(self, prefix: str) -> Iterator[tuple[Page, int]]:
        """Yield the pages of a listing, each with the era of its answer."""
        after = ''
        while True:
            query = {'path_prefix': prefix, 'after': after}
            answer = self._call('GET', f'/-/kv-range?{urlencode(query)}')
            page = decode_answer(_check_status(answer, _OK), Page)
            yield page, self._read_era(answer)
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
        self.era_ = max(self.era_, self._read_era(answer))
        if self.first_era_ < 0:
            self.first_era_ = self.era_
        return answer

    def _read_era(self, answer: BaseHTTPResponse) -> int:
        """Return the era of an answer; the latest known one if not named."""
        text = answer.headers.get(ERA_HEADER)
        if text is None:
            return self.era_
        try:
            era = int(text[:_MAX_ERA_DIGITS])
        except ValueError:
            era = -1
        if not 0 <= era <= MAX_ERA:
            _logger.warning(
                'era not valid', extra={'era': text[:_MAX_ERA_DIGITS]}
            )
            return self.era_
        return era


def _check_status(answer: BaseHTTPResponse, status: int) -> bytes:
    if answer.status == status:
        return answer.data
    text = f'store answered {answer.status}'
    if answer.status in _UNAVAILABLE_STATUSES:
        raise StoreUnreachableError(text)
    raise StoreOutcomeUnknownError(text)
