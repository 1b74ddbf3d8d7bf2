"""The programs in separate processes: start, send, drain, kill, replace."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from functools import partial
from http import HTTPStatus
from pathlib import Path

import pytest
import urllib3

from sesameroute.adapters import HttpStore
from sesameroute.caller import Caller, Directory
from sesameroute.exceptions import ExitCode
from sesameroute.membership import Configuration, encode_configuration
from sesameroute.ports import SystemClock, TcpWire
from sesameroute.statement import read_statement
from sesameroute.verdict import Verdict

_EXAMPLES = Path('examples/processes')
# Concurrent test runs use different networks of the loopback range.
_NETWORK = f'127.{130 + os.getpid() % 100}.'
_KEY = 'sesameroute/configuration'
_TIMEOUT_SECONDS = 15


class Fleet:
    """Starts programs with the example settings on the test's network."""

    def __init__(self, folder):
        """Write the example settings with addresses of the test's network."""
        self.folder = folder
        self.processes = []
        for path in _EXAMPLES.glob('*.ini'):
            text = path.read_text('utf-8').replace('127.25.', _NETWORK)
            (folder / path.name).write_text(text, 'utf-8')
        text = (folder / 'statement.ini').read_text('utf-8')
        self.statement = read_statement(text)
        self.configuration = Configuration(1, 'test', text)

    def run(self, program, *arguments):
        """Start a program of the package in a new process."""
        child_process = subprocess.Popen(
            [sys.executable, '-m', f'sesameroute.programs.{program}']
            + list(arguments),
            stderr=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
        )
        self.processes.append(child_process)
        return child_process

    def run_node(self, program, vm):
        """Start an entry or look-up process with a VM's settings."""
        return self.run(program, '--config', str(self.folder / f'{vm}.ini'))

    def build_caller(self):
        """Return a caller in the failure domain of the first VM."""
        lookups = tuple(
            (vm.address, self.statement.lookup_port)
            for vm in self.statement.vms.values()
        )
        return Caller(
            Directory(
                lookups,
                'plovdiv-a',
                TcpWire(),
                f'{_NETWORK}9.1',
                SystemClock(),
            ),
        )

    def submit(self):
        """Write the statement to the store, once the store answers."""
        store = HttpStore(
            f'http://{_NETWORK}250.1:8500',
            TcpWire(),
            f'{_NETWORK}9.1',
        )
        wait_for(lambda: store.read(_KEY) is None)
        store.swap(_KEY, encode_configuration(self.configuration), 0)


def wait_for(check):
    """Call `check` until it returns true; exceptions count as false."""
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(Exception):
            if check():
                return
        time.sleep(0.1)
    pytest.fail('condition not met before the time-out')


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """Yield a fleet of two entry VMs with a statement in force."""
    running_fleet = Fleet(tmp_path_factory.mktemp('fleet'))
    statement = str(running_fleet.folder / 'statement.ini')
    running_fleet.run(
        'standin',
        f'--statement={statement}',
        f'--address={_NETWORK}250.1',
    )
    for vm in running_fleet.statement.vms:
        running_fleet.run_node('lookup', vm)
    running_fleet.entries = {
        vm: running_fleet.run_node('entry', vm)
        for vm in running_fleet.statement.vms
    }
    running_fleet.submit()
    # A process that listens has its signal handlers.
    for vm in running_fleet.statement.vms.values():
        target = vm.address, running_fleet.statement.entry_port
        wait_for(partial(accepts_connections, target))
    caller = running_fleet.build_caller()
    wait_for(lambda: send_order(running_fleet, caller).verdict is Verdict.RAN)
    yield running_fleet
    for process in running_fleet.processes:
        process.kill()
        process.wait()


def accepts_connections(target):
    """Return whether a process listens at an address."""
    with socket.create_connection(target, timeout=1):
        return True


def send_order(fleet, caller):
    """Send one order and return its outcome."""
    return caller.send(fleet.statement.kinds['batch-order'], body=b'pallets')


def test_graceful_stop_loses_no_request(fleet):
    """Every request is answered while and after an entry process stops."""
    caller = fleet.build_caller()
    leaving = fleet.entries['plovdiv-a-1']
    leaving.send_signal(signal.SIGTERM)
    verdicts = []
    while leaving.poll() is None:
        verdicts.append(send_order(fleet, caller).verdict)
    verdicts.extend(send_order(fleet, caller).verdict for _ in range(5))
    assert leaving.returncode == ExitCode.OK
    assert set(verdicts) == {Verdict.RAN}
    fleet.entries['plovdiv-a-1'] = fleet.run_node('entry', 'plovdiv-a-1')


def test_killed_entry_is_replaced(fleet):
    """After a kill the other VM serves, and a new process rejoins."""
    caller = fleet.build_caller()
    fleet.entries['plovdiv-b-1'].kill()
    fleet.entries['plovdiv-b-1'].wait()
    wait_for(lambda: send_order(fleet, caller).verdict is Verdict.RAN)
    fleet.entries['plovdiv-b-1'] = fleet.run_node('entry', 'plovdiv-b-1')
    wait_for(lambda: count_vms(fleet) == len(fleet.entries))


def count_vms(fleet):
    """Return how many entry VMs with a key prefix a look-up returns."""
    directory = fleet.build_caller().directory
    entries = directory._find_entries('order-desk', ())
    return sum(bool(entry.prefix) for entry in entries)


@pytest.mark.parametrize(
    ('program', 'text', 'code'),
    [
        ('entry', '[vm]\nname = a\n', ExitCode.INPUT),
        ('entry', 'nonsense', ExitCode.INPUT),
        ('lookup', '[vm]\nname = a\nsurprise = 1\n', ExitCode.INPUT),
    ],
)
def test_bad_settings(fleet, tmp_path, program, text, code):
    """Invalid settings end the program, as bad input, before it listens."""
    path = tmp_path / 'bad.ini'
    path.write_text(text, 'utf-8')
    child_process = fleet.run(program, '--config', str(path))
    assert child_process.wait(_TIMEOUT_SECONDS) == code


def test_status_page(fleet):
    """The status page counts faults and requires the operators' token."""
    address = fleet.statement.vms['plovdiv-a-1'].address
    url = f'http://{address}:{fleet.statement.entry_port}/-/status'
    token = {'Authorization': 'Bearer only-for-trying-out'}
    answer = urllib3.request('GET', url, headers=token)
    fields = answer.json()
    assert (fields['vm'], fields['version']) == ('plovdiv-a-1', 1)
    assert fields['configuration_faults'] == 0
    assert urllib3.request('GET', url).status == HTTPStatus.UNAUTHORIZED
