"""Errors and warnings for statements that can't work as described."""

from dataclasses import replace

import pytest

from sesameroute.exceptions import InputError
from sesameroute.statement import (
    Drain,
    DrainTarget,
    Severity,
    StatementBuilder,
    check_statement,
    print_statement,
    read_statement,
)


def build_statement(**changes):
    """Return a valid statement of two regions with some values changed."""
    options = {
        'megabits': 4000,
        'slots': 4,
        'connections': 100,
        'peak_rate': 100,
        'work_ms': 100,
        'bytes': 100_000,
        **changes,
    }
    builder = StatementBuilder('small').set_places('n')
    builder.add_region('n', 'n-a', 'n-b').add_region('s', 's-a', 's-b')
    builder.set_policy(peak_rate=options['peak_rate'])
    addresses = {}
    for number, domain in enumerate(('n-a', 'n-b', 's-a', 's-b')):
        builder.add_vm(f'{domain}-1', domain, f'127.30.{number}.11')
        addresses[domain] = f'127.30.{number}.100'
    builder.add_service('desk').add_kind(
        'order',
        'desk',
        work_ms=options['work_ms'],
        answer_bytes=options['bytes'],
    )
    builder.add_upstreams(
        'desk',
        count=8,
        addresses=addresses,
        port=9000,
        slots=options['slots'],
        connections=options['connections'],
    )
    return builder.add_link('n', 's', options['megabits']).build()


def add_drains(statement, target, *subjects):
    """Return the statement with drains of the subjects."""
    drains = {name: Drain(name, target, name) for name in subjects}
    return replace(statement, drains=drains)


def list_messages(statement, severity):
    """Return the findings of a severity, one a line."""
    findings = check_statement(statement)
    return '\n'.join(
        str(finding) for finding in findings if finding.severity is severity
    )


@pytest.mark.parametrize(
    ('changes', 'message'),
    [
        ({'connections': 3}, '[upstream desk-1] connections = 3; allowed: 4'),
        ({'slots': 200}, 'connections = 100; allowed: 200 or more'),
        ({'work_ms': 5000}, '[kind order] work_ms = 5000; allowed: below'),
        ({'peak_rate': 400}, '[service desk] 32 slots are not drained; all'),
        ({'megabits': 0.1}, '[link n s] each of 2 entry VMs may send 5000 '),
    ],
)
def test_impossible_values(changes, message):
    """The finding names the section, the value and the allowed values."""
    assert message in list_messages(build_statement(**changes), Severity.ERROR)


@pytest.mark.parametrize(
    ('target', 'subjects', 'message'),
    [
        (DrainTarget.VM, ['n-a-1', 'n-b-1', 's-a-1'], '[vm] 1 entry VMs'),
        (DrainTarget.REGION, ['n', 's'], 'are in 0 failure domains'),
        (DrainTarget.DOMAIN, ['n-a', 'n-b', 's-a'], 'are in 1 failure'),
        (
            DrainTarget.UPSTREAM,
            [f'desk-{number}' for number in range(1, 7)],
            '8 slots are not drained; allowed: 10.0 or more',
        ),
    ],
)
def test_insufficient_capacity_after_drains(target, subjects, message):
    """Drains must leave enough VMs, failure domains and slots."""
    statement = add_drains(build_statement(), target, *subjects)
    assert message in list_messages(statement, Severity.ERROR)


def test_links_carry_load_of_drained_region():
    """Answers for a drained region's callers must fit the links to it."""
    with_drain = add_drains(build_statement(), DrainTarget.REGION, 's')
    assert not list_messages(with_drain, Severity.ERROR)
    with_narrow_link = add_drains(
        build_statement(megabits=20), DrainTarget.REGION, 's'
    )
    assert '[region s] answers of 5000000 bytes' in list_messages(
        with_narrow_link,
        Severity.ERROR,
    )


def test_warning_of_critical_domain():
    """Load that needs every failure domain gives a warning, no error."""
    warnings = list_messages(build_statement(peak_rate=270), Severity.WARNING)
    assert 'without n-a there are 24 slots; 27.0 are needed' in warnings


def test_statement_exceeds_store_limit():
    """A statement larger than the store's limit for a value is an error."""
    statement = build_statement()
    first = statement.upstreams['desk-1']
    extra = {
        f'more-{number}': replace(first, name=f'more-{number}', port=number)
        for number in range(10_000, 19_000)
    }
    large = replace(statement, upstreams={**statement.upstreams, **extra})
    assert 'allowed: up to 1000000' in list_messages(large, Severity.ERROR)


def test_warning_of_used_reserve():
    """Load that needs the reserve gives a warning, no error."""
    statement = build_statement(peak_rate=300)
    assert not list_messages(statement, Severity.ERROR)
    assert 'cuts into the reserve' in list_messages(statement, Severity.WARNING)


@pytest.mark.parametrize(
    ('old', 'new', 'message'),
    [
        ('domain = n-a', 'domain = x', "domain = 'x': allowed: n-a, n-b"),
        ('service = desk', 'service = x', "service = 'x': allowed: desk"),
        ('127.30.1.11', '127.30.0.11', '127.30.0.11 belongs to two VMs'),
        ('127.30.1.100', '127.30.0.100', 'belongs to two upstreams'),
        ('peer_port = 8402', 'peer_port = 8400', 'must differ'),
        ('domains = s-a', 'domains = n-a', "'n-a' is listed in two regions"),
        ('[link n s]', '[link n n]', 'source and target must differ'),
        ('[vm n-a-1]', '[vm desk-1]', 'is also the name of a VM'),
        ('store_region = n', 'store_region = x', 'allowed: n, s'),
        ('[vm n-a-1]', '[vm]', 'title must be [vm NAME]'),
        ('[vm n-a-1]', '[vm n-a-1]\nname = x', 'title must be [vm NAME]'),
        ('[vm n-a-1]', '[vm A.1]', "'A.1'"),
        (
            '[vm n-a-1]',
            '[vm  n-b-1]',
            '[vm n-b-1]: section occurs more than once',
        ),
        ('[places]', '[region t]', '[places]: section is missing'),
        ('slots = 4', 'slots = 0', "slots: '0'"),
        ('cap = 0.8', 'cap = 1.1', 'cap: '),
    ],
)
def test_invalid_statement_is_refused(old, new, message):
    """Reading fails on invalid references, duplicates and values."""
    text = print_statement(build_statement())
    assert old in text
    with pytest.raises(InputError) as caught:
        read_statement(text.replace(old, new), 'some.ini')
    assert message in caught.value.message


def test_builder_refuses_duplicate_section():
    """Adding a section twice fails at once, before `build`."""
    builder = StatementBuilder('small').add_service('desk')
    with pytest.raises(InputError, match='service desk'):
        builder.add_service('desk')
