"""Property tests: any text gives a statement or InputError.

A statement that was read prints as text that reads as an equal statement.
"""

from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameroute.exceptions import InputError
from sesameroute.statement import (
    StatementBuilder,
    check_statement,
    print_statement,
    read_statement,
)

FUZZ_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    database=None,
)


def print_complete_statement():
    """Return the INI text of a statement with every type of section."""
    builder = StatementBuilder('small', entry_port=8500)
    builder.set_places('north', region_delay_ms=12.5)
    builder.add_region('north', 'north-a', 'north-b').add_region('s', 's-a')
    builder.set_policy(priority='headroom', peak_rate=40, reserve=0.25)
    builder.add_vm('north-a-1', 'north-a', '127.30.1.11')
    builder.add_vm('s-a-1', 's-a', '::1')
    builder.add_service('desk', trusts_shed=False)
    builder.add_kind('order', 'desk', idempotent=False, work_ms=0.125)
    builder.add_upstreams(
        'desk',
        count=4,
        addresses={'north-b': '127.30.2.100', 's-a': '127.30.3.100'},
        port=9000,
        slots=4,
        connections=100,
    )
    builder.add_link('north', 's', 4000, 0.75)
    builder.add_drain('d', 'upstream', 'desk-1')
    builder.add_shift(
        'night',
        service='desk',
        source='north',
        target='s',
        fraction=0.5,
        cap=2.5,
        started=1.75e9,
        seconds=60,
    )
    return print_statement(builder.build())


LINES = print_complete_statement().splitlines()
KEYS = sorted({line.partition(' =')[0] for line in LINES})
TITLES = sorted({line for line in LINES if line.startswith('[')})
VALUES = st.sampled_from([
    '', '0', '-1', '1e400', 'nan', '9' * 30, '0.5', 'yes', 'north', 's-a',
    'desk', 'vm', '127.30.1.11', 'a, b', ',', 'Ö', '%(name)s', '[x]',
])  # fmt: skip
NEW_LINES = st.one_of(
    st.text(max_size=12),
    st.sampled_from(TITLES),
    st.builds('[{0} {1}]'.format, st.sampled_from(KEYS), VALUES),
    st.builds('{0} = {1}'.format, st.sampled_from(KEYS), VALUES),
)
EDITS = st.lists(
    st.tuples(st.integers(0, len(LINES) - 1), st.none() | NEW_LINES),
    min_size=1,
    max_size=3,
)


def check_text(text):
    """Check that a text is invalid input or gives a consistent statement.

    The statement must survive printing and reading, and its checks must not
    raise an exception.
    """
    with suppress(InputError):
        statement = read_statement(text)
        assert read_statement(print_statement(statement)) == statement
        check_statement(statement)


@FUZZ_SETTINGS
@given(edits=EDITS)
def test_modified_lines(edits):
    """Replaced or removed lines raise no exception other than InputError."""
    lines = list(LINES)
    for line_number, line in edits:
        lines[line_number] = line
    check_text('\n'.join(line for line in lines if line is not None))


@FUZZ_SETTINGS
@given(text=st.text() | st.lists(NEW_LINES, max_size=8).map('\n'.join))
def test_arbitrary_text(text):
    """Arbitrary text raises no exception other than InputError."""
    check_text(text)


@FUZZ_SETTINGS
@given(
    numbers=st.lists(
        st.floats(1e-6, 0.999) | st.integers(0, 0),
        min_size=4,
        max_size=4,
    ),
    counts=st.lists(st.integers(1, 60_000), min_size=4, max_size=4),
)
def test_numbers_are_not_rounded(numbers, counts):
    """Printing and reading a statement does not round its numbers."""
    builder = StatementBuilder('small').set_places('n').add_region('n', 'a')
    builder.set_policy(
        reserve=numbers[0],
        retry_budget=numbers[1],
        hedge_budget=numbers[2],
        peak_rate=numbers[3] * counts[0],
        queue_ms=counts[1],
        lookup_ttl_ms=counts[2],
    )
    statement = builder.build()
    assert read_statement(print_statement(statement)) == statement
    assert statement.policy.reserve == numbers[0]


def test_complete_statement_reads_back():
    """Reading and printing a statement keeps every section."""
    printed = print_statement(read_statement('\n'.join(LINES)))
    assert printed.splitlines() == LINES
