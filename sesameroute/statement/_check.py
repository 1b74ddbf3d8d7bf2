"""Checks that the caps of a statement can hold."""

from collections.abc import Iterator

from sesameroute.statement._finding import Finding
from sesameroute.statement._model import Statement
from sesameroute.statement._reference import find_wrong_references

__all__ = ['check_statement']


def check_statement(statement: Statement) -> list[Finding]:
    """Return what keeps a statement from holding what it promises.

    Examples
    --------
    >>> from sesameroute.statement import StatementBuilder
    >>> builder = StatementBuilder('kalina').set_places('north')
    >>> builder = builder.add_region('north', 'north-a', 'north-b')
    >>> builder = builder.add_service('order-desk')
    >>> print(check_statement(builder.build())[0])
    error: [service order-desk] upstreams stand in 0 domains; allowed: 2 or more

    """
    wrong = list(find_wrong_references(statement))
    if wrong:
        return wrong
    return list(_check_services(statement))


def _check_services(statement: Statement) -> Iterator[Finding]:
    for service in statement.services:
        domains = {
            upstream.domain for upstream in statement.list_upstreams(service)
        }
        if len(domains) < 2:
            yield Finding(
                f'service {service}',
                f'upstreams stand in {len(domains)} domains; '
                'allowed: 2 or more',
            )
