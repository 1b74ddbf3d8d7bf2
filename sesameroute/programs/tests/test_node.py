"""The program `sesame-node` and the signals that it acts on."""

import signal
import subprocess
import sys
from contextlib import contextmanager

import pytest

from sesameroute.node.tests.scene import (
    DIRECTORY,
    FRONT,
    NETWORK,
    PEERS,
    READY,
    SETTINGS,
)

LONGEST = 20  # seconds that a step of a test may take
ADDRESS = f'{NETWORK}.77'


def write(path, grace='2'):
    """Write a settings file of a node whose store does not answer."""
    text = SETTINGS.format(
        name='node-77',
        address=ADDRESS,
        zone='north-a',
        region='north',
        front=FRONT,
        ready=READY,
        directory=DIRECTORY,
        peers=PEERS,
        seeds='',
        store=f'{ADDRESS}:9',
    )
    path.write_text(text.replace('grace = 3', f'grace = {grace}'))


@contextmanager
def start(path):
    """Run the program; yield it once it has started."""
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
    """Return the next line with an event; empty when there is none."""
    for line in process.stdout:
        if f'event={event}' in line:
            return line
    return ''


@pytest.mark.parametrize('is_told', [True, False])
def test_settings_are_read_again(tmp_path, is_told):
    """A changed file is in force with SIGHUP and without one."""
    path = tmp_path / 'node.ini'
    write(path)
    with start(path) as process:
        write(path, grace='1.5')
        if is_told:
            process.send_signal(signal.SIGHUP)
        assert 'sections=bounds' in find_event(process, 'settings-changed')
        write(path, grace='soon')
        assert 'grace' in find_event(process, 'settings-refused')
        process.send_signal(signal.SIGTERM)
        assert find_event(process, 'node-stopped')
        assert process.wait(LONGEST) == 0


def test_a_file_that_is_missing_at_the_start(tmp_path):
    """The program ends at once and says why."""
    command = (sys.executable, '-m', 'sesameroute.programs.node')
    ended = subprocess.run(
        (*command, f'--config={tmp_path / "none.ini"}'),
        capture_output=True,
        text=True,
        timeout=LONGEST,
    )
    assert ended.returncode
    assert 'none.ini' in ended.stderr
