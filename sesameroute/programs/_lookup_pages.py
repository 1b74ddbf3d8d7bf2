"""Operators' pages of a look-up."""

import cherrypy

from sesameroute.membership import Membership
from sesameroute.programs._observers import Observers
from sesameroute.telemetry import Metric

__all__ = ['LookupPages']


class LookupPages:
    """Metrics, below ``/-``.

    Parameters
    ----------
    membership : Membership
        What to tell about.
    observers : Observers
        Source of the metrics.

    """

    def __init__(self, membership: Membership, observers: Observers) -> None:
        """Store the parameters."""
        self.membership = membership
        self.observers = observers

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in the text form of Prometheus."""
        cherrypy.response.headers['Content-Type'] = 'text/plain; version=0.0.4'
        meter = self.observers.meter
        meter.set(Metric.CONFIGURATION_VERSION, self.membership.version)
        meter.set(Metric.PEERS, len(self.membership.members.list_live()))
        return meter.render()
