"""Protects backend servers from requests that crash them."""

from sesameroute.quarantine._messages import (
    ClearanceReport,
    LossReport,
    TrialRequest,
    TrialReply,
)
from sesameroute.quarantine._quarantine import Quarantine

__all__ = [
    'ClearanceReport',
    'LossReport',
    'Quarantine',
    'TrialRequest',
    'TrialReply',
]
