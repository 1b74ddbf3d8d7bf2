"""Operators' pages of a look-up."""

import cherrypy

from sesameroute.membership import Membership
from sesameroute.programs._metrics_page import render_metrics
from sesameroute.programs._observers import Observers

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
        return render_metrics(self.observers.meter, self.membership)
