"""Wrappers that add spans, metrics and log events to an entry VM's hops."""

import time
from collections.abc import Callable
from dataclasses import replace

from sesameroute.adapters._verdict_http import find_header
from sesameroute.delivery import EntryRelay
from sesameroute.exceptions import SesameError
from sesameroute.ports import Answer, Headers, Request, Upstreams
from sesameroute.statement import Upstream
from sesameroute.telemetry import EventLog, Meter, Metric, Span, Tracer

__all__ = ['InstrumentedDelivery', 'InstrumentedRelay', 'InstrumentedUpstreams']

_TRACE_HEADER = 'Traceparent'
_ANSWERED = 'answered'


class InstrumentedDelivery:
    """Traces, counts and logs each request that an entry VM delivers.

    Parameters
    ----------
    deliver : callable
        Takes a `Request`; returns an `Answer` or raises `SesameError`.
    tracer : Tracer
        Opens spans.
    meter : Meter
        Counts requests.
    log : EventLog
        Receives one event per request.

    """

    def __init__(
        self,
        deliver: Callable[[Request], Answer],
        tracer: Tracer,
        meter: Meter,
        log: EventLog,
    ) -> None:
        """Store the parameters."""
        self.deliver = deliver
        self.tracer = tracer
        self.meter = meter
        self.log = log

    def __call__(self, request: Request) -> Answer:
        """Deliver a request."""
        started = time.monotonic()
        parent = find_header(request.headers, _TRACE_HEADER)
        fields = {
            'service': request.kind.service,
            'kind': request.kind.name,
            'key': request.key,
        }
        with self.tracer.open_span('entry', parent, **fields) as span:
            try:
                answer = self.deliver(_set_trace_parent(request, span))
            except SesameError as error:
                self._record(request, span, error.code, started)
                raise
            self._record(request, span, _ANSWERED, started)
        return answer

    def _record(
        self,
        request: Request,
        span: Span,
        code: str,
        started: float,
    ) -> None:
        kind = request.kind
        seconds = time.monotonic() - started
        self.meter.add(
            Metric.REQUESTS,
            service=kind.service,
            kind=kind.name,
            outcome=code,
        )
        self.meter.observe(Metric.REQUEST_SECONDS, seconds, kind=kind.name)
        self.log.write(
            'request-ended',
            kind=kind.name,
            outcome=code,
            key=request.key or '-',
            seconds=f'{seconds:.4f}',
            trace=span.traceparent,
        )


class InstrumentedUpstreams(Upstreams):
    """Traces and counts each attempt at a backend server.

    Parameters
    ----------
    upstreams : Upstreams
        Sends the requests.
    tracer : Tracer
        Opens spans.
    meter : Meter
        Counts attempts by their outcome.

    """

    def __init__(
        self,
        upstreams: Upstreams,
        tracer: Tracer,
        meter: Meter,
    ) -> None:
        """Store the parameters."""
        self.upstreams = upstreams
        self.tracer = tracer
        self.meter = meter

    def send(
        self,
        upstream: Upstream,
        request: Request,
        *,
        new_connection: bool,
    ) -> Answer:
        """Send a request and return the answer with its body unread."""
        parent = find_header(request.headers, _TRACE_HEADER)
        fields = {'upstream': upstream.name, 'fresh': new_connection}
        with self.tracer.open_span('try', parent, **fields) as span:
            try:
                answer = self.upstreams.send(
                    upstream,
                    _set_trace_parent(request, span),
                    new_connection=new_connection,
                )
            except SesameError as error:
                self._record(upstream, error.code)
                raise
        self._record(upstream, _ANSWERED)
        return answer

    def cancel(self, upstream: Upstream, key: str) -> None:
        """Tell a backend server that the answer is no longer needed."""
        self.upstreams.cancel(upstream, key)

    def _record(self, upstream: Upstream, code: str) -> None:
        self.meter.add(
            Metric.TRIES,
            service=upstream.service,
            outcome=code,
        )


class InstrumentedRelay:
    """Traces and counts requests relayed to their home.

    The home is the entry VM that is responsible for the request's key.

    Parameters
    ----------
    relay : EntryRelay
        Sends the requests.
    tracer : Tracer
        Opens spans.
    meter : Meter
        Counts relayed requests.

    """

    def __init__(self, relay: EntryRelay, tracer: Tracer, meter: Meter) -> None:
        """Store the parameters."""
        self.relay = relay
        self.tracer = tracer
        self.meter = meter

    def send(self, vm: str, request: Request, timeout: float) -> Answer:
        """Send a request to its home and return the home's answer."""
        parent = find_header(request.headers, _TRACE_HEADER)
        with self.tracer.open_span('relay', parent, home=vm) as span:
            self.meter.add(Metric.RELAYS)
            return self.relay.send(
                vm, _set_trace_parent(request, span), timeout
            )


def _set_trace_parent(request: Request, span: Span) -> Request:
    """Return the request with the span as the parent for the next hop."""
    other_headers: Headers = tuple(
        (name, text) for name, text in request.headers if name != _TRACE_HEADER
    )
    traced = (*other_headers, (_TRACE_HEADER, span.traceparent))
    return replace(request, headers=traced)
