"""The example statements: INI files match Python files, sizes as specified."""

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

# Specified sizes of the example deployments: the number of backend servers
# and the slots of each by service, connections of each backend server, and
# the one-way delays in seconds between failure domains and between regions.
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
    """Return the name and the statement of an example."""
    module = runpy.run_path(str(EXAMPLES / f'{request.param}.py'))
    return request.param, module['build_statement']()


def test_ini_file_is_up_to_date(example):
    """The committed INI file equals the output of the Python file."""
    name, statement = example
    text = (EXAMPLES / f'{name}.ini').read_text()
    assert print_statement(statement) == text
    assert read_statement(text) == statement


def test_sizes_of_services(example):
    """Backend servers, slots and connections are as specified."""
    name, statement = example
    services, connections, _ = SIZES[name]
    for service, size in services.items():
        upstreams = statement.list_upstreams(service)
        slots = {upstream.slots for upstream in upstreams}
        assert (len(upstreams), slots) == (size[0], {size[1]})
        connection_limits = {upstream.connections for upstream in upstreams}
        assert connection_limits == {connections}


def test_sizes_of_places(example):
    """VMs, links and delays are as specified."""
    name, statement = example
    places = statement.places
    first, second, third = places.domains[:3]
    assert len(statement.vms) == 7
    assert len(statement.links) == 6
    assert {link.megabits for link in statement.links} == {4000}
    delay_between_domains = places.measure_delay(first, second)
    assert (delay_between_domains, places.measure_delay(first, third)) == SIZES[
        name
    ][2]


def test_examples_have_no_errors(example):
    """Both examples pass the checks that a submission must pass."""
    findings = check_statement(example[1])
    errors = [
        finding for finding in findings if finding.severity is Severity.ERROR
    ]
    assert not errors
