"""Command line of the programs that run until they are told to stop."""

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
from sesameroute.programs._observers import Observers
from sesameroute.programs._surroundings import Outside
from sesameroute.settings import Settings, read_settings
from sesameroute.telemetry import LogBridge

__all__ = ['Node', 'run_service']

_CONFIG = 'config'


class Node(Protocol):
    """A process that starts, and stops without cutting a request."""

    observers: Observers

    def start(self) -> None:
        """Start the threads."""

    def stop(self) -> object:
        """Leave in order."""


def run_service(
    build: Callable[[Settings, Outside], Node],
    usage: str,
) -> None:
    """Parse the command line, run a node, and leave on SIGTERM or SIGINT.

    Parameters
    ----------
    build : callable
        Takes settings and the outside, returns the node.
    usage : str
        Text of ``--help``.

    """
    if _CONFIG not in flags.FLAGS:
        flags.DEFINE_string(_CONFIG, '', 'Settings file (INI).')
    sys.modules['__main__'].__doc__ = usage
    app.run(lambda _arguments: _run_node(build))


def _run_node(build: Callable[[Settings, Outside], Node]) -> int:
    told = threading.Event()

    def tell(*_signal: object) -> None:
        told.set()

    signal.signal(signal.SIGTERM, tell)
    signal.signal(signal.SIGINT, tell)
    try:
        node = _start_node(build)
    except SesameError as error:
        print(f'{error.code}: {error.message}', file=sys.stderr)
        return int(error.exit_code)
    except OSError as error:
        print(f'address: {error}', file=sys.stderr)
        return int(ExitCode.UNREACHABLE)
    told.wait()
    node.stop()
    return int(ExitCode.OK)


def _start_node(build: Callable[[Settings, Outside], Node]) -> Node:
    settings = read_settings(flags.FLAGS[_CONFIG].value)
    outside = Outside(TcpWire(), SystemClock(), random.SystemRandom())
    node = build(settings, outside)
    _bridge_logs(node)
    node.start()
    return node


def _bridge_logs(node: Node) -> None:
    logger = logging.getLogger('sesameroute')
    logger.propagate = False
    logger.setLevel(logging.INFO)
    logger.addHandler(LogBridge(node.observers.log))
