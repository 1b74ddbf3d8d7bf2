"""Sections of INI text."""

from collections.abc import Iterable, Iterator, Mapping
from configparser import Error, RawConfigParser
from typing import Any

from pydantic import BaseModel, ConfigDict

from sesameroute.exceptions import InputError

__all__ = ['Section', 'parse_sections', 'print_sections']


class Section(BaseModel):
    """Base of the models of sections; a key that it lacks is an error."""

    model_config = ConfigDict(extra='forbid', frozen=True)


def parse_sections(text: str, source: str) -> dict[str, dict[str, str]]:
    """Return the keys and values of each section of an INI text.

    Parameters
    ----------
    text : str
        INI with ``=`` between key and value and ``#`` before comments.
    source : str
        Name of the file, for errors.

    Raises
    ------
    InputError
        The text is not INI, or a section or key stands twice.

    Examples
    --------
    >>> parse_sections('[vm a] # first', 'some.ini')
    {'vm a': {}}

    """
    parser = RawConfigParser(
        default_section='',
        delimiters=('=',),
        comment_prefixes=('#',),
        empty_lines_in_values=False,
    )
    parser.optionxform = str  # keys keep their case
    try:
        parser.read_string(text, source)
    except Error as error:
        raise InputError(f'{source}: {error.message}') from error
    return {title: dict(parser.items(title)) for title in parser.sections()}


def print_sections(
    sections: Mapping[str, Mapping[str, Any]],
) -> str:
    """Return the INI text of sections, without keys whose value is None.

    Examples
    --------
    >>> print(print_sections({'log': {'level': 'info', 'format': None}}))
    [log]
    level = info
    <BLANKLINE>

    """
    return '\n'.join(
        ''.join(_print_section(title, fields))
        for title, fields in sections.items()
    )


def _print_section(title: str, fields: Mapping[str, Any]) -> Iterator[str]:
    yield f'[{title}]\n'
    for key, value in fields.items():
        if value is not None:
            yield f'{key} = {_print_value(value)}\n'


def _print_value(value: Any) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, Iterable) and not isinstance(value, str):
        return ', '.join(map(str, value))
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)
