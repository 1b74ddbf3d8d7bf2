"""Bandwidth limits of the links between regions."""

from dataclasses import dataclass

from sesameroute.statement import Statement

__all__ = ['LinkBudgets', 'TokenBucket']

# A burst is at most the bytes that are admitted in this time.
_BURST_SECONDS = 0.05


@dataclass(slots=True)
class TokenBucket:
    """Paces bytes so that no interval of one second exceeds the rate.

    The sustained rate is lower than `rate` by the burst, so that a burst and
    the bytes that follow it stay below `rate` together.

    Attributes
    ----------
    rate : float
        Maximum bytes in any interval of one second.
    drained_at : float
        Monotonic time in seconds at which all admitted bytes have been sent.

    Examples
    --------
    >>> bucket = TokenBucket(rate=1000)
    >>> bucket.charge_bytes(40, now=1)
    0.0
    >>> round(bucket.charge_bytes(500, now=1), 2)
    0.52

    """

    rate: float
    drained_at: float = 0

    def charge_bytes(self, size: int, now: float) -> float:
        """Admit bytes; return the seconds to wait before sending them."""
        sustained_rate = self.rate * (1 - _BURST_SECONDS)
        self.drained_at = max(self.drained_at, now) + size / sustained_rate
        return float(max(0, self.drained_at - now - _BURST_SECONDS))

    def has_budget(self, now: float) -> bool:
        """Return whether bytes could be sent without waiting."""
        return self.drained_at <= now + _BURST_SECONDS


class LinkBudgets:
    """This VM's share of each link that carries answers to its region.

    An answer is sent from the region of the backend server to the region of
    the entry VM. All entry VMs that the statement lists in the receiving
    region have equal, fixed shares of the link's limit. The sum thus stays
    below the limit during a network partition and whichever VMs are alive.

    Parameters
    ----------
    statement : Statement
        The statement in force.
    vm : str
        Name of this VM.

    """

    def __init__(self, statement: Statement, vm: str) -> None:
        """Compute this VM's shares."""
        places = statement.places
        self.region = places.find_region(statement.vms[vm].domain)
        vm_count = sum(
            places.find_region(one.domain) == self.region
            for one in statement.vms.values()
        )
        self.buckets_ = {
            link.source: TokenBucket(link.bytes_per_second / vm_count)
            for link in statement.links
            if link.target == self.region
        }

    def charge_bytes(self, source: str, size: int, now: float) -> float:
        """Admit bytes from a region; return the seconds to wait.

        Traffic from a region without a configured link is not limited.
        """
        bucket = self.buckets_.get(source)
        return bucket.charge_bytes(size, now) if bucket else 0

    def has_budget(self, source: str, now: float) -> bool:
        """Return whether an answer from a region could be sent at once."""
        bucket = self.buckets_.get(source)
        return bucket is None or bucket.has_budget(now)
