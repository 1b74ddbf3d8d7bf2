"""Tests of the judge and of what it is told."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from sesameroute.caller import Outcome
from sesameroute.exceptions import InputError
from sesameroute.fakes import Journal, build_body
from sesameroute.local import FaultTime, RunOptions, parse_fault
from sesameroute.local._figures import find_quantile, weigh_service
from sesameroute.local._judge import KindCounts, count_kinds
from sesameroute.local._order import Order, Word
from sesameroute.statement import Kind
from sesameroute.verdict import Verdict

_READ = Kind('read', 'desk')
_WRITE = Kind('write', 'desk', idempotent=False)
_NOW = 1e9


def _run(journal, order, key='k1', *, ends=True):
    run = journal.start(key, ('desk', order.kind.name, order.name), 'u1')
    mark, chunks = build_body(order.name, run.number, 50)
    if ends:
        journal.finish(run, mark.digest)
    return b''.join(chunks)


def _hear(order, verdict, body=b'', key='k1', status=200, late=0):
    word = Word(verdict, '', key, 0, _NOW + late, _NOW)
    order.words.append(word)
    order.outcome = Outcome(verdict, status, body, key=key)
    order.ended = _NOW


def _answer(journal, order):
    _hear(order, Verdict.RAN, _run(journal, order))


def _cut(journal, order):
    _hear(order, Verdict.RAN, _run(journal, order)[:-1])


def _cross(journal, order):
    other = Order('other', order.kind, None)
    _hear(order, Verdict.RAN, _run(journal, other))


def _invent(_journal, order):
    _hear(order, Verdict.RAN, _run(Journal(), order))


def _fail(journal, order):
    _hear(order, Verdict.RAN, _run(journal, order), status=500)


def _refuse(_journal, order):
    _hear(order, Verdict.NOT_RUN)


def _lie(journal, order):
    _run(journal, order, ends=False)
    _hear(order, Verdict.NOT_RUN)


def _wonder(journal, order):
    _run(journal, order, ends=False)
    _hear(order, Verdict.MAY_HAVE_RUN)


def _double(journal, order):
    _run(journal, order, ends=False)
    _answer(journal, order)


def _delay(_journal, order):
    _hear(order, Verdict.NOT_RUN, late=2)


def _say_nothing(_journal, _order):
    """The caller hears nothing."""


@pytest.mark.parametrize(
    ('act', 'kind', 'expected'),
    [
        (_answer, _WRITE, {'answered'}),
        (_cut, _READ, {'wrong_answer'}),
        (_cross, _READ, {'wrong_answer'}),
        (_invent, _WRITE, {'lost'}),
        (_fail, _READ, {'wrong_answer'}),
        (_refuse, _WRITE, {'refused_not_run'}),
        (_lie, _WRITE, {'refused_not_run', 'false_not_run'}),
        (_lie, _READ, {'refused_not_run', 'false_not_run'}),
        (_wonder, _WRITE, {'may_have_run'}),
        (_double, _WRITE, {'answered', 'doubled'}),
        (_double, _READ, {'answered'}),
        (_delay, _WRITE, {'refused_not_run', 'lost'}),
        (_say_nothing, _WRITE, {'lost'}),
    ],
)
def test_each_end_gets_its_words(act, kind, expected):
    journal = Journal()
    order = Order('o1', kind, None)
    act(journal, order)
    counts, broken = count_kinds([order], journal)
    found = counts[kind.name]
    assert found.sent == 1
    words = {name for name in KindCounts.__slots__ if getattr(found, name)}
    assert words - {'sent'} == expected
    assert len(broken) == found.faults


def test_a_refusal_followed_by_an_answer_is_no_lie():
    journal = Journal()
    order = Order('o1', _WRITE, None)
    _hear(order, Verdict.NOT_RUN, key='k0')
    _answer(journal, order)
    assert count_kinds([order], journal)[0]['write'].faults == 0


@pytest.mark.parametrize(
    ('keys', 'expected'),
    [(('k1', 'k2'), 0), (('k1', 'k1'), 1)],
)
def test_a_user_who_sends_anew_doubles_by_one_key_only(keys, expected):
    journal = Journal()
    order = Order('o1', _WRITE, None, is_sent_anew=True)
    for key in keys:
        _run(journal, order, key, ends=False)
    _hear(order, Verdict.MAY_HAVE_RUN)
    assert count_kinds([order], journal)[0]['write'].doubled == expected


@pytest.mark.parametrize('text', ['', 'Entry', 'a@', 'a@x', 'a@-1', 'a b'])
def test_a_malformed_fault_is_named(text):
    with pytest.raises(InputError, match='NAME@SECOND'):
        parse_fault(text)


def test_a_fault_without_time_begins_after_a_third():
    options = RunOptions(seconds=30)
    assert options.find_second(FaultTime('x')) == 10
    assert options.find_second(parse_fault('x@2')) == 2


@pytest.mark.parametrize(
    ('name', 'value'),
    [('seconds', 0), ('rate', 1e6), ('callers', 0), ('work_factor', -1)],
)
def test_an_option_outside_of_its_range_is_named(name, value):
    with pytest.raises(InputError, match=f'--{name}'):
        RunOptions(**{name: value}).check()


@pytest.mark.parametrize(
    ('part', 'expected'),
    [(0.5, 50), (0.99, 99), (0.999, 100), (1, 100)],
)
def test_quantiles(part, expected):
    assert find_quantile(range(1, 101), part) == expected


def test_service_is_weighed_by_kind():
    kinds = {'read': _READ, 'write': replace(_WRITE, weight=9)}
    statement = SimpleNamespace(kinds=kinds)
    counts = {'read': KindCounts(10, 10), 'write': KindCounts(10, 5)}
    assert weigh_service(statement, counts) * 100 == pytest.approx(55)
