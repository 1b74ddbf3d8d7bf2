"""Client of the platform's VM list over HTTP.

``GET`` of the list's URL answers a JSON array of objects with ``name``,
``address`` and ``leaving``.
"""

from urllib.parse import urlsplit

from pydantic import TypeAdapter
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from sesameroute.adapters._http_pool import build_pool
from sesameroute.exceptions import StoreUnreachableError
from sesameroute.ports import ListedVm, Wire

__all__ = ['HttpVmList']

_CONNECT_SECONDS = 1.0
_OK = 200
_VM_LIST_ADAPTER = TypeAdapter(tuple[ListedVm, ...])


class HttpVmList:
    """Client of the VM list; implements `ports.VmList`.

    Parameters
    ----------
    url : str
        ``http://ADDRESS:PORT/PATH`` of the list.
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    timeout : float
        Seconds to wait for an answer.

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
        self._parts = urlsplit(url)
        target = (self._parts.hostname, self._parts.port)
        self._pool = build_pool(wire, source, target, 1)

    def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list.

        Raises
        ------
        StoreUnreachableError
            The list could not be read or is not valid.

        """
        limits = Timeout(connect=_CONNECT_SECONDS, read=self.timeout)
        path = self._parts.path or '/'
        try:
            answer = self._pool.urlopen('GET', path, timeout=limits)
        except (HTTPError, OSError) as error:
            raise StoreUnreachableError(
                f'could not read the VM list: {error}'
            ) from error
        if answer.status != _OK:
            raise StoreUnreachableError(f'VM list answered {answer.status}')
        return _parse(answer.data)


def _parse(document: bytes) -> tuple[ListedVm, ...]:
    try:
        return _VM_LIST_ADAPTER.validate_json(document)
    except ValueError as error:
        raise StoreUnreachableError(f'VM list is not valid: {error}') from error
