"""Reads and replaces the stored configuration, with retries."""

import random
from collections.abc import Iterator

from sesameroute.exceptions import (
    ConflictError,
    InputError,
    SesameError,
    StoreOutcomeUnknownError,
    StoreUnreachableError,
)
from sesameroute.membership import Configuration, encode_configuration
from sesameroute.ports import Clock, Store
from sesameroute.submission._difference import describe_difference
from sesameroute.submission._stored_configuration import (
    StoredConfiguration,
    decode_stored_configuration,
    history_covers,
)

__all__ = ['ConfigurationStore']

_MAX_CONTENT_BYTES = 1_000_000
_INITIAL_DELAY_SECONDS = 0.05
_MAX_DELAY_SECONDS = 2.0
# Each delay is multiplied by a random factor from this one to 1.
_MIN_JITTER_FACTOR = 0.5


class ConfigurationStore:
    """The configuration of one institution in the platform's store.

    Parameters
    ----------
    store : Store
        The platform's key-value store.
    key : str
        Key under which the institution's configuration is stored.
    clock : Clock
        Source of the time, and sleep.
    timeout_seconds : float, optional
        Time for which a call is retried if the store is down or an answer
        is lost, in seconds.
    seed : int, optional
        Seed of the jitter in the delays between retries.

    Notes
    -----
    A swap whose answer was lost is retried with the same revision and the
    same submission id. The copy that the store applies first increments the
    revision, so that the other copy is refused. If another operator's
    submission has followed in the meantime, the ids of earlier submissions
    in the stored configuration show whether the swap was accepted.

    """

    def __init__(
        self,
        store: Store,
        key: str,
        clock: Clock,
        timeout_seconds: float = 30,
        seed: int | None = None,
    ) -> None:
        """Store the parameters."""
        self.store = store
        self.key = key
        self.clock = clock
        self.timeout_seconds = timeout_seconds
        self.seed = seed
        self._random = random.Random(seed)

    def read(
        self, after: StoredConfiguration | None = None
    ) -> StoredConfiguration:
        """Return the stored configuration.

        Parameters
        ----------
        after : StoredConfiguration, optional
            This one and lower revisions are treated as stale reads and
            retried.

        Raises
        ------
        StoreUnreachableError
            The store did not return a newer revision in time.

        """
        for _ in self.iterate_attempts():
            try:
                stored = self.store.read(self.key)
            except StoreUnreachableError:
                continue
            base = decode_stored_configuration(stored)
            if after is None or _is_after(base, after):
                return base
        raise StoreUnreachableError(
            f'store returned no current value within {self.timeout_seconds} s',
        )

    def replace(
        self, base: StoredConfiguration, configuration: Configuration
    ) -> None:
        """Replace the stored configuration.

        Parameters
        ----------
        base : StoredConfiguration
            What was read from the store; it must not have changed since.
        configuration : Configuration
            The new configuration.

        Raises
        ------
        InputError
            The configuration exceeds the size limit of the store.
        ConflictError
            Another submission was accepted since `base` was read, or the
            store was restored; the message shows the difference if it could
            be read.
        StoreUnreachableError
            The store could not be reached; nothing was changed.
        StoreOutcomeUnknownError
            An answer was lost; the configuration may have been accepted.

        """
        encoded = encode_configuration(configuration)
        if len(encoded) > _MAX_CONTENT_BYTES:
            raise InputError(
                f'configuration has {len(encoded)} bytes; '
                f'allowed: up to {_MAX_CONTENT_BYTES}',
            )
        failure: SesameError = StoreUnreachableError('store was not reached')
        for _ in self.iterate_attempts():
            outcome = self._try_swap(base, encoded)
            if outcome is None:
                return
            if isinstance(outcome, ConflictError):
                self._resolve_conflict(base, configuration, failure)
                return
            if isinstance(outcome, StoreOutcomeUnknownError):
                failure = outcome
        raise failure

    def iterate_attempts(self) -> Iterator[None]:
        """Yield for each attempt until the time-out, the first at once.

        Later attempts follow after exponentially growing delays with jitter.
        """
        deadline = self.clock.read_monotonic() + self.timeout_seconds
        delay = _INITIAL_DELAY_SECONDS
        yield
        while self.clock.read_monotonic() < deadline:
            self.clock.sleep(
                delay * self._random.uniform(_MIN_JITTER_FACTOR, 1)
            )
            delay = min(delay * 2, _MAX_DELAY_SECONDS)
            yield

    def _try_swap(
        self, base: StoredConfiguration, encoded: bytes
    ) -> SesameError | None:
        """Return None if the swap took effect, else the error."""
        try:
            self.store.swap(self.key, encoded, base.revision, base.tag)
        except (
            ConflictError,
            StoreUnreachableError,
            StoreOutcomeUnknownError,
        ) as error:
            return error
        return None

    def _resolve_conflict(
        self,
        base: StoredConfiguration,
        configuration: Configuration,
        failure: SesameError,
    ) -> None:
        """Return if an earlier attempt of this submission was accepted.

        Called when the store refuses a swap because the revision has changed.

        Raises
        ------
        ConflictError
            Another submission was accepted and this one was not.
        StoreOutcomeUnknownError
            An earlier attempt may have been accepted.

        """
        may_have_been_accepted = isinstance(failure, StoreOutcomeUnknownError)
        try:
            current = self.read(after=base)
        except StoreUnreachableError:
            if may_have_been_accepted:
                raise failure from None
            raise ConflictError(
                'the store no longer has the version that this one is based '
                'on, and returned no newer one: it is stale, out of reach '
                'or was restored',
            ) from None
        if configuration.submission in current.submissions:
            return
        if may_have_been_accepted and not history_covers(current, base):
            raise failure
        raise ConflictError(
            f'version {current.version} was submitted before this one\n'
            f'{describe_difference(base.text, current.text)}',
        )


def _is_after(read: StoredConfiguration, known: StoredConfiguration) -> bool:
    """Return whether a read shows that `known` was replaced.

    A store that was restored may have another value at the same revision.
    """
    if read.revision == known.revision:
        return read.tag != known.tag
    return read.revision > known.revision
