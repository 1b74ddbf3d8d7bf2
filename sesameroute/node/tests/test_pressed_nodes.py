"""Tests of nodes that get more new connections than they can serve."""

import contextlib
import socket
import time

import pytest

from sesameroute.node.tests.press import Probes, ask, pressing
from sesameroute.node.tests.pressed_node import (
    ADDRESS,
    is_node_ready,
    running_node,
    sharing_one_core,
)

_CONTACT_SECONDS = 3.0  # a ready node may take no connection for this long
_PRESS_SECONDS = 14
_PRESS_PER_SECOND = 1500
_SILENT_CALLERS = 600
_SILENT_HEADS = (b'', b'GET /a/x HTTP/1.1\r\nHo')
_ASK_SECONDS = 0.5


@pytest.fixture
def process(tmp_path):
    """Return the process of a node."""
    with running_node(tmp_path) as running:
        yield running


def test_ready_node_answers_while_new_connections_press(process):
    """A node that said it was ready answered nobody for up to 11 s."""
    with (
        sharing_one_core(process),
        pressing(ADDRESS, _PRESS_PER_SECOND, _PRESS_SECONDS) as wait_for_end,
    ):
        probes = Probes(ADDRESS)
        outcomes = wait_for_end()
        longest = probes.stop()
    print(outcomes, longest)
    assert is_node_ready()
    assert longest < _CONTACT_SECONDS


@pytest.mark.parametrize('head', _SILENT_HEADS)
def test_silent_callers_hold_up_nobody(process, head):
    """Connections on which nothing came took a thread each."""
    with contextlib.ExitStack() as silent:
        for _ in range(_SILENT_CALLERS):
            caller = silent.enter_context(socket.create_connection(ADDRESS))
            caller.sendall(head)
        began = time.monotonic()
        status = ask(ADDRESS)
    assert status == 200
    assert time.monotonic() - began < _ASK_SECONDS
