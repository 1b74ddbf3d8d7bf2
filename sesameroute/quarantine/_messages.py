"""Messages on requests with which backend servers were lost."""

from dataclasses import dataclass

from sesameroute.ports import register_message

__all__ = ['Acquittal', 'LossReport', 'TrialAsk', 'TrialReply']


@register_message('loss-report')
@dataclass(frozen=True, slots=True)
class LossReport:
    """A backend server was lost while it ran a request.

    Attributes
    ----------
    fingerprint : str
        Digest of the request.
    upstream : str
        Name of the lost backend server.

    """

    fingerprint: str
    upstream: str


@register_message('acquittal')
@dataclass(frozen=True, slots=True)
class Acquittal:
    """A reported fingerprint was answered a short time ago elsewhere."""

    fingerprint: str


@register_message('trial-ask', quick=True)
@dataclass(frozen=True, slots=True)
class TrialAsk:
    """Asks the VM that saw the first loss for leave to try once more."""

    fingerprint: str


@register_message('trial-reply')
@dataclass(frozen=True, slots=True)
class TrialReply:
    """Whether the asking VM may send the suspected request once."""

    allowed: bool
