"""Operator HTTP pages of a look-up process."""

import cherrypy

from sesameroute.membership import Membership
from sesameroute.programs._metrics_page import render_metrics
from sesameroute.programs._telemetry import Telemetry

__all__ = ['LookupPages']


class LookupPages:
    """Metrics page below ``/-``.

    Parameters
    ----------
    membership : Membership
        Source of the configuration version and the number of peers.
    telemetry : Telemetry
        Source of the metrics.

    """

    def __init__(self, membership: Membership, telemetry: Telemetry) -> None:
        """Store the parameters."""
        self.membership = membership
        self.telemetry = telemetry

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        return render_metrics(self.telemetry.meter, self.membership)
