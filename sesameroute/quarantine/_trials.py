"""Trials: runs of a suspected request, one at a time for all VMs."""

import logging
from typing import Final, NamedTuple

from sesameroute.exceptions import PeerError
from sesameroute.ports import Peers
from sesameroute.quarantine._messages import TrialRequest

__all__ = ['TrialPolicy', 'request_trial']

_LOG = logging.getLogger(__name__)
_REPLY_TIMEOUT_SECONDS: Final = 0.3


class TrialPolicy(NamedTuple):
    """How trials are granted.

    Attributes
    ----------
    seconds : float
        Time after which a trial without a result no longer holds up others.
    is_granted_alone : bool
        Whether a VM grants its own trials while it is not connected to the VM
        that grants them; otherwise it has none.
    pause : float
        Time in seconds from a loss to the next trial.

    """

    seconds: float = 5.0
    is_granted_alone: bool = False
    pause: float = 0


def request_trial(peers: Peers, granter: str, fingerprint: str) -> bool:
    """Ask a VM for a trial; without an answer there is none."""
    try:
        reply = peers.call(
            granter, TrialRequest(fingerprint), _REPLY_TIMEOUT_SECONDS
        )
    except PeerError as error:
        _LOG.info(
            'trial not granted',
            extra={'reporter': granter, 'why': error.code},
        )
        return False
    return reply.allowed
