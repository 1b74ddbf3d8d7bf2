"""Fake platform services, network and backend servers.

They replace the platform in tests and in local runs: a key-value store, a
list of VMs, a network with delays and faults, and backend servers that keep
an execution log of the requests they ran.
"""

from sesameroute.fakes._behaviour import Behaviour, WorkKind
from sesameroute.fakes._body import ChecksumLine, build_body, read_checksum_line
from sesameroute.fakes._clock import PausableClock
from sesameroute.fakes._delayed_stream import DelayedStream
from sesameroute.fakes._geography import Geography, Site
from sesameroute.fakes._journal import ExecutionLog, Run
from sesameroute.fakes._memory_store import (
    MemoryStore,
    StoreFaults,
    StoreOutage,
)
from sesameroute.fakes._slots import SlotQueue
from sesameroute.fakes._store import FakeStoreServer
from sesameroute.fakes._upstream import FakeUpstream
from sesameroute.fakes._vmlist import FakeVmList
from sesameroute.fakes._wire import FakeWire

__all__ = [
    'ChecksumLine',
    'Behaviour',
    'FakeStoreServer',
    'FakeUpstream',
    'FakeVmList',
    'FakeWire',
    'Geography',
    'ExecutionLog',
    'DelayedStream',
    'MemoryStore',
    'PausableClock',
    'Run',
    'Site',
    'SlotQueue',
    'StoreFaults',
    'StoreOutage',
    'WorkKind',
    'build_body',
    'read_checksum_line',
]
