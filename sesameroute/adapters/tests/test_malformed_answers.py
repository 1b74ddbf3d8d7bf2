"""Tests of the other readers of answers: entry VMs and clients of the store."""

import time

import pytest
from urllib3.exceptions import HTTPError

from sesameroute.adapters import HttpUpstreams, build_pool
from sesameroute.adapters._relay import HttpRelay
from sesameroute.adapters._verdict_http import VERDICT_HEADER
from sesameroute.adapters.tests.malformed_answers import (
    BODY,
    MALFORMED_ANSWERS,
    UNUSUAL_ANSWERS,
    fill,
)
from sesameroute.exceptions import PeerError, RequestError
from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.ports import Request, SystemClock, TcpWire
from sesameroute.statement import Kind, Upstream
from sesameroute.verdict import Verdict

_ADDRESS = '127.0.0.1'
_KIND = Kind('stock-check', 'tray-catalogue', work_ms=10)
_SECONDS = 5


@pytest.fixture(scope='module')
def server():
    """Yield a server whose answers are scripted by each test."""
    running = ScriptedServer('whole')
    yield running
    running.stop()


def script(text):
    """Return a script that gives this answer as an entry VM would."""
    fields = f'{VERDICT_HEADER}: {Verdict.RAN}\r\n'
    return fill(text, fields), 'close'


def send(server, method):
    """Send a request to a backend server; return the body of its answer."""
    upstreams = HttpUpstreams(TcpWire(), _ADDRESS, SystemClock())
    upstream = Upstream('u', 's', 'd', *server.target, slots=1, connections=9)
    request = Request(_KIND, method, '/a', deadline=time.monotonic() + _SECONDS)
    answer = upstreams.send(upstream, request, new_connection=True)
    return b''.join(answer.chunks)


def send_home(server):
    """Send a request to its home; return the body of its answer."""
    relay = HttpRelay(
        TcpWire(), _ADDRESS, SystemClock(), lambda _: server.target
    )
    request = Request(_KIND, 'GET', '/a', deadline=time.monotonic() + _SECONDS)
    return b''.join(relay.send('home', request, _SECONDS).chunks)


def read_whole(server):
    """Return the body of an answer that is read whole, as the store's are."""
    pool = build_pool(TcpWire(), _ADDRESS, server.target)
    return pool.urlopen('GET', '/a', timeout=_SECONDS).data


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('name', list(MALFORMED_ANSWERS))
def test_entry_vm_takes_no_malformed_answer(server, name, method):
    """The request may have run."""
    server.follow(script(MALFORMED_ANSWERS[name]))
    with pytest.raises(RequestError) as caught:
        send(server, method)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert BODY not in caught.value.message


@pytest.mark.parametrize('name', list(MALFORMED_ANSWERS))
def test_home_with_a_malformed_answer_has_not_answered(server, name):
    """An entry VM that answers so counts as lost."""
    server.follow(script(MALFORMED_ANSWERS[name]))
    with pytest.raises((PeerError, RequestError)) as caught:
        send_home(server)
    assert BODY not in caught.value.message


@pytest.mark.parametrize('name', list(MALFORMED_ANSWERS))
def test_store_with_a_malformed_answer_has_not_answered(server, name):
    """The client of the store knows nothing of the outcome then."""
    server.follow(script(MALFORMED_ANSWERS[name]))
    with pytest.raises(HTTPError):
        read_whole(server)


@pytest.mark.parametrize('name', list(UNUSUAL_ANSWERS))
def test_unusual_answers_are_read(server, name):
    """They are valid, whatever they look like."""
    server.follow(script(UNUSUAL_ANSWERS[name]))
    read = [send(server, 'GET'), send_home(server), read_whole(server)]
    assert read == [BODY.encode()] * 3
