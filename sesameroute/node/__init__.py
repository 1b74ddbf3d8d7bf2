"""A node of the fleet on the users' platform."""

from sesameroute.node._node import FleetNode
from sesameroute.node._reload import SettingsFile
from sesameroute.node._settings import (
    NodeSettings,
    parse_node_settings,
)

__all__ = [
    'FleetNode',
    'NodeSettings',
    'SettingsFile',
    'parse_node_settings',
]
