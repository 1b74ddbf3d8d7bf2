"""Command line of the programs that run until SIGTERM or SIGINT."""

import logging
import random
import signal
import sys
import threading
from collections.abc import Callable
from typing import Protocol

from absl import app, flags

from sesameroute.exceptions import ExitCode, SesameError
from sesameroute.ports import SystemClock, TcpWire
from sesameroute.programs._host_environment import HostEnvironment
from sesameroute.programs._telemetry import Telemetry
from sesameroute.settings import Settings, read_settings
from sesameroute.telemetry import LogBridge

__all__ = ['Node', 'run_service']

_CONFIG_FLAG = 'config'


class Node(Protocol):
    """Entry or look-up process."""

    telemetry: Telemetry

    def start(self) -> None:
        """Start to serve."""

    def stop(self) -> object:
        """Stop gracefully: running requests may end."""


def run_service(
    build: Callable[[Settings, HostEnvironment], Node],
    usage: str,
) -> None:
    """Parse the command line and run a node until SIGTERM or SIGINT.

    Parameters
    ----------
    build : callable
        Takes the settings and the host environment; returns the node.
    usage : str
        Text of ``--help``.

    """
    if _CONFIG_FLAG not in flags.FLAGS:
        flags.DEFINE_string(_CONFIG_FLAG, '', 'Settings file (INI).')
    sys.modules['__main__'].__doc__ = usage
    app.run(lambda _arguments: _run_node(build))


def _run_node(build: Callable[[Settings, HostEnvironment], Node]) -> int:
    stop_requested = threading.Event()

    def request_stop(*_signal: object) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    try:
        node = _start_node(build)
    except SesameError as error:
        print(f'{error.code}: {error.message}', file=sys.stderr)
        return int(error.exit_code)
    except OSError as error:
        print(f'address: {error}', file=sys.stderr)
        return int(ExitCode.UNREACHABLE)
    stop_requested.wait()
    node.stop()
    return int(ExitCode.OK)


def _start_node(build: Callable[[Settings, HostEnvironment], Node]) -> Node:
    settings = read_settings(flags.FLAGS[_CONFIG_FLAG].value)
    host_environment = HostEnvironment(
        TcpWire(), SystemClock(), random.SystemRandom()
    )
    node = build(settings, host_environment)
    _forward_logs(node)
    node.start()
    return node


def _forward_logs(node: Node) -> None:
    logger = logging.getLogger('sesameroute')
    logger.propagate = False
    logger.setLevel(logging.INFO)
    logger.addHandler(LogBridge(node.telemetry.log))
