"""Choice of peers and watchers.

The number of peers grows with the number of failure domains, not of VMs.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from sesameroute.routing import rank_names
from sesameroute.statement import Statement

__all__ = ['FanOut', 'WatcherElection', 'choose_targets', 'rank_watchers']

_WATCHERS_PER_DOMAIN = 2


@dataclass(frozen=True, slots=True)
class FanOut:
    """Upper bounds on the streams that one process opens.

    Attributes
    ----------
    own_domain : int
        Streams to entry VMs of the own failure domain, in addition to those
        to its watchers.
    per_other_domain : int
        Streams to entry VMs of each other failure domain.
    all_other_domains : int
        Streams to entry VMs of all other failure domains together. Each
        domain gets at least one stream, even if that exceeds this bound.

    """

    own_domain: int = 6
    per_other_domain: int = 2
    all_other_domains: int = 10

    def limit_per_domain(self, domains: int) -> int:
        """Return the bound per other domain, given the number of domains.

        Examples
        --------
        >>> FanOut().limit_per_domain(6), FanOut().limit_per_domain(9)
        (2, 1)

        """
        share = self.all_other_domains // max(domains - 1, 1)
        return max(min(self.per_other_domain, share), 1)


def rank_watchers(statement: Statement, domain: str) -> tuple[str, ...]:
    """Return the VMs of a domain, the preferred watcher first."""
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
        VM of this process. The rendezvous hash depends on it, so that each
        VM chooses other peers.
    domain : str
        Its failure domain.
    fan_out : FanOut
        Upper bounds on the number of streams.
    live : iterable of str
        VMs with an open stream; watchers that have none are replaced by the
        next in rank.

    """
    chosen = set(_choose_watchers(statement, domain, set(live)))
    per_other_domain = fan_out.limit_per_domain(len(statement.places.domains))
    for each_domain in statement.places.domains:
        bound = (
            fan_out.own_domain if each_domain == domain else per_other_domain
        )
        names = (vm.name for vm in statement.list_vms(each_domain))
        chosen.update(rank_names(name, names)[:bound])
    return {
        chosen_name: (statement.vms[chosen_name].address, statement.peer_port)
        for chosen_name in sorted(chosen)
    }


def _choose_watchers(
    statement: Statement,
    domain: str,
    live: set[str],
) -> list[str]:
    """Return VMs by rank until enough of them are live, within a bound."""
    chosen: list[str] = []
    for name in rank_watchers(statement, domain):
        if len(live.intersection(chosen)) >= _WATCHERS_PER_DOMAIN:
            break
        if len(chosen) < 2 * _WATCHERS_PER_DOMAIN + 1:
            chosen.append(name)
    return chosen


class WatcherElection:
    """Decides whether a VM watches the store and VM list for its domain.

    The first two live VMs in the domain's ranking do. Every VM of the
    domain keeps streams to them, so that it knows whether they are live.

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
        self._higher_ranked: frozenset[str] = frozenset()

    def is_elected(
        self, statement: Statement | None, live: Iterable[str]
    ) -> bool:
        """Return whether the VM is a watcher now.

        Parameters
        ----------
        statement : Statement or None
            The statement in force; without one every VM is a watcher.
        live : iterable of str
            The other VMs that are live.

        """
        if statement is None:
            return True
        if statement is not self._statement:
            self._higher_ranked = self._list_higher_ranked(statement)
            self._statement = statement
        return (
            len(self._higher_ranked.intersection(live)) < _WATCHERS_PER_DOMAIN
        )

    def _list_higher_ranked(self, statement: Statement) -> frozenset[str]:
        ranked = rank_watchers(statement, self.domain)
        if self.name in ranked:
            ranked = ranked[: ranked.index(self.name)]
        return frozenset(ranked)
