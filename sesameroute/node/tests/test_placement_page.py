"""Nodes tell where a request would go, without sending it."""

import io
import json
from urllib.parse import urlencode

import pytest

from sesameroute.exceptions import ExitCode
from sesameroute.node.tests.cluster import (
    METRICS_PORT,
    NETWORK_PREFIX,
    call,
    send,
    wait_for,
)
from sesameroute.programs._placement_query import run_query
from sesameroute.tenants import hash_keys


def ask(number, **query):
    """Return status and explanation of a node."""
    query = {'host': 'h', 'path': '/a/x', 'object': 'k'} | query
    status, _headers, body = call(
        number, METRICS_PORT, f'/placement?{urlencode(query)}'
    )
    return status, json.loads(body)


@pytest.fixture(name='served')
def _served(cluster, added):
    cluster.register('b-1', added)
    cluster.start_nodes(1, 2)
    assert wait_for(lambda: send(1)[0] == 200)
    return added


def test_any_node_tells_what_the_leader_would_do(served):
    """The server is the one that gets the next request; nothing is sent."""
    before = len(served.arrivals)
    for number in (1, 2):
        status, explanation = ask(number)
        service = explanation['services'][0]
        placement = service['placement']
        assert (status, explanation['is_sent']) == (200, False)
        assert (placement['verdict'], placement['server']) == ('grant', 'b-1')
        assert placement['servers'][0]['is_warm']
        assert len(explanation['directory']) == 2
    assert len(served.arrivals) == before


@pytest.mark.parametrize(
    ('query', 'status', 'refusal'),
    [
        ({'path': '/none/'}, 200, 404),
        ({'host': 'elsewhere'}, 200, 404),
        ({'zone': 'nowhere'}, 400, None),
        ({'host': ''}, 400, None),
        ({'deadline_ms': 'soon'}, 400, None),
    ],
)
def test_refusals_are_told(served, query, status, refusal):
    """An operator sees what a caller would get, or what is wrong."""
    answered, explanation = ask(1, **query)
    assert answered == status
    if refusal:
        assert explanation['refusal'] == refusal


_SCHOOL = {
    'name': 'school',
    'api_keys': ['k1'],
    'priority': 2,
    'rate_per_s': 50,
    'burst': 50,
    'allowed_regions': ['north', 'south'],
}


@pytest.fixture(name='with_tenants')
def _with_tenants(cluster, served):
    cluster.configure(tenants=[_SCHOOL], allowed_regions=['north'])
    assert wait_for(lambda: 'tenant' in ask(1)[1])
    return served


@pytest.mark.parametrize(
    ('query', 'expected'),
    [
        ({'tenant': 'school'}, {'name': 'school', 'homes': ['north']}),
        ({'key_hash': hash_keys('k1')}, {'name': 'school', 'priority': 2}),
        ({'key_hash': hash_keys('k1')[:8]}, {'rate': 50, 'burst': 50}),
        ({'key_hash': hash_keys('k9')}, {'status': 401, 'why': 'unknown-key'}),
        ({}, {'status': 401, 'why': 'no-key'}),
    ],
)
def test_tenant_is_told(with_tenants, query, expected):
    """Its terms are those that the request would be served by."""
    explanation = ask(1, **query)[1]
    assert expected.items() <= explanation['tenant'].items()
    assert not explanation['route']['is_anonymous']


def test_allowance_is_told_without_a_count(with_tenants):
    """Tokens of this node and of the depot; none is taken or moved."""

    def look():
        return ask(1, tenant='school')[1]['tenant']

    assert wait_for(
        lambda: sum(each['tokens'] for each in look()['tokens']) > 9
    )
    for _ in range(30):
        assert 'status' not in look()


def test_command_tells_the_tenant(with_tenants, capsys, monkeypatch):
    """The key itself is neither printed nor sent."""
    node = f'{NETWORK_PREFIX}.1:{METRICS_PORT}'
    words = ['where', node, '--host', 'h', '--path', '/a/x', '--ask_key']
    monkeypatch.setattr('sys.stdin', io.StringIO('k1\n'))
    assert run_query(words) is ExitCode.OK
    text = capsys.readouterr().out
    assert 'tenant school: priority 2, 50.0 requests a second' in text
    assert '(this node): ' in text


@pytest.mark.parametrize(
    'query', [{'tenant': 'x'}, {'key_hash': 'k1'}, {'key_hash': 'secret-key'}]
)
def test_odd_tenants_are_told(with_tenants, query):
    """What is no digest is not repeated: it may be a key."""
    status, message = ask(1, **query)
    assert status == 400
    assert 'secret' not in message


def test_metrics_are_still_served(served):
    """All other paths have the metrics."""
    assert b'sesame_threads' in call(1, METRICS_PORT, '/metrics')[2]


def test_command_prints_text_or_json(served, capsys):
    """A person reads the text, a program the JSON."""
    node = f'{NETWORK_PREFIX}.1:{METRICS_PORT}'
    words = ['where', node, '--host', 'h', '--path', '/a/x', '--object', 'k']
    assert run_query(words) is ExitCode.OK
    text = capsys.readouterr().out
    assert 'it would run on b-1' in text
    assert text.endswith('nothing was sent\n')
    assert run_query([*words, '--json']) is ExitCode.OK
    assert json.loads(capsys.readouterr().out)['is_sent'] is False


@pytest.mark.parametrize(
    ('words', 'code'),
    [
        (['where'], ExitCode.INPUT),
        (['where', 'n:1', '--odd'], ExitCode.INPUT),
        (['where', '127.0.0.1:1', '--host', 'h'], ExitCode.UNREACHABLE),
    ],
)
def test_command_tells_what_is_wrong(words, code):
    """The exit code says whether to change the words or the address."""
    assert run_query(words) is code
