"""Fixtures of the tests of adapters."""

import pytest

from sesameroute.adapters.tests.peer_networks import Fleet


@pytest.fixture
def fleet():
    """Yield a fleet and stop its networks afterwards."""
    running = Fleet()
    yield running
    for network in running.networks:
        network.stop()
