"""Tests of what nodes log and count of the requests that they refuse."""

import pytest

from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.mirror import Position
from sesameroute.routes import Configuration, ConfigurationOrigin

_POSITION = Position(3, 40).pack()


@pytest.mark.parametrize(
    ('event', 'version', 'status', 'why', 'known'),
    [
        (
            'request refused',
            9,
            404,
            'no-route',
            {'version': 9, 'era': 3, 'revision': 40},
        ),
        (
            'request turned away',
            None,
            503,
            'no-configuration',
            {'version': '-'},
        ),
    ],
)
def test_refusal_names_the_configuration_that_decided(
    caplog, event, version, status, why, known
):
    """A 404 by an older configuration looked like any other 404."""
    caplog.set_level('INFO')
    harness = ForwarderHarness(ScriptedServer('whole'))
    counted = []
    harness.forwarder.refusals_.observer_ = lambda *each: counted.append(each)
    active = harness.active_configuration
    active.table_ = None
    if version is not None:
        origin = ConfigurationOrigin(_POSITION, '127.0.0.2', -1)
        active.apply_if_newer(Configuration(version, (), origin=origin))
    assert harness.forward('/p/x')[0] == status
    lines = [each for each in caplog.records if each.message == event]
    assert len(lines) == 1
    line = lines[0]
    fields = {'status': status, 'why': why, 'path': '/p/x', **known}
    assert fields.items() <= vars(line).items()
    if version is not None:
        assert (line.source, line.age_ms > 0) == ('127.0.0.2', True)
    assert counted == [(status, why)]
