"""Thread that watches the store while this node is responsible for it."""

import logging
import random
import threading
from collections.abc import Callable
from typing import Protocol

from sesameroute.exceptions import SesameError
from sesameroute.mirror._messages import MirrorItem, MirrorUpdate
from sesameroute.mirror._mirror import Mirror
from sesameroute.mirror._position import Position, find_revision
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
_MAX_BACKOFF_SECONDS = 0.4
# Interval of reads while the store is older than the replica without having
# named a new era.
_OLDER_STORE_SECONDS = 5.0
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
            Packed position that the caller has.
        seconds : float
            How long to wait for a change.

        Raises
        ------
        HistoryLostError
            The store has discarded changes after this position, or was
            restored from a copy.
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
        self._checked_missing: frozenset[MirrorItem] = frozenset()

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
        known = self.mirror.revision_
        is_back = self._backoff_seconds > _MIN_BACKOFF_SECONDS
        if self._is_history_lost or not known:
            update = self.store.read_all()
        else:
            # A store that was away may be restored: ask for its era at once.
            wait = 0 if is_back else _LONG_POLL_SECONDS
            update = self.store.watch(known, wait)
        if is_back:
            _log_position('store reached again', update.revision)
        self._backoff_seconds = _MIN_BACKOFF_SECONDS
        if update.revision < known:
            _log_position('store older than the replica', update.revision)
            self._is_stopping.wait(_OLDER_STORE_SECONDS)
            return
        self._is_history_lost = False
        self._apply(update)
        self._is_stopping.wait(_WATCH_INTERVAL_SECONDS)

    def _apply(self, update: MirrorUpdate) -> None:
        era = self.mirror.era_
        self.mirror.apply(update, self.clock.read_monotonic())
        if self.mirror.era_ != era:
            _log_position('store in a new era', update.revision)
        self._read_history()
        self.on_update(update)

    def _read_history(self) -> None:
        """Read once whether items that the store lacks have been removed."""
        missing = self.mirror.list_missing()
        if missing <= self._checked_missing:
            return
        first = min(find_revision(item.revision) for item in missing)
        since = Position(self.mirror.era_, first).pack()
        try:
            self.mirror.merge_history(self.store.watch(since, 0))
        except HistoryLostError as error:
            _logger.info('no history of held items', extra={'why': str(error)})
        except SesameError as error:
            _logger.warning(
                'history of held items not read', extra={'why': error.message}
            )
            return
        self._checked_missing = missing

    def _back_off(self, error: SesameError) -> None:
        if self._backoff_seconds == _MIN_BACKOFF_SECONDS:
            _logger.warning('store not reached', extra={'why': error.message})
        self._is_stopping.wait(
            self._backoff_seconds * random.uniform(*_BACKOFF_JITTER)
        )
        self._backoff_seconds = min(
            2 * self._backoff_seconds, _MAX_BACKOFF_SECONDS
        )


def _log_position(event: str, revision: int) -> None:
    position = Position.unpack(revision)
    _logger.info(
        event, extra={'era': position.era, 'revision': position.revision}
    )
