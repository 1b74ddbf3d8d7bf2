"""`sesamectl` against a stand-in store and the pages of two VMs."""

import json
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path

import pytest
from cheroot import wsgi

from sesameroute.exceptions import ExitCode
from sesameroute.fakes import FakeStoreServer, MemoryStore, StoreOutage
from sesameroute.programs import control
from sesameroute.statement import print_statement
from sesameroute.submission.tests.small import build_small_statement

TOKEN = 'a-token-of-operators'
PATIENCE = '--timeout=0.3'  # where waiting is in vain
SETTINGS = """
[store]
url = {url}
key = sesameroute/small
timeout_ms = 3000

[operator]
token = {token}
urls = {fallback}
"""


def find_free_port(address):
    """Return a TCP port that nobody listens on."""
    with socket.create_server((address, 0)) as probe:
        return probe.getsockname()[1]


class PageServer:
    """Answers as the operators' pages of one VM."""

    def __init__(self, address, port):
        """Store the address and start to answer."""
        self.page = {}
        self.port = port
        self.server = wsgi.Server((address, port), self.answer, numthreads=2)
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()

    def answer(self, environ, start_response):
        """Return the page to those who know the token."""
        if environ.get('HTTP_AUTHORIZATION') != f'Bearer {TOKEN}':
            start_response('401 Unauthorized', [])
            return [b'']
        start_response('200 OK', [('Content-Type', 'application/json')])
        body = self.page
        return [body if isinstance(body, bytes) else json.dumps(body).encode()]


class Desk:
    """An operator's desk: files, a store, two VMs and `sesamectl`."""

    def __init__(self, path: Path, capsys, store, pages):
        """Prepare settings and statement."""
        self.path = path
        self.capsys = capsys
        self.store = store
        self.pages = pages
        self.write_statement(find_free_port('127.30.1.11'))
        text = SETTINGS.format(
            url=self.store.url,
            token=TOKEN,
            fallback=f'http://127.30.1.11:{pages[0].port}',
        )
        self.write('ctl.ini', text)

    def write(self, name, text):
        """Write a file and return its path."""
        path = self.path / name
        path.write_text(text)
        return str(path)

    def write_statement(self, port):
        """Write a statement whose VMs listen on a port."""
        statement = replace(build_small_statement(), entry_port=port)
        self.write('small.ini', print_statement(statement))

    def open_pages(self):
        """Let the statement name VMs that answer."""
        self.write_statement(self.pages[0].port)

    def run(self, *words):
        """Run `sesamectl`; return the exit code and all that it printed."""
        paths = [
            str(self.path / word) if word.endswith('.ini') else word
            for word in words
        ]
        flags = ['--config', str(self.path / 'ctl.ini'), '--timeout=5']
        code = control.main(['sesamectl', *flags, *paths])
        printed = self.capsys.readouterr()
        return code, printed.out + printed.err


@pytest.fixture(scope='module')
def servers():
    """Return a store and the pages of two VMs."""
    store = FakeStoreServer('127.30.0.1', find_free_port('127.30.0.1'))
    store.start()
    port = find_free_port('127.30.1.11')
    pages = [
        PageServer(address, port) for address in ('127.30.1.11', '127.30.2.11')
    ]
    yield store, pages
    store.stop()
    for page in pages:
        page.server.stop()


@pytest.fixture
def desk(tmp_path, capsys, servers):
    """Return a desk whose store is up and empty."""
    store, pages = servers
    store.memory = MemoryStore()
    for page in pages:
        page.page = {
            'version': 0,
            'stale': False,
            'headroom': {'desk': [1, 2]},
        }
    return Desk(tmp_path, capsys, store, pages)


@pytest.mark.parametrize(
    ('words', 'code', 'part'),
    [
        (['--help'], ExitCode.OK, 'sesamectl drain sofia-a-1'),
        ([], ExitCode.INPUT, 'allowed commands'),
        (['dance'], ExitCode.INPUT, 'allowed commands'),
        (['check'], ExitCode.INPUT, 'check takes PATH'),
        (['show', 'more'], ExitCode.INPUT, 'show takes no argument'),
        (['show', '--colour=red'], ExitCode.INPUT, 'colour'),
        (['show', '--timeout=soon'], ExitCode.INPUT, 'timeout'),
        (['check', 'small.ini'], ExitCode.OK, '2 VMs, 12 upstreams'),
        (['print', 'small.ini'], ExitCode.OK, '[vm north-a-1]'),
        (['check', 'ctl.ini'], ExitCode.INPUT, 'unknown section'),
        (['check', 'none.ini'], ExitCode.INPUT, 'none.ini'),
        (['show'], ExitCode.INPUT, 'no statement is stored'),
        (['drain', 'north-a-1'], ExitCode.INPUT, 'no statement is stored'),
        (['status'], ExitCode.OK, 'http://127.30.1.11:'),
        (['wait', 'soon'], ExitCode.INPUT, "'soon'"),
        (['shift', 'night'], ExitCode.INPUT, '--service, --source, --target'),
        (['submit', 'small.ini'], ExitCode.OK, 'accepted version=1'),
        (['submit', 'small.ini', '--base=x'], ExitCode.INPUT, "--base 'x'"),
        (['submit', 'small.ini', '--base=4'], ExitCode.CONFLICT, 'not 4'),
    ],
)
def test_empty_store(desk, words, code, part):
    """Each command ends with its code and says why."""
    ended, printed = desk.run(*words)
    assert (ended, part in printed) == (code, True), printed


@pytest.mark.parametrize(
    ('words', 'code', 'part'),
    [
        (['show'], ExitCode.OK, '# version 1 '),
        (['submit', 'small.ini'], ExitCode.INPUT, 'give --base 1'),
        (['submit', 'small.ini', '--base=1'], ExitCode.OK, 'version=2'),
        (['submit', 'small.ini', '--base=newest'], ExitCode.OK, 'version=2'),
        (['drain', 'north-a-1'], ExitCode.INPUT, '1 entry VMs'),
        (['drain', 'north'], ExitCode.INPUT, 'allowed: 2 or more'),
        (['drain', 'order-desk-1'], ExitCode.OK, 'accepted version=2'),
        (['drain', 'order-desk-1', '--dry_run'], ExitCode.OK, '+[drain ord'),
        (['drain', 'west'], ExitCode.INPUT, "'west' is no VM"),
        (['undrain', 'order-desk-1'], ExitCode.OK, 'accepted version=1'),
        (['unshift', 'night'], ExitCode.INPUT, 'allowed: none'),
        (
            [
                'shift',
                'night',
                '--service=order-desk',
                '--source=north',
                '--target=west',
            ],
            ExitCode.INPUT,
            "target = 'west': allowed: north",
        ),
        (['status'], ExitCode.UNREACHABLE, 'missing: north-a-1 (NewConn'),
        (['wait', '1'], ExitCode.UNREACHABLE, 'missing: north-b-1'),
    ],
)
def test_stored_statement(desk, words, code, part):
    """The commands change what is stored, or say why they don't."""
    desk.run('submit', 'small.ini')
    ended, printed = desk.run(*words)
    assert (ended, part in printed) == (code, True), printed


def test_loser_sees_the_difference(desk):
    """Who edits an older version gets the change made meanwhile."""
    desk.run('submit', 'small.ini')
    shown = desk.run('show')[1]
    desk.write('mine.ini', shown.replace('reserve = 0.1', 'reserve = 0.2'))
    desk.run('drain', 'order-desk-2')
    code, printed = desk.run('submit', 'mine.ini')
    assert code == ExitCode.CONFLICT
    assert '+[drain order-desk-2]' in printed
    assert '[drain order-desk-2]' in desk.run('show')[1]


def test_two_operators_race(desk):
    """Of two who change the same version at once, one wins."""
    desk.run('submit', 'small.ini')
    config = ['--config', str(desk.path / 'ctl.ini')]
    path = str(desk.path / 'small.ini')
    argv = ['sesamectl', 'submit', path, '--base=1', *config]
    with ThreadPoolExecutor() as operators:
        codes = list(operators.map(control.main, (argv, argv, argv, argv)))
    assert codes.count(ExitCode.OK) == 1
    assert codes.count(ExitCode.CONFLICT) == 3
    assert desk.store.memory.read('sesameroute/small').revision == 2


def test_lost_answer_is_settled(desk):
    """A write whose answer got lost is reported once, as accepted."""
    desk.store.faults.lost_answers = 1
    assert desk.run('submit', 'small.ini')[0] == ExitCode.OK
    assert desk.store.memory.read('sesameroute/small').revision == 1


@pytest.mark.parametrize('outage', [StoreOutage.REFUSE, StoreOutage.CUT])
def test_store_down(desk, outage):
    """An outage is told as such; the VMs of the settings are asked."""
    desk.run('submit', 'small.ini')
    desk.open_pages()
    desk.store.faults.outage = outage
    assert desk.run('show', PATIENCE)[0] == ExitCode.UNREACHABLE
    code, printed = desk.run('status', PATIENCE)
    assert code == ExitCode.OK
    assert 'asking the URLs of the settings' in printed


def test_statement_in_force(desk):
    """With the store down, the statement of the settings' VM is shown."""
    desk.run('submit', 'small.ini')
    desk.open_pages()
    desk.store.faults.outage = StoreOutage.REFUSE
    text = '[institution]\nname = in-force\n'
    desk.pages[0].page = {'version': 7, 'submission': 'x', 'text': text}
    code, printed = desk.run('show', PATIENCE)
    assert code == ExitCode.OK
    assert '# version 7 x\n[institution]\nname = in-force' in printed


def test_fleet_pages(desk):
    """Pages become tables; who is behind or missing is named."""
    desk.open_pages()
    desk.run('submit', 'small.ini')
    first, second = desk.pages
    code, printed = desk.run('status')
    assert (code, 'north-b-1  1/2' in printed) == (ExitCode.OK, True)
    first.page = {'version': 2, 'why': [{'upstream': 'order-desk-1'}]}
    code, printed = desk.run('wait', '2', PATIENCE)
    assert (code, 'behind: north-b-1' in printed) == (
        ExitCode.UNREACHABLE,
        True,
    )
    second.page = b'<html>'
    code, printed = desk.run('wait', '2')
    assert (code, 'missing: north-b-1 (answered no page)' in printed) == (
        ExitCode.OK,
        True,
    )
    assert 'all  order-desk-1' in desk.run('explain', 'order-desk')[1]


def test_store_behind_the_fleet(desk):
    """A restored store neither takes back nor repeats a version."""
    desk.open_pages()
    desk.run('submit', 'small.ini')
    for page in desk.pages:
        page.page = {'version': 7}
    code, printed = desk.run('drain', 'order-desk-1', PATIENCE)
    assert (code, 'or was restored' in printed) == (ExitCode.CONFLICT, True)
    code, printed = desk.run('submit', 'small.ini', '--base=newest')
    assert (code, 'version=8' in printed) == (ExitCode.OK, True)


def test_store_that_lost_everything(desk):
    """An empty store doesn't give out versions that the fleet has."""
    desk.open_pages()
    for page in desk.pages:
        page.page = {'version': 7}
    code, printed = desk.run('submit', 'small.ini')
    assert (code, 'or was restored' in printed) == (ExitCode.CONFLICT, True)
    code, printed = desk.run('submit', 'small.ini', '--base=newest')
    assert (code, 'version=8' in printed) == (ExitCode.OK, True)


def test_wrong_token(desk):
    """Pages that refuse the token are missing with their status."""
    desk.open_pages()
    desk.run('submit', 'small.ini')
    settings = (desk.path / 'ctl.ini').read_text()
    desk.write('ctl.ini', settings.replace(TOKEN, 'another-token-of-them'))
    assert '(answered 401 Unauthorized)' in desk.run('status')[1]
