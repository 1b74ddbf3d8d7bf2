"""Protects backend servers from requests that crash them."""

from sesameroute.quarantine._messages import (
    ClearanceReport,
    LossReport,
    TrialReply,
    TrialRequest,
)
from sesameroute.quarantine._quarantine import Quarantine

__all__ = [
    'ClearanceReport',
    'LossReport',
    'Quarantine',
    'TrialRequest',
    'TrialReply',
]
