"""Entry VMs by their distance from a failure domain, kept per statement."""

from dataclasses import dataclass, field

from sesameroute.routing._geography import is_drained
from sesameroute.routing._rendezvous import rank_names
from sesameroute.statement import Statement, Vm

__all__ = ['VmOrders']

_MOST_ORDERS = 4096


@dataclass(slots=True)
class VmOrders:
    """Orders of the entry VMs that no drain covers.

    Ranking hundreds of VMs costs more than all the rest of a look-up, and
    changes only with the statement.
    """

    statement: Statement | None = None
    orders: dict[tuple[str, str], tuple[Vm, ...]] = field(default_factory=dict)

    def rank(
        self,
        statement: Statement,
        service: str,
        domain: str,
    ) -> tuple[Vm, ...]:
        """Return the VMs, the nearest first, in another order per service.

        Parameters
        ----------
        domain : str
            The caller's failure domain; empty for the statement's order.

        """
        if statement is not self.statement or len(self.orders) > _MOST_ORDERS:
            self.orders = {}
            self.statement = statement
        orders = self.orders
        order = orders.get((service, domain))
        if order is None:
            order = tuple(_sort_vms(statement, service, domain))
            orders[service, domain] = order
        return order


def _sort_vms(statement: Statement, service: str, domain: str) -> list[Vm]:
    staying = [
        vm
        for vm in statement.vms.values()
        if not is_drained(statement, vm.name, vm.domain)
    ]
    if not domain:
        return staying
    names = rank_names(f'{service}/{domain}', statement.vms)
    places = {name: place for place, name in enumerate(names)}
    return sorted(
        staying,
        key=lambda vm: (
            statement.places.measure_delay(domain, vm.domain),
            places[vm.name],
        ),
    )
