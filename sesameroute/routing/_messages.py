"""Messages between entry VMs about borrowed slots."""

from dataclasses import dataclass

from sesameroute.ports import register_message

__all__ = [
    'GrantAsk',
    'GrantCensus',
    'GrantHeld',
    'GrantRecall',
    'GrantReply',
    'Holding',
]


@dataclass(frozen=True, slots=True)
class Holding:
    """Slots of one backend server that a borrower has from one owner."""

    upstream: str
    slots: int


@register_message('grant-ask')
@dataclass(frozen=True, slots=True)
class GrantAsk:
    """All that a borrower holds of an owner's slots, and its wish for more.

    Asking for none gives back what is no longer listed. Terms count for the
    borrower from when it asks.

    Attributes
    ----------
    boot : float
        Start of the borrower's process as Unix time in seconds.
    number : int
        Grows with each ask of that process.
    held : tuple of Holding
        All that it holds or still has work on.
    standing : tuple of Holding
        Slots that the borrower, as their home, wants to hold always.
    extra : int
        More slots wanted, of any backend server of the service.

    """

    service: str
    boot: float
    number: int
    held: tuple[Holding, ...] = ()
    standing: tuple[Holding, ...] = ()
    extra: int = 0


@register_message('grant-reply')
@dataclass(frozen=True, slots=True)
class GrantReply:
    """All slots of the service that the borrower now has from the owner.

    Attributes
    ----------
    incarnation : str
        The owner's incarnation, for the logs.
    number : int
        Number of the ask.

    """

    service: str
    incarnation: str
    number: int
    granted: tuple[Holding, ...] = ()


@register_message('grant-recall')
@dataclass(frozen=True, slots=True)
class GrantRecall:
    """The owner has work of its own: give back what is idle."""

    service: str


@register_message('grant-census')
@dataclass(frozen=True, slots=True)
class GrantCensus:
    """A restarted owner asks what is still held of its slots."""

    boot: float


@register_message('grant-held')
@dataclass(frozen=True, slots=True)
class GrantHeld:
    """All that the sender holds of the receiver's slots.

    Attributes
    ----------
    boot : float
        Copied from the question.

    """

    boot: float
    held: tuple[Holding, ...] = ()
