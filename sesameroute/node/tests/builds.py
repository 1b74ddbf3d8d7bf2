"""Nodes of an earlier build beside those of a cluster, for tests."""

import io
import os
import re
import signal
import subprocess
import sys
import tarfile
from pathlib import Path
from types import MappingProxyType

from sesameroute.node.tests.cluster import (
    FRONT_PORT,
    METRICS_PORT,
    NETWORK_PREFIX,
    call,
    resolve,
    wait_for,
)
from sesameroute.placement import hash_key

# Full hashes, since an archive is made by them.
_LANDINGS = MappingProxyType(
    {
        'be4f3ab': 'be4f3ab6d059ab0ab1b7fe2eebf8d5c8936a069e',
        '2005466': '20054669619c946689291bb6548796cb00b53d88',
    }
)
LANDINGS = tuple(_LANDINGS)

_REPOSITORY = Path(__file__).parents[3]
_RUNNER = Path(__file__).with_name('run_build.py')
# Unlike `Cluster.stop`, a start includes that of an interpreter.
_START_SECONDS = 20
_END_SECONDS = 10


class BuildMissingError(Exception):
    """The checkout has no such commit."""


def extract_build(landing, folder):
    """Extract the package as it was at a landing; return its environment.

    Raises
    ------
    BuildMissingError
        There is no git, or the commit isn't in the history.

    """
    commit = _LANDINGS[landing]
    command = ('git', '-C', str(_REPOSITORY), 'archive', commit, 'sesameroute')
    try:
        archive = subprocess.run(command, check=True, capture_output=True)
    except FileNotFoundError as error:
        raise BuildMissingError(f'git not found: {error}') from error
    except subprocess.CalledProcessError as error:
        why = error.stderr.decode().strip()
        raise BuildMissingError(f'no commit {commit}: {why}') from error
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as packed:
        packed.extractall(folder, filter='data')
    return {**os.environ, 'PYTHONPATH': str(folder)}


def split_by_leader(numbers, is_earlier_leading):
    """Return the numbers of the nodes of the earlier and the present build.

    The nodes that lead, one the watch of the store and one the pool of the
    only service, are of the same build.
    """
    leading = {find_leader(numbers, topic) for topic in ('store-watch', 's')}
    ordered = sorted(numbers, key=lambda one: one not in leading)
    half = len(numbers) // 2
    if is_earlier_leading:
        return ordered[:half], ordered[half:]
    return ordered[half:], ordered[:half]


def find_leader(numbers, topic):
    """Return the number of the node that leads if all know each other."""
    return min(
        numbers, key=lambda one: hash_key(f'{topic}/{NETWORK_PREFIX}.{one}')
    )


class EarlierNodes:
    """Nodes of an earlier build, each in a process of its own.

    Parameters
    ----------
    cluster : Cluster
        Runs the store and the nodes of the present build.
    environment : dict of str to str
        Names the earlier build; see `extract_build`.
    folder : Path
        Takes the settings and logs.

    Attributes
    ----------
    processes : dict of int to Popen
        Running processes by the number of the node.

    """

    def __init__(self, cluster, environment, folder):
        """Store the parameters."""
        self.cluster = cluster
        self.environment = environment
        self.folder = folder
        self.processes = {}

    def start(self, number, seeds, zone='north-a'):
        """Start a node."""
        settings = self.folder / f'{number}.ini'
        text = self.cluster.build_settings(number, zone, seeds)
        settings.write_text(text)
        command = (sys.executable, '-P', str(_RUNNER), f'--config={settings}')
        with (self.folder / f'{number}.log').open('ab') as log:
            self.processes[number] = subprocess.Popen(
                command, env=self.environment, stdout=log, stderr=log
            )

    def cut_off(self, number):
        """Cut a node off from all backend servers."""
        self.processes[number].send_signal(signal.SIGUSR1)

    def stop(self, number):
        """Stop a node as planned; return its exit code."""
        process = self.processes.pop(number)
        process.terminate()
        return process.wait(_END_SECONDS)

    def kill(self, number):
        """End a node as in a crash."""
        process = self.processes.pop(number)
        process.kill()
        process.wait()

    def kill_all(self):
        """End all nodes and print the last lines of their logs."""
        for number in tuple(self.processes):
            self.kill(number)
        for log in sorted(self.folder.glob('*.log')):
            lines = log.read_text(errors='replace').splitlines()
            print(log.name, *lines[-40:], sep='\n')


def start_builds(
    cluster, earlier, earlier_numbers, present_numbers, zones=None
):
    """Start the nodes of both builds; wait until they know each other.

    Nodes that `zones` does not name are in the zone ``north-a``.
    """
    numbers = (*earlier_numbers, *present_numbers)
    placed = dict.fromkeys(numbers, 'north-a') | (zones or {})
    for number in earlier_numbers:
        earlier.start(number, numbers, placed[number])
    for number in present_numbers:
        cluster.add_node(number, placed[number], numbers)
    expected = {}
    for number, zone in placed.items():
        front = f'{NETWORK_PREFIX}.{number}:{FRONT_PORT}'
        expected.setdefault(zone.partition('-')[0], set()).add(front)
    assert wait_for(
        lambda: all(
            set(try_resolve(one, region)) == fronts
            for one in numbers
            for region, fronts in expected.items()
        ),
        _START_SECONDS,
    )


def try_resolve(number, region='north'):
    """Return what a node's directory lists; nothing while it is down."""
    try:
        return resolve(number, region)
    except OSError:
        return []


def count_backends(number):
    """Return how many backend servers a node knows, by its metrics."""
    page = call(number, METRICS_PORT, '/metrics')[2].decode()
    return int(re.search(r'^sesame_backends (\d+)', page, re.M)[1])
