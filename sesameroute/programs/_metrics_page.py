"""Metrics page of the entry and look-up processes."""

import cherrypy

from sesameroute.membership import Membership
from sesameroute.telemetry import Meter, Metric

__all__ = ['render_metrics']

_CONTENT_TYPE = 'text/plain; version=0.0.4'


def render_metrics(meter: Meter, membership: Membership) -> bytes:
    """Return the metrics in Prometheus' text format.

    Parameters
    ----------
    meter : Meter
        Metrics of the process.
    membership : Membership
        Source of the configuration version and the number of peers.

    """
    cherrypy.response.headers['Content-Type'] = _CONTENT_TYPE
    meter.set(Metric.CONFIGURATION_VERSION, membership.version)
    meter.set(Metric.PEERS, len(membership.members.list_live()))
    return meter.render()
