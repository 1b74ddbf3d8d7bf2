"""Cache of look-up answers: entry VMs by service."""

import random
import threading
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated

import msgspec

from sesameroute.adapters import ConnectionPool
from sesameroute.caller._lookup_request import query_lookup
from sesameroute.exceptions import RequestError
from sesameroute.ports import Clock, Headers, Wire
from sesameroute.verdict import Verdict

__all__ = ['Directory', 'EntryAddress', 'LookupAnswer']

_MILLISECONDS = 1000
_MAX_TTL_MS = 3_600_000
_MAX_PORT = 65_535
_MAX_WEIGHT = 1e9
# Time for all look-ups together, if no answer is cached.
_FIRST_LOOKUP_SECONDS = 1.5
# The same if an expired answer is cached.
_RENEWAL_SECONDS = 0.4
_SUSPECT_SECONDS = 2.0
# Additional life of a cached answer if no look-up answers.
_EXTENSION_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry VM from a look-up's answer.

    Attributes
    ----------
    vm : str
        Name of the VM.
    address : str
        Its IP address.
    port : int
        Its port for requests.
    weight : float
        Relative probability of its choice.
    prefix : str
        Prefix of the request keys that it takes now.

    """

    vm: str
    address: str
    port: Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
    weight: Annotated[float, msgspec.Meta(ge=0, le=_MAX_WEIGHT)]
    prefix: str


class _AnswerBody(msgspec.Struct):
    entries: tuple[EntryAddress, ...]
    ttl_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_TTL_MS)]


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Entry VMs for one service.

    Attributes
    ----------
    entries : tuple of EntryAddress
        The entry VMs, with weights.
    until : float
        Monotonic time in seconds at which the answer expires.

    """

    entries: tuple[EntryAddress, ...]
    until: float


class Directory:
    """Queries look-ups for entry VMs and caches the answers.

    An expired answer is still used if no look-up can be reached, and while
    another thread is renewing it.

    Parameters
    ----------
    lookups : tuple of (str, int)
        IP addresses and ports of look-ups, the nearest first.
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
        self._connections = ConnectionPool(wire, source, clock)
        self._answers: dict[str, LookupAnswer] = {}
        self._suspected_until: dict[object, float] = {}
        self._renewal_lock = threading.Lock()

    def choose(
        self,
        service: str,
        rng: random.Random,
        exclude: tuple[str, ...] = (),
        headers: Headers = (),
    ) -> EntryAddress:
        """Return an entry VM, chosen at random by weight.

        Prefers those outside `exclude`, and among them those that were
        reached lately.

        Parameters
        ----------
        service : str
            Name of the service.
        rng : random.Random
            Source of randomness.
        exclude : tuple of str
            Names of entry VMs already tried.
        headers : tuple of (str, str)
            Headers for the look-up, such as ``traceparent``.

        Raises
        ------
        RequestError
            No look-up answered and no answer is cached: `NOT_RUN`, code
            ``no-lookup``.

        """
        entries = self._find_entries(service, headers)
        untried = [entry for entry in entries if entry.vm not in exclude]
        trusted = [entry for entry in untried if not self._is_suspect(entry.vm)]
        candidates = trusted or untried or entries
        weighted = [entry for entry in candidates if entry.weight > 0]
        if not weighted:
            return rng.choice(candidates)
        return rng.choices(weighted, [entry.weight for entry in weighted])[0]

    def forget(self, service: str) -> None:
        """Expire the cached answer: the next choice queries a look-up first."""
        cached = self._answers.get(service)
        if cached is not None:
            self._answers[service] = LookupAnswer(cached.entries, 0)

    def suspect(self, vm: str) -> None:
        """Prefer other entry VMs for a while: a request to this one failed."""
        self._suspected_until[vm] = (
            self.clock.read_monotonic() + _SUSPECT_SECONDS
        )

    def close(self) -> None:
        """Close idle connections."""
        self._connections.close()

    def _is_suspect(self, name: object) -> bool:
        return self._suspected_until.get(name, 0) > self.clock.read_monotonic()

    def _find_entries(
        self,
        service: str,
        headers: Headers,
    ) -> tuple[EntryAddress, ...]:
        cached = self._answers.get(service)
        if cached is None:
            with self._renewal_lock:
                return self._fetch_first(service, headers)
        if self.clock.read_monotonic() < cached.until:
            return cached.entries
        if self._renewal_lock.locked():
            return cached.entries
        with self._renewal_lock:
            return self._renew(service, headers, self._answers[service])

    def _fetch_first(
        self,
        service: str,
        headers: Headers,
    ) -> tuple[EntryAddress, ...]:
        cached = self._answers.get(service)
        if cached is not None:
            return cached.entries
        for found in self._query_lookups(
            service, headers, _FIRST_LOOKUP_SECONDS
        ):
            self._answers[service] = found
            return found.entries
        raise RequestError(
            f'no look-up answered for service {service!r}',
            Verdict.NOT_RUN,
            'no-lookup',
            retry_after=1,
        )

    def _renew(
        self,
        service: str,
        headers: Headers,
        cached: LookupAnswer,
    ) -> tuple[EntryAddress, ...]:
        now = self.clock.read_monotonic()
        if now < cached.until:
            return cached.entries
        until = now + _EXTENSION_SECONDS
        answer = LookupAnswer(cached.entries, until)
        for found in self._query_lookups(service, headers, _RENEWAL_SECONDS):
            answer = found
            break
        self._answers[service] = answer
        return answer.entries

    def _query_lookups(
        self,
        service: str,
        headers: Headers,
        seconds: float,
    ) -> Iterator[LookupAnswer]:
        """Yield usable answers; query look-ups that failed lately last."""
        path = f'/lookup/{service}?domain={self.domain}'
        until = self.clock.read_monotonic() + seconds
        for target in sorted(self.lookups, key=self._is_suspect):
            now = self.clock.read_monotonic()
            if now >= until:
                return
            body = query_lookup(
                self._connections,
                target,
                path,
                headers,
                until,
            )
            found = self._parse_answer(body)
            if found is None:
                self._suspected_until[target] = now + _SUSPECT_SECONDS
            elif found.entries:
                yield found

    def _parse_answer(self, body: bytes) -> LookupAnswer | None:
        try:
            answer = msgspec.json.decode(body, type=_AnswerBody)
        except (msgspec.MsgspecError, RecursionError):
            return None
        until = self.clock.read_monotonic() + answer.ttl_ms / _MILLISECONDS
        return LookupAnswer(answer.entries, until)
