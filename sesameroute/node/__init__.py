"""A node: one process of the fleet on the users' platform."""

from sesameroute.node._node import FleetNode
from sesameroute.node._settings import (
    NodeSettings,
    parse_node_settings,
)
from sesameroute.node._settings_file import SettingsFile

__all__ = [
    'FleetNode',
    'NodeSettings',
    'SettingsFile',
    'parse_node_settings',
]
