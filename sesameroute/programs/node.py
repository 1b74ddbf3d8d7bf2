"""`sesame-node`: one node of the fleet on the users' platform."""

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
_THREAD_STACK_BYTES = 524_288
_LOG_FLUSH_SECONDS = 0.2  # time limit to write the last lines on exit
_RELOAD_INTERVAL_SECONDS = 1.0  # interval of checks for a changed settings file

_CONFIG = flags.DEFINE_string(
    'config',
    '',
    f'Settings file (INI); by default the one that {_SETTINGS_VARIABLE} names.',
)


def run() -> None:
    """Run the program."""
    app.run(_run)


def _run(_arguments: list[str]) -> int:
    signals = _install_signal_handlers()
    threading.stack_size(_THREAD_STACK_BYTES)
    path = _CONFIG.value or os.environ.get(_SETTINGS_VARIABLE, '')
    try:
        settings_file = SettingsFile(path)
    except SesameError as error:
        print(f'{error.code}: {error.message}', file=sys.stderr)
        return int(error.exit_code)
    log_stream = _open_log(settings_file.settings)
    node = FleetNode(settings_file.settings)
    try:
        node.start()
    except OSError as error:
        print(f'address: {error}', file=sys.stderr)
        return int(ExitCode.UNREACHABLE)
    while _wait_for_signal(signals) != signal.SIGTERM:
        _check_loops(node, log_stream)
        if settings_file.reload():
            _set_level(settings_file.settings)
            node.apply_settings(settings_file.settings)
    node.stop()
    log_stream.close(_LOG_FLUSH_SECONDS)
    return int(ExitCode.OK)


def _check_loops(node: FleetNode, log_stream: QueuedStream) -> None:
    """End the process if a loop has ended; the platform starts it again."""
    if tuple(node.loops.find_ended()):
        log_stream.close(_LOG_FLUSH_SECONDS)
        os._exit(ExitCode.INTERNAL)


def _install_signal_handlers() -> queue.SimpleQueue[signal.Signals]:
    """Return a queue of the signals received; SIGINT becomes SIGTERM."""
    signals: queue.SimpleQueue[signal.Signals] = queue.SimpleQueue()

    def enqueue_signal(number: int, _frame: object) -> None:
        is_reload = number == signal.SIGHUP
        signals.put(signal.SIGHUP if is_reload else signal.SIGTERM)

    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(signal_number, enqueue_signal)
    return signals


def _wait_for_signal(
    signals: queue.SimpleQueue[signal.Signals],
) -> signal.Signals | None:
    """Return the next signal, or None when a check of the file is due."""
    try:
        return signals.get(timeout=_RELOAD_INTERVAL_SECONDS)
    except queue.Empty:
        return None


def _open_log(settings: NodeSettings) -> QueuedStream:
    name = settings.node.name

    def format_drop_notice(count: int) -> str:
        return f'level=warning node={name} event=lines-dropped count={count}'

    queued_stream = QueuedStream(sys.stdout, format_drop_notice)
    bridge = LogBridge(EventLog(name, stream=queued_stream, level='debug'))
    bridge.addFilter(EventRateFilter(SystemClock()))
    logger = logging.getLogger('sesameroute')
    logger.propagate = False
    logger.addHandler(bridge)
    _set_level(settings)
    # The code that handles malformed answers logs them itself.
    logging.getLogger('urllib3').setLevel(logging.CRITICAL)
    return queued_stream


def _set_level(settings: NodeSettings) -> None:
    logging.getLogger('sesameroute').setLevel(settings.log.level.upper())


if __name__ == '__main__':
    run()
