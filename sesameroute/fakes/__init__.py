"""Stand-ins for the platform and the backend servers."""

from sesameroute.fakes._behaviour import Behaviour, WorkKind
from sesameroute.fakes._body import AnswerMark, build_body, read_mark
from sesameroute.fakes._clock import PausableClock
from sesameroute.fakes._geography import Geography, Site
from sesameroute.fakes._journal import Journal, Run
from sesameroute.fakes._lane import Lane
from sesameroute.fakes._upstream import FakeUpstream
from sesameroute.fakes._vmlist import FakeVmList
from sesameroute.fakes._wire import FakeWire

__all__ = [
    'AnswerMark',
    'Behaviour',
    'FakeUpstream',
    'FakeVmList',
    'FakeWire',
    'Geography',
    'Journal',
    'Lane',
    'PausableClock',
    'Run',
    'Site',
    'WorkKind',
    'build_body',
    'read_mark',
]
