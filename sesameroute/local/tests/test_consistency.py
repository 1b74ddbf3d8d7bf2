"""Tests of the consistency check, the options and the metrics."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from sesameroute.caller import Outcome
from sesameroute.exceptions import InputError
from sesameroute.fakes import ExecutionLog, build_body
from sesameroute.local import RunOptions, ScheduledFault, parse_fault
from sesameroute.local._client_request import Attempt, ClientRequest
from sesameroute.local._consistency import KindCounts, count_kinds
from sesameroute.local._metrics import (
    compute_quantile,
    compute_weighted_service,
)
from sesameroute.statement import Kind
from sesameroute.verdict import Verdict

_READ = Kind('read', 'desk')
_WRITE = Kind('write', 'desk', idempotent=False)
_NOW = 1e9


def _run(execution_log, request, key='k1', *, ends=True):
    run = execution_log.start(
        key, ('desk', request.kind.name, request.name), 'u1'
    )
    checksum_line, chunks = build_body(request.name, run.number, 50)
    if ends:
        execution_log.finish(run, checksum_line.digest)
    return b''.join(chunks)


def _record_outcome(
    request,
    verdict,
    body=b'',
    key='k1',
    status=200,
    late_seconds=0,
):
    attempt = Attempt(verdict, '', key, 0, _NOW + late_seconds, _NOW)
    request.attempts.append(attempt)
    request.outcome = Outcome(verdict, status, body, key=key)
    request.ended = _NOW


def _answer(execution_log, request):
    _record_outcome(request, Verdict.RAN, _run(execution_log, request))


def _truncate_answer(execution_log, request):
    _record_outcome(request, Verdict.RAN, _run(execution_log, request)[:-1])


def _answer_other_request(execution_log, request):
    other = ClientRequest('other', request.kind, None)
    _record_outcome(request, Verdict.RAN, _run(execution_log, other))


def _answer_without_run(_journal, request):
    _record_outcome(request, Verdict.RAN, _run(ExecutionLog(), request))


def _answer_with_error(execution_log, request):
    _record_outcome(
        request, Verdict.RAN, _run(execution_log, request), status=500
    )


def _refuse(_journal, request):
    _record_outcome(request, Verdict.NOT_RUN)


def _refuse_although_run(execution_log, request):
    _run(execution_log, request, ends=False)
    _record_outcome(request, Verdict.NOT_RUN)


def _report_unknown_outcome(execution_log, request):
    _run(execution_log, request, ends=False)
    _record_outcome(request, Verdict.MAY_HAVE_RUN)


def _run_twice(execution_log, request):
    _run(execution_log, request, ends=False)
    _answer(execution_log, request)


def _refuse_late(_journal, request):
    _record_outcome(request, Verdict.NOT_RUN, late_seconds=2)


def _never_answer(_journal, _request):
    """Leave the request without any outcome."""


@pytest.mark.parametrize(
    ('scenario', 'kind', 'expected'),
    [
        (_answer, _WRITE, {'answered'}),
        (_truncate_answer, _READ, {'wrong_answer'}),
        (_answer_other_request, _READ, {'wrong_answer'}),
        (_answer_without_run, _WRITE, {'lost'}),
        (_answer_with_error, _READ, {'wrong_answer'}),
        (_refuse, _WRITE, {'refused_not_run'}),
        (_refuse_although_run, _WRITE, {'refused_not_run', 'false_not_run'}),
        (_refuse_although_run, _READ, {'refused_not_run', 'false_not_run'}),
        (_report_unknown_outcome, _WRITE, {'may_have_run'}),
        (_run_twice, _WRITE, {'answered', 'doubled'}),
        (_run_twice, _READ, {'answered'}),
        (_refuse_late, _WRITE, {'refused_not_run', 'lost'}),
        (_never_answer, _WRITE, {'lost'}),
    ],
)
def test_counts_each_outcome_and_violation(scenario, kind, expected):
    execution_log = ExecutionLog()
    request = ClientRequest('o1', kind, None)
    scenario(execution_log, request)
    counts, violations = count_kinds([request], execution_log)
    found = counts[kind.name]
    assert found.sent == 1
    counted = {name for name in KindCounts.__slots__ if getattr(found, name)}
    assert counted - {'sent'} == expected
    assert len(violations) == found.violation_count


def test_refusal_followed_by_answer_under_new_key_is_no_violation():
    execution_log = ExecutionLog()
    request = ClientRequest('o1', _WRITE, None)
    _record_outcome(request, Verdict.NOT_RUN, key='k0')
    _answer(execution_log, request)
    assert (
        count_kinds([request], execution_log)[0]['write'].violation_count == 0
    )


@pytest.mark.parametrize(
    ('keys', 'expected'),
    [(('k1', 'k2'), 0), (('k1', 'k1'), 1)],
)
def test_request_resent_with_new_key_duplicates_only_within_one_key(
    keys,
    expected,
):
    execution_log = ExecutionLog()
    request = ClientRequest('o1', _WRITE, None, is_resent_with_new_key=True)
    for key in keys:
        _run(execution_log, request, key, ends=False)
    _record_outcome(request, Verdict.MAY_HAVE_RUN)
    assert count_kinds([request], execution_log)[0]['write'].doubled == expected


@pytest.mark.parametrize('text', ['', 'Entry', 'a@', 'a@x', 'a@-1', 'a b'])
def test_malformed_fault_is_rejected_with_expected_form(text):
    with pytest.raises(InputError, match='NAME@SECOND'):
        parse_fault(text)


def test_fault_without_time_begins_after_a_third_of_the_run():
    options = RunOptions(seconds=30)
    assert options.find_start_second(ScheduledFault('x')) == 10
    assert options.find_start_second(parse_fault('x@2')) == 2


@pytest.mark.parametrize(
    ('name', 'value'),
    [('seconds', 0), ('rate', 1e6), ('callers', 0), ('work_factor', -1)],
)
def test_option_out_of_range_is_rejected_by_name(name, value):
    with pytest.raises(InputError, match=f'--{name}'):
        RunOptions(**{name: value}).check()


@pytest.mark.parametrize(
    ('fraction', 'expected'),
    [(0.5, 50), (0.99, 99), (0.999, 100), (1, 100)],
)
def test_quantile_of_one_to_hundred(fraction, expected):
    assert compute_quantile(range(1, 101), fraction) == expected


def test_weighted_service_uses_weights_of_kinds():
    kinds = {'read': _READ, 'write': replace(_WRITE, weight=9)}
    statement = SimpleNamespace(kinds=kinds)
    counts = {'read': KindCounts(10, 10), 'write': KindCounts(10, 5)}
    assert compute_weighted_service(statement, counts) * 100 == pytest.approx(
        55,
    )
