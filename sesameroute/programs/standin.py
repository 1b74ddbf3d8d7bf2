"""`sesame-standin`: the platform and the backend servers, for trying out."""

import signal
import sys
import threading
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

from absl import app, flags

from sesameroute.exceptions import ExitCode, SesameError
from sesameroute.fakes import (
    FakeStoreServer,
    FakeUpstream,
    FakeVmList,
    Journal,
    WorkKind,
)
from sesameroute.ports import ListedVm
from sesameroute.statement import Statement, read_statement

__all__ = ['run']

_MILLISECONDS = 1000
_STORE_PORT = 8500
_LIST_PORT = 8501
_FLAGS = flags.FLAGS


_USAGE = """Runs a key-value service, a VM list and the backend servers of a
statement until SIGTERM. All of them keep everything in memory.

Example:
  sesame-standin --statement examples/processes/statement.ini
"""


def run() -> None:
    """Run the program."""
    _define_flags()
    sys.modules['__main__'].__doc__ = _USAGE
    app.run(_serve)


def _define_flags() -> None:
    flags.DEFINE_string(
        'statement', '', 'Statement whose backend servers to run.'
    )
    flags.DEFINE_string(
        'address', '127.25.250.1', 'IP address of the platform.'
    )
    flags.DEFINE_integer(
        'store_port', _STORE_PORT, 'TCP port of the key-value service.'
    )
    flags.DEFINE_integer('list_port', _LIST_PORT, 'TCP port of the VM list.')


def _serve(_arguments: list[str]) -> int:
    told = threading.Event()

    def tell(*_signal: Any) -> None:
        told.set()

    signal.signal(signal.SIGTERM, tell)
    signal.signal(signal.SIGINT, tell)
    try:
        statement = read_statement(_read_file(_FLAGS.statement))
    except (SesameError, OSError) as error:
        print(error, file=sys.stderr)
        return int(ExitCode.INPUT)
    with ExitStack() as stack:
        for part in _build_parts(statement):
            stack.enter_context(_running(part))
        print(f'running {len(statement.upstreams)} backend servers')
        told.wait()
    return int(ExitCode.OK)


def _build_parts(statement: Statement) -> Iterator[Any]:
    """Yield the stand-ins, not yet started."""
    yield FakeStoreServer(_FLAGS.address, _FLAGS.store_port)
    listed = FakeVmList(_FLAGS.address, _FLAGS.list_port)
    listed.publish(
        ListedVm(vm.name, vm.address) for vm in statement.vms.values()
    )
    yield listed
    journal = Journal()
    kinds = {
        kind.name: WorkKind(kind.work_ms / _MILLISECONDS, kind.answer_bytes)
        for kind in statement.kinds.values()
    }
    for upstream in statement.upstreams.values():
        yield FakeUpstream(upstream, kinds, journal)


@contextmanager
def _running(part: Any) -> Iterator[None]:
    part.start()
    try:
        yield
    finally:
        stop = getattr(part, 'stop', None) or part.crash
        stop()


def _read_file(path: str) -> str:
    with open(path, encoding='utf-8') as opened:
        return opened.read()


if __name__ == '__main__':
    run()
