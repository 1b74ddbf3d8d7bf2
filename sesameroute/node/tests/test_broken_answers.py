"""Tests of nodes whose backend servers send broken answers."""

import pytest

from sesameroute.adapters.tests.malformed_answers import MALFORMED_ANSWERS
from sesameroute.forward.tests.servers import ResettingServer, ScriptedServer
from sesameroute.forward.tests.test_malformed_answers import script
from sesameroute.forward.tests.test_reset_uploads import (
    CUT_ANSWERS,
    PARTS,
    WHOLE_BYTES,
    build_reader,
)
from sesameroute.node.tests.cluster import FRONT_PORT, call
from sesameroute.node.tests.test_relay import cut_off

_HEADERS = {'Host': 'h', 'Sesameroute-Attempt-Id': 'mine'}
_MALFORMED = (
    "status line 'HTTP/1.1 000 X'",
    "length 'five'",
    "coding 'gzip'",
    "first line 'no field at all'",
    "first line 'X Other: 1'",
)


def start(cluster, server, kind, *, is_relayed):
    """Start two nodes; the first one may have to pass requests on."""
    cluster.register('server', server)
    cluster.configure(kind=kind, max_attempts=1, timeout_ms=1900)
    cluster.start_nodes(1, 2)
    if is_relayed:
        cut_off(cluster, 1)


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize('kind', ['unsafe', 'upload'])
def test_caller_gets_no_answer_cut_within_its_upload(cluster, kind, is_relayed):
    """It got a part of the server's body as a complete answer."""
    server = ResettingServer(CUT_ANSWERS['no length'])
    start(cluster, server, kind, is_relayed=is_relayed)
    server.has_reset.clear()
    read = build_reader(server)
    status, headers, content = call(
        1,
        FRONT_PORT,
        '/a/upload',
        {**_HEADERS, 'Content-Length': str(WHOLE_BYTES)},
        'POST',
        (read(0) for _ in range(PARTS)),
    )
    assert (status, content) == (502, b'lost\n')
    assert 'Sesameroute-Server-Seal' not in headers
    assert [head.split()[1] for head in server.heads].count('/a/upload') == 1


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize('name', _MALFORMED)
def test_caller_gets_no_malformed_answer(cluster, name, is_relayed):
    """Its request may have run."""
    server = ScriptedServer(script(MALFORMED_ANSWERS[name]))
    start(cluster, server, 'unsafe', is_relayed=is_relayed)
    status, headers, content = call(1, FRONT_PORT, '/a/odd', _HEADERS, 'POST')
    assert (status, content) == (502, b'lost\n')
    assert 'Sesameroute-Server-Seal' not in headers
    assert [head.split()[1] for head in server.heads].count('/a/odd') == 1
