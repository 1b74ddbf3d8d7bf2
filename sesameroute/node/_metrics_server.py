"""Server of the pages for operators: metrics, and where requests would go."""

import logging

from sesameroute.adapters import FrontServer
from sesameroute.node._address import parse_address
from sesameroute.node._metrics import NodeMeter
from sesameroute.node._placement_page import PLACEMENT_PATH, PlacementPage
from sesameroute.node._servers import NodeServers
from sesameroute.node._slot_allocator import FleetSlotAllocator
from sesameroute.node._store_connection import StoreConnection
from sesameroute.telemetry import Metric

__all__ = ['MetricsServer', 'build_metrics_server']

_THREADS = 2

_logger = logging.getLogger(__name__)


class MetricsServer(FrontServer):
    """Serves the operators' pages; a failure to listen stops no node.

    Parameters
    ----------
    address : str
        Address to listen on, ``IP:PORT``.
    meter : NodeMeter
        Renders the metrics.

    """

    def __init__(self, address: str, meter: NodeMeter) -> None:
        """Build the server without listening."""
        self.placement_page = PlacementPage(meter.allocator)
        super().__init__(
            parse_address(address),
            lambda request: (
                self.placement_page(request)
                if request.path == PLACEMENT_PATH
                else meter(request)
            ),
            threads=_THREADS,
        )
        self._is_started = False

    def start(self) -> None:
        """Start listening, or log why that failed."""
        try:
            super().start()
        except OSError as error:
            _logger.warning('metrics not served', extra={'why': str(error)})
        else:
            self._is_started = True

    def stop(self) -> None:
        """Stop listening."""
        if self._is_started:
            super().stop()


def build_metrics_server(
    address: str,
    allocator: FleetSlotAllocator,
    store: StoreConnection,
    node_servers: NodeServers,
) -> MetricsServer:
    """Return a server whose meter observes the components of a node."""
    pools = allocator.pools
    meter = NodeMeter(
        pools.active_configuration,
        pools.registry,
        allocator,
        store.mirror,
        node_servers.quarantine,
    )
    meter.read_load_ = node_servers.servers[0].read_load
    forwarder = node_servers.forwarder
    forwarder.observer_ = meter.observe
    gate = forwarder.guards.tenants
    gate.tenant_observer_ = meter.tenants_.observe
    forwarder.refusals_.observer_ = lambda status, reason: meter.count(
        Metric.REFUSALS, status=str(status), reason=reason
    )
    meter.tenants_.read_level_ = lambda tenant: gate.allowances_.read_level(
        tenant
    )
    allocator.observer_ = meter.observe_try
    node_servers.quarantine.evidence.observer_ = lambda result: meter.count(
        Metric.LOSSES, result=result
    )
    store.observe_calls(meter.observe_call)
    store.ignored_items.observer_ = lambda kind: meter.count(
        Metric.IGNORED_ITEMS, kind=kind
    )
    server = MetricsServer(address, meter)
    server.placement_page.list_views_ = lambda tenant: (
        gate.allowances_.list_views(tenant)
    )
    return server
