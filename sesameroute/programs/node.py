"""`sesame-node`: a node of the fleet on the users' platform."""

import logging
import os
import queue
import signal
import sys
import threading

from absl import app, flags

from sesameroute.exceptions import ExitCode, SesameError
from sesameroute.node import FleetNode, NodeSettings, SettingsFile
from sesameroute.ports import SystemClock
from sesameroute.telemetry import (
    EventLog,
    EventRateFilter,
    LogBridge,
    QueuedStream,
)

__all__ = ['run']

_SETTINGS_VARIABLE = 'SESAMEROUTE_BOOT'
_STACK_BYTES = 524_288  # of each thread
_LOG_SECONDS = 0.2  # for the last lines at the end
_RELOAD_SECONDS = 1.0  # between two looks at the settings file

_CONFIG = flags.DEFINE_string(
    'config',
    '',
    f'Settings file (INI); by default the one that {_SETTINGS_VARIABLE} names.',
)


def run() -> None:
    """Run the program."""
    app.run(_run)


def _run(_arguments: list[str]) -> int:
    signals = _listen_to_signals()
    threading.stack_size(_STACK_BYTES)
    path = _CONFIG.value or os.environ.get(_SETTINGS_VARIABLE, '')
    try:
        source = SettingsFile(path)
    except SesameError as error:
        print(f'{error.code}: {error.message}', file=sys.stderr)
        return int(error.exit_code)
    lines = _open_log(source.settings)
    node = FleetNode(source.settings)
    try:
        node.start()
    except OSError as error:
        print(f'address: {error}', file=sys.stderr)
        return int(ExitCode.UNREACHABLE)
    while _wait_for_signal(signals) != signal.SIGTERM:
        if source.reload():
            _set_level(source.settings)
            node.apply_settings(source.settings)
    node.stop()
    lines.close(_LOG_SECONDS)
    return int(ExitCode.OK)


def _listen_to_signals() -> queue.SimpleQueue[signal.Signals]:
    """Return a queue of the signals to act on; SIGINT counts as SIGTERM."""
    signals: queue.SimpleQueue[signal.Signals] = queue.SimpleQueue()

    def tell(number: int, _frame: object) -> None:
        is_reload = number == signal.SIGHUP
        signals.put(signal.SIGHUP if is_reload else signal.SIGTERM)

    for one in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(one, tell)
    return signals


def _wait_for_signal(
    signals: queue.SimpleQueue[signal.Signals],
) -> signal.Signals | None:
    """Return the next signal, or None when it is time to look at the file."""
    try:
        return signals.get(timeout=_RELOAD_SECONDS)
    except queue.Empty:
        return None


def _open_log(settings: NodeSettings) -> QueuedStream:
    name = settings.node.name

    def describe(count: int) -> str:
        return f'level=warning node={name} event=lines-dropped count={count}'

    stream = QueuedStream(sys.stdout, describe)
    bridge = LogBridge(EventLog(name, stream=stream, level='debug'))
    bridge.addFilter(EventRateFilter(SystemClock()))
    logger = logging.getLogger('sesameroute')
    logger.propagate = False
    logger.addHandler(bridge)
    _set_level(settings)
    # Broken answers are noted where they are judged.
    logging.getLogger('urllib3').setLevel(logging.CRITICAL)
    return stream


def _set_level(settings: NodeSettings) -> None:
    logging.getLogger('sesameroute').setLevel(settings.log.level.upper())


if __name__ == '__main__':
    run()
