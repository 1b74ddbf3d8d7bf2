"""Parsing and formatting of the sections of an INI text."""

from collections.abc import Iterable, Iterator, Mapping
from configparser import Error, RawConfigParser
from typing import Any

from pydantic import BaseModel, ConfigDict

from sesameroute.exceptions import InputError

__all__ = ['Section', 'format_sections', 'parse_sections']


class Section(BaseModel):
    """Base class of section models; unknown keys are validation errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


def parse_sections(text: str, source: str) -> dict[str, dict[str, str]]:
    """Return the keys and values of each section of an INI text.

    Parameters
    ----------
    text : str
        INI text with ``=`` between key and value and ``#`` before comments.
    source : str
        Name of the file, used in error messages.

    Raises
    ------
    InputError
        The text is not valid INI, or a section or key occurs twice.

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
    parser.optionxform = str  # keep the case of keys
    try:
        parser.read_string(text, source)
    except Error as error:
        raise InputError(f'{source}: {error.message}') from error
    return {title: dict(parser.items(title)) for title in parser.sections()}


def format_sections(
    sections: Mapping[str, Mapping[str, Any]],
) -> str:
    """Return sections as INI text; keys whose value is None are left out.

    Examples
    --------
    >>> print(format_sections({'log': {'level': 'info', 'format': None}}))
    [log]
    level = info
    <BLANKLINE>

    """
    return '\n'.join(
        ''.join(_format_section(title, fields))
        for title, fields in sections.items()
    )


def _format_section(title: str, fields: Mapping[str, Any]) -> Iterator[str]:
    yield f'[{title}]\n'
    for key, value in fields.items():
        if value is not None:
            yield f'{key} = {_format_value(value)}\n'


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, Iterable) and not isinstance(value, str):
        return ', '.join(map(str, value))
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)
