"""Settings that change while the node runs."""

import pytest

from sesameroute.exceptions import InputError
from sesameroute.node import SettingsFile
from sesameroute.node.tests import scene

ADDRESS = '127.0.0.1'


def write(path, zone='north-a', grace='3', seeds=''):
    """Write a settings file."""
    text = scene.SETTINGS.format(
        name='node-1',
        address=ADDRESS,
        zone=zone,
        region='north',
        front=scene.FRONT,
        ready=scene.READY,
        directory=scene.DIRECTORY,
        peers=scene.PEERS,
        seeds=seeds,
        store=f'{ADDRESS}:1',
    )
    path.write_text(text.replace('grace = 3', f'grace = {grace}'))


@pytest.fixture
def path(tmp_path):
    """Return the path of a settings file."""
    path = tmp_path / 'node.ini'
    write(path)
    return path


def test_unchanged_file_changes_nothing(path):
    """Reading the same text again does nothing."""
    source = SettingsFile(path)
    before = source.settings
    assert not source.reload()
    assert source.settings is before


def test_new_bounds_and_seeds_are_taken(path):
    """Bounds and seeds of a changed file are in force."""
    source = SettingsFile(path)
    write(path, grace='5', seeds='127.0.0.9:1')
    assert source.reload()
    assert source.settings.bounds.grace == pytest.approx(5)
    assert source.settings.peers.seeds == ['127.0.0.9:1']


@pytest.mark.parametrize('broken', ['', '[node', 'grace = soon'])
def test_broken_file_changes_nothing(path, broken, caplog):
    """A file that cannot be used is refused once, until it is mended."""
    source = SettingsFile(path)
    before = source.settings
    if broken == 'grace = soon':
        write(path, grace='soon')
    else:
        path.write_text(broken)
    for _ in range(2):
        assert not source.reload()
    assert source.settings is before
    assert [one.getMessage() for one in caplog.records] == ['settings refused']
    write(path, grace='4')
    assert source.reload()


def test_missing_file_changes_nothing(path):
    """A file that is gone for a while leaves the settings in force."""
    source = SettingsFile(path)
    path.unlink()
    assert not source.reload()


def test_place_stays_until_a_restart(path, caplog):
    """The zone and the addresses are those of the start."""
    caplog.set_level('INFO')
    source = SettingsFile(path)
    write(path, zone='south-a', grace='4')
    assert source.reload()
    assert source.settings.node.zone == 'north-a'
    assert caplog.records[-1].after_restart == 'node'


def test_no_file_at_the_start_is_an_error(tmp_path):
    """A node does not start without settings."""
    with pytest.raises(InputError, match='gone'):
        SettingsFile(tmp_path / 'gone.ini')
