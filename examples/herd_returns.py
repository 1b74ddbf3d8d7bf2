"""Statement of the Outback Herd Returns Cooperative: latency has priority.

``python examples/herd_returns.py > examples/herd_returns.ini`` prints the
statement.
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
        'toowoomba-a': '127.21.1',
        'dalby-b': '127.21.2',
        'longreach-a': '127.21.3',
        'barcaldine-b': '127.21.4',
        'normanton-a': '127.21.5',
        'croydon-b': '127.21.6',
    }
)
LINK_MEGABITS = 4000
UPSTREAM_CONNECTIONS = 400
UPSTREAM_PORT = 9000


def add_places(builder: StatementBuilder) -> None:
    """Add regions, links and entry VMs; the first domain has two VMs."""
    builder.set_places(
        'darling-downs',
        domain_delay_ms=1.5,
        region_delay_ms=55,
        client_delay_ms=1,
    )
    builder.add_region('darling-downs', 'toowoomba-a', 'dalby-b')
    builder.add_region('central-west', 'longreach-a', 'barcaldine-b')
    builder.add_region('gulf-country', 'normanton-a', 'croydon-b')
    builder.add_link('darling-downs', 'central-west', LINK_MEGABITS)
    builder.add_link('darling-downs', 'gulf-country', LINK_MEGABITS)
    builder.add_link('central-west', 'gulf-country', LINK_MEGABITS)
    for domain, network in DOMAINS.items():
        builder.add_vm(f'{domain}-1', domain, f'{network}.11')
    builder.add_vm(
        'toowoomba-a-2',
        'toowoomba-a',
        f'{DOMAINS["toowoomba-a"]}.12',
    )


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
    """Add the kinds of request from graziers, stock agents and officers."""
    builder.add_kind(
        'prior-return-check',
        'tally-desk',
        weight=1,
        deadline_ms=1500,
        work_ms=60,
        answer_bytes=1500,
        share=0.35,
    )
    builder.add_kind(
        'stock-tally',
        'tally-desk',
        weight=1,
        deadline_ms=1500,
        work_ms=80,
        answer_bytes=800,
        share=0.35,
    )
    builder.add_kind(
        'lodgement',
        'lodge-desk',
        weight=10,
        idempotent=False,
        deadline_ms=4000,
        work_ms=120,
        answer_bytes=600,
        share=0.2,
    )
    builder.add_kind(
        'tally-sheet',
        'sheet-store',
        weight=3,
        heavy=True,
        deadline_ms=8000,
        work_ms=250,
        answer_bytes=150_000,
        share=0.1,
    )


def build_statement() -> Statement:
    """Return the statement of the Outback Herd Returns Cooperative."""
    builder = StatementBuilder('herd-returns')
    add_places(builder)
    builder.set_policy(
        priority='latency',
        reserve=0.1,
        retry_budget=0.1,
        hedge_budget=0.05,
        queue_ms=300,
        lookup_ttl_ms=2000,
        peak_rate=500,
    )
    add_service(builder, 'tally-desk', count=24, slots=4, first_host=100)
    add_service(builder, 'lodge-desk', count=12, slots=3, first_host=120)
    add_service(builder, 'sheet-store', count=12, slots=3, first_host=140)
    add_kinds(builder)
    return builder.build()


if __name__ == '__main__':
    print(print_statement(build_statement()), end='')
