"""Messages, stored data, settings and logs of an earlier build still work.

Nodes of two builds run side by side during a rolling upgrade. `recorded/`
holds what the build of commit d90cdfa wrote.
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
# Importing these packages registers their messages with the decoder.
MESSAGE_PACKAGES = (delivery, mirror, quarantine, routing)
MESSAGES = json.loads((RECORDED / 'messages.json').read_text('utf-8'))
EARLIER_MESSAGES = json.loads(
    (RECORDED / 'earlier_messages.json').read_text('utf-8')
)
LOG_LINES = (RECORDED / 'nodes.log').read_text('utf-8').splitlines()


@pytest.mark.parametrize('tag', sorted(MESSAGES))
def test_peer_message_round_trip_keeps_its_bytes(tag):
    """Every message keeps its tag, its fields and their order."""
    packed = bytes.fromhex(MESSAGES[tag])
    message = decode_message(msgpack.unpackb(packed))
    assert message.wire_tag == tag
    assert msgpack.packb(encode_message(message)) == packed


@pytest.mark.parametrize('tag', sorted(EARLIER_MESSAGES))
def test_earlier_and_later_builds_read_extended_messages(tag):
    """Fields that were added have defaults, and unknown ones are ignored."""
    earlier = msgpack.unpackb(bytes.fromhex(EARLIER_MESSAGES[tag]))
    packed = msgpack.packb(encode_message(decode_message(earlier)))
    fields = msgpack.unpackb(packed)[1]
    assert {name: fields[name] for name in earlier[1]} == earlier[1]
    assert set(fields) > set(earlier[1])
    later = [tag, {**fields, 'added_later': 1}]
    assert msgpack.packb(encode_message(decode_message(later))) == packed


def test_stored_configuration_round_trip_keeps_its_bytes():
    """The bytes in the store and the statement's text stay the same."""
    packed = (RECORDED / 'configuration.json').read_bytes()
    configuration = decode_configuration(packed)
    assert encode_configuration(configuration) == packed
    statement = read_statement(configuration.text)
    assert print_statement(statement) == configuration.text


def test_node_settings_have_the_same_fields():
    """Sections, keys and default values stay the same."""
    settings = parse_node_settings((RECORDED / 'node.ini').read_text('utf-8'))
    expected = json.loads((RECORDED / 'node.json').read_text('utf-8'))
    assert msgspec.to_builtins(settings) == expected


def test_metrics_have_the_same_names_and_types():
    """Dashboards and alerts still find every metric."""
    page = Meter().render().decode().splitlines()
    found = [line for line in page if line.startswith('# TYPE ')]
    expected = (RECORDED / 'metrics.txt').read_text('utf-8').splitlines()
    assert sorted(found) == [f'# TYPE {line}' for line in expected]


@pytest.mark.parametrize('line', LOG_LINES)
def test_explain_knows_every_recorded_event(line):
    """Each event and reason in the recorded lines has its own text."""
    fields = parse_line(line)
    sentence = next(explain(fields['request'], [line]))
    assert fields['event'] not in sentence
    assert f'({fields.get("why", "none")})' not in sentence
    assert '?' not in sentence
