"""Keeps this node's entry in the store under a lease."""

import logging
import random
import threading

from sesameroute.exceptions import SesameError
from sesameroute.platform import Lease, LeaseLostError, PlatformStore
from sesameroute.telemetry import survive

__all__ = ['NodeLease']

_LEASE_SECONDS = 12.0
_RENEW_SECONDS = 4.0  # a third of the lease
_RETRY_SECONDS = 0.7  # pause after a failed call
# Pauses vary randomly by this part, so that nodes do not call the store at
# the same time.
_JITTER_FRACTION = 0.2

_logger = logging.getLogger(__name__)


class NodeLease:
    """Keeps a key in the store while the process runs, by renewing its lease.

    Parameters
    ----------
    store : PlatformStore
        The store.
    key : str
        The key.
    content : bytes
        Its value.

    """

    def __init__(self, store: PlatformStore, key: str, content: bytes) -> None:
        """Store the parameters."""
        self.store = store
        self.key = key
        self.content = content
        self._lease: Lease | None = None
        self._is_stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that renews the lease."""
        threading.Thread(target=self._run, name='member', daemon=True).start()

    def stop_renewing(self) -> None:
        """Stop renewing; the store removes the key when the lease expires."""
        self._is_stopping.set()

    def stop(self) -> None:
        """Stop renewing and end the lease, which removes the key."""
        self.stop_renewing()
        if self._lease is None:
            return
        try:
            self.store.end_lease(self._lease)
        except SesameError as error:
            _logger.info(
                'lease not ended in the store', extra={'why': error.message}
            )

    def _run(self) -> None:
        pause = 0
        while not self._is_stopping.wait(pause):
            pause = _add_jitter(_RETRY_SECONDS)
            with survive('lease renewal'):
                pause = self._try_to_renew()

    def _try_to_renew(self) -> float:
        """Return the seconds until the next renewal."""
        try:
            self._renew_or_open()
        except LeaseLostError as error:
            _logger.info('lease lost', extra={'why': error.message})
            self._lease = None
            return 0
        except SesameError as error:
            _logger.info('lease not renewed', extra={'why': error.message})
            return _add_jitter(_RETRY_SECONDS)
        return _add_jitter(_RENEW_SECONDS)

    def _renew_or_open(self) -> None:
        if self._lease:
            self.store.renew_lease(self._lease)
            return
        lease = self.store.open_lease(_LEASE_SECONDS)
        self.store.put(self.key, self.content, lease)
        self._lease = lease


def _add_jitter(seconds: float) -> float:
    return seconds * random.uniform(1 - _JITTER_FRACTION, 1 + _JITTER_FRACTION)
