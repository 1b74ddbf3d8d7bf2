"""Tests of reloading the settings file."""

import pytest

from sesameroute.exceptions import InputError
from sesameroute.node import SettingsFile
from sesameroute.node._address import parse_address
from sesameroute.node.tests import cluster

ADDRESS = '127.0.0.1'
PORTS = f'ports = {cluster.PEERS_PORT},18415'


def write(path, zone='north-a', grace='3', seeds=''):
    """Write a settings file."""
    text = cluster.SETTINGS.format(
        name='node-1',
        address=ADDRESS,
        zone=zone,
        region='north',
        front=cluster.FRONT_PORT,
        ready=cluster.READY_PORT,
        directory=cluster.DIRECTORY_PORT,
        peers=cluster.PEERS_PORT,
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


def test_unchanged_file_is_not_applied(path):
    """Reloading an unchanged file keeps the same settings object."""
    settings_file = SettingsFile(path)
    before = settings_file.settings
    assert not settings_file.reload()
    assert settings_file.settings is before


def test_changed_bounds_and_seeds_apply(path):
    """Changed bounds and seeds apply after a reload."""
    settings_file = SettingsFile(path)
    write(path, grace='5', seeds='127.0.0.9:1')
    assert settings_file.reload()
    assert settings_file.settings.bounds.grace == pytest.approx(5)
    assert settings_file.settings.peers.seeds == ['127.0.0.9:1']


@pytest.mark.parametrize(
    ('line', 'odd_line'),
    [
        ('grace = 3', 'grace = nan'),
        ('grace = 3', 'grace = inf'),
        ('grace = 3', 'grace = 1e300'),
        ('grace = 3', 'grace = -1'),
        ('grace = 3', 'retry_slack = nan'),
        (PORTS, 'ports = ,'),
        (PORTS, 'ports = 0'),
        (PORTS, 'ports = 65536'),
        pytest.param(PORTS, f'ports = {"9" * 5000}', id='digits'),
    ],
)
def test_odd_number_keeps_old_settings(path, line, odd_line, caplog):
    """No thread can wait for such a time, or connect to such a port."""
    settings_file = SettingsFile(path)
    before = settings_file.settings
    path.write_text(path.read_text().replace(line, odd_line))
    assert not settings_file.reload()
    assert settings_file.settings is before
    assert len(caplog.records[-1].why) < 400


@pytest.mark.parametrize(
    'text',
    [
        '',
        ':80',
        '127.0.0.1',
        '127.0.0.1:',
        '127.0.0.1:²',
        '127.0.0.1:65536',
        pytest.param(f'127.0.0.1:{"9" * 5000}', id='digits'),
    ],
)
def test_odd_address_is_not_valid(text):
    """Nodes tell each other their addresses."""
    with pytest.raises(InputError) as caught:
        parse_address(text)
    assert len(caught.value.message) < 200


@pytest.mark.parametrize('broken', ['', '[node', 'grace = soon'])
def test_invalid_file_keeps_old_settings(path, broken, caplog):
    """A file that is not valid is logged once and keeps the old settings.

    A corrected file is applied again.
    """
    settings_file = SettingsFile(path)
    before = settings_file.settings
    if broken == 'grace = soon':
        write(path, grace='soon')
    else:
        path.write_text(broken)
    for _ in range(2):
        assert not settings_file.reload()
    assert settings_file.settings is before
    assert [one.getMessage() for one in caplog.records] == ['settings refused']
    write(path, grace='4')
    assert settings_file.reload()


def test_missing_file_keeps_old_settings(path):
    """A missing file keeps the old settings."""
    settings_file = SettingsFile(path)
    path.unlink()
    assert not settings_file.reload()


def test_node_section_changes_only_after_restart(path, caplog):
    """Zone and addresses change only after a restart."""
    caplog.set_level('INFO')
    settings_file = SettingsFile(path)
    write(path, zone='south-a', grace='4')
    assert settings_file.reload()
    assert settings_file.settings.node.zone == 'north-a'
    assert caplog.records[-1].after_restart == 'node'


def test_missing_file_at_start_is_an_error(tmp_path):
    """A missing file at the start raises an error."""
    with pytest.raises(InputError, match='gone'):
        SettingsFile(tmp_path / 'gone.ini')
