"""Client of the platform's key-value service over HTTP.

``GET /kv/{key}`` answers 200 with the headers ``Store-Revision`` and ``ETag``,
or 404. With ``?after=REVISION&wait=SECONDS`` it waits for a later revision and
answers 204 if there was none in time; with ``If-None-Match: TAG`` beside, it
waits for a value with another entity tag, whatever its revision. The tags of
two values differ also if a restored store gave both the same revision.
``PUT /kv/{key}`` with ``If-Match: REVISION`` or ``If-Match: TAG`` replaces the
value if it has that revision or tag, and answers 412 otherwise.
``PUT /lease/{key}?holder=H&seconds=S`` takes or renews a lease, and answers
409 if another holder has it.
"""

import re
from urllib.parse import quote, urlencode, urlsplit

from urllib3 import BaseHTTPResponse, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from sesameroute.adapters._http_pool import build_pool
from sesameroute.exceptions import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnreachableError,
)
from sesameroute.ports import StoredValue, Wire

__all__ = ['HttpStore']

_CONNECT_SECONDS = 1.0
_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404
_CONFLICT = 409
_PRECONDITION_FAILED = 412
_UNAVAILABLE = 503
_TAG_PATTERN = re.compile('"[!#-~]*"')


class HttpStore:
    """Client of the key-value service; implements `ports.Store`.

    Parameters
    ----------
    url : str
        ``http://ADDRESS:PORT`` of the service.
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    timeout : float
        Seconds to wait for an answer, in addition to the wait of `watch`.

    Examples
    --------
    >>> from sesameroute.ports import TcpWire
    >>> store = HttpStore('http://127.0.0.1:9', TcpWire(), '127.0.0.1')
    >>> store.read('statement')
    Traceback (most recent call last):
    ...
    sesameroute.exceptions.StoreUnreachableError: could not connect to the ...

    """

    def __init__(
        self,
        url: str,
        wire: Wire,
        source: str,
        timeout: float = 2.0,
    ) -> None:
        """Store the parameters and build the connection pool."""
        self.url = url
        self.wire = wire
        self.source = source
        self.timeout = timeout
        parts = urlsplit(url)
        self._pool = build_pool(wire, source, (parts.hostname, parts.port))

    def read(self, key: str) -> StoredValue | None:
        """Return the value, or None if there is none.

        Raises
        ------
        StoreUnreachableError
            The store could not be read.

        """
        return self._get(_format_path('kv', key), self.timeout)

    def swap(
        self,
        key: str,
        content: bytes,
        revision: int,
        tag: str = '',
    ) -> StoredValue:
        """Replace the value if it has `tag`.

        Without a tag, replace it if it has `revision`; 0 stands for no value
        yet.

        Raises
        ------
        ConflictError
            The value has another tag or revision; nothing took effect.
        StoreUnreachableError
            The store could not be reached; nothing took effect.
        StoreOutcomeUnknownError
            No valid answer arrived; the write may have taken effect.

        """
        path = _format_path('kv', key)
        answer = self._put(path, content, {'If-Match': tag or str(revision)})
        if answer.status == _PRECONDITION_FAILED:
            raise ConflictError(f'{key} is no longer at revision {revision}')
        if answer.status != _OK:
            raise StoreOutcomeUnknownError(
                f'store answered {answer.status} to {path}'
            )
        return StoredValue(content, _read_revision(answer), _read_tag(answer))

    def watch(
        self,
        key: str,
        revision: int,
        timeout: float,
        tag: str = '',
    ) -> StoredValue | None:
        """Wait for another tag than `tag`; return None after `timeout`.

        Without a tag, wait for a revision above `revision`.

        Raises
        ------
        StoreUnreachableError
            The store could not be read.

        """
        query = urlencode({'after': revision, 'wait': timeout})
        path = _format_path('kv', key)
        headers = {'If-None-Match': tag} if tag else {}
        return self._get(f'{path}?{query}', self.timeout + timeout, headers)

    def lease(self, key: str, holder: str, seconds: float) -> bool:
        """Take or renew a lease; return whether `holder` has it.

        Raises
        ------
        StoreUnreachableError
            The store could not be reached; nothing took effect.
        StoreOutcomeUnknownError
            No valid answer arrived; the lease may have been taken.

        """
        query = urlencode({'holder': holder, 'seconds': seconds})
        path = _format_path('lease', key)
        answer = self._put(f'{path}?{query}', b'', {})
        if answer.status not in {_OK, _CONFLICT}:
            raise StoreOutcomeUnknownError(
                f'store answered {answer.status} to {path}'
            )
        return answer.status == _OK

    def _get(
        self,
        path: str,
        timeout: float,
        headers: dict[str, str] | None = None,
    ) -> StoredValue | None:
        try:
            answer = self._send('GET', path, timeout=timeout, headers=headers)
        except StoreOutcomeUnknownError as error:
            raise StoreUnreachableError(error.message) from error
        if answer.status in {_NOT_FOUND, _NO_CONTENT}:
            return None
        if answer.status != _OK:
            raise StoreUnreachableError(
                f'store answered {answer.status} to {path}'
            )
        return StoredValue(
            answer.data, _read_revision(answer), _read_tag(answer)
        )

    def _put(
        self,
        path: str,
        content: bytes,
        headers: dict[str, str],
    ) -> BaseHTTPResponse:
        return self._send(
            'PUT',
            path,
            timeout=self.timeout,
            body=content,
            headers=headers,
        )

    def _send(
        self,
        method: str,
        path: str,
        timeout: float,
        **options: object,
    ) -> BaseHTTPResponse:
        limits = Timeout(connect=_CONNECT_SECONDS, read=timeout)
        try:
            answer = self._pool.urlopen(method, path, timeout=limits, **options)
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise StoreUnreachableError(
                f'could not connect to the store: {error}'
            ) from error
        except (HTTPError, OSError) as error:
            raise StoreOutcomeUnknownError(
                f'no valid answer from the store: {error}'
            ) from error
        if answer.status == _UNAVAILABLE:
            raise StoreUnreachableError(f'store answered {_UNAVAILABLE}')
        return answer


def _format_path(kind: str, key: str) -> str:
    return f'/{kind}/{quote(key, safe="")}'


def _read_revision(answer: BaseHTTPResponse) -> int:
    try:
        return int(answer.headers['Store-Revision'])
    except (KeyError, ValueError) as error:
        raise StoreOutcomeUnknownError(
            'store answered without a valid Store-Revision'
        ) from error


def _read_tag(answer: BaseHTTPResponse) -> str:
    tag = answer.headers.get('ETag', '')
    return tag if _TAG_PATTERN.fullmatch(tag) else ''
