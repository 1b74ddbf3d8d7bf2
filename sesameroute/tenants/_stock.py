"""Tokens of one tenant at one node."""

from dataclasses import dataclass

from sesameroute.tenants._bounds import Allowance

__all__ = ['MAX_LATE_SECONDS', 'Demand', 'Part', 'Stock']

_DEMAND_GAIN = 0.3  # of the newest interval in the average
# What a node that gives tokens away keeps: its own demand for so long.
_KEPT_SECONDS = 0.75
# Least demand in requests per second at which a node keeps a token.
_MIN_DEMAND = 0.2
_MAX_WAIT_SECONDS = 1.0
# Part of the needed tokens with which a depot asks the others for none.
_ENOUGH_FRACTION = 0.75
# Part of its tokens that a depot gives to one that lacks some.
_SHARED_FRACTION = 0.5
# Part of its tokens of a burst that a node holds itself, if these are as many
# as the bound; else what it issues from one transfer to the next.
_OWN_FRACTION = 0.5
_MIN_OWN_BURST = 2
_ISSUE_SECONDS = 0.4
# Tokens that were longer on their way are void; less than the time in which a
# node that turns to another depot has room at neither.
MAX_LATE_SECONDS = 0.75


@dataclass(frozen=True, slots=True)
class Part:
    """Parts of all allowances that a node has.

    Attributes
    ----------
    issued : float
        Part that it issues itself.
    kept : tuple of float
        Parts of all nodes that use it as their depot.

    """

    issued: float = 0
    kept: tuple[float, ...] = ()


class Demand:
    """Average of the tokens per second that are asked for.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    average_ : float
        Tokens per second.

    """

    def __init__(self, now: float) -> None:
        """Start without any."""
        self.average_: float = 0
        self._asked: float = 0
        self._counted_at = now

    def count(self, amount: float) -> None:
        """Count tokens as asked for."""
        self._asked += amount

    def update(self, now: float) -> None:
        """Bring the average up to date."""
        seconds = now - self._counted_at
        if seconds > 0:
            newest = self._asked / seconds
            self.average_ += _DEMAND_GAIN * (newest - self.average_)
            self._asked = 0
            self._counted_at = now


class _Room:
    """Room that has been free for as long as late tokens were on their way.

    Late tokens count as tokens of their receiver for that time: where it had
    room for them all along, nobody held more than the burst meanwhile.
    """

    def __init__(self, now: float) -> None:
        self._began_at = now
        # Most tokens held, and late ones taken in, in this and the last span.
        self._peaks: tuple[float, float] = (0, 0)
        self._taken: tuple[float, float] = (0, 0)

    def observe(self, level: float, now: float) -> None:
        """Record the tokens that are held; begin a new span in time."""
        if now - self._began_at > MAX_LATE_SECONDS:
            self._began_at = now
            self._peaks = level, max(self._peaks[0], level)
            self._taken = 0, self._taken[0]
        self._peaks = max(self._peaks[0], level), self._peaks[1]

    def take_in(self, amount: float, capacity: float) -> float:
        """Return how many of the late tokens are valid."""
        free = capacity - max(self._peaks) - sum(self._taken)
        valid = max(min(amount, free), 0)
        self._taken = self._taken[0] + valid, self._taken[1]
        return valid


class Stock:
    """Tokens that a node may let requests through with.

    The tokens of a burst lie at the nodes that issue them and at depots; at
    depots alone if there are too few for each node to have some.

    Parameters
    ----------
    allowance : Allowance
        What all nodes together let through.
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    level_ : float
        Tokens; none at first, so that a restart brings no second burst.
    demand : Demand
        The tokens that were asked for here.
    dry_until_ : float
        Monotonic time in seconds until which no depot has tokens.

    """

    def __init__(self, allowance: Allowance, now: float) -> None:
        """Start empty."""
        self.allowance = allowance
        self.part = Part()
        self.level_: float = 0
        self.demand = Demand(now)
        self.dry_until_: float = 0
        self._refilled_at = now
        self._room = _Room(now)

    @property
    def capacity(self) -> float:
        """Tokens that may lie here."""
        own = _compute_own_burst(self.allowance, self.part.issued)
        return own + sum(
            self.allowance.burst * part
            - _compute_own_burst(self.allowance, part)
            for part in self.part.kept
        )

    @property
    def surplus(self) -> float:
        """Tokens beyond those that are probably needed here soon."""
        return self.level_ - self._needed

    @property
    def lack(self) -> float:
        """Tokens that are needed here, once fewer than a part are left."""
        if self.level_ > self._needed * _ENOUGH_FRACTION:
            return 0
        return max(self._needed - self.level_, 0)

    @property
    def spare(self) -> float:
        """Tokens for a depot that lacks them: at least half of all here."""
        return max(self.surplus, self.level_ * _SHARED_FRACTION)

    @property
    def wait(self) -> float:
        """Seconds until a caller probably finds a token.

        With more demand than tokens, callers are spread over a longer time.
        """
        inflow = self.allowance.rate * max(
            self.part.issued, sum(self.part.kept)
        )
        if inflow <= 0:
            return _MAX_WAIT_SECONDS
        until_token = max(1 - self.level_, 0) / inflow
        spread = self.demand.average_ / inflow - 1
        return min(max(until_token, spread), _MAX_WAIT_SECONDS)

    def refill(self, now: float) -> None:
        """Issue tokens for the time since the last refill."""
        seconds = now - self._refilled_at
        self._refilled_at = now
        self.add(self.allowance.rate * self.part.issued * seconds)
        self._room.observe(self.level_, now)

    def add(self, amount: float) -> None:
        """Add tokens, up to the capacity."""
        self.level_ = min(self.level_ + amount, self.capacity)
        self._room.observe(self.level_, self._refilled_at)

    def add_late(self, amount: float) -> None:
        """Add tokens that were long on their way, as far as these are valid."""
        self.add(self._room.take_in(amount, self.capacity))

    def remove(self, amount: float) -> float:
        """Take up to an amount; return what there was."""
        taken = max(min(amount, self.level_), 0)
        self.level_ -= taken
        return taken

    def remove_least(self, amount: float, least: float) -> float:
        """Take up to an amount, or nothing if there is not the least one."""
        return self.remove(amount) if self.level_ >= least else 0

    @property
    def _needed(self) -> float:
        """Return the tokens to keep; room is left for those issued next."""
        issued = self.allowance.rate * self.part.issued * _ISSUE_SECONDS
        room = self.capacity - issued
        if room < 1 or self.demand.average_ < _MIN_DEMAND:
            return 0
        return min(self.demand.average_ * _KEPT_SECONDS + 1, room)


def _compute_own_burst(allowance: Allowance, part: float) -> float:
    """Return the tokens of a burst that a node holds that issues a part."""
    burst = allowance.burst * part
    if burst * _OWN_FRACTION >= _MIN_OWN_BURST:
        return burst * _OWN_FRACTION
    return min(allowance.rate * part * _ISSUE_SECONDS, burst * _OWN_FRACTION)
