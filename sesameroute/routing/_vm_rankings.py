"""Entry VMs ranked by delay from a failure domain, with a cache."""

from dataclasses import dataclass, field

from sesameroute.routing._rendezvous import rank_names
from sesameroute.routing._topology import is_drained
from sesameroute.statement import Statement, Vm

__all__ = ['VmRankings']

_MAX_RANKINGS = 4096  # cached before the cache is cleared


@dataclass(slots=True)
class VmRankings:
    """Cached rankings of the entry VMs that are not drained.

    Ranking hundreds of VMs costs more than the rest of a look-up, and the
    result changes only with the statement.
    """

    statement: Statement | None = None
    rankings: dict[tuple[str, str], tuple[Vm, ...]] = field(
        default_factory=dict
    )

    def rank(
        self,
        statement: Statement,
        service: str,
        domain: str,
    ) -> tuple[Vm, ...]:
        """Return the VMs, nearest first; equal delays vary by service.

        Parameters
        ----------
        domain : str
            The caller's failure domain; if empty, the VMs are returned in
            the order of the statement.

        """
        if (
            statement is not self.statement
            or len(self.rankings) > _MAX_RANKINGS
        ):
            self.rankings = {}
            self.statement = statement
        rankings = self.rankings
        ranking = rankings.get((service, domain))
        if ranking is None:
            ranking = tuple(_sort_vms(statement, service, domain))
            rankings[service, domain] = ranking
        return ranking


def _sort_vms(statement: Statement, service: str, domain: str) -> list[Vm]:
    not_drained = [
        vm
        for vm in statement.vms.values()
        if not is_drained(statement, vm.name, vm.domain)
    ]
    if not domain:
        return not_drained
    names = rank_names(f'{service}/{domain}', statement.vms)
    positions = {name: position for position, name in enumerate(names)}
    return sorted(
        not_drained,
        key=lambda vm: (
            statement.places.measure_delay(domain, vm.domain),
            positions[vm.name],
        ),
    )
