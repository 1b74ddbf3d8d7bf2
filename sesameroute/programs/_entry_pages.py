"""Operator HTTP pages of an entry VM."""

import hmac
import json
from dataclasses import asdict
from typing import Any

import cherrypy

from sesameroute.delivery import explain_key
from sesameroute.programs._entry_parts import EntryParts
from sesameroute.programs._metrics_page import render_metrics
from sesameroute.programs._telemetry import Telemetry
from sesameroute.routing import is_drained
from sesameroute.telemetry import Metric

__all__ = ['EntryPages']

_HTTP_UNAUTHORIZED = 401
_HTTP_NOT_FOUND = 404


class EntryPages:
    """Status, explain, configuration and metrics pages below ``/-``.

    Parameters
    ----------
    parts : EntryParts
        Components to report on.
    telemetry : Telemetry
        Source of the metrics.
    token : str
        Operators' bearer token; if empty, all pages but the metrics refuse
        access.

    """

    def __init__(
        self,
        parts: EntryParts,
        telemetry: Telemetry,
        token: str,
    ) -> None:
        """Store the parameters."""
        self.parts = parts
        self.telemetry = telemetry
        self.token = token

    @cherrypy.expose
    def status(self) -> bytes:
        """Return this VM's view of the fleet as JSON."""
        require_token(self.token)
        return _render_json(describe_status(self.parts))

    @cherrypy.expose
    def explain(self, subject: str = '') -> bytes:
        """Return this VM's view of a service or request key as JSON."""
        require_token(self.token)
        statement = self.parts.membership.statement
        if statement is not None and subject in statement.services:
            return _render_json(describe_service(self.parts, subject))
        return _render_json(describe_key(self.parts, subject))

    @cherrypy.expose
    def configuration(self) -> bytes:
        """Return the configuration in force as JSON.

        `sesamectl` reads it here when the store does not answer.
        """
        require_token(self.token)
        current = self.parts.membership.keeper.current
        return _render_json(asdict(current) if current else {})

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        meter = self.telemetry.meter
        for service, slots in self.parts.steering.report_headroom().items():
            meter.set(Metric.SLOTS_FREE, slots[0], service=service)
        return render_metrics(meter, self.parts.membership)


def require_token(token: str) -> None:
    """Raise HTTPError 401 unless the request has the operators' token."""
    authorization = cherrypy.request.headers.get('Authorization', '')
    expected = f'Bearer {token}'
    is_authorized = hmac.compare_digest(
        authorization.encode(), expected.encode()
    )
    if not token or not is_authorized:
        raise cherrypy.HTTPError(_HTTP_UNAUTHORIZED, 'operator token required')


def describe_status(parts: EntryParts) -> dict[str, Any]:
    """Return the fields of the status page."""
    membership = parts.membership
    current = membership.keeper.current
    return {
        'vm': membership.context.identity.name,
        'incarnation': membership.context.identity.incarnation,
        'version': membership.version,
        'submission': current.submission if current else '',
        'prefix': parts.pipeline.prefix,
        'stale': membership.is_stale,
        'live': list(parts.members.list_live()),
        'leaving': sorted(parts.members.list_leaving()),
        'headroom': {
            service: list(slots)
            for service, slots in parts.steering.report_headroom().items()
        },
        'running': parts.application.running,
        'pauses': membership.pause_detector.pauses,
        'failed_steps': membership.threads.failures.total(),
        'configuration_faults': membership.keeper.faults.total(),
    }


def describe_service(parts: EntryParts, service: str) -> dict[str, Any]:
    """Return this VM's view of the backend servers of a service."""
    statement = parts.membership.statement
    leaving = parts.members.list_leaving()
    return {
        'vm': parts.membership.context.identity.name,
        'service': service,
        'headroom': {
            vm: _find_headroom(parts, vm, service) for vm in statement.vms
        },
        'upstreams': [
            {
                'name': upstream.name,
                'domain': upstream.domain,
                'slots': upstream.slots,
                'leaving': upstream.name in leaving
                or is_drained(statement, upstream.name, upstream.domain),
            }
            for upstream in statement.list_upstreams(service)
        ],
    }


def describe_key(parts: EntryParts, key: str) -> dict[str, Any]:
    """Return this VM's records of a request key."""
    report = explain_key(parts.pipeline.components, key)
    return {
        'vm': parts.membership.context.identity.name,
        **asdict(report),
    }


def _find_headroom(
    parts: EntryParts,
    vm: str,
    service: str,
) -> list[int] | None:
    if vm == parts.membership.context.identity.name:
        return list(parts.steering.report_headroom().get(service, ()))
    digest = parts.members.find_digest(vm)
    if digest is None:
        return None
    return list(digest.headroom.get(service, ()))


def _render_json(fields: dict[str, Any]) -> bytes:
    cherrypy.response.headers['Content-Type'] = 'application/json'
    return json.dumps(fields).encode()
