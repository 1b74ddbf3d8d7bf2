"""The committed INI files are what their Python files print."""

import runpy
from pathlib import Path
from types import MappingProxyType

import pytest

from sesameroute.statement import (
    Severity,
    check_statement,
    print_statement,
    read_statement,
)

EXAMPLES = Path(__file__).parents[3] / 'examples'

# Upstreams and slots by service, connections and delays from the brief.
SIZES = MappingProxyType(
    {
        'kalina': (
            {
                'tray-catalogue': (14, 6),
                'order-desk': (12, 4),
                'drawing-vault': (12, 3),
            },
            330,
            (0.001, 0.012),
        ),
        'herd_returns': (
            {
                'tally-desk': (24, 4),
                'lodge-desk': (12, 3),
                'sheet-store': (12, 3),
            },
            400,
            (0.0015, 0.055),
        ),
    }
)


@pytest.fixture(params=sorted(SIZES))
def example(request):
    """Return the name of an example and its statement."""
    module = runpy.run_path(str(EXAMPLES / f'{request.param}.py'))
    return request.param, module['build_statement']()


def test_printed_is_committed(example):
    """The INI file holds what the Python file prints."""
    name, statement = example
    text = (EXAMPLES / f'{name}.ini').read_text()
    assert print_statement(statement) == text
    assert read_statement(text) == statement


def test_sizes_of_services(example):
    """Upstreams, slots and connections are as stated."""
    name, statement = example
    services, connections, _ = SIZES[name]
    for service, size in services.items():
        upstreams = statement.list_upstreams(service)
        slots = {upstream.slots for upstream in upstreams}
        assert (len(upstreams), slots) == (size[0], {size[1]})
        held = {upstream.connections for upstream in upstreams}
        assert held == {connections}


def test_sizes_of_places(example):
    """VMs, links and delays are as stated."""
    name, statement = example
    places = statement.places
    first, second, third = places.domains[:3]
    assert len(statement.vms) == 7
    assert len(statement.links) == 6
    assert {link.megabits for link in statement.links} == {4000}
    near = places.measure_delay(first, second)
    assert (near, places.measure_delay(first, third)) == SIZES[name][2]


def test_checks_find_no_error(example):
    """Both deployments could be submitted."""
    findings = check_statement(example[1])
    errors = [
        finding for finding in findings if finding.severity is Severity.ERROR
    ]
    assert not errors
