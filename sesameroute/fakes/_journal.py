"""Record of the requests that the fake backend servers ran.

Whether a request ran, and how often, is decided from this record alone.
"""

import time
from collections import defaultdict
from dataclasses import dataclass, field
from threading import Lock

__all__ = ['ExecutionLog', 'Run']


@dataclass(slots=True)
class Run:
    """One execution of a request on a backend server.

    Attributes
    ----------
    number : int
        Unique number, also part of the answer.
    key : str
        Request key.
    order : str
        The caller's own identifier of the operation, from the request path.
    service, kind : str
        Service and kind of the request, from the request path.
    upstream : str
        Name of the backend server.
    started, ended : float
        Monotonic seconds; `ended` is 0 for work that was never finished.
    digest : str
        Digest of the answer; empty for work that was never finished.

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
class ExecutionLog:
    """Runs on all fake backend servers of one deployment; thread-safe.

    Examples
    --------
    >>> execution_log = ExecutionLog()
    >>> run = execution_log.start('k1', ('order-desk', 'order', 'o1'), 'u1')
    >>> execution_log.finish(run, 'abc')
    >>> [found.digest for found in execution_log.find('o1')]
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
        """Record that work begins: from now on the request may have an effect.

        Parameters
        ----------
        key : str
            Request key.
        target : tuple of str
            Service, kind and order.
        upstream : str
            Name of the backend server.

        """
        service, kind, order = target
        with self._lock:
            run = Run(len(self._runs), key, order, service, kind, upstream)
            run.started = time.monotonic()
            self._runs.append(run)
            self._by_order[order].append(run)
        return run

    def finish(self, run: Run, digest: str) -> None:
        """Record that work ended with an answer."""
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
