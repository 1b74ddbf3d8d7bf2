"""The stored configuration that a submission is based on."""

from dataclasses import dataclass

from sesameroute.exceptions import ConflictError
from sesameroute.membership import Configuration, decode_configuration
from sesameroute.ports import StoredValue

__all__ = [
    'MAX_RECENT_SUBMISSIONS',
    'StoredConfiguration',
    'decode_stored_configuration',
    'history_covers',
    'require_up_to_date',
]

# Earlier submission ids that a configuration carries. If the answer to a
# submission is lost, its id shows whether it was accepted until this many
# later submissions have followed.
MAX_RECENT_SUBMISSIONS = 32


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration as read from the store.

    Attributes
    ----------
    configuration : Configuration or None
        None before the first submission.
    revision : int
        Revision of the value in the store, which a compare-and-swap needs;
        0 if there is no value.
    tag : str
        Tag of the value, which a compare-and-swap takes instead if the store
        has tags.

    """

    configuration: Configuration | None
    revision: int
    tag: str = ''

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def text(self) -> str:
        """INI text of the statement; empty if there is none."""
        return self.configuration.text if self.configuration else ''

    @property
    def submissions(self) -> tuple[str, ...]:
        """Ids of the submission and the ones before it, the newest first."""
        if self.configuration is None:
            return ()
        return (self.configuration.submission, *self.configuration.recent)


def decode_stored_configuration(
    stored: StoredValue | None,
) -> StoredConfiguration:
    """Return the configuration of a value that was read from the store."""
    if stored is None:
        return StoredConfiguration(None, 0)
    return StoredConfiguration(
        decode_configuration(stored.content), stored.revision, stored.tag
    )


def history_covers(
    current: StoredConfiguration, base: StoredConfiguration
) -> bool:
    """Return whether the ids in `current` include all submissions since `base`.

    Only then does a missing id prove that a submission wasn't accepted.
    """
    if base.configuration is None:
        return len(current.submissions) <= MAX_RECENT_SUBMISSIONS
    return base.configuration.submission in current.submissions


def require_up_to_date(base: StoredConfiguration, known_version: int) -> None:
    """Raise ConflictError if the entry VMs have a newer version than `base`.

    A change based on an older statement would revert submissions that were
    accepted after it.

    Parameters
    ----------
    base : StoredConfiguration
        Configuration that was read from the store.
    known_version : int
        Highest version in force on any entry VM.

    """
    if base.version < known_version:
        raise ConflictError(
            f'the store has version {base.version}, but version '
            f'{known_version} is in force: the store is stale or was restored; '
            'submit the whole statement with --base newest',
        )
