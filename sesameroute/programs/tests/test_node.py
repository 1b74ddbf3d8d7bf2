"""`sesame-node`: start, reload of the settings and stop by signal."""

import signal
import subprocess
import sys
from contextlib import contextmanager

import pytest

from sesameroute.node.tests.cluster import (
    DIRECTORY_PORT,
    FRONT_PORT,
    NETWORK_PREFIX,
    PEERS_PORT,
    READY_PORT,
    SETTINGS,
)

TIMEOUT_SECONDS = 20  # time limit for the program to end
ADDRESS = f'{NETWORK_PREFIX}.77'


def write_settings(path, grace='2'):
    """Write the settings of a node whose store address does not answer."""
    text = SETTINGS.format(
        name='node-77',
        address=ADDRESS,
        zone='north-a',
        region='north',
        front=FRONT_PORT,
        ready=READY_PORT,
        directory=DIRECTORY_PORT,
        peers=PEERS_PORT,
        seeds='',
        store=f'{ADDRESS}:9',
    )
    # The node may read the file at any moment, and must not find half of it.
    draft = path.with_suffix('.draft')
    draft.write_text(text.replace('grace = 3', f'grace = {grace}'))
    draft.replace(path)


@contextmanager
def run_node(path):
    """Run the program; yield its process once the node has started."""
    command = (sys.executable, '-m', 'sesameroute.programs.node')
    with subprocess.Popen(
        (*command, f'--config={path}'),
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            assert find_event(process, 'node-started')
            yield process
        finally:
            if process.poll() is None:
                process.kill()


def find_event(process, event):
    """Return the next log line with an event, or '' at the end."""
    for line in process.stdout:
        if f'event={event}' in line:
            return line
    return ''


@pytest.mark.parametrize('sends_signal', [True, False])
def test_changed_settings_are_reloaded(tmp_path, sends_signal):
    """A changed file is reloaded after SIGHUP, and also without it."""
    path = tmp_path / 'node.ini'
    write_settings(path)
    with run_node(path) as process:
        write_settings(path, grace='1.5')
        if sends_signal:
            process.send_signal(signal.SIGHUP)
        assert 'sections=bounds' in find_event(process, 'settings-changed')
        write_settings(path, grace='soon')
        assert 'grace' in find_event(process, 'settings-refused')
        process.send_signal(signal.SIGTERM)
        assert find_event(process, 'node-stopped')
        assert process.wait(TIMEOUT_SECONDS) == 0


def test_missing_settings_file_ends_the_program(tmp_path):
    """The program exits with an error that names the missing file."""
    command = (sys.executable, '-m', 'sesameroute.programs.node')
    completed = subprocess.run(
        (*command, f'--config={tmp_path / "none.ini"}'),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )
    assert completed.returncode
    assert 'none.ini' in completed.stderr
