"""Peer messages about requests that may crash backend servers."""

from dataclasses import dataclass
from typing import Final

from sesameroute.ports import register_message

__all__ = [
    'ClearanceReport',
    'EndReport',
    'LossReport',
    'PastLoss',
    'PastLosses',
    'TrialReply',
    'TrialRequest',
]

# A default of type int would be encoded differently once it is decoded.
_ZERO: Final = float(0)


@register_message('loss-report')
@dataclass(frozen=True, slots=True)
class LossReport:
    """Reports that a backend server was lost while it ran a request.

    Attributes
    ----------
    fingerprint : str
        Digest that identifies the request.
    upstream : str
        Name of the lost backend server.
    incarnation : int
        Its incarnation.
    seconds_ago : float
        Age in seconds of the server's end when the message was sent.
    uncertainty : float
        Seconds by which the server may have ended earlier.
    known_losses : int
        Number of separate losses of the request that the sender knew of when
        it sent the request; -1 if that is not known.
    weight : float
        Evidence against the request, from 0 to 1.
    credit : float
        What answers said for the request before, in losses.
    service : str
        Name of the service.
    answered : int
        Number of requests to it that the sender saw answered lately.

    """

    fingerprint: str
    upstream: str
    incarnation: int = 0
    seconds_ago: float = _ZERO
    uncertainty: float = _ZERO
    known_losses: int = -1
    weight: float = 1.0
    credit: float = _ZERO
    service: str = ''
    answered: int = 0


@register_message('end-report')
@dataclass(frozen=True, slots=True)
class EndReport:
    """Reports that a backend server has ended.

    Attributes
    ----------
    upstream : str
        Name of the backend server.
    incarnation : int
        Its incarnation.

    """

    upstream: str
    incarnation: int

    @property
    def server(self) -> tuple[str, int]:
        """Name and incarnation of the backend server."""
        return self.upstream, self.incarnation


@dataclass(frozen=True, slots=True)
class PastLoss:
    """A loss that the receiver may have missed.

    Attributes
    ----------
    fingerprint : str
        Digest that identifies the request.
    upstream : str
        Name of the lost backend server.
    reporter : str
        Name of the VM that saw the request's first loss.
    seconds_ago, uncertainty, weight : float
        As in `LossReport`.
    known_losses : int
        As in `LossReport`.
    credit : float
        What answers say for the request, in losses.
    incarnation : int
        Incarnation of the backend server.

    """

    fingerprint: str
    upstream: str
    reporter: str
    seconds_ago: float
    uncertainty: float = _ZERO
    known_losses: int = -1
    weight: float = 1.0
    credit: float = _ZERO
    incarnation: int = 0


@register_message('past-losses')
@dataclass(frozen=True, slots=True)
class PastLosses:
    """Losses under requests that are still suspected."""

    losses: tuple[PastLoss, ...]


@register_message('acquittal')
@dataclass(frozen=True, slots=True)
class ClearanceReport:
    """Reports that a suspected request was answered.

    Attributes
    ----------
    fingerprint : str
        Digest that identifies the request.
    upstream : str
        Name of the backend server that answered it.

    """

    fingerprint: str
    upstream: str = ''


@register_message('trial-ask', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class TrialRequest:
    """Asks the VM that saw the first loss for permission for one attempt."""

    fingerprint: str


@register_message('trial-reply')
@dataclass(frozen=True, slots=True)
class TrialReply:
    """Says whether the asking VM may send the suspected request once."""

    allowed: bool
