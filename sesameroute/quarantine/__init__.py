"""Protects backend servers from requests that crash them."""

from sesameroute.quarantine._exchange import LossExchange
from sesameroute.quarantine._messages import (
    ClearanceReport,
    LossReport,
    PastLosses,
    TrialReply,
    TrialRequest,
)
from sesameroute.quarantine._quarantine import Quarantine
from sesameroute.quarantine._unsettled import UnsettledTries, UnsettledTry

__all__ = [
    'ClearanceReport',
    'LossExchange',
    'LossReport',
    'PastLosses',
    'Quarantine',
    'TrialRequest',
    'TrialReply',
    'UnsettledTries',
    'UnsettledTry',
]
