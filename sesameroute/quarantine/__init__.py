"""Keeps requests away that crash the backend servers that run them."""

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
