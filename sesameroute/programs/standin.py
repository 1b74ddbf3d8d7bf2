"""`sesame-standin`: simulated platform and backend servers for trials."""

import signal
import sys
import threading
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

from absl import app, flags

from sesameroute.exceptions import ExitCode, SesameError
from sesameroute.fakes import (
    ExecutionLog,
    FakeStoreServer,
    FakeUpstream,
    FakeVmList,
    WorkKind,
)
from sesameroute.ports import ListedVm
from sesameroute.statement import Statement, read_statement

__all__ = ['run']

_MILLISECONDS = 1000
_STORE_PORT = 8500
_VM_LIST_PORT = 8501
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
    flags.DEFINE_integer('list_port', _VM_LIST_PORT, 'TCP port of the VM list.')


def _serve(_arguments: list[str]) -> int:
    stop_requested = threading.Event()

    def request_stop(*_signal: Any) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    try:
        statement = read_statement(_read_file(_FLAGS.statement))
    except (SesameError, OSError) as error:
        print(error, file=sys.stderr)
        return int(ExitCode.INPUT)
    with ExitStack() as stack:
        for stand_in in _build_stand_ins(statement):
            stack.enter_context(_run_until_exit(stand_in))
        print(f'running {len(statement.upstreams)} backend servers')
        stop_requested.wait()
    return int(ExitCode.OK)


def _build_stand_ins(statement: Statement) -> Iterator[Any]:
    """Yield the simulated store, VM list and backend servers, not started."""
    yield FakeStoreServer(_FLAGS.address, _FLAGS.store_port)
    vm_list = FakeVmList(_FLAGS.address, _FLAGS.list_port)
    vm_list.publish(
        ListedVm(vm.name, vm.address) for vm in statement.vms.values()
    )
    yield vm_list
    execution_log = ExecutionLog()
    kinds = {
        kind.name: WorkKind(kind.work_ms / _MILLISECONDS, kind.answer_bytes)
        for kind in statement.kinds.values()
    }
    for upstream in statement.upstreams.values():
        yield FakeUpstream(upstream, kinds, execution_log)


@contextmanager
def _run_until_exit(stand_in: Any) -> Iterator[None]:
    stand_in.start()
    try:
        yield
    finally:
        stop = getattr(stand_in, 'stop', None) or stand_in.crash
        stop()


def _read_file(path: str) -> str:
    with open(path, encoding='utf-8') as statement_file:
        return statement_file.read()


if __name__ == '__main__':
    run()
