"""A small statement that passes all checks."""

from sesameroute.statement import StatementBuilder


def build_small_statement():
    """Return a statement with two failure domains and one service."""
    builder = StatementBuilder('small')
    builder.set_places('north').add_region('north', 'north-a', 'north-b')
    builder.add_vm('north-a-1', 'north-a', '127.30.1.11')
    builder.add_vm('north-b-1', 'north-b', '127.30.2.11')
    builder.add_service('order-desk')
    builder.add_kind('batch-order', 'order-desk', idempotent=False)
    builder.add_upstreams(
        'order-desk',
        count=12,
        addresses={'north-a': '127.30.1.100', 'north-b': '127.30.2.100'},
        port=9000,
        slots=4,
        connections=100,
    )
    return builder.build()
