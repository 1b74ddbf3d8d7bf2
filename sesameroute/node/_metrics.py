"""Counts what a node does, and renders it with what it knows."""

import logging
import resource
import threading
from http import HTTPStatus
from typing import Any

from sesameroute.adapters import FrontServer
from sesameroute.forward import RequestRecord
from sesameroute.node._address import parse_address
from sesameroute.node._placing import FleetPlacing
from sesameroute.ports import Answer, Peers
from sesameroute.registry import Registry
from sesameroute.routes import ConfigurationKeeper
from sesameroute.telemetry import Meter, Metric

__all__ = ['MetricsServer', 'NodeMeter']

_KIBIBYTE = 1024  # bytes; the kernel reports the peak of memory in these
_TEXT = (('Content-Type', 'text/plain; version=0.0.4'),)
_THREADS = 2
_SERVED = 'answered'
_LATE = 'late'

_logger = logging.getLogger(__name__)


class NodeMeter:
    """Metrics of one node; a handler of the server that exposes them.

    Parameters
    ----------
    keeper : ConfigurationKeeper
        Routes in force.
    registry : Registry
        Backend servers.
    placing : FleetPlacing
        Pools of slots.
    peers : Peers
        Streams to the other nodes.

    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        registry: Registry,
        placing: FleetPlacing,
        peers: Peers,
    ) -> None:
        """Store the parameters; nothing is counted."""
        self.keeper = keeper
        self.registry = registry
        self.placing = placing
        self.peers = peers
        self.meter_ = Meter()

    def __call__(self, _request: Any) -> Answer:
        """Return all metrics in Prometheus' text format."""
        self._read_state()
        content = self.meter_.render()
        return Answer(HTTPStatus.OK, _TEXT, iter((content,)), len(content))

    def observe(self, record: RequestRecord) -> None:
        """Count a request that got its answer."""
        self.meter_.add(
            Metric.REQUESTS,
            service=record.service,
            kind=record.route,
            outcome=_name_outcome(record),
        )
        self.meter_.observe(
            Metric.REQUEST_SECONDS,
            record.seconds,
            kind=record.route,
        )
        self.meter_.observe(
            Metric.WAIT_SECONDS,
            record.waited,
            service=record.service,
        )

    def observe_call(self, name: str, result: str) -> None:
        """Count a call to the platform's store."""
        self.meter_.add(Metric.STORE_CALLS, call=name, result=result)

    def _read_state(self) -> None:
        found = self.keeper.configuration
        version = found.version if found else 0
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        for metric, amount in (
            (Metric.CONFIGURATION_VERSION, version),
            (Metric.PEERS, len(self.peers.list_connected())),
            (Metric.BACKENDS, len(self.registry)),
            (Metric.THREADS, threading.active_count()),
            (Metric.MEMORY_BYTES, peak * _KIBIBYTE),
        ):
            self.meter_.set(metric, amount)
        for service, held, room in self.placing.count_slots():
            self.meter_.set(Metric.SLOTS_HELD, held, service=service)
            self.meter_.set(Metric.SLOTS, room, service=service)


class MetricsServer(FrontServer):
    """Exposes a meter; a node serves its callers without it, too.

    Parameters
    ----------
    address : str
        Where to listen, ``IP:PORT``.
    meter : NodeMeter
        What to render.

    """

    def __init__(self, address: str, meter: NodeMeter) -> None:
        """Store the parameters; nothing listens."""
        super().__init__(parse_address(address), meter, threads=_THREADS)
        self._is_started = False

    def start(self) -> None:
        """Listen, or log why not."""
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


def _name_outcome(record: RequestRecord) -> str:
    if record.status >= HTTPStatus.BAD_REQUEST:
        return str(record.status)
    return _LATE if record.is_late else _SERVED
