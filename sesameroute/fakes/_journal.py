"""What the stand-in backend servers ran, as the judge's only source."""

import time
from collections import defaultdict
from dataclasses import dataclass, field
from threading import Lock

__all__ = ['Journal', 'Run']


@dataclass(slots=True)
class Run:
    """One execution of a request on a backend server.

    Attributes
    ----------
    number : int
        Unique number, also part of the answer.
    order : str
        The caller's own identifier of what it wants done, from the path.
    started, ended : float
        Monotonic seconds; `ended` is 0 for work that was never finished.
    digest : str
        Digest of the answer.

    """

    number: int
    key: str
    order: str
    service: str
    kind: str
    upstream: str
    started: float = 0
    ended: float = 0
    digest: str = ''


@dataclass(slots=True)
class Journal:
    """All runs of all stand-ins of one deployment; safe for threads.

    Examples
    --------
    >>> journal = Journal()
    >>> run = journal.start('k1', ('order-desk', 'order', 'o1'), 'u1')
    >>> journal.finish(run, 'abc')
    >>> [found.digest for found in journal.find('o1')]
    ['abc']

    """

    _lock: Lock = field(default_factory=Lock)
    _runs: list[Run] = field(default_factory=list)
    _by_order: dict[str, list[Run]] = field(
        default_factory=lambda: defaultdict(list),
    )

    def start(
        self,
        key: str,
        target: tuple[str, str, str],
        upstream: str,
    ) -> Run:
        """Note that work begins: from now on the request may have an effect.

        Parameters
        ----------
        target : tuple of str
            Service, kind and order.

        """
        service, kind, order = target
        with self._lock:
            run = Run(len(self._runs), key, order, service, kind, upstream)
            run.started = time.monotonic()
            self._runs.append(run)
            self._by_order[order].append(run)
        return run

    def finish(self, run: Run, digest: str) -> None:
        """Note that work ended with an answer."""
        run.digest = digest
        run.ended = time.monotonic()

    def find(self, order: str) -> tuple[Run, ...]:
        """Return the runs of one order, oldest first."""
        with self._lock:
            return tuple(self._by_order.get(order, ()))

    def list_runs(self) -> tuple[Run, ...]:
        """Return all runs, oldest first."""
        with self._lock:
            return tuple(self._runs)
