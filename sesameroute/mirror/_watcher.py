"""Thread that watches the store while this node is responsible for it."""

import logging
import random
import threading
from collections.abc import Callable
from typing import Protocol

from sesameroute.exceptions import SesameError
from sesameroute.mirror._mirror import Mirror, MirrorUpdate
from sesameroute.ports import Clock
from sesameroute.telemetry import survive

__all__ = ['HistoryLostError', 'StoreReader', 'StoreWatcher']

# Pause between two watch calls, so that one call returns several changes.
_WATCH_INTERVAL_SECONDS = 0.35
# How long the store holds a watch call open while nothing changes.
_LONG_POLL_SECONDS = 1.0
# Interval at which a node that does not watch checks whether it should.
_RECHECK_SECONDS = 0.1
# Pause after the first error; it doubles with each further one.
_MIN_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.8
# Range of the random factor of a pause; keeps nodes from retrying together.
_BACKOFF_JITTER = (0.7, 1.3)

_logger = logging.getLogger(__name__)


class HistoryLostError(SesameError):
    """The store has discarded changes after the requested revision."""

    code = 'history-lost'


class StoreReader(Protocol):
    """Read access to the store."""

    def read_all(self) -> MirrorUpdate:
        """Return a full copy of the store.

        Raises
        ------
        SesameError
            The store gave no usable answer.

        """

    def watch(self, revision: int, seconds: float) -> MirrorUpdate:
        """Return the changes after a revision; wait for the first one.

        Parameters
        ----------
        revision : int
            Last revision that the caller has.
        seconds : float
            How long to wait for a change.

        Raises
        ------
        HistoryLostError
            The store has discarded changes after this revision.
        SesameError
            The store gave no usable answer.

        """


class StoreWatcher:
    """Thread that keeps a mirror up to date and forwards the updates.

    Parameters
    ----------
    mirror : Mirror
        Replica to update.
    store : StoreReader
        The store to read.
    is_needed : callable
        Returns whether this node should watch the store now.
    on_update : callable
        Called with each update, to forward it to peers.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        mirror: Mirror,
        store: StoreReader,
        is_needed: Callable[[], bool],
        on_update: Callable[[MirrorUpdate], None],
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.mirror = mirror
        self.store = store
        self.is_needed = is_needed
        self.on_update = on_update
        self.clock = clock
        self._is_stopping = threading.Event()
        self._backoff_seconds = _MIN_BACKOFF_SECONDS
        self._is_history_lost = False

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name='watch', daemon=True).start()

    def stop(self) -> None:
        """Ask the thread to end after its current call."""
        self._is_stopping.set()

    def _run(self) -> None:
        while not self._is_stopping.is_set():
            if not self.is_needed():
                self._is_stopping.wait(_RECHECK_SECONDS)
                continue
            has_failed = True
            with survive('store watch'):
                self._try_to_update()
                has_failed = False
            if has_failed:
                self._is_stopping.wait(_RECHECK_SECONDS)

    def _try_to_update(self) -> None:
        try:
            self._update_once()
        except HistoryLostError as error:
            self._is_history_lost = True
            _logger.warning('store history lost', extra={'why': str(error)})
        except SesameError as error:
            self._back_off(error)

    def _update_once(self) -> None:
        if self._is_history_lost or not self.mirror.revision_:
            update = self.store.read_all()
        else:
            update = self.store.watch(self.mirror.revision_, _LONG_POLL_SECONDS)
        if self._backoff_seconds > _MIN_BACKOFF_SECONDS:
            _logger.info('store reached again', extra={'at': update.revision})
        self._is_history_lost = False
        self._backoff_seconds = _MIN_BACKOFF_SECONDS
        self.mirror.apply(update, self.clock.read_monotonic())
        self.on_update(update)
        self._is_stopping.wait(_WATCH_INTERVAL_SECONDS)

    def _back_off(self, error: SesameError) -> None:
        if self._backoff_seconds == _MIN_BACKOFF_SECONDS:
            _logger.warning('store not reached', extra={'why': error.message})
        self._is_stopping.wait(
            self._backoff_seconds * random.uniform(*_BACKOFF_JITTER)
        )
        self._backoff_seconds = min(
            2 * self._backoff_seconds, _MAX_BACKOFF_SECONDS
        )
