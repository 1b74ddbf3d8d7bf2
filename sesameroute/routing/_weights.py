"""Weights of entry VMs in look-up answers."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from sesameroute.routing._view import Members
from sesameroute.statement import Statement, Vm

__all__ = ['Weights', 'compute_target_weights']

_MAX_DIGEST_AGE_SECONDS = 2.0  # older headroom reports are ignored
_LOW_FREE_FRACTION = 0.1  # below it callers are diverted
_MAX_DIVERTED_FRACTION = 0.5  # of the callers
_CONVERGENCE_TTLS = 2  # time constant of weights, in TTLs of answers


def compute_target_weights(
    statement: Statement,
    members: Members,
    service: str,
    ranked: list[Vm],
) -> dict[str, float]:
    """Return the weights that the reported free slots call for.

    The failure domain of the first VM gets all callers while it has enough
    free slots; otherwise a fraction is diverted to the other failure
    domains of its region that have free slots. VMs without a fresh report
    count as having none.
    """
    if not ranked:
        return {}
    places = statement.places
    nearest_domain = ranked[0].domain
    region = places.regions[places.find_region(nearest_domain)]
    capacities = [_read_capacity(members, service, vm) for vm in ranked]
    nearest = [
        capacity for capacity in capacities if capacity.domain == nearest_domain
    ]
    others = [
        capacity
        for capacity in capacities
        if capacity.domain in region and capacity not in nearest
    ]
    diverted_fraction = _compute_diverted_fraction(nearest, others)
    return {
        capacity.vm: _compute_share(capacity, nearest) * (1 - diverted_fraction)
        + _compute_share(capacity, others) * diverted_fraction
        for capacity in capacities
    }


@dataclass(frozen=True, slots=True)
class _VmCapacity:
    """Reported slots of one VM; zero without a fresh report."""

    vm: str
    domain: str
    free: int = 0
    total: int = 0


def _read_capacity(members: Members, service: str, vm: Vm) -> _VmCapacity:
    digest = members.find_digest(vm.name)
    if digest is None or digest.age > _MAX_DIGEST_AGE_SECONDS:
        return _VmCapacity(vm.name, vm.domain)
    capacity = digest.headroom.get(service, (0, 0))
    return _VmCapacity(vm.name, vm.domain, *capacity)


def _compute_diverted_fraction(
    nearest: list[_VmCapacity], others: list[_VmCapacity]
) -> float:
    """Return the fraction of callers to divert to other domains."""
    free = sum(capacity.free for capacity in nearest)
    total = sum(capacity.total for capacity in nearest)
    other_free = sum(capacity.free for capacity in others)
    other_total = sum(capacity.total for capacity in others)
    is_low = total > 0 and free < total * _LOW_FREE_FRACTION
    if not is_low or other_free <= other_total * _LOW_FREE_FRACTION:
        return 0
    return min(_MAX_DIVERTED_FRACTION, other_free / (free + other_free))


def _compute_share(capacity: _VmCapacity, group: list[_VmCapacity]) -> float:
    """Return a VM's fraction of its group, by its reported slots."""
    if capacity not in group:
        return 0
    return (capacity.total + 1) / sum(member.total + 1 for member in group)


@dataclass(slots=True)
class Weights:
    """Weights that approach their target gradually.

    Callers cache answers for a time to live (TTL), so the effect of a
    change shows only after that. A weight that jumped to its target would
    overshoot; the time constant is _CONVERGENCE_TTLS times the TTL.

    Attributes
    ----------
    current : dict of str to float
        Weight by VM.
    updated_at : float
        Time of the last update, monotonic time in seconds.

    Examples
    --------
    >>> weights = Weights()
    >>> weights.move_towards({'a': 1.0}, now=0, ttl=2)['a']
    1.0
    >>> weights.move_towards({'a': 0.0, 'b': 1.0}, now=1, ttl=2)
    {'a': 0.75, 'b': 0.25}

    """

    current: dict[str, float] = field(default_factory=dict)
    updated_at: float = 0

    def move_towards(
        self,
        target: Mapping[str, float],
        now: float,
        ttl: float,
    ) -> dict[str, float]:
        """Move the weights towards a target and return them."""
        step = (
            min(1, (now - self.updated_at) / (_CONVERGENCE_TTLS * ttl))
            if ttl
            else 1
        )
        if not self.current.keys() & target.keys():
            step = 1
        previous = {vm: self.current.get(vm, 0) for vm in target}
        previous_sum = sum(previous.values()) or 1
        self.current = {
            vm: previous[vm] / previous_sum
            + (target[vm] - previous[vm] / previous_sum) * step
            for vm in target
        }
        self.updated_at = now
        return dict(self.current)
