"""The INI form of a statement."""

from sesameroute.ini import format_sections, parse_sections
from sesameroute.statement._assembly import (
    assemble_statement,
    list_sections,
)
from sesameroute.statement._model import Statement

__all__ = ['print_statement', 'read_statement']


def read_statement(text: str, source: str = '<text>') -> Statement:
    """Return the statement of an INI text.

    Parameters
    ----------
    text : str
        The INI text.
    source : str, optional
        Name of the file, for errors.

    Raises
    ------
    InputError
        Names all wrong sections, keys, values and references at once.

    Examples
    --------
    >>> read_statement('[weather]', 'kalina.ini')  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    sesameroute.exceptions.InputError: kalina.ini: [weather]: unknown ...

    """
    return assemble_statement(parse_sections(text, source), source)


def print_statement(statement: Statement) -> str:
    """Return the INI text that reads back as an equal statement."""
    return format_sections(list_sections(statement))
