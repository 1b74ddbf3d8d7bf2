"""The configuration in the store, read and swapped until it is certain."""

import random
from collections.abc import Iterator

from sesameroute.exceptions import (
    ConflictError,
    InputError,
    SesameError,
    StoreDownError,
    StoreUnknownError,
)
from sesameroute.membership import Configuration, encode_configuration
from sesameroute.ports import Clock, Store
from sesameroute.submission._base import Base, decode_base, reaches_back
from sesameroute.submission._difference import describe_difference

__all__ = ['ConfigurationStore']

_MAX_CONTENT_BYTES = 1_000_000
_FIRST_DELAY = 0.05  # seconds
_LONGEST_DELAY = 2.0  # seconds
_LEAST_JITTER = 0.5  # of the delay


class ConfigurationStore:
    """The configuration of one institution in the platform's store.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    key : str
        Key of the institution's configuration.
    clock : Clock
        Time and sleep.
    patience : float, optional
        Seconds for which a store that is down or lost an answer is tried.
    seed : int, optional
        Seed of the jitter.

    Notes
    -----
    A swap whose answer got lost is sent again with the same revision and
    the same submission id: whichever copy comes first moves the revision
    on, so the other one loses. A lost swap that another operator has
    already built upon is found in the ids that a configuration carries.

    """

    def __init__(
        self,
        store: Store,
        key: str,
        clock: Clock,
        patience: float = 30,
        seed: int | None = None,
    ) -> None:
        """Store the parameters."""
        self.store = store
        self.key = key
        self.clock = clock
        self.patience = patience
        self.seed = seed
        self._random = random.Random(seed)

    def read(self, after: int = -1) -> Base:
        """Return the stored configuration.

        Parameters
        ----------
        after : int, optional
            Older revisions than the one after this are stale reads.

        Raises
        ------
        StoreDownError
            The store gave no fresh answer in time.

        """
        for _ in self.pace():
            try:
                stored = self.store.read(self.key)
            except StoreDownError:
                continue
            base = decode_base(stored)
            if base.revision > after:
                return base
        raise StoreDownError(f'store gave no answer in {self.patience} s')

    def replace(self, base: Base, configuration: Configuration) -> None:
        """Put a configuration in place of its base.

        Raises
        ------
        InputError
            The configuration is larger than the store takes.
        ConflictError
            Another submission came first; the message has the difference.
        StoreDownError
            Nothing took effect.
        StoreUnknownError
            The configuration may have been accepted.

        """
        packed = encode_configuration(configuration)
        if len(packed) > _MAX_CONTENT_BYTES:
            raise InputError(
                f'configuration has {len(packed)} bytes; '
                f'allowed: up to {_MAX_CONTENT_BYTES}',
            )
        failure: SesameError = StoreDownError('store was not reached')
        for _ in self.pace():
            outcome = self._try_swap(base, packed)
            if outcome is None:
                return
            if isinstance(outcome, ConflictError):
                self._settle(base, configuration, failure)
                return
            if isinstance(outcome, StoreUnknownError):
                failure = outcome
        raise failure

    def pace(self) -> Iterator[None]:
        """Yield once at once, then after growing jittered delays."""
        end = self.clock.read_monotonic() + self.patience
        delay = _FIRST_DELAY
        yield
        while self.clock.read_monotonic() < end:
            self.clock.sleep(delay * self._random.uniform(_LEAST_JITTER, 1))
            delay = min(delay * 2, _LONGEST_DELAY)
            yield

    def _try_swap(self, base: Base, packed: bytes) -> SesameError | None:
        """Return None once the swap took effect, else what went wrong."""
        try:
            self.store.swap(self.key, packed, base.revision)
        except (ConflictError, StoreDownError, StoreUnknownError) as error:
            return error
        return None

    def _settle(
        self,
        base: Base,
        configuration: Configuration,
        failure: SesameError,
    ) -> None:
        """Return if an earlier try of this submission was accepted."""
        may_be_ours = isinstance(failure, StoreUnknownError)
        try:
            current = self.read(after=base.revision)
        except StoreDownError:
            if may_be_ours:
                raise failure from None
            raise ConflictError('another submission came first') from None
        if configuration.submission in current.submissions:
            return
        if may_be_ours and not reaches_back(current, base):
            raise failure
        raise ConflictError(
            f'version {current.version} came before this submission\n'
            f'{describe_difference(base.text, current.text)}',
        )
