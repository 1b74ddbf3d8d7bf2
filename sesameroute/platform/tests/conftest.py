"""Fixtures of the platform's tests."""

import io
import logging

import pytest

from sesameroute.telemetry import EventLog, LogBridge


@pytest.fixture
def log():
    """Yield the log as it is written by a node."""
    written = io.StringIO()
    bridge = LogBridge(EventLog('n', stream=written))
    logger = logging.getLogger('sesameroute')
    level = logger.level
    logger.setLevel(logging.INFO)
    logger.addHandler(bridge)
    yield written
    logger.removeHandler(bridge)
    logger.setLevel(level)
