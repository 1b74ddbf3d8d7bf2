"""Statement of a small institution, to try the programs out as processes.

``python examples/processes/statement.py > examples/processes/statement.ini``
prints the statement.
"""

from sesameroute.statement import (
    Statement,
    StatementBuilder,
    print_statement,
)


def build_statement() -> Statement:
    """Return one region with two failure domains and two services."""
    builder = StatementBuilder('trial')
    builder.set_places('plovdiv', domain_delay_ms=1, client_delay_ms=8)
    builder.set_policy(priority='latency')
    builder.add_region('plovdiv', 'plovdiv-a', 'plovdiv-b')
    builder.add_vm('plovdiv-a-1', 'plovdiv-a', '127.25.1.11')
    builder.add_vm('plovdiv-b-1', 'plovdiv-b', '127.25.2.11')
    add_service(builder, 'tray-catalogue', 100)
    add_service(builder, 'order-desk', 120)
    builder.add_kind('stock-check', 'tray-catalogue', work_ms=20)
    builder.add_kind('batch-order', 'order-desk', weight=10, idempotent=False)
    return builder.build()


def add_service(builder: StatementBuilder, name: str, first_host: int) -> None:
    """Add a service with two backend servers in each failure domain.

    `first_host` is the last octet of the first address in each domain.
    """
    builder.add_service(name)
    builder.add_upstreams(
        name,
        count=4,
        addresses={
            'plovdiv-a': f'127.25.1.{first_host}',
            'plovdiv-b': f'127.25.2.{first_host}',
        },
        port=9000,
        slots=4,
        connections=330,
    )


if __name__ == '__main__':
    print(print_statement(build_statement()), end='')
