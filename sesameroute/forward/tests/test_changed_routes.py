"""Tests of requests whose route changes before they are sent."""

from dataclasses import replace

import pytest

from sesameroute.forward.tests.harness import ForwarderHarness, earn_retries
from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.routes import RequestKind, WeightedService


class ChangingAllocator:
    """Changes the configuration while it places the first request."""

    def __init__(self, allocator, change):
        """Store the parameters."""
        self.allocator = allocator
        self.change = change

    def place(self, slot_request):
        """Change the configuration once, then place the request."""
        change, self.change = self.change, bool
        change()
        return self.allocator.place(slot_request)

    def release(self, *arguments):
        """Release a slot."""
        self.allocator.release(*arguments)


def configure(harness, *routes):
    """Put the next version of the configuration in force."""
    active = harness.active_configuration
    active.apply_if_newer(
        replace(active.configuration, version=active.version + 1, routes=routes)
    )


@pytest.mark.parametrize('script', ['whole', 'shed', 'no answer'])
@pytest.mark.parametrize(
    ('changed', 'asked'),
    [
        ({'homes': frozenset({'north'})}, {'homes': ('north',)}),
        ({'parts': (WeightedService('t', 1),)}, {'service': 't'}),
        ({'homes': frozenset({'n', 's'})}, {'homes': ('n', 's')}),
    ],
)
def test_grant_of_a_changed_route_is_not_used(changed, asked, script):
    """A request that waited was sent outside the homes of its route."""
    servers = ScriptedServer(script), ScriptedServer('whole')
    harness = ForwarderHarness(*servers)
    earn_retries(harness.forwarder.guards.retries, 't')
    route = harness.active_configuration.configuration.routes[0]
    harness.forwarder.allocator = ChangingAllocator(
        harness.allocator, lambda: configure(harness, replace(route, **changed))
    )
    assert harness.forward()[0] == 200
    first, *later = harness.allocator.asks
    assert later
    for slot_request in later:
        for name, expected in asked.items():
            assert getattr(first, name) != expected
            assert getattr(slot_request, name) == expected
    assert len(harness.allocator.releases) == len(harness.allocator.asks)


def test_retry_follows_the_changed_route():
    """A second try went by the route of the first one."""
    servers = ScriptedServer('shed'), ScriptedServer('whole')
    harness = ForwarderHarness(*servers)
    route = harness.active_configuration.configuration.routes[0]
    homed = replace(route, homes=frozenset({'north'}))
    harness.forwarder.sender.connections.open = _run_before(
        harness.forwarder.sender.connections.open,
        lambda: configure(harness, homed),
    )
    assert harness.forward()[0] == 200
    asked = [each.homes for each in harness.allocator.asks]
    assert asked == [(), ('north',)]


def _run_before(function, action):
    def run(*arguments):
        action()
        return function(*arguments)

    return run


def test_request_outlives_its_route():
    """What was accepted while the route was there is served."""
    harness = ForwarderHarness(ScriptedServer('whole'))
    harness.forwarder.allocator = ChangingAllocator(
        harness.allocator, lambda: configure(harness)
    )
    assert harness.forward()[0] == 200


@pytest.mark.parametrize('kinds', [('safe', 'unsafe'), ('unsafe', 'safe')])
def test_request_that_was_ever_unsafe_is_not_repeated(kinds):
    """A change of the kind must not let a request run twice."""
    servers = ScriptedServer('no answer'), ScriptedServer('whole')
    former, changed = map(RequestKind, kinds)
    harness = ForwarderHarness(*servers, kind=former)
    route = harness.active_configuration.configuration.routes[0]
    harness.forwarder.allocator = ChangingAllocator(
        harness.allocator,
        lambda: configure(harness, replace(route, kind=changed)),
    )
    assert harness.forward(body=b'x')[0] == 502
    assert sum(len(each.heads) for each in servers) == 1


def test_request_that_may_have_run_is_not_sent_again_as_unsafe():
    """The kind changed after a safe first try that may have run."""
    servers = ScriptedServer('no answer'), ScriptedServer('whole')
    harness = ForwarderHarness(*servers, kind=RequestKind.SAFE)
    route = harness.active_configuration.configuration.routes[0]
    unsafe = replace(route, kind=RequestKind.UNSAFE)
    connections = harness.forwarder.sender.connections
    connections.open = _run_before(
        connections.open, lambda: configure(harness, unsafe)
    )
    assert harness.forward()[0] == 502
    assert sum(len(each.heads) for each in servers) == 1
