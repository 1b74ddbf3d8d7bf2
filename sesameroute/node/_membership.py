"""This node's entry in the store, under a lease."""

import logging
import random
import threading

from sesameroute.exceptions import SesameError
from sesameroute.platform import LeaseLostError, PlatformStore

__all__ = ['Membership']

_LEASE_SECONDS = 12.0
_RENEW_SECONDS = 4.0  # a third of the lease
_RETRY_SECONDS = 0.7  # after a failure
_SPREAD = 0.2  # part of a pause by which it varies between nodes

_logger = logging.getLogger(__name__)


class Membership:
    """Keeps one key alive while the process runs.

    Parameters
    ----------
    store : PlatformStore
        Where the key lies.
    key : str
        The key.
    content : bytes
        What it holds.

    """

    def __init__(self, store: PlatformStore, key: str, content: bytes) -> None:
        """Store the parameters."""
        self.store = store
        self.key = key
        self.content = content
        self._lease = 0
        self._is_stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name='member', daemon=True).start()

    def abandon(self) -> None:
        """Renew no more; the lease lapses."""
        self._is_stopping.set()

    def stop(self) -> None:
        """Renew no more and end the lease."""
        self.abandon()
        if not self._lease:
            return
        try:
            self.store.end_lease(self._lease)
        except SesameError as error:
            _logger.info('lease left to lapse', extra={'why': error.message})

    def _run(self) -> None:
        pause = 0
        while not self._is_stopping.wait(pause):
            try:
                self._keep()
                pause = _spread(_RENEW_SECONDS)
            except LeaseLostError:
                self._lease = 0
                pause = 0
            except SesameError as error:
                _logger.info('lease not renewed', extra={'why': error.message})
                pause = _spread(_RETRY_SECONDS)

    def _keep(self) -> None:
        if self._lease:
            self.store.renew_lease(self._lease)
            return
        lease = self.store.open_lease(_LEASE_SECONDS)
        self.store.put(self.key, self.content, lease)
        self._lease = lease


def _spread(seconds: float) -> float:
    return seconds * random.uniform(1 - _SPREAD, 1 + _SPREAD)
