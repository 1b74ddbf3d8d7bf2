"""What a submission is based on."""

from dataclasses import dataclass

from sesameroute.exceptions import ConflictError
from sesameroute.membership import Configuration, decode_configuration
from sesameroute.ports import StoredValue

__all__ = [
    'RECENT_SUBMISSIONS',
    'Base',
    'decode_base',
    'reaches_back',
    'require_current',
]

# Submissions named in a configuration: enough to settle a lost answer after
# as many later ones.
RECENT_SUBMISSIONS = 32


@dataclass(frozen=True, slots=True)
class Base:
    """What a submission is based on; `configuration` is None at first."""

    configuration: Configuration | None
    revision: int

    @property
    def version(self) -> int:
        """Version of the configuration, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def text(self) -> str:
        """Statement of the configuration, empty if there is none."""
        return self.configuration.text if self.configuration else ''

    @property
    def submissions(self) -> tuple[str, ...]:
        """Ids of the last submissions, the newest first."""
        if self.configuration is None:
            return ()
        return (self.configuration.submission, *self.configuration.recent)


def decode_base(stored: StoredValue | None) -> Base:
    if stored is None:
        return Base(None, 0)
    return Base(decode_configuration(stored.content), stored.revision)


def reaches_back(current: Base, base: Base) -> bool:
    """Whether the ids in `current` go back to those of the base."""
    if base.configuration is None:
        return len(current.submissions) <= RECENT_SUBMISSIONS
    return base.configuration.submission in current.submissions


def require_current(base: Base, known_version: int) -> None:
    """Raise ConflictError when the fleet is ahead of what was read.

    A change of an older statement would take accepted ones back.
    """
    if base.version < known_version:
        raise ConflictError(
            f'version {base.version} is in the store, but version '
            f'{known_version} in force: the store is behind or was restored; '
            'submit the whole statement with --base newest',
        )
