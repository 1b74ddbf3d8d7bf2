"""Whom to keep peer streams to: a number that grows with domains."""

from collections.abc import Iterable
from dataclasses import dataclass

from sesameroute.routing import rank_names
from sesameroute.statement import Statement

__all__ = ['FanOut', 'choose_targets', 'has_watch_duty', 'rank_watchers']

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

    """

    own: int = 8
    others: int = 2


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
    for place in statement.places.domains:
        bound = fan_out.own if place == domain else fan_out.others
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


def has_watch_duty(
    statement: Statement | None,
    name: str,
    domain: str,
    live: Iterable[str],
) -> bool:
    """Return whether this VM asks the platform for its failure domain.

    The first two live VMs in the domain's ranking do. Every VM of the
    domain keeps streams to those, so that it knows whether they live.
    """
    if statement is None:
        return True
    ranked = rank_watchers(statement, domain)
    better = ranked[: ranked.index(name)] if name in ranked else ranked
    return len(set(live).intersection(better)) < WATCHERS
