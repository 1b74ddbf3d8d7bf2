"""Applies changes of the platform's store on a node."""

import logging
from collections.abc import Callable
from dataclasses import replace

from sesameroute.mirror import Position
from sesameroute.node._fleet import Fleet
from sesameroute.ports import Clock
from sesameroute.registry import Backend, Registry
from sesameroute.routes import ActiveConfiguration, Configuration

__all__ = ['NodeReceiver']

_logger = logging.getLogger(__name__)


class NodeReceiver:
    """Applies decoded documents; implements `platform.Receiver`.

    Parameters
    ----------
    active_configuration : ActiveConfiguration
        Receives configurations.
    registry : Registry
        Receives backend servers and evacuated zones.
    fleet : Fleet
        Receives the addresses of nodes.
    clock : Clock
        Source of time.

    Attributes
    ----------
    read_source : callable
        Returns the address of the node that told of the present change; empty
        if this node has read it from the store.

    """

    def __init__(
        self,
        active_configuration: ActiveConfiguration,
        registry: Registry,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.active_configuration = active_configuration
        self.registry = registry
        self.fleet = fleet
        self.clock = clock
        self.read_source: Callable[[], str] = str

    def put_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration unless a newer one is in force."""
        origin = replace(
            configuration.origin,
            source=self.read_source(),
            received_at=self.clock.read_monotonic(),
        )
        received = replace(configuration, origin=origin)
        if self.active_configuration.apply_if_newer(received):
            position = Position.unpack(origin.position)
            is_in_force = self.active_configuration.table_ is not None
            _logger.info(
                'configuration in force'
                if is_in_force
                else 'configuration received',
                extra={
                    'version': configuration.version,
                    'routes': len(configuration.routes),
                    'era': position.era,
                    'revision': position.revision,
                    'source': origin.source or '-',
                },
            )

    def replace_evacuated(self, zones: frozenset[str]) -> None:
        """Replace the zones whose backend servers get no requests."""
        self.registry.replace_evacuated(zones)
        _logger.info(
            'evacuated zones changed',
            extra={'zones': ','.join(sorted(zones)) or '-'},
        )

    def put_backend(self, backend: Backend) -> None:
        """Add or update a backend server; log a new one or a changed state."""
        known = self.registry.find(backend.name)
        is_new = self.registry.put(backend, self.clock.read_monotonic())
        if is_new or known.backend.state is not backend.state:
            _logger.info(
                'backend server listed',
                extra={
                    'backend': backend.name,
                    'service': backend.service,
                    'zone': backend.zone,
                    'state': backend.state.value,
                },
            )

    def remove_backend(self, name: str) -> None:
        """Mark a backend server whose entry has vanished as missing.

        The registry forgets it a little later, unless it is listed again.
        """
        self.registry.remove(name, self.clock.read_monotonic())
        _logger.info('backend server not listed', extra={'backend': name})

    def lose_backend(self, name: str) -> None:
        """Keep a backend server until its lost entry should be back."""
        self.registry.remove(name, self.clock.read_monotonic(), is_lost=True)
        _logger.info('backend server entry lost', extra={'backend': name})

    def put_member(self, address: str, zone: str, region: str) -> None:
        """Add the address of a node."""
        self.fleet.add_address(address)
