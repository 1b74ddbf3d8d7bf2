"""Errors and warnings of the checks of a statement."""

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
    """An error in a statement, or a warning about it.

    Attributes
    ----------
    section : str
        Title of the section that has to be changed.
    message : str
        The problem, with the value found and the allowed values.
    severity : Severity
        Errors prevent the submission of the statement, warnings don't.

    """

    section: str
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        """Return severity, section and message on one line."""
        return f'{self.severity}: [{self.section}] {self.message}'
