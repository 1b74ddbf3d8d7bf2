"""Tests of answers that are not valid HTTP."""

import pytest

from sesameroute.adapters.tests.malformed_answers import (
    BODILESS_ANSWERS,
    MALFORMED_ANSWERS,
    UNUSUAL_ANSWERS,
    fill,
)
from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import (
    IDENTIFIER_HEADER,
    SEAL_HEADER,
    ScriptedServer,
)
from sesameroute.placement import Outcome
from sesameroute.routes import RequestKind


@pytest.fixture(scope='module')
def server():
    """Yield a server whose answers are scripted by each test."""
    running = ScriptedServer('whole')
    yield running
    running.stop()


def script(text, end='close'):
    """Return a script that gives such an answer with the server's seal."""
    return fill(text, SEAL_HEADER + IDENTIFIER_HEADER), end


@pytest.mark.parametrize('kind', [RequestKind.SAFE, RequestKind.UNSAFE])
@pytest.mark.parametrize('name', list(MALFORMED_ANSWERS))
def test_malformed_answer_never_reaches_the_caller(server, name, kind):
    """The request may have run; the server's bytes are no answer."""
    server.follow(script(MALFORMED_ANSWERS[name]))
    harness = ForwarderHarness(server, kind=kind, attempts=1)
    status, headers, content = harness.forward()
    assert (status, content) == (502, b'lost\n')
    assert 'Sesameroute-Server-Seal' not in headers
    assert len(server.heads) == 1
    assert harness.allocator.releases == [('a', Outcome.LOST)]


@pytest.mark.parametrize('name', list(MALFORMED_ANSWERS))
def test_connection_with_a_malformed_answer_is_not_used_again(server, name):
    """Nobody knows where the next answer begins on it."""
    server.follow(script(MALFORMED_ANSWERS[name], 'keep'), 'whole')
    harness = ForwarderHarness(server, attempts=1)
    assert harness.forward('/p/1')[0] == 502
    assert harness.forward('/p/2')[::2] == (200, b'whole')
    assert server.connections == 2


@pytest.mark.parametrize('name', list(MALFORMED_ANSWERS))
def test_malformed_answer_of_another_node_is_not_passed_on(server, name):
    """A node in trouble is no better than a server in trouble."""
    mark = 'Sesame-Relay: mine\r\n'
    server.follow((fill(MALFORMED_ANSWERS[name], mark), 'close'))
    harness = ForwarderHarness(kind=RequestKind.UNSAFE)
    harness.relay_to(server.target)
    assert harness.forward()[::2] == (502, b'lost\n')


@pytest.mark.parametrize('name', list(UNUSUAL_ANSWERS))
def test_unusual_answer_is_passed_on(server, name):
    """It is valid, whatever it looks like."""
    server.follow(script(UNUSUAL_ANSWERS[name]))
    harness = ForwarderHarness(server, kind=RequestKind.UNSAFE, attempts=1)
    status, headers, content = harness.forward()
    assert (status, content) == (200, b'whole')
    assert headers['Sesameroute-Server-Seal'] == 's'


@pytest.mark.parametrize('name', list(BODILESS_ANSWERS))
def test_answer_without_a_body_ends_with_its_head(server, name):
    """Its connection can be used again at once."""
    server.follow(script(BODILESS_ANSWERS[name], 'keep'))
    harness = ForwarderHarness(server, attempts=1)
    status = int(name.partition(' ')[0])
    assert harness.forward()[::2] == (status, b'')
    assert harness.forward()[::2] == (status, b'')
    assert server.connections == 1
