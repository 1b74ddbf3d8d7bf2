"""The operators' documentation covers every section, key and command."""

import re
from dataclasses import MISSING, fields
from pathlib import Path

import pytest

from sesameroute.programs.control import main
from sesameroute.settings import (
    Limits,
    LogSettings,
    PortSettings,
    StoreSettings,
    TraceSettings,
    parse_settings,
)
from sesameroute.settings._schema import SECTION_MODELS as SETTINGS_SECTIONS
from sesameroute.statement import (
    Kind,
    Link,
    Policy,
    Statement,
    check_statement,
    read_statement,
)
from sesameroute.statement._schema import SECTION_MODELS as STATEMENT_SECTIONS

OPERATOR_DOCS = Path(__file__).parents[3] / 'docs' / 'operators'


def format_default(default):
    """Return a default value in the notation of the documentation."""
    if isinstance(default, bool):
        return 'yes' if default else 'no'
    return str(default)


@pytest.mark.parametrize(
    ('page', 'sections'),
    [
        ('statement.md', STATEMENT_SECTIONS),
        ('settings.md', SETTINGS_SECTIONS),
    ],
)
def test_keys_are_documented(page, sections):
    """The table lists each key below its section."""
    table = (OPERATOR_DOCS / page).read_text().partition('| section |')[2]
    for title, model in sections.items():
        rows = table.partition(f'`[{title}')[2].partition('`[')[0]
        keys = set(model.model_fields) - set(getattr(model, 'title_fields', ()))
        assert {key for key in keys if f'`{key}`' not in rows} == set(), title


@pytest.mark.parametrize(
    ('page', 'models'),
    [
        ('statement.md', (Policy, Kind, Link, Statement)),
        (
            'settings.md',
            (Limits, LogSettings, PortSettings, StoreSettings, TraceSettings),
        ),
    ],
)
def test_defaults_are_documented(page, models):
    """The documented default of each key is that of the data class."""
    text = (OPERATOR_DOCS / page).read_text()
    documented = dict(re.findall(r'\| `(\w+)` \| ([\w.]+) \|', text))
    defaults = {
        field.name: format_default(field.default)
        for model in models
        for field in fields(model)
        if field.default not in {MISSING, '', ()}
    }
    assert defaults.items() <= documented.items()


@pytest.mark.parametrize(
    ('page', 'required'),
    [('settings.md', ('vm', 'peers')), ('sesamectl.md', ('operator',))],
)
def test_sample_settings(page, required):
    """The sample settings on the page are valid."""
    text = (OPERATOR_DOCS / page).read_text()
    sample = text.partition('```ini\n')[2].partition('```')[0]
    assert parse_settings(sample, page, ('store', *required)).store


def test_sample_statement(capsys):
    """The Python sample on the page prints a statement without findings."""
    text = (OPERATOR_DOCS / 'statement.md').read_text()
    sample = text.partition('```python\n')[2].partition('```')[0]
    exec(sample, {})  # noqa: S102, WPS421
    printed = capsys.readouterr().out
    statement = read_statement(printed)
    assert check_statement(statement) == []


def test_commands_are_documented(capsys):
    """The page on sesamectl has each command of the usage text."""
    main(['sesamectl', '--help'])
    listed = capsys.readouterr().out.partition('Commands:\n')[2]
    commands = [
        line.split()[0]
        for line in listed.splitlines()
        if line.startswith('  ') and not line.strip().startswith('-')
    ]
    page = (OPERATOR_DOCS / 'sesamectl.md').read_text()
    missing = [name for name in commands[:11] if f'`{name}' not in page]
    assert not missing
