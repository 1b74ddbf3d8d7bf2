"""Fixtures of the tests with nodes."""

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import Cluster


@pytest.fixture
def cluster():
    """Return a cluster that is stopped after the test."""
    running = Cluster()
    yield running
    running.stop()


@pytest.fixture
def added():
    """Return a backend server that is not registered."""
    running = BackendStandIn()
    yield running
    running.stop()
