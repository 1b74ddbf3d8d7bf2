"""HTTP client for the operator pages of the entry VMs."""

from collections.abc import Collection, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Annotated, Any
from urllib.parse import quote

import urllib3
from pydantic import BaseModel, ConfigDict, Field

__all__ = ['FleetAnswers', 'FleetClient', 'list_urls']

_FETCH_THREADS = 16
_MAX_PAGE_BYTES = 4_000_000
_HTTP_OK = 200
_MAX_VERSION = 1_000_000_000_000_000


class Page(BaseModel):
    """Page of an entry VM; other fields are kept for display only."""

    model_config = ConfigDict(extra='allow', frozen=True)

    vm: str = ''
    version: Annotated[int, Field(ge=0, le=_MAX_VERSION)] = 0


@dataclass(frozen=True, slots=True)
class FleetAnswers:
    """Answers of the queried entry VMs.

    Attributes
    ----------
    answers : list of mapping
        Page of each VM that answered, with the VM's name in `vm`.
    missing : mapping of str to str
        Name of each VM without a valid answer, and the reason.

    """

    answers: list[Mapping[str, Any]] = field(default_factory=list)
    missing: dict[str, str] = field(default_factory=dict)

    def list_outdated(self, version: int) -> list[str]:
        """Return the VMs that reported an older version."""
        return [
            answer['vm']
            for answer in self.answers
            if answer.get('version', 0) < version
        ]


class FleetClient:
    """Queries the operator pages of the entry VMs in parallel.

    Parameters
    ----------
    urls : mapping of str to str
        ``http://ADDRESS:PORT`` by VM name.
    token : str
        Operators' bearer token.
    timeout : float
        Time limit for one page in seconds.

    """

    def __init__(
        self,
        urls: Mapping[str, str],
        token: str,
        timeout: float,
    ) -> None:
        """Store the parameters and create the connection pool."""
        self.urls = urls
        self.token = token
        self.timeout = timeout
        self._pool = urllib3.PoolManager(
            num_pools=_FETCH_THREADS, retries=False
        )

    def fetch(
        self,
        path: str,
        vms: Collection[str] | None = None,
    ) -> FleetAnswers:
        """Return a page of each queried VM, or the reason it is missing.

        Parameters
        ----------
        path : str
            Path and query of the page.
        vms : collection of str, optional
            Names of the VMs to query; all by default.

        """
        vm_names = self.urls if vms is None else vms
        collected = FleetAnswers()
        with ThreadPoolExecutor(_FETCH_THREADS) as threads:
            pages = threads.map(
                lambda vm: self._fetch_page(vm, path),
                vm_names,
            )
            for vm, page in zip(vm_names, pages, strict=True):
                if isinstance(page, str):
                    collected.missing[vm] = page
                else:
                    collected.answers.append({'vm': vm, **page})
        return collected

    def fetch_status(self, vms: Collection[str] | None = None) -> FleetAnswers:
        """Return the status pages of some or all VMs."""
        return self.fetch('/-/status', vms)

    def fetch_configurations(self) -> FleetAnswers:
        """Return the configuration in force at each VM."""
        return self.fetch('/-/configuration')

    def explain(self, subject: str) -> FleetAnswers:
        """Return what each VM knows of a service or request key."""
        return self.fetch(f'/-/explain?subject={quote(subject, safe="")}')

    def _fetch_page(self, vm: str, path: str) -> dict[str, Any] | str:
        """Return the page, or the reason why there is none."""
        try:
            answer = self._pool.request(
                'GET',
                self.urls[vm] + path,
                headers={'Authorization': f'Bearer {self.token}'},
                timeout=self.timeout,
                preload_content=False,
            )
            body = answer.read(_MAX_PAGE_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return f'{type(error).__name__}: not reached'
        if answer.status != _HTTP_OK:
            return f'answered {answer.status} {answer.reason}'
        return _read_page(body)


def _read_page(body: bytes) -> dict[str, Any] | str:
    try:
        page = Page.model_validate_json(body)
    except ValueError:
        return 'answer is no valid page'
    return page.model_dump(exclude_unset=True, exclude={'vm'})


def list_urls(
    addresses: Iterable[tuple[str, str]],
    port: int,
) -> dict[str, str]:
    """Return the URLs of VMs by name.

    Parameters
    ----------
    addresses : iterable of (str, str)
        Name and IP address of each VM.
    port : int
        TCP port of all VMs.

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
