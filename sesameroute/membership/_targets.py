"""Whom to keep peer streams to: a number that grows with domains."""

from collections.abc import Iterable
from dataclasses import dataclass

from sesameroute.routing import rank_names
from sesameroute.statement import Statement

__all__ = ['FanOut', 'WatchDuty', 'choose_targets', 'rank_watchers']

WATCHERS = 2  # per failure domain


@dataclass(frozen=True, slots=True)
class FanOut:
    """Bounds on the streams that one process opens.

    Attributes
    ----------
    own : int
        Entry VMs of the own failure domain, beside its watchers.
    others : int
        Entry VMs of every other failure domain.
    across : int
        Entry VMs of all other failure domains, if one of each is less.

    """

    own: int = 6
    others: int = 2
    across: int = 10

    def limit_others(self, domains: int) -> int:
        """Return the bound for each other domain when there are `domains`.

        Examples
        --------
        >>> FanOut().limit_others(6), FanOut().limit_others(9)
        (2, 1)

        """
        share = self.across // max(domains - 1, 1)
        return max(min(self.others, share), 1)


def rank_watchers(statement: Statement, domain: str) -> tuple[str, ...]:
    """Return the VMs of a domain in the order in which they should watch."""
    names = (vm.name for vm in statement.list_vms(domain))
    return rank_names('watch', names)


def choose_targets(
    statement: Statement,
    name: str,
    domain: str,
    fan_out: FanOut,
    live: Iterable[str] = (),
) -> dict[str, tuple[str, int]]:
    """Return the VMs to keep streams to, with address and port.

    Parameters
    ----------
    statement : Statement
        The statement in force.
    name : str
        VM of this process; seeds the choice.
    domain : str
        Its failure domain.
    fan_out : FanOut
        Bounds on the number.
    live : iterable of str
        VMs with a live stream; further watchers take the place of dead
        ones.

    """
    chosen = set(_choose_watchers(statement, domain, set(live)))
    others = fan_out.limit_others(len(statement.places.domains))
    for place in statement.places.domains:
        bound = fan_out.own if place == domain else others
        names = (vm.name for vm in statement.list_vms(place))
        chosen.update(rank_names(name, names)[:bound])
    return {
        each: (statement.vms[each].address, statement.peer_port)
        for each in sorted(chosen)
    }


def _choose_watchers(
    statement: Statement,
    domain: str,
    live: set[str],
) -> list[str]:
    """Return the first watchers until enough of them are live."""
    chosen: list[str] = []
    for name in rank_watchers(statement, domain):
        if len(live.intersection(chosen)) >= WATCHERS:
            break
        if len(chosen) < 2 * WATCHERS + 1:
            chosen.append(name)
    return chosen


class WatchDuty:
    """Whether a VM asks the platform for its failure domain.

    The first two live VMs in the domain's ranking do. Every VM of the
    domain keeps streams to those, so that it knows whether they live.

    Parameters
    ----------
    name : str
        The VM.
    domain : str
        Its failure domain.

    """

    def __init__(self, name: str, domain: str) -> None:
        """Store the parameters."""
        self.name = name
        self.domain = domain
        self._statement: Statement | None = None
        self._better: frozenset[str] = frozenset()

    def holds(self, statement: Statement | None, live: Iterable[str]) -> bool:
        """Return whether the VM has the duty now.

        Parameters
        ----------
        statement : Statement or None
            The statement in force; without one every VM asks.
        live : iterable of str
            The other VMs that live.

        """
        if statement is None:
            return True
        if statement is not self._statement:
            self._better = self._list_better(statement)
            self._statement = statement
        return len(self._better.intersection(live)) < WATCHERS

    def _list_better(self, statement: Statement) -> frozenset[str]:
        ranked = rank_watchers(statement, self.domain)
        if self.name in ranked:
            ranked = ranked[: ranked.index(self.name)]
        return frozenset(ranked)
