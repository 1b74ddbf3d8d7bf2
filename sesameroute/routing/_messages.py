"""Messages between entry VMs about slot leases."""

from dataclasses import dataclass

from sesameroute.ports import register_message

__all__ = [
    'GrantRecall',
    'GrantReply',
    'GrantRequest',
    'HeldSlotsQuery',
    'HeldSlotsReply',
    'Holding',
]


@dataclass(frozen=True, slots=True)
class Holding:
    """Slots of one backend server that a borrower holds from one owner."""

    upstream: str
    slots: int


@register_message('grant-ask')
@dataclass(frozen=True, slots=True)
class GrantRequest:
    """Renews a borrower's leases from one owner and may request more slots.

    Slots that are no longer listed are returned to the owner. The borrower
    counts the lease term from the time at which it sends the request.

    Attributes
    ----------
    boot : float
        Start time of the borrower's process, Unix time in seconds.
    number : int
        Sequence number; grows with each request of that process.
    held : tuple of Holding
        All slots that it holds or still has work on.
    standing : tuple of Holding
        Slots that the borrower, as the primary owner of their backend
        servers, wants on a long lease.
    extra : int
        Number of additional slots wanted, of any backend server of the
        service.

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
    """All slots of the service that the borrower now holds from the owner.

    Attributes
    ----------
    incarnation : str
        The owner's incarnation id, for the logs.
    number : int
        Sequence number of the request.

    """

    service: str
    incarnation: str
    number: int
    granted: tuple[Holding, ...] = ()


@register_message('grant-recall')
@dataclass(frozen=True, slots=True)
class GrantRecall:
    """The owner needs its slots: return those that are idle."""

    service: str


@register_message('grant-census')
@dataclass(frozen=True, slots=True)
class HeldSlotsQuery:
    """A restarted owner asks which of its slots are still held.

    Attributes
    ----------
    boot : float
        Start time of the owner's process, Unix time in seconds.

    """

    boot: float


@register_message('grant-held')
@dataclass(frozen=True, slots=True)
class HeldSlotsReply:
    """All slots of the receiver that the sender holds.

    Attributes
    ----------
    boot : float
        Copied from the query.

    """

    boot: float
    held: tuple[Holding, ...] = ()
