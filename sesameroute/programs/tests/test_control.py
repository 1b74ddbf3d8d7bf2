"""`sesamectl` with a fake store and fake operator pages of two VMs."""

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
from sesameroute.submission.tests.small_statement import build_small_statement

TOKEN = 'a-token-of-operators'
SHORT_TIMEOUT_FLAG = '--timeout=0.3'  # for commands that time out
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
    """Return a TCP port without a listener."""
    with socket.create_server((address, 0)) as listener:
        return listener.getsockname()[1]


class PageServer:
    """HTTP server that simulates the operator pages of one VM."""

    def __init__(self, address, port):
        """Store the port and start the server."""
        self.page = {}
        self.port = port
        self.server = wsgi.Server((address, port), self.answer, numthreads=2)
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()

    def answer(self, wsgi_environ, start_response):
        """Return the page if the request has the operators' token."""
        if wsgi_environ.get('HTTP_AUTHORIZATION') != f'Bearer {TOKEN}':
            start_response('401 Unauthorized', [])
            return [b'']
        start_response('200 OK', [('Content-Type', 'application/json')])
        body = self.page
        return [body if isinstance(body, bytes) else json.dumps(body).encode()]


class ControlEnvironment:
    """Files, store and VMs that an operator's `sesamectl` works with."""

    def __init__(self, path: Path, capsys, store, pages):
        """Write the settings and the statement."""
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
        """Write a statement with an entry port for its VMs."""
        statement = replace(build_small_statement(), entry_port=port)
        self.write('small.ini', print_statement(statement))

    def use_page_servers(self):
        """Write a statement whose entry port is that of the page servers."""
        self.write_statement(self.pages[0].port)

    def run(self, *arguments):
        """Run `sesamectl`; return the exit code and all its output."""
        paths = [
            str(self.path / word) if word.endswith('.ini') else word
            for word in arguments
        ]
        flags = ['--config', str(self.path / 'ctl.ini'), '--timeout=5']
        code = control.main(['sesamectl', *flags, *paths])
        printed = self.capsys.readouterr()
        return code, printed.out + printed.err


@pytest.fixture(scope='module')
def servers():
    """Yield a store and the page servers of two VMs."""
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
def environment(tmp_path, capsys, servers):
    """Return an environment whose store is up and empty."""
    store, pages = servers
    store.memory = MemoryStore()
    for page in pages:
        page.page = {
            'version': 0,
            'stale': False,
            'headroom': {'desk': [1, 2]},
        }
    return ControlEnvironment(tmp_path, capsys, store, pages)


@pytest.mark.parametrize(
    ('arguments', 'code', 'excerpt'),
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
def test_commands_with_an_empty_store(environment, arguments, code, excerpt):
    """Each command ends with its exit code and a fitting message."""
    ended, printed = environment.run(*arguments)
    assert (ended, excerpt in printed) == (code, True), printed


@pytest.mark.parametrize(
    ('arguments', 'code', 'excerpt'),
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
def test_commands_with_a_stored_statement(
    environment, arguments, code, excerpt
):
    """The commands change the stored statement, or say why they don't."""
    environment.run('submit', 'small.ini')
    ended, printed = environment.run(*arguments)
    assert (ended, excerpt in printed) == (code, True), printed


def test_conflict_shows_the_difference(environment):
    """A submit based on an older version prints the change made since."""
    environment.run('submit', 'small.ini')
    shown = environment.run('show')[1]
    environment.write(
        'mine.ini', shown.replace('reserve = 0.1', 'reserve = 0.2')
    )
    environment.run('drain', 'order-desk-2')
    code, printed = environment.run('submit', 'mine.ini')
    assert code == ExitCode.CONFLICT
    assert '+[drain order-desk-2]' in printed
    assert '[drain order-desk-2]' in environment.run('show')[1]


def test_concurrent_submits_have_one_winner(environment):
    """Of four concurrent changes of the same version, one is accepted."""
    environment.run('submit', 'small.ini')
    config = ['--config', str(environment.path / 'ctl.ini')]
    path = str(environment.path / 'small.ini')
    argv = ['sesamectl', 'submit', path, '--base=1', *config]
    with ThreadPoolExecutor() as operators:
        codes = list(operators.map(control.main, (argv, argv, argv, argv)))
    assert codes.count(ExitCode.OK) == 1
    assert codes.count(ExitCode.CONFLICT) == 3
    assert environment.store.memory.read('sesameroute/small').revision == 2


def test_lost_store_answer_does_not_repeat_the_write(environment):
    """A write is accepted once, although the store's answer was lost."""
    environment.store.faults.lost_answers = 1
    assert environment.run('submit', 'small.ini')[0] == ExitCode.OK
    assert environment.store.memory.read('sesameroute/small').revision == 1


@pytest.mark.parametrize('outage', [StoreOutage.REFUSE, StoreOutage.CUT])
def test_store_down_falls_back_to_the_settings(environment, outage):
    """`show` reports the outage; `status` uses the URLs in the settings."""
    environment.run('submit', 'small.ini')
    environment.use_page_servers()
    environment.store.faults.outage = outage
    assert (
        environment.run('show', SHORT_TIMEOUT_FLAG)[0] == ExitCode.UNREACHABLE
    )
    code, printed = environment.run('status', SHORT_TIMEOUT_FLAG)
    assert code == ExitCode.OK
    assert 'using the URLs in the settings' in printed


def test_show_prints_the_statement_in_force(environment):
    """With the store down, `show` takes the statement from a VM.

    The settings give the URL of this VM.
    """
    environment.run('submit', 'small.ini')
    environment.use_page_servers()
    environment.store.faults.outage = StoreOutage.REFUSE
    text = '[institution]\nname = in-force\n'
    environment.pages[0].page = {'version': 7, 'submission': 'x', 'text': text}
    code, printed = environment.run('show', SHORT_TIMEOUT_FLAG)
    assert code == ExitCode.OK
    assert '# version 7 x\n[institution]\nname = in-force' in printed


def test_pages_are_printed_as_tables(environment):
    """Pages are printed as tables; outdated and missing VMs are named."""
    environment.use_page_servers()
    environment.run('submit', 'small.ini')
    first, second = environment.pages
    code, printed = environment.run('status')
    assert (code, 'north-b-1  1/2' in printed) == (ExitCode.OK, True)
    first.page = {'version': 2, 'why': [{'upstream': 'order-desk-1'}]}
    code, printed = environment.run('wait', '2', SHORT_TIMEOUT_FLAG)
    assert (code, 'behind: north-b-1' in printed) == (
        ExitCode.UNREACHABLE,
        True,
    )
    second.page = b'<html>'
    code, printed = environment.run('wait', '2')
    assert (
        code,
        'missing: north-b-1 (answer is no valid page)' in printed,
    ) == (
        ExitCode.OK,
        True,
    )
    assert 'all  order-desk-1' in environment.run('explain', 'order-desk')[1]


def test_restored_store_does_not_reuse_versions(environment):
    """A store restored to an older version takes no change unnoticed.

    The change is refused; a forced one gets a version above the fleet's.
    """
    environment.use_page_servers()
    environment.run('submit', 'small.ini')
    for page in environment.pages:
        page.page = {'version': 7}
    code, printed = environment.run('drain', 'order-desk-1', SHORT_TIMEOUT_FLAG)
    assert (code, 'or was restored' in printed) == (ExitCode.CONFLICT, True)
    code, printed = environment.run('submit', 'small.ini', '--base=newest')
    assert (code, 'version=8' in printed) == (ExitCode.OK, True)


def test_emptied_store_does_not_reuse_versions(environment):
    """An emptied store does not assign versions that the fleet has."""
    environment.use_page_servers()
    for page in environment.pages:
        page.page = {'version': 7}
    code, printed = environment.run('submit', 'small.ini')
    assert (code, 'or was restored' in printed) == (ExitCode.CONFLICT, True)
    code, printed = environment.run('submit', 'small.ini', '--base=newest')
    assert (code, 'version=8' in printed) == (ExitCode.OK, True)


def test_wrong_token_is_reported(environment):
    """VMs that refuse the token are listed with the HTTP status."""
    environment.use_page_servers()
    environment.run('submit', 'small.ini')
    settings = (environment.path / 'ctl.ini').read_text()
    environment.write(
        'ctl.ini', settings.replace(TOKEN, 'another-token-of-them')
    )
    assert '(answered 401 Unauthorized)' in environment.run('status')[1]
