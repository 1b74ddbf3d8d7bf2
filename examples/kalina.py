"""Statement of Kalina Fibreform Labs: headroom has priority.

``python examples/kalina.py > examples/kalina.ini`` prints the statement.
"""

from types import MappingProxyType

from sesameroute.statement import (
    Statement,
    StatementBuilder,
    print_statement,
)

# First three octets of the addresses in each failure domain.
DOMAINS = MappingProxyType(
    {
        'plovdiv-a': '127.20.1',
        'plovdiv-b': '127.20.2',
        'sofia-a': '127.20.3',
        'sofia-b': '127.20.4',
        'varna-a': '127.20.5',
        'varna-b': '127.20.6',
    }
)
LINK_MEGABITS = 4000
UPSTREAM_CONNECTIONS = 330
UPSTREAM_PORT = 9000


def add_places(builder: StatementBuilder) -> None:
    """Add regions, links and entry VMs; the first domain has two VMs."""
    builder.set_places(
        'plovdiv',
        domain_delay_ms=1,
        region_delay_ms=12,
        client_delay_ms=8,
    )
    builder.add_region('plovdiv', 'plovdiv-a', 'plovdiv-b')
    builder.add_region('sofia', 'sofia-a', 'sofia-b')
    builder.add_region('varna', 'varna-a', 'varna-b')
    builder.add_link('plovdiv', 'sofia', LINK_MEGABITS)
    builder.add_link('plovdiv', 'varna', LINK_MEGABITS)
    builder.add_link('sofia', 'varna', LINK_MEGABITS)
    for domain, network in DOMAINS.items():
        builder.add_vm(f'{domain}-1', domain, f'{network}.11')
    builder.add_vm('plovdiv-a-2', 'plovdiv-a', f'{DOMAINS["plovdiv-a"]}.12')


def add_service(
    builder: StatementBuilder,
    name: str,
    *,
    count: int,
    slots: int,
    first_host: int,
) -> None:
    """Add a service and its backend servers.

    They are spread evenly over the failure domains. `first_host` is the last
    octet of the first address in each domain; the next ones count up.
    """
    builder.add_service(name)
    builder.add_upstreams(
        name,
        count=count,
        addresses={
            domain: f'{network}.{first_host}'
            for domain, network in DOMAINS.items()
        },
        port=UPSTREAM_PORT,
        slots=slots,
        connections=UPSTREAM_CONNECTIONS,
    )


def add_kinds(builder: StatementBuilder) -> None:
    """Add the kinds of request from growers, buyers and toolmakers."""
    builder.add_kind(
        'stock-check',
        'tray-catalogue',
        weight=1,
        deadline_ms=2000,
        work_ms=80,
        answer_bytes=600,
        share=0.42,
    )
    builder.add_kind(
        'tray-specification',
        'tray-catalogue',
        weight=1,
        deadline_ms=3000,
        work_ms=120,
        answer_bytes=4000,
        share=0.18,
    )
    builder.add_kind(
        'batch-order',
        'order-desk',
        weight=8,
        idempotent=False,
        deadline_ms=5000,
        work_ms=200,
        answer_bytes=800,
        share=0.14,
    )
    builder.add_kind(
        'order-status',
        'order-desk',
        weight=2,
        deadline_ms=2000,
        work_ms=100,
        answer_bytes=800,
        share=0.16,
    )
    builder.add_kind(
        'mould-drawing',
        'drawing-vault',
        weight=4,
        heavy=True,
        deadline_ms=10_000,
        work_ms=300,
        answer_bytes=200_000,
        share=0.1,
    )


def build_statement() -> Statement:
    """Return the statement of Kalina Fibreform Labs."""
    builder = StatementBuilder('kalina')
    add_places(builder)
    builder.set_policy(
        priority='headroom',
        reserve=0.25,
        retry_budget=0.1,
        hedge_budget=0,
        queue_ms=500,
        lookup_ttl_ms=2000,
        peak_rate=500,
    )
    add_service(builder, 'tray-catalogue', count=14, slots=6, first_host=100)
    add_service(builder, 'order-desk', count=12, slots=4, first_host=120)
    add_service(builder, 'drawing-vault', count=12, slots=3, first_host=140)
    add_kinds(builder)
    return builder.build()


if __name__ == '__main__':
    print(print_statement(build_statement()), end='')
