"""Validated models of the sections of a statement's INI form."""

from types import MappingProxyType
from typing import ClassVar

from sesameroute.ini import Section
from sesameroute.statement._field import (
    Address,
    Amount,
    Bytes,
    Count,
    Deadline,
    Fraction,
    Milliseconds,
    Name,
    Names,
    Part,
    Port,
    Positive,
)
from sesameroute.statement._model import DrainTarget, Priority

__all__ = ['SECTIONS', 'StatementSection']


class StatementSection(Section):
    """A section; `title_fields` come from the words of its title.

    Keys that may be left out are None here: their defaults stand in the
    data classes.
    """

    title_fields: ClassVar[tuple[str, ...]] = ('name',)


class _Institution(StatementSection):
    title_fields = ()
    name: Name
    entry_port: Port | None = None
    lookup_port: Port | None = None
    peer_port: Port | None = None


class _Places(StatementSection):
    title_fields = ()
    store_region: Name
    domain_delay_ms: Amount
    region_delay_ms: Amount
    client_delay_ms: Amount


class _Policy(StatementSection):
    title_fields = ()
    priority: Priority | None = None
    reserve: Fraction | None = None
    retry_budget: Fraction | None = None
    hedge_budget: Fraction | None = None
    queue_ms: Milliseconds | None = None
    lookup_ttl_ms: Milliseconds | None = None
    peak_rate: Amount | None = None


class _Region(StatementSection):
    name: Name
    domains: Names


class _Vm(StatementSection):
    name: Name
    domain: Name
    address: Address


class _Service(StatementSection):
    name: Name
    trusts_shed: bool | None = None


class _Kind(StatementSection):
    name: Name
    service: Name
    weight: Positive | None = None
    idempotent: bool | None = None
    heavy: bool | None = None
    deadline_ms: Deadline | None = None
    work_ms: Amount | None = None
    answer_bytes: Bytes | None = None
    share: Amount | None = None


class _Upstream(StatementSection):
    name: Name
    service: Name
    domain: Name
    address: Address
    port: Port
    slots: Count
    connections: Count


class _Link(StatementSection):
    title_fields = ('source', 'target')
    source: Name
    target: Name
    megabits: Positive
    cap: Part | None = None


class _Drain(StatementSection):
    name: Name
    target: DrainTarget
    subject: Name


class _Shift(StatementSection):
    name: Name
    service: Name
    source: Name
    target: Name
    fraction: Part
    cap: Positive
    started: Amount
    seconds: Amount


SECTIONS = MappingProxyType(
    {
        'institution': _Institution,
        'places': _Places,
        'policy': _Policy,
        'region': _Region,
        'vm': _Vm,
        'service': _Service,
        'kind': _Kind,
        'upstream': _Upstream,
        'link': _Link,
        'drain': _Drain,
        'shift': _Shift,
    }
)
