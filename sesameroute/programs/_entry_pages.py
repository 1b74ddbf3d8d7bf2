"""Operators' pages of an entry VM."""

import hmac
import json
from dataclasses import asdict
from typing import Any

import cherrypy

from sesameroute.delivery import explain_key
from sesameroute.programs._entry_parts import EntryParts
from sesameroute.programs._metrics_page import render_metrics
from sesameroute.programs._observers import Observers
from sesameroute.routing import is_drained
from sesameroute.telemetry import Metric

__all__ = ['EntryPages']

_UNAUTHORIZED = 401
_NOT_FOUND = 404


class EntryPages:
    """Status, explanation and metrics, below ``/-``.

    Parameters
    ----------
    parts : EntryParts
        What to tell about.
    observers : Observers
        Source of the metrics.
    token : str
        Bearer token of the operators; empty closes the pages.

    """

    def __init__(
        self,
        parts: EntryParts,
        observers: Observers,
        token: str,
    ) -> None:
        """Store the parameters."""
        self.parts = parts
        self.observers = observers
        self.token = token

    @cherrypy.expose
    def status(self) -> bytes:
        """Return what this VM believes about the fleet."""
        require_token(self.token)
        return _render_json(describe_status(self.parts))

    @cherrypy.expose
    def explain(self, subject: str = '') -> bytes:
        """Return why a decision about a service or request key fell."""
        require_token(self.token)
        statement = self.parts.membership.statement
        if statement is not None and subject in statement.services:
            return _render_json(describe_service(self.parts, subject))
        return _render_json(describe_key(self.parts, subject))

    @cherrypy.expose
    def configuration(self) -> bytes:
        """Return the configuration in force, for when the store is down."""
        require_token(self.token)
        current = self.parts.membership.keeper.current
        return _render_json(asdict(current) if current else {})

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in the text form of Prometheus."""
        meter = self.observers.meter
        for service, slots in self.parts.steering.report_headroom().items():
            meter.set(Metric.SLOTS_FREE, slots[0], service=service)
        return render_metrics(meter, self.parts.membership)


def require_token(token: str) -> None:
    """Raise HTTPError 401 unless the caller knows the operators' token."""
    stated = cherrypy.request.headers.get('Authorization', '')
    expected = f'Bearer {token}'
    is_known = hmac.compare_digest(stated.encode(), expected.encode())
    if not token or not is_known:
        raise cherrypy.HTTPError(_UNAUTHORIZED, 'operator token is needed')


def describe_status(parts: EntryParts) -> dict[str, Any]:
    """Return the fields of the status page."""
    membership = parts.membership
    current = membership.keeper.current
    return {
        'vm': membership.around.identity.name,
        'incarnation': membership.around.identity.incarnation,
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
        'pauses': membership.freshness.pauses,
        'failed_steps': membership.threads.failures.total(),
        'configuration_faults': membership.keeper.faults.total(),
    }


def describe_service(parts: EntryParts, service: str) -> dict[str, Any]:
    """Return what this VM knows of the backend servers of a service."""
    statement = parts.membership.statement
    leaving = parts.members.list_leaving()
    return {
        'vm': parts.membership.around.identity.name,
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
    """Return what this VM knows of a request key."""
    report = explain_key(parts.pipeline.parts, key)
    return {
        'vm': parts.membership.around.identity.name,
        **asdict(report),
    }


def _find_headroom(
    parts: EntryParts,
    vm: str,
    service: str,
) -> list[int] | None:
    if vm == parts.membership.around.identity.name:
        return list(parts.steering.report_headroom().get(service, ()))
    found = parts.members.find_digest(vm)
    if found is None:
        return None
    return list(found.headroom.get(service, ()))


def _render_json(fields: dict[str, Any]) -> bytes:
    cherrypy.response.headers['Content-Type'] = 'application/json'
    return json.dumps(fields).encode()
