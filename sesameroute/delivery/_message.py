"""Messages of delivery between entry VMs."""

from dataclasses import dataclass
from enum import StrEnum, unique

from sesameroute.ports import register_message

__all__ = [
    'FenceAsk',
    'Handover',
    'HandoverReply',
    'KeptWord',
    'RecordAsk',
    'WitnessReply',
    'WitnessStatus',
]


@unique
class WitnessStatus(StrEnum):
    """What a witness says about a key.

    Attributes
    ----------
    RECORDED
        The witness acknowledged the key; the home may run or have run it.
    SEALED
        The key has not run and never will: it is not recorded and its epoch
        is fenced, or its home said so before it stopped.
    ANSWERED
        The home handed the answer over.
    FENCED
        The witness acknowledges nothing more for this epoch.
    FORGOTTEN
        The witness restarted, or dropped the epoch: it can't tell.

    """

    RECORDED = 'recorded'
    SEALED = 'sealed'
    ANSWERED = 'answered'
    FENCED = 'fenced'
    FORGOTTEN = 'forgotten'


@register_message('record-ask', quick=True)
@dataclass(frozen=True, slots=True)
class RecordAsk:
    """A home asks its witness to acknowledge a key before it runs."""

    key: str


@register_message('fence-ask', quick=True)
@dataclass(frozen=True, slots=True)
class FenceAsk:
    """An entry that can't reach a key's home asks the key's witness."""

    key: str


@register_message('witness-reply')
@dataclass(frozen=True, slots=True)
class WitnessReply:
    """The witness's word, with the kept answer if it has one.

    Attributes
    ----------
    fingerprint : str
        Digest of the request that the answer belongs to.

    """

    status: WitnessStatus
    answer_status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    fingerprint: str = ''


@dataclass(frozen=True, slots=True)
class KeptWord:
    """One entry of a stopping home's record.

    Attributes
    ----------
    status : WitnessStatus
        ANSWERED with the answer, or SEALED.

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
    """Entries of a stopping home's record, for their witness."""

    words: tuple[KeptWord, ...]


@register_message('handover-reply')
@dataclass(frozen=True, slots=True)
class HandoverReply:
    """How many of the entries the witness kept."""

    kept: int
