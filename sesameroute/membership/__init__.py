"""Distribution of the configuration, and membership of the entry VMs."""

from sesameroute.membership._configuration import (
    Configuration,
    ConfigurationFault,
    ConfigurationKeeper,
    decode_configuration,
    encode_configuration,
)
from sesameroute.membership._context import CONFIGURATION_KEY, MembershipContext
from sesameroute.membership._freshness import PauseDetector
from sesameroute.membership._members import Members, make_incarnation
from sesameroute.membership._membership import Membership
from sesameroute.membership._messages import (
    ConfigurationRequest,
    Digest,
    ServiceHeadroom,
    VmReport,
)
from sesameroute.membership._targets import FanOut, choose_targets
from sesameroute.membership._watcher import ConfigurationWatcher

__all__ = [
    'CONFIGURATION_KEY',
    'Configuration',
    'ConfigurationFault',
    'ConfigurationKeeper',
    'ConfigurationRequest',
    'Digest',
    'FanOut',
    'PauseDetector',
    'Members',
    'Membership',
    'ServiceHeadroom',
    'MembershipContext',
    'VmReport',
    'ConfigurationWatcher',
    'choose_targets',
    'decode_configuration',
    'encode_configuration',
    'make_incarnation',
]
