"""Reading and parsing of settings files."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any

from sesameroute.exceptions import InputError
from sesameroute.ini import ProblemList, parse_sections
from sesameroute.settings._model import (
    Limits,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    PortSettings,
    Settings,
    StoreSettings,
    TraceSettings,
    VmSettings,
)
from sesameroute.settings._schema import SECTION_MODELS

__all__ = ['parse_settings', 'read_settings']

# Data class of each section by its title.
_SECTION_TYPES = MappingProxyType(
    {
        'vm': VmSettings,
        'store': StoreSettings,
        'peers': PeerSettings,
        'ports': PortSettings,
        'limits': Limits,
        'operator': OperatorSettings,
        'log': LogSettings,
        'trace': TraceSettings,
    }
)


def read_settings(
    path: str | Path,
    required: Sequence[str] = ('vm', 'store', 'peers'),
) -> Settings:
    """Return the settings of a file.

    Parameters
    ----------
    path : str or Path
        The INI file, encoded in UTF-8.
    required : sequence of str, optional
        Titles of the sections that the file must have.

    Raises
    ------
    InputError
        The file can't be read or is invalid; the message lists all problems.

    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        raise InputError(f'{path}: {error}') from error
    return parse_settings(text, str(path), required)


def parse_settings(
    text: str,
    source: str = '<text>',
    required: Sequence[str] = ('vm', 'store', 'peers'),
) -> Settings:
    """Return the settings of an INI text.

    Parameters
    ----------
    text : str
        The INI text.
    source : str, optional
        Name of the file, used in error messages.
    required : sequence of str, optional
        Titles of the sections that the text must have.

    Raises
    ------
    InputError
        The text is invalid; the message lists all problems.

    Examples
    --------
    >>> parse_settings('[log] # usual', required=()).log.format
    <LogFormat.KEYVALUE: 'keyvalue'>
    >>> parse_settings('[log] # usual', 'some.ini', ['store'])
    Traceback (most recent call last):
    sesameroute.exceptions.InputError: some.ini: [store]: section is missing

    """
    problems = ProblemList(source)
    sections = parse_sections(text, source)
    for missing in required:
        if missing not in sections:
            problems.add(missing, 'section is missing')
    fields = {
        title: _validate(problems, title, options)
        for title, options in sections.items()
    }
    problems.raise_if_any()
    vmlist = fields.pop('vmlist', {})
    section_settings = {
        title: _SECTION_TYPES[title](**fields[title]) for title in fields
    }
    return Settings(vmlist_url=vmlist.get('url', ''), **section_settings)


def _validate(
    problems: ProblemList,
    title: str,
    options: Mapping[str, str],
) -> dict[str, Any]:
    """Return the validated values of a section that are set, by key.

    Problems are added to `problems`; the returned mapping is then empty.
    """
    model = SECTION_MODELS.get(title)
    if model is None:
        allowed = ', '.join(SECTION_MODELS)
        problems.add(title, f'unknown section; allowed: {allowed}')
        return {}
    section = problems.validate(model, title, options)
    return section.model_dump(exclude_none=True) if section else {}
