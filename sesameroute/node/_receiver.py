"""Puts what the store says into force on a node."""

import logging

from sesameroute.node._fleet import Fleet
from sesameroute.ports import Clock
from sesameroute.registry import Backend, Registry
from sesameroute.routes import Configuration, ConfigurationKeeper

__all__ = ['NodeReceiver']

_logger = logging.getLogger(__name__)


class NodeReceiver:
    """Takes decoded documents; implements the platform's `Receiver`.

    Parameters
    ----------
    keeper : ConfigurationKeeper
        Gets configurations.
    registry : Registry
        Gets backend servers and evacuations.
    fleet : Fleet
        Gets addresses of nodes.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        registry: Registry,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.keeper = keeper
        self.registry = registry
        self.fleet = fleet
        self.clock = clock

    def take_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force unless it is old."""
        if self.keeper.take(configuration):
            _logger.info(
                'configuration in force',
                extra={
                    'version': configuration.version,
                    'routes': len(configuration.routes),
                },
            )

    def replace_evacuated(self, zones: frozenset[str]) -> None:
        """Send nothing to the backend servers of these zones."""
        self.registry.replace_evacuated(zones)
        _logger.info(
            'evacuated zones changed',
            extra={'zones': ','.join(sorted(zones)) or '-'},
        )

    def put_backend(self, backend: Backend) -> None:
        """Add or renew a backend server."""
        known = self.registry.find(backend.name)
        is_start = self.registry.put(backend, self.clock.read_monotonic())
        if is_start or known.backend.state is not backend.state:
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
        """Doubt a backend server whose entry vanished."""
        self.registry.remove(name, self.clock.read_monotonic())
        _logger.info('backend server not listed', extra={'backend': name})

    def put_member(self, address: str, zone: str, region: str) -> None:
        """Note that there is a node at an address."""
        self.fleet.add_address(address)
