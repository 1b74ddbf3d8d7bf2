"""What an earlier build sent, stored and logged is read as it was.

`recorded/` holds bytes and texts that the build of commit d90cdfa wrote:
nodes of two builds run side by side during a rolling upgrade.
"""

import json
from pathlib import Path

import msgpack
import msgspec
import pytest

from sesameroute import delivery, mirror, quarantine, routing
from sesameroute.membership import decode_configuration, encode_configuration
from sesameroute.node import parse_node_settings
from sesameroute.ports import decode_message, encode_message
from sesameroute.programs.explain import explain
from sesameroute.statement import print_statement, read_statement
from sesameroute.telemetry import Meter, parse_line

RECORDED = Path(__file__).with_name('recorded')
# Importing a package registers its messages.
REGISTERING = (delivery, mirror, quarantine, routing)
MESSAGES = json.loads((RECORDED / 'messages.json').read_text('utf-8'))
LINES = (RECORDED / 'nodes.log').read_text('utf-8').splitlines()


@pytest.mark.parametrize('tag', sorted(MESSAGES))
def test_peer_message_is_written_as_it_was_read(tag):
    """Every message keeps its tag, fields and their order."""
    packed = bytes.fromhex(MESSAGES[tag])
    message = decode_message(msgpack.unpackb(packed))
    assert message.wire_tag == tag
    assert msgpack.packb(encode_message(message)) == packed


def test_stored_configuration_is_written_as_it_was_read():
    """The store's bytes and the statement within stay the same."""
    packed = (RECORDED / 'configuration.json').read_bytes()
    configuration = decode_configuration(packed)
    assert encode_configuration(configuration) == packed
    statement = read_statement(configuration.text)
    assert print_statement(statement) == configuration.text


def test_settings_of_a_node_have_the_same_fields():
    """Sections, keys and defaults stay the same."""
    settings = parse_node_settings((RECORDED / 'node.ini').read_text('utf-8'))
    expected = json.loads((RECORDED / 'node.json').read_text('utf-8'))
    assert msgspec.to_builtins(settings) == expected


def test_metrics_have_the_same_names_and_types():
    """Dashboards and alerts find every metric."""
    page = Meter().render().decode().splitlines()
    found = [line for line in page if line.startswith('# TYPE ')]
    expected = (RECORDED / 'metrics.txt').read_text('utf-8').splitlines()
    assert sorted(found) == [f'# TYPE {line}' for line in expected]


@pytest.mark.parametrize('line', LINES)
def test_log_line_is_explained_in_words(line):
    """Events and reasons of an earlier build's lines are all known."""
    fields = parse_line(line)
    sentence = next(explain(fields['request'], [line]))
    assert fields['event'] not in sentence
    assert f'({fields.get("why", "none")})' not in sentence
    assert '?' not in sentence
