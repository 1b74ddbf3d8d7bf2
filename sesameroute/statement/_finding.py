"""What a check of a statement found."""

from dataclasses import dataclass
from enum import StrEnum, unique

__all__ = ['Finding', 'Severity']


@unique
class Severity(StrEnum):
    """Whether a statement with the finding may be submitted."""

    ERROR = 'error'
    WARNING = 'warning'


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault of a statement.

    Attributes
    ----------
    section : str
        Title of the section that has to be changed.
    message : str
        What is wrong, with the values and what is allowed.

    """

    section: str
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        """Return the finding on one line."""
        return f'{self.severity}: [{self.section}] {self.message}'
