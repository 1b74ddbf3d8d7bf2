"""`sesame-node`: a node of the fleet on the users' platform."""

import logging
import os
import signal
import sys
import threading

from absl import app, flags

from sesameroute.exceptions import ExitCode, SesameError
from sesameroute.node import FleetNode, NodeSettings, read_node_settings
from sesameroute.telemetry import EventLog, LogBridge

__all__ = ['run']

_SETTINGS_VARIABLE = 'SESAMEROUTE_BOOT'
_STACK_BYTES = 524_288  # of each thread

_CONFIG = flags.DEFINE_string(
    'config',
    '',
    f'Settings file (INI); by default the one that {_SETTINGS_VARIABLE} names.',
)


def run() -> None:
    """Run the program."""
    app.run(_run)


def _run(_arguments: list[str]) -> int:
    told = _listen_to_signals()
    threading.stack_size(_STACK_BYTES)
    path = _CONFIG.value or os.environ.get(_SETTINGS_VARIABLE, '')
    try:
        settings = read_node_settings(path)
    except SesameError as error:
        print(f'{error.code}: {error.message}', file=sys.stderr)
        return int(error.exit_code)
    _set_logging(settings)
    node = FleetNode(settings)
    try:
        node.start()
    except OSError as error:
        print(f'address: {error}', file=sys.stderr)
        return int(ExitCode.UNREACHABLE)
    told.wait()
    node.stop()
    return int(ExitCode.OK)


def _listen_to_signals() -> threading.Event:
    """Return an event that is set when the process should stop."""
    told = threading.Event()

    def tell(*_signal: object) -> None:
        told.set()

    signal.signal(signal.SIGTERM, tell)
    signal.signal(signal.SIGINT, tell)
    # The settings say nothing that may change while the process runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return told


def _set_logging(settings: NodeSettings) -> None:
    log = EventLog(settings.node.name, level=settings.log.level)
    logger = logging.getLogger('sesameroute')
    logger.propagate = False
    logger.setLevel(logging.INFO)
    logger.addHandler(LogBridge(log))
    # Broken answers are noted where they are judged.
    logging.getLogger('urllib3').setLevel(logging.CRITICAL)


if __name__ == '__main__':
    run()
