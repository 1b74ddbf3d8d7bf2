"""Reading and writing of a statement as INI text."""

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
        Name of the file, used in error messages.

    Raises
    ------
    InputError
        The text is invalid; the message lists the invalid sections, keys
        and values or, if there are none, the invalid references.

    Examples
    --------
    >>> read_statement('[weather]', 'kalina.ini')  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    sesameroute.exceptions.InputError: kalina.ini: [weather]: unknown ...

    """
    return assemble_statement(parse_sections(text, source), source)


def print_statement(statement: Statement) -> str:
    """Return the statement as INI text; reading it gives an equal one."""
    return format_sections(list_sections(statement))
