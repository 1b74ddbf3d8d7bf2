"""Tests of requests that end backend servers after they were answered well."""

import random
import time

import pytest

from sesameroute.node.tests.cluster import send
from sesameroute.node.tests.partition import Cut
from sesameroute.node.tests.repeaters import Repeaters, RestartingServers

_NODES = (1, 2, 3)
_SERVERS = 6
_ENOUGH_CRASHES = 3
# The bound as it is stated: of a request under which three servers have ended,
# at most so many retries reach servers later than this.
_CONTACT_SECONDS = 3.0
_MAX_LATE_RETRIES = 3
_REPEATED_SECONDS = 7.5
_HARMLESS = tuple(f'/a/harmless-{number}' for number in range(8))
_HARMLESS_INTERVAL = 0.1


@pytest.fixture
def servers(cluster):
    """Return registered servers, nodes in one zone run beside them."""
    running = RestartingServers(cluster, _SERVERS)
    cluster.start_nodes(*_NODES)
    yield running
    running.stop()


def answer_each_path_once(paths):
    """Let each node see each path answered well."""
    for number in _NODES:
        assert [send(number, path)[0] for path in paths] == [200] * len(paths)


def count_late_retries(servers, path):
    """Return how often a path came too late after it had ended enough."""
    crashes = servers.list_crashes(path)
    assert crashes
    if len(crashes) < _ENOUGH_CRASHES:
        return 0
    since = crashes[_ENOUGH_CRASHES - 1] + _CONTACT_SECONDS
    return servers.count_arrivals(path, since)


@pytest.mark.parametrize(
    ('interval', 'options'),
    [(0.3, {}), (0.3, {'leave': 0.03}), (2.0, {'copies': 3})],
    ids=['answered', 'callers-leave', 'bursts'],
)
def test_request_that_turns_harmful_is_stopped(servers, interval, options):
    """One answer hid all later losses; ends that no node saw didn't count."""
    check_harmful_paths_are_stopped(servers, 1, interval, options)


def test_request_under_which_servers_end_silently_is_stopped(servers):
    """Ends that leave connections open showed as time-outs only."""
    for each in servers.running:
        each.is_silent = True
    check_harmful_paths_are_stopped(servers, 1, 0.3, {})


def test_several_requests_that_turn_harmful_are_stopped(servers):
    """Each was lost beside the others, which explained its losses."""
    check_harmful_paths_are_stopped(servers, 4, 0.3, {})


def check_harmful_paths_are_stopped(servers, count, interval, options):
    """Repeat paths that turn harmful, and check when servers get them."""
    paths = [f'/a/harmful-{number}' for number in range(count)]
    answer_each_path_once(paths)
    beside = Repeaters(_NODES, _HARMLESS, _HARMLESS_INTERVAL)
    servers.harmful.update(paths)
    harmful = Repeaters(_NODES, paths, interval, **options)
    time.sleep(_REPEATED_SECONDS)
    harmful.stop()
    beside.stop()
    late = [count_late_retries(servers, path) for path in paths]
    assert max(late) <= _MAX_LATE_RETRIES
    assert not beside.count_replies(b'quarantined')


def restart_in_turn(servers):
    """End one server after the other, each while it runs requests."""
    for each in (*servers.running, *servers.running):
        each.crash()
        time.sleep(0.4)


def lose_most_together(servers):
    """End most servers at the same moment, three times."""
    for _ in range(3):
        for each in servers.running[1:]:
            each.crash()
        time.sleep(1.5)


def crash_under_any_load(servers):
    """Let each request end its server with a probability of a tenth."""
    draw = random.Random(1)

    def is_harmful(_path):
        return draw.random() < 0.1

    for each in servers.running:
        each.is_harmful = is_harmful
    time.sleep(5)


def keep_a_server_that_always_ends(servers):
    """Let one server end under whatever it gets."""
    servers.running[0].is_harmful = bool
    time.sleep(5)


def cut_off_one_node(servers):
    """Reset all links of one node to the servers, four times."""
    wire = servers.cluster.wires[_NODES[0]]
    for _ in range(4):
        wire.apply(Cut.RESET)
        time.sleep(0.8)
        wire.heal()
        time.sleep(0.5)


@pytest.mark.parametrize(
    'disturb',
    [
        restart_in_turn,
        lose_most_together,
        keep_a_server_that_always_ends,
        cut_off_one_node,
    ],
)
def test_harmless_request_is_never_held(servers, disturb):
    """Requests that were there when servers ended for other reasons."""
    check_harmless_paths_are_not_held(servers, disturb)


def test_harmless_request_is_not_held_under_crashing_load(servers):
    """Each request ends its server with the same probability of a tenth."""
    check_harmless_paths_are_not_held(servers, crash_under_any_load)


def check_harmless_paths_are_not_held(servers, disturb):
    """Repeat harmless paths beside a disturbance, and check the replies."""
    harmless = Repeaters(_NODES, _HARMLESS, _HARMLESS_INTERVAL)
    disturb(servers)
    harmless.stop()
    assert harmless.count_replies(b'whole')
    assert not harmless.count_replies(b'quarantined')
    assert not harmless.count_replies(b'suspected')
