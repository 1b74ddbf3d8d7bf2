"""Spans, metrics and events around the hops of an entry VM."""

import time
from collections.abc import Callable
from dataclasses import replace

from sesameroute.adapters._verdict_http import find_header
from sesameroute.delivery import EntryRelay
from sesameroute.exceptions import SesameError
from sesameroute.ports import Answer, Headers, Request, Upstreams
from sesameroute.statement import Upstream
from sesameroute.telemetry import EventLog, Meter, Metric, Span, Tracer

__all__ = ['ObservedDelivery', 'ObservedRelay', 'ObservedUpstreams']

_TRACE_HEADER = 'Traceparent'
_ANSWERED = 'answered'


class ObservedDelivery:
    """Opens the span of the entry hop and counts how requests end.

    Parameters
    ----------
    deliver : callable
        The delivery to call.
    tracer : Tracer
        Opens spans.
    meter : Meter
        Counts requests.
    log : EventLog
        Gets one event for each request.

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
        with self.tracer.open('entry', parent, **fields) as span:
            try:
                answer = self.deliver(_pass_trace(request, span))
            except SesameError as error:
                self._count(request, span, error.code, started)
                raise
            self._count(request, span, _ANSWERED, started)
        return answer

    def _count(
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


class ObservedUpstreams(Upstreams):
    """Opens the span of each try at a backend server."""

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
        fresh: bool,
    ) -> Answer:
        """Send a request and return the answer with its body unread."""
        parent = find_header(request.headers, _TRACE_HEADER)
        fields = {'upstream': upstream.name, 'fresh': fresh}
        with self.tracer.open('try', parent, **fields) as span:
            try:
                answer = self.upstreams.send(
                    upstream,
                    _pass_trace(request, span),
                    fresh=fresh,
                )
            except SesameError as error:
                self._count(upstream, error.code)
                raise
        self._count(upstream, _ANSWERED)
        return answer

    def cancel(self, upstream: Upstream, key: str) -> None:
        """Tell a backend server that nobody waits for the answer."""
        self.upstreams.cancel(upstream, key)

    def _count(self, upstream: Upstream, code: str) -> None:
        self.meter.add(
            Metric.TRIES,
            service=upstream.service,
            outcome=code,
        )


class ObservedRelay:
    """Opens the span of a request passed on to its home."""

    def __init__(self, relay: EntryRelay, tracer: Tracer, meter: Meter) -> None:
        """Store the parameters."""
        self.relay = relay
        self.tracer = tracer
        self.meter = meter

    def send(self, vm: str, request: Request, timeout: float) -> Answer:
        """Send a request to its home and return the home's answer."""
        parent = find_header(request.headers, _TRACE_HEADER)
        with self.tracer.open('relay', parent, home=vm) as span:
            self.meter.add(Metric.RELAYS)
            return self.relay.send(vm, _pass_trace(request, span), timeout)


def _pass_trace(request: Request, span: Span) -> Request:
    """Return the request with the span as the parent of the next hop."""
    kept: Headers = tuple(
        (name, text) for name, text in request.headers if name != _TRACE_HEADER
    )
    traced = (*kept, (_TRACE_HEADER, span.traceparent))
    return replace(request, headers=traced)
