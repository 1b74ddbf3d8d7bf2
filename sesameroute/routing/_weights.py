"""Weights of entry VMs in the answers to callers."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from sesameroute.routing._view import Members
from sesameroute.statement import Statement, Vm

__all__ = ['Weights', 'aim_weights']

_NEWS_AGE = 2.0  # seconds after which reported room is no news
_LOW_ROOM = 0.1  # free part of slots below which callers are sent on
_MOST_SENT_ON = 0.5  # part of the callers that are sent on at most
_LIVES = 2  # lives of kept answers in which weights follow their aim


def aim_weights(
    statement: Statement,
    members: Members,
    service: str,
    ranked: list[Vm],
) -> dict[str, float]:
    """Return the weights that the reported room asks for.

    The failure domain of the first VM gets all callers while it has room;
    otherwise a part goes to the other failure domains of its region that
    have some. VMs without fresh reports count as having no spare room.
    """
    if not ranked:
        return {}
    places = statement.places
    home = ranked[0].domain
    region = places.regions[places.find_region(home)]
    rooms = [_find_room(members, service, vm) for vm in ranked]
    near = [room for room in rooms if room.domain == home]
    others = [
        room for room in rooms if room.domain in region and room not in near
    ]
    sent_on = _measure_sent_on(near, others)
    return {
        room.vm: _measure_share(room, near) * (1 - sent_on)
        + _measure_share(room, others) * sent_on
        for room in rooms
    }


@dataclass(frozen=True, slots=True)
class _Room:
    """Reported room of one VM; none without fresh news."""

    vm: str
    domain: str
    free: int = 0
    total: int = 0


def _find_room(members: Members, service: str, vm: Vm) -> _Room:
    digest = members.find_digest(vm.name)
    if digest is None or digest.age > _NEWS_AGE:
        return _Room(vm.name, vm.domain)
    room = digest.headroom.get(service, (0, 0))
    return _Room(vm.name, vm.domain, *room)


def _measure_sent_on(near: list[_Room], others: list[_Room]) -> float:
    """Return the part of the callers to send to other domains."""
    free = sum(room.free for room in near)
    total = sum(room.total for room in near)
    other_free = sum(room.free for room in others)
    other_total = sum(room.total for room in others)
    is_low = total > 0 and free < total * _LOW_ROOM
    if not is_low or other_free <= other_total * _LOW_ROOM:
        return 0
    return min(_MOST_SENT_ON, other_free / (free + other_free))


def _measure_share(room: _Room, group: list[_Room]) -> float:
    """Return a VM's part of its group, by slots where they are known."""
    if room not in group:
        return 0
    return (room.total + 1) / sum(one.total + 1 for one in group)


@dataclass(slots=True)
class Weights:
    """Weights that follow their aim no faster than callers hear of them.

    Callers keep answers for a time to live: what a change brings is seen
    only after that, so a weight that jumped would overshoot.

    Attributes
    ----------
    current : dict of str to float
        Weight by VM.
    since : float
        Time of the last change, monotonic time in seconds.

    Examples
    --------
    >>> weights = Weights()
    >>> weights.follow({'a': 1.0}, now=0, ttl=2)['a']
    1.0
    >>> weights.follow({'a': 0.0, 'b': 1.0}, now=1, ttl=2)
    {'a': 0.75, 'b': 0.25}

    """

    current: dict[str, float] = field(default_factory=dict)
    since: float = 0

    def follow(
        self,
        aim: Mapping[str, float],
        now: float,
        ttl: float,
    ) -> dict[str, float]:
        """Move towards the aim and return the weights."""
        step = min(1, (now - self.since) / (_LIVES * ttl)) if ttl else 1
        if not self.current.keys() & aim.keys():
            step = 1
        known = {vm: self.current.get(vm, 0) for vm in aim}
        left = sum(known.values()) or 1
        self.current = {
            vm: known[vm] / left + (aim[vm] - known[vm] / left) * step
            for vm in aim
        }
        self.since = now
        return dict(self.current)
