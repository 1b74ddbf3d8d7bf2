"""Fixtures of the tests with nodes."""

import functools

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.builds import (
    BuildMissingError,
    EarlierNodes,
    extract_build,
)
from sesameroute.node.tests.cluster import Cluster
from sesameroute.node.tests.drills import Drill


@pytest.fixture
def cluster():
    """Return a cluster that is stopped after the test."""
    running = Cluster()
    yield running
    running.stop()


@pytest.fixture
def servers(cluster):
    """Return three registered backend servers."""
    running = [BackendStandIn(work_seconds=0.01) for _ in range(3)]
    for number, each in enumerate(running):
        cluster.register(f'server-{number}', each)
    yield running
    for each in running:
        each.stop()


@pytest.fixture
def added():
    """Return a backend server that is not registered."""
    running = BackendStandIn()
    yield running
    running.stop()


@pytest.fixture(scope='session')
def environments(tmp_path_factory):
    """Return a function that gives the environment of an earlier landing."""
    return functools.cache(
        lambda landing: extract_build(landing, tmp_path_factory.mktemp(landing))
    )


@pytest.fixture
def landing():
    """Return the landing that earlier nodes run; tests may name another."""
    return 'be4f3ab'


@pytest.fixture
def earlier(cluster, environments, landing, tmp_path):
    """Return the nodes of an earlier landing, ended after the test."""
    try:
        environment = environments(landing)
    except BuildMissingError as error:
        pytest.skip(f'no earlier landing to run: {error}')
    running = EarlierNodes(cluster, environment, tmp_path)
    yield running
    running.kill_all()


@pytest.fixture
def start_drill(cluster):
    """Return a function that starts a drill, stopped after the test."""
    running = []

    def start(nodes, regions):
        running.append(Drill(cluster, nodes, regions))
        return running[-1]

    yield start
    for each in running:
        each.stop()
