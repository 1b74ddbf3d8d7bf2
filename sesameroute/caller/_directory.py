"""Look-up answers, kept for their time to live and beyond."""

import json
import random
import threading
from collections.abc import Iterator
from dataclasses import dataclass

from sesameroute.adapters import KeptConnections
from sesameroute.caller._question import ask_lookup
from sesameroute.exceptions import RequestError
from sesameroute.ports import Clock, Headers, Wire
from sesameroute.verdict import Verdict

__all__ = ['Directory', 'EntryAddress', 'LookupAnswer']

_MILLISECONDS = 1000
_FIRST_SECONDS = 1.5  # for all look-ups, while no answer is kept
_RENEW_SECONDS = 0.4  # for all look-ups, while an older answer is kept
_SUSPECT_SECONDS = 2.0
_EXTENSION_SECONDS = 0.5  # of a kept answer when no look-up answers


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
    reached, and while another thread asks for a new one.

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
        self._connections = KeptConnections(wire, source, clock)
        self._answers: dict[str, LookupAnswer] = {}
        self._suspects: dict[object, float] = {}
        self._renewal = threading.Lock()

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
        untried = [entry for entry in entries if entry.vm not in exclude]
        trusted = [entry for entry in untried if not self._is_suspect(entry.vm)]
        candidates = trusted or untried or entries
        weighted = [entry for entry in candidates if entry.weight > 0]
        if not weighted:
            return rng.choice(candidates)
        return rng.choices(weighted, [entry.weight for entry in weighted])[0]

    def forget(self, service: str) -> None:
        """Ask a look-up again before the next choice, if one answers."""
        kept = self._answers.get(service)
        if kept is not None:
            self._answers[service] = LookupAnswer(kept.entries, 0)

    def suspect(self, vm: str) -> None:
        """Prefer other entry VMs for a while: this one was not reached."""
        self._suspects[vm] = self.clock.read_monotonic() + _SUSPECT_SECONDS

    def close(self) -> None:
        """Close kept connections."""
        self._connections.close()

    def _is_suspect(self, name: object) -> bool:
        return self._suspects.get(name, 0) > self.clock.read_monotonic()

    def _find_entries(
        self,
        service: str,
        headers: Headers,
    ) -> tuple[EntryAddress, ...]:
        kept = self._answers.get(service)
        if kept is None:
            with self._renewal:
                return self._ask_first(service, headers)
        if self.clock.read_monotonic() < kept.until:
            return kept.entries
        if self._renewal.locked():
            return kept.entries
        with self._renewal:
            return self._renew(service, headers, self._answers[service])

    def _ask_first(
        self,
        service: str,
        headers: Headers,
    ) -> tuple[EntryAddress, ...]:
        kept = self._answers.get(service)
        if kept is not None:
            return kept.entries
        for found in self._ask_all(service, headers, _FIRST_SECONDS):
            self._answers[service] = found
            return found.entries
        raise RequestError(
            f'no look-up answered for {service!r}',
            Verdict.NOT_RUN,
            'no-lookup',
            retry_after=1,
        )

    def _renew(
        self,
        service: str,
        headers: Headers,
        kept: LookupAnswer,
    ) -> tuple[EntryAddress, ...]:
        now = self.clock.read_monotonic()
        if now < kept.until:
            return kept.entries
        until = now + _EXTENSION_SECONDS
        answer = LookupAnswer(kept.entries, until)
        for found in self._ask_all(service, headers, _RENEW_SECONDS):
            answer = found
            break
        self._answers[service] = answer
        return answer.entries

    def _ask_all(
        self,
        service: str,
        headers: Headers,
        seconds: float,
    ) -> Iterator[LookupAnswer]:
        """Yield usable answers, asking those not suspected first."""
        path = f'/lookup/{service}?domain={self.domain}'
        until = self.clock.read_monotonic() + seconds
        for target in sorted(self.lookups, key=self._is_suspect):
            now = self.clock.read_monotonic()
            if now >= until:
                return
            body = ask_lookup(
                self._connections,
                target,
                path,
                headers,
                until,
            )
            found = self._read(body)
            if found is None:
                self._suspects[target] = now + _SUSPECT_SECONDS
            elif found.entries:
                yield found

    def _read(self, body: bytes) -> LookupAnswer | None:
        try:
            fields = json.loads(body)
            entries = tuple(EntryAddress(**one) for one in fields['entries'])
            seconds = fields['ttl_ms'] / _MILLISECONDS
        except (ValueError, KeyError, TypeError):
            return None
        return LookupAnswer(entries, self.clock.read_monotonic() + seconds)
