"""The operators' pages name every section and key."""

from pathlib import Path

import pytest

from sesameroute.programs.control import main
from sesameroute.settings._schema import SECTIONS as SETTINGS_SECTIONS
from sesameroute.statement._schema import SECTIONS as STATEMENT_SECTIONS

PAGES = Path(__file__).parents[3] / 'docs' / 'operators'


@pytest.mark.parametrize(
    ('page', 'sections'),
    [
        ('statement.md', STATEMENT_SECTIONS),
        ('settings.md', SETTINGS_SECTIONS),
    ],
)
def test_keys_are_documented(page, sections):
    """Each key stands in the table after its section."""
    table = (PAGES / page).read_text().partition('| section |')[2]
    for title, model in sections.items():
        rows = table.partition(f'`[{title}')[2].partition('`[')[0]
        keys = set(model.model_fields) - set(getattr(model, 'title_fields', ()))
        assert {key for key in keys if f'`{key}`' not in rows} == set(), title


def test_commands_are_documented(capsys):
    """Each command of the usage text stands on the page of sesamectl."""
    main(['sesamectl', '--help'])
    listed = capsys.readouterr().out.partition('Commands:\n')[2]
    commands = [
        line.split()[0]
        for line in listed.splitlines()
        if line.startswith('  ') and not line.strip().startswith('-')
    ]
    page = (PAGES / 'sesamectl.md').read_text()
    missing = [name for name in commands[:11] if f'`{name}' not in page]
    assert not missing
