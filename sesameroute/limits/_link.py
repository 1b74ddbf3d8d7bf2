"""Byte budgets of the links between regions."""

from dataclasses import dataclass

from sesameroute.statement import Statement

__all__ = ['LinkBudgets', 'TokenBucket']

_BURST = 0.05  # seconds of the rate that may pass at once


@dataclass(slots=True)
class TokenBucket:
    """Lets bytes pass so that no second carries more than the rate.

    Attributes
    ----------
    rate : float
        Most bytes in any second.
    passed : float
        Monotonic time in seconds at which all admitted bytes have passed.

    Examples
    --------
    >>> bucket = TokenBucket(rate=1000)
    >>> bucket.pass_bytes(40, now=1)
    0.0
    >>> round(bucket.pass_bytes(500, now=1), 2)
    0.52

    """

    rate: float
    passed: float = 0

    def pass_bytes(self, size: int, now: float) -> float:
        """Admit bytes; return the seconds to wait before they may flow."""
        steady = self.rate * (1 - _BURST)
        self.passed = max(self.passed, now) + size / steady
        return float(max(0, self.passed - now - _BURST))

    def has_room(self, now: float) -> bool:
        """Return whether bytes would flow without waiting."""
        return self.passed <= now + _BURST


class LinkBudgets:
    """This VM's shares of the links that carry answers to its region.

    The bytes of an answer flow from the backend server's region to the
    entry VM's. Each entry VM that the statement names there has an equal
    and fixed share of the cap: the sum stays below the cap when the VMs
    can't talk, and whoever of them is alive.

    Parameters
    ----------
    statement : Statement
        The statement in force.
    vm : str
        Name of this VM.

    """

    def __init__(self, statement: Statement, vm: str) -> None:
        """Split the caps."""
        places = statement.places
        self.region = places.find_region(statement.vms[vm].domain)
        sharers = sum(
            places.find_region(one.domain) == self.region
            for one in statement.vms.values()
        )
        self.buckets_ = {
            link.source: TokenBucket(link.bytes_per_second / sharers)
            for link in statement.links
            if link.target == self.region
        }

    def pass_bytes(self, source: str, size: int, now: float) -> float:
        """Admit bytes from a region; return the seconds to wait."""
        bucket = self.buckets_.get(source)
        return bucket.pass_bytes(size, now) if bucket else 0

    def has_room(self, source: str, now: float) -> bool:
        """Return whether the link from a region has room for an answer."""
        bucket = self.buckets_.get(source)
        return bucket is None or bucket.has_room(now)
