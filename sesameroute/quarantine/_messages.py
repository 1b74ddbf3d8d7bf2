"""Peer messages about requests that may crash backend servers."""

from dataclasses import dataclass

from sesameroute.ports import register_message

__all__ = [
    'ClearanceReport',
    'LossReport',
    'PastLoss',
    'PastLosses',
    'TrialReply',
    'TrialRequest',
]


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

    """

    fingerprint: str
    upstream: str


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
    seconds_ago : float
        Age of the loss in seconds when the message was sent.

    """

    fingerprint: str
    upstream: str
    reporter: str
    seconds_ago: float


@register_message('past-losses')
@dataclass(frozen=True, slots=True)
class PastLosses:
    """Losses under requests that are still suspected."""

    losses: tuple[PastLoss, ...]


@register_message('acquittal')
@dataclass(frozen=True, slots=True)
class ClearanceReport:
    """Withdraws the suspicion of a request that was answered recently."""

    fingerprint: str


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
