"""A node of the fleet on the users' platform."""

from sesameroute.node._node import FleetNode
from sesameroute.node._settings import (
    NodeSettings,
    parse_node_settings,
    read_node_settings,
)

__all__ = [
    'FleetNode',
    'NodeSettings',
    'parse_node_settings',
    'read_node_settings',
]
