"""The entry VMs as an operator asks them."""

from collections.abc import Collection, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Annotated, Any
from urllib.parse import quote

import urllib3
from pydantic import BaseModel, ConfigDict, Field

__all__ = ['Fleet', 'FleetView', 'list_urls']

_THREADS = 16
_MOST_BYTES = 4_000_000  # of a page
_OK = 200
_LAST_VERSION = 1_000_000_000_000_000


class Page(BaseModel):
    """A page of an entry VM; fields beside these are only shown."""

    model_config = ConfigDict(extra='allow', frozen=True)

    vm: str = ''
    version: Annotated[int, Field(ge=0, le=_LAST_VERSION)] = 0


@dataclass(frozen=True, slots=True)
class FleetView:
    """What was heard from the entry VMs.

    Attributes
    ----------
    answers : list of mapping
        A page of each VM that answered, its name in `vm`.
    missing : mapping of str to str
        Reason by name of each VM that did not.

    """

    answers: list[Mapping[str, Any]] = field(default_factory=list)
    missing: dict[str, str] = field(default_factory=dict)

    def list_behind(self, version: int) -> list[str]:
        """Return the VMs that answered with an older version."""
        return [
            answer['vm']
            for answer in self.answers
            if answer.get('version', 0) < version
        ]


class Fleet:
    """Asks the operators' pages of all entry VMs at once.

    Parameters
    ----------
    urls : mapping of str to str
        ``http://ADDRESS:PORT`` by VM name.
    token : str
        Bearer token of the pages.
    timeout : float
        Seconds to wait for one page.

    """

    def __init__(
        self,
        urls: Mapping[str, str],
        token: str,
        timeout: float,
    ) -> None:
        """Store the parameters and prepare the pool."""
        self.urls = urls
        self.token = token
        self.timeout = timeout
        self._pool = urllib3.PoolManager(num_pools=_THREADS, retries=False)

    def fetch(
        self,
        path: str,
        vms: Collection[str] | None = None,
    ) -> FleetView:
        """Return the pages of some VMs, and why some are missing.

        Parameters
        ----------
        vms : collection of str, optional
            Names of the VMs to ask; all by default.

        """
        asked = self.urls if vms is None else vms
        view = FleetView()
        with ThreadPoolExecutor(_THREADS) as threads:
            pages = threads.map(
                lambda vm: self._fetch_page(vm, path),
                asked,
            )
            for vm, page in zip(asked, pages, strict=True):
                if isinstance(page, str):
                    view.missing[vm] = page
                else:
                    view.answers.append({'vm': vm, **page})
        return view

    def fetch_status(self, vms: Collection[str] | None = None) -> FleetView:
        """Return what some or all VMs believe."""
        return self.fetch('/-/status', vms)

    def fetch_configurations(self) -> FleetView:
        """Return the configuration that each VM has in force."""
        return self.fetch('/-/configuration')

    def explain(self, subject: str) -> FleetView:
        """Return why decisions about a service or request key fell."""
        return self.fetch(f'/-/explain?subject={quote(subject, safe="")}')

    def _fetch_page(self, vm: str, path: str) -> dict[str, Any] | str:
        """Return the page, or why there is none."""
        try:
            answer = self._pool.request(
                'GET',
                self.urls[vm] + path,
                headers={'Authorization': f'Bearer {self.token}'},
                timeout=self.timeout,
                preload_content=False,
            )
            body = answer.read(_MOST_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return f'{type(error).__name__}: not reached'
        if answer.status != _OK:
            return f'answered {answer.status} {answer.reason}'
        return _read_page(body)


def _read_page(body: bytes) -> dict[str, Any] | str:
    try:
        page = Page.model_validate_json(body)
    except ValueError:
        return 'answered no page'
    return page.model_dump(exclude_unset=True, exclude={'vm'})


def list_urls(
    addresses: Iterable[tuple[str, str]],
    port: int,
) -> dict[str, str]:
    """Return the URL by name of VMs with a name and an IP address each.

    Examples
    --------
    >>> list_urls([('a-1', '127.0.0.1'), ('a-2', '::1')], 8400)
    {'a-1': 'http://127.0.0.1:8400', 'a-2': 'http://[::1]:8400'}

    """
    return {
        name: f'http://[{address}]:{port}'
        if ':' in address
        else f'http://{address}:{port}'
        for name, address in addresses
    }
