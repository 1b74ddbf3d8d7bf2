"""Messages between the entry VMs about request keys."""

from dataclasses import dataclass
from enum import StrEnum, unique

from sesameroute.ports import register_message

__all__ = [
    'FenceKeyRequest',
    'Handover',
    'HandoverReply',
    'HandoverEntry',
    'RecordKeyRequest',
    'WitnessReply',
    'WitnessStatus',
]


@unique
class WitnessStatus(StrEnum):
    """What a witness knows about a key.

    Attributes
    ----------
    RECORDED
        The witness recorded the key; the home may run the request or may
        have run it.
    SEALED
        The request has not run and never will: its key is not recorded and
        the epoch is fenced, or the home reported so before it stopped.
    ANSWERED
        The home handed the response over before it stopped.
    FENCED
        The witness records no more keys of this epoch.
    FORGOTTEN
        The witness restarted or evicted the epoch, so it can't tell whether
        the request ran.

    """

    RECORDED = 'recorded'
    SEALED = 'sealed'
    ANSWERED = 'answered'
    FENCED = 'fenced'
    FORGOTTEN = 'forgotten'


@register_message('record-ask', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class RecordKeyRequest:
    """Asks a witness to record a key before its home sends the request."""

    key: str


@register_message('fence-ask', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class FenceKeyRequest:
    """Asks a witness about a key whose home can't be reached.

    A witness that has not recorded the key fences its epoch.
    """

    key: str


@register_message('witness-reply')
@dataclass(frozen=True, slots=True)
class WitnessReply:
    """Reply of a witness, with the response if the home handed it over.

    Attributes
    ----------
    answer_status : int
        HTTP status of the response.
    fingerprint : str
        Digest of the request that the response belongs to.

    """

    status: WitnessStatus
    answer_status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    fingerprint: str = ''


@dataclass(frozen=True, slots=True)
class HandoverEntry:
    """One entry of the record of a home that is stopping.

    Attributes
    ----------
    status : WitnessStatus
        ANSWERED with the response, or SEALED.
    answer_status : int
        HTTP status of the response.

    """

    key: str
    fingerprint: str
    status: WitnessStatus
    answer_status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@register_message('handover')
@dataclass(frozen=True, slots=True)
class Handover:
    """Transfers record entries of a home that is stopping to a witness."""

    words: tuple[HandoverEntry, ...]


@register_message('handover-reply')
@dataclass(frozen=True, slots=True)
class HandoverReply:
    """Number of the transferred entries that the witness stored."""

    kept: int
