"""Look-up answers, kept for their time to live and beyond."""

import json
import random
import threading
from dataclasses import dataclass

from urllib3.exceptions import HTTPError

from sesameroute.adapters import build_pool
from sesameroute.exceptions import RequestError
from sesameroute.ports import Clock, Headers, Wire
from sesameroute.verdict import Verdict

__all__ = ['Directory', 'EntryAddress', 'LookupAnswer']

_MILLISECONDS = 1000
_LOOKUP_SECONDS = 0.5
_OK = 200


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry VM that a look-up named."""

    vm: str
    address: str
    port: int
    weight: float
    prefix: str


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """A look-up's answer; `until` is monotonic time in seconds."""

    entries: tuple[EntryAddress, ...]
    until: float


class Directory:
    """Asks look-ups for entry VMs and keeps the answers.

    An answer past its time to live is still used when no look-up can be
    reached.

    Parameters
    ----------
    lookups : tuple of (str, int)
        Addresses of look-ups, the nearest first.
    domain : str
        Failure domain nearest to the caller.
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        lookups: tuple[tuple[str, int], ...],
        domain: str,
        wire: Wire,
        source: str,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.lookups = lookups
        self.domain = domain
        self.wire = wire
        self.source = source
        self.clock = clock
        self._pools = {
            target: build_pool(wire, source, target) for target in lookups
        }
        self._answers: dict[str, LookupAnswer] = {}
        self._lock = threading.Lock()

    def choose(
        self,
        service: str,
        rng: random.Random,
        exclude: tuple[str, ...] = (),
        headers: Headers = (),
    ) -> EntryAddress:
        """Return an entry VM by weight, one outside `exclude` if there is.

        Parameters
        ----------
        service : str
            Name of the service.
        rng : random.Random
            Source of the choice.
        exclude : tuple of str
            Entry VMs already tried.
        headers : tuple of (str, str)
            Sent with a look-up, such as ``traceparent``.

        Raises
        ------
        RequestError
            No look-up was reached and no answer is kept: `NOT_RUN`.

        """
        entries = self._find_entries(service, headers)
        allowed = [entry for entry in entries if entry.vm not in exclude]
        weighted = [entry for entry in allowed if entry.weight > 0]
        candidates = weighted or allowed or entries
        weights = [max(entry.weight, 0) for entry in candidates]
        if not sum(weights):
            return rng.choice(candidates)
        return rng.choices(candidates, weights)[0]

    def forget(self, service: str) -> None:
        """Ask a look-up again before the next choice, if one answers."""
        with self._lock:
            kept = self._answers.get(service)
            if kept is not None:
                self._answers[service] = LookupAnswer(kept.entries, 0)

    def _find_entries(
        self,
        service: str,
        headers: Headers,
    ) -> tuple[EntryAddress, ...]:
        kept = self._answers.get(service)
        if kept is not None and self.clock.read_monotonic() < kept.until:
            return kept.entries
        for target in self.lookups:
            found = self._ask(target, service, headers)
            if found is not None and found.entries:
                self._answers[service] = found
                return found.entries
        if kept is not None:
            return kept.entries
        raise RequestError(
            f'no look-up answered for {service!r}',
            Verdict.NOT_RUN,
            'no-lookup',
            retry_after=1,
        )

    def _ask(
        self,
        target: tuple[str, int],
        service: str,
        headers: Headers,
    ) -> LookupAnswer | None:
        path = f'/lookup/{service}?domain={self.domain}'
        try:
            response = self._pools[target].request(
                'GET',
                path,
                headers=dict(headers),
                timeout=_LOOKUP_SECONDS,
            )
        except (HTTPError, OSError):
            return None
        if response.status != _OK:
            return None
        return self._read(response.data)

    def _read(self, body: bytes) -> LookupAnswer | None:
        try:
            fields = json.loads(body)
            entries = tuple(EntryAddress(**one) for one in fields['entries'])
            seconds = fields['ttl_ms'] / _MILLISECONDS
        except (ValueError, KeyError, TypeError):
            return None
        return LookupAnswer(entries, self.clock.read_monotonic() + seconds)
