"""OpenTelemetry spans, with W3C trace context between processes."""

import random
import re
from collections.abc import Sequence
from contextlib import AbstractContextManager
from importlib import import_module
from typing import Any, Protocol, Self

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)

from sesameroute.exceptions import InputError
from sesameroute.settings import TraceExport
from sesameroute.telemetry._events import EventLog

__all__ = ['Span', 'Tracer']

_TRACEPARENT = re.compile(
    '00-(?!0{32})([0-9a-f]{32})-(?!0{16})([0-9a-f]{16})-([0-9a-f]{2})',
)
_TRACE_ID_BITS = 128
_SPAN_ID_BITS = 64
_HEX_BASE = 16
_NANOSECONDS = 1e9  # nanoseconds per second
_OTLP_MODULE = 'opentelemetry.exporter.otlp.proto.http.trace_exporter'


class Span(Protocol):
    """Span of one hop of a request, for the caller of `Tracer.open`."""

    traceparent: str

    def annotate(self, **fields: Any) -> None:
        """Add attributes to the span."""


class Tracer:
    """Opens a span for each hop of a request.

    The first hop decides at random whether a request is sampled; later hops
    follow the sampled flag in ``traceparent``. A request that is not sampled
    costs the random numbers but no OpenTelemetry object.

    Parameters
    ----------
    node : str
        Name of the VM or program.
    export : TraceExport
        Where to export finished spans: nowhere, to the event log
        (``lines``) or to an OTLP collector.
    ratio : float
        Fraction of the requests to sample, from 0 to 1.
    log : EventLog, optional
        Event log for the export ``lines``; a new one by default.
    endpoint : str, optional
        URL of the OTLP collector.

    Raises
    ------
    InputError
        The ratio is not from 0 to 1, or the package for OTLP is missing.

    Examples
    --------
    >>> tracer = Tracer('entry-1')
    >>> with tracer.open_span(
    ...     'entry', '00-' + 'a' * 32 + '-' + 'b' * 16 + '-00'
    ... ) as s:
    ...     s.traceparent[3:7]
    'aaaa'

    """

    def __init__(
        self,
        node: str,
        export: TraceExport | str = TraceExport.NONE,
        ratio: float = 0.01,
        log: EventLog | None = None,
        endpoint: str | None = None,
    ) -> None:
        """Store the parameters and set up the exporter."""
        if not 0 <= ratio <= 1:
            raise InputError(f'trace ratio {ratio!r} must be from 0 to 1')
        self.node = node
        self.export = TraceExport(export)
        self.ratio = 0 if self.export is TraceExport.NONE else ratio
        self._provider = TracerProvider(
            resource=Resource({'service.name': node}),
            shutdown_on_exit=False,
        )
        if self.export is TraceExport.LINES:
            lines = _LineExporter(log or EventLog(node))
            self._provider.add_span_processor(SimpleSpanProcessor(lines))
        elif self.export is TraceExport.OTLP:
            self._provider.add_span_processor(_create_otlp_processor(endpoint))
        self._tracer = self._provider.get_tracer('sesameroute')

    def open_span(
        self,
        name: str,
        traceparent: str = '',
        **fields: Any,
    ) -> AbstractContextManager[Span]:
        """Return the span of one hop, to be used as a context manager.

        Parameters
        ----------
        name : str
            Kind of hop: ``caller``, ``lookup``, ``entry``, ``relay``,
            ``try`` or ``witness``.
        traceparent : str
            W3C header from the previous hop; an empty or invalid one starts
            a new trace.
        **fields
            Attributes of the span.

        """
        match = _TRACEPARENT.fullmatch(traceparent)
        if match is None:
            if random.random() >= self.ratio:
                return _UnsampledSpan(_generate_traceparent())
            return _RecordedSpan(self._tracer, name, None, fields)
        if self.export is TraceExport.NONE or not _is_sampled(match):
            return _UnsampledSpan(traceparent)
        return _RecordedSpan(
            self._tracer, name, _build_parent_context(match), fields
        )

    def close(self) -> None:
        """Export the remaining spans and shut the exporter down."""
        self._provider.shutdown()


class _UnsampledSpan:
    """Span that propagates the trace context and records nothing."""

    __slots__ = ('traceparent',)

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    def annotate(self, **_fields: Any) -> None:
        """Discard the attributes."""

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_exception: object) -> None:
        """Do nothing."""


class _RecordedSpan:
    """Sampled span, exported when it ends."""

    __slots__ = ('_span', 'traceparent')

    def __init__(
        self,
        tracer: trace.Tracer,
        name: str,
        parent: Any,
        fields: dict[str, Any],
    ) -> None:
        self._span = tracer.start_span(name, parent, attributes=fields)
        context = self._span.get_span_context()
        self.traceparent = (
            f'00-{context.trace_id:032x}-{context.span_id:016x}-01'
        )

    def annotate(self, **fields: Any) -> None:
        """Add attributes to the span."""
        self._span.set_attributes(fields)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, _type: object, error: object, _trace: object) -> None:
        if error is not None:
            code = getattr(error, 'code', type(error).__name__)
            self._span.set_attributes({'error': str(code)})
        self._span.end()


class _LineExporter(SpanExporter):
    """Writes each finished span to the event log."""

    def __init__(self, log: EventLog) -> None:
        self._log = log

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans."""
        for span in spans:
            self._log.write('span', **_describe_span(span))
        return SpanExportResult.SUCCESS


def _describe_span(span: ReadableSpan) -> dict[str, Any]:
    parent = f'{span.parent.span_id:016x}' if span.parent else '-'
    seconds = ((span.end_time or 0) - (span.start_time or 0)) / _NANOSECONDS
    return {
        'hop': span.name,
        'trace': f'{span.context.trace_id:032x}',
        'span': f'{span.context.span_id:016x}',
        'parent': parent,
        'seconds': f'{seconds:.6f}',
        **(span.attributes or {}),
    }


def _generate_traceparent() -> str:
    trace_id = random.getrandbits(_TRACE_ID_BITS) | 1
    span_id = random.getrandbits(_SPAN_ID_BITS) | 1
    return f'00-{trace_id:032x}-{span_id:016x}-00'


def _is_sampled(match: re.Match[str]) -> bool:
    return bool(int(match.group(3), _HEX_BASE) & 1)


def _build_parent_context(match: re.Match[str]) -> Any:
    context = trace.SpanContext(
        int(match.group(1), _HEX_BASE),
        int(match.group(2), _HEX_BASE),
        is_remote=True,
        trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
    )
    return trace.set_span_in_context(trace.NonRecordingSpan(context))


def _create_otlp_processor(endpoint: str | None) -> BatchSpanProcessor:
    try:
        module = import_module(_OTLP_MODULE)
    except ImportError as error:
        raise InputError(
            'trace export "otlp" needs the package'
            ' opentelemetry-exporter-otlp-proto-http',
        ) from error
    return BatchSpanProcessor(module.OTLPSpanExporter(endpoint=endpoint))
