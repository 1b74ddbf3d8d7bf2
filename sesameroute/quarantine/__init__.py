"""Protects backend servers from requests that crash them."""

from sesameroute.quarantine._exchange import LossExchange
from sesameroute.quarantine._messages import (
    ClearanceReport,
    EndReport,
    LossReport,
    PastLosses,
    TrialReply,
    TrialRequest,
)
from sesameroute.quarantine._quarantine import Quarantine
from sesameroute.quarantine._trials import TrialPolicy
from sesameroute.quarantine._unsettled import SentTry

__all__ = [
    'ClearanceReport',
    'EndReport',
    'LossExchange',
    'LossReport',
    'PastLosses',
    'Quarantine',
    'SentTry',
    'TrialRequest',
    'TrialPolicy',
    'TrialReply',
]
