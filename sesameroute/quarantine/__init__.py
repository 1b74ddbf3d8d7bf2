"""Protects backend servers from requests that crash them."""

from sesameroute.quarantine._messages import (
    Acquittal,
    LossReport,
    TrialAsk,
    TrialReply,
)
from sesameroute.quarantine._quarantine import Quarantine

__all__ = [
    'Acquittal',
    'LossReport',
    'Quarantine',
    'TrialAsk',
    'TrialReply',
]
