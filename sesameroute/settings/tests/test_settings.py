"""Tests of settings: defaults, error messages and the hiding of secrets."""

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameroute.exceptions import ExitCode, InputError
from sesameroute.settings import (
    PeerSettings,
    Settings,
    StoreSettings,
    VmSettings,
    parse_settings,
    read_settings,
)

KEY = 'a-shared-key-of-the-fleet'
VALID_SETTINGS = f"""
# Settings of one entry VM.
[vm]
name = sofia-a-1
domain = sofia-a
address = 127.20.3.11

[store]
url = http://127.0.0.1:8500/
key = sesameroute/kalina

[peers]
key = {KEY}
addresses = sofia-b-1=127.20.4.11, varna-a-1=127.20.5.11
"""


def parse_invalid(text, required):
    """Parse an invalid text and return the error."""
    with pytest.raises(InputError) as caught:
        parse_settings(text, 'some.ini', required)
    return caught.value


def test_valid_file(tmp_path):
    """Sections in the file become data classes; the others get defaults."""
    path = tmp_path / 'entry.ini'
    path.write_text(VALID_SETTINGS)
    assert read_settings(path) == Settings(
        vm=VmSettings('sofia-a-1', 'sofia-a', '127.20.3.11'),
        store=StoreSettings('http://127.0.0.1:8500', 'sesameroute/kalina'),
        peers=PeerSettings(
            KEY,
            (('sofia-b-1', '127.20.4.11'), ('varna-a-1', '127.20.5.11')),
        ),
    )


@pytest.mark.parametrize(
    ('text', 'parts'),
    [
        ('[log]\nlevel = loud', ('[log] level', 'loud', 'debug, info')),
        ('[log]\ncolour = red', ('[log] colour: unknown', 'format, level')),
        ('[weather]', ('[weather]: unknown section', 'vmlist')),
        ('[trace]\nsample = 2', ('[trace] sample', '2', 'up to 1')),
        ('[trace]\nsample = nan', ('[trace] sample', 'nan')),
        ('[ports]\nentry = 0', ('[ports] entry', "'0'", 'from 1 up to 65535')),
        ('[limits]\nthreads = many', ('[limits] threads', 'many', 'integer')),
        ('[vm]\nname = A b', ('[vm] name', 'A b', '[vm] domain: key is mis')),
        ('[vm]\naddress = x', ('[vm] address', "'x'", 'IP address')),
        ('[store]\nurl = ftp://x', ('[store] url', 'ftp://x', 'http://')),
        ('[peers]\naddresses = a', ('[peers] addresses', 'a', 'key is mis')),
        ('[log]\n[log]', ('log', 'already exists')),
        ('level = info', ('section header',)),
        ('[log]\nnothing', ('nothing',)),
    ],
)
def test_error_names_invalid_value(text, parts):
    """The error names file, section, key, value and the allowed values."""
    error = parse_invalid(text, required=())
    expected = {'some.ini', *parts}
    assert error.exit_code == ExitCode.INPUT
    assert {part for part in expected if part in error.message} == expected


def test_all_errors_are_reported_together():
    """Invalid values and missing sections are reported in one error."""
    text = '[log]\nlevel = loud\n[trace]\nsample = 2\n'
    error = parse_invalid(text, required=('vm', 'store', 'peers'))
    assert len(error.message.splitlines()) == 5


def test_secrets_are_not_shown():
    """Neither an error message nor a repr contains a peer key."""
    error = parse_invalid('[peers]\nkey = short', required=())
    assert 'short' not in error.message
    assert KEY not in repr(parse_settings(VALID_SETTINGS))


@settings(derandomize=True, deadline=None, max_examples=200, database=None)
@given(
    edits=st.lists(
        st.tuples(
            st.integers(0, len(VALID_SETTINGS.splitlines()) - 1),
            st.text(max_size=12)
            | st.sampled_from(['[log]', '[limits]', 'key =', 'urls = ,', '=']),
        ),
        min_size=1,
        max_size=4,
    ),
)
def test_modified_lines(edits):
    """A damaged file is either read or raises InputError."""
    lines = VALID_SETTINGS.splitlines()
    for line_number, line in edits:
        lines[line_number] = line
    with suppress(InputError):
        assert parse_settings('\n'.join(lines)).vm


@pytest.mark.parametrize('content', [None, b'\xff\xfe'])
def test_unreadable_file(tmp_path, content):
    """A missing file and a file that is not UTF-8 raise InputError."""
    path = tmp_path / 'entry.ini'
    if content:
        path.write_bytes(content)
    with pytest.raises(InputError, match=r'entry\.ini'):
        read_settings(path)
