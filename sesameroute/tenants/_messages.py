"""Messages by which nodes move tokens of allowances."""

from dataclasses import dataclass

from sesameroute.ports import register_message

__all__ = [
    'AllowanceAsk',
    'AllowanceGrant',
    'AllowanceNeed',
    'AllowanceQuery',
    'AllowanceTransfer',
    'AllowanceView',
]


@register_message('allowance-ask', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class AllowanceAsk:
    """Asks a depot for tokens of a tenant; the reply is a grant.

    Attributes
    ----------
    amount : float
        Tokens wanted.
    least : float
        Tokens without which the others are of no use.

    """

    tenant: str
    amount: float
    least: float = 1


@register_message('allowance-grant', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class AllowanceGrant:
    """Tokens that now belong to the node that asked.

    Attributes
    ----------
    amount : float
        Tokens; 0 if the depot has too few.
    wait : float
        Seconds after which there is probably room again.

    """

    amount: float
    wait: float = 0


@register_message('allowance-need', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class AllowanceNeed:
    """Tells the depot of another region what this one lacks.

    Attributes
    ----------
    amounts : dict of str to float
        Tokens wanted from this depot, by tenant.

    """

    amounts: dict[str, float]


@register_message('allowance-transfer', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class AllowanceTransfer:
    """Tokens that the sender no longer has and the receiver now owns.

    Attributes
    ----------
    amounts : dict of str to float
        Tokens by tenant.
    boot : str
        Identifies the run of the sender's process.
    sent_at : float
        Time on the sender's monotonic clock in seconds.
    weight : float
        Part of all allowances that the sender issues, if the receiver is its
        depot; else 0.

    """

    amounts: dict[str, float]
    boot: str
    sent_at: float
    weight: float = 0


@register_message('allowance-query', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class AllowanceQuery:
    """Asks what lies at a node, for operators; the reply is a view."""

    tenant: str


@register_message('allowance-view', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class AllowanceView:
    """What of a tenant's allowance lies at a node; nothing is moved.

    Attributes
    ----------
    node : str
        Its address.
    tokens : float
        Requests that it may let through, or hand out as a depot.
    room : float
        Most tokens that may lie there.
    wait : float
        Seconds until there probably is a token; 0 if there is one.

    """

    node: str
    tokens: float = 0
    room: float = 0
    wait: float = 0
