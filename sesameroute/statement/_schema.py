"""Pydantic models that validate the sections of a statement."""

from types import MappingProxyType
from typing import ClassVar

from sesameroute.ini import Section
from sesameroute.statement._field_types import (
    Address,
    ByteCount,
    FractionBelowOne,
    Milliseconds,
    Name,
    NameList,
    NonNegative,
    Port,
    PositiveCount,
    PositiveFraction,
    PositiveMilliseconds,
    PositiveNumber,
)
from sesameroute.statement._model import DrainTarget, Priority

__all__ = ['SECTION_MODELS', 'StatementSection']


class StatementSection(Section):
    """Base class of the models of a statement's sections.

    Optional keys are None here; their defaults are set in the data classes.

    Attributes
    ----------
    title_fields : tuple of str
        Fields whose values follow the section type in the title, as in
        ``[link SOURCE TARGET]``.

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
    domain_delay_ms: NonNegative
    region_delay_ms: NonNegative
    client_delay_ms: NonNegative


class _Policy(StatementSection):
    title_fields = ()
    priority: Priority | None = None
    reserve: FractionBelowOne | None = None
    retry_budget: FractionBelowOne | None = None
    hedge_budget: FractionBelowOne | None = None
    queue_ms: Milliseconds | None = None
    lookup_ttl_ms: Milliseconds | None = None
    peak_rate: NonNegative | None = None


class _Region(StatementSection):
    name: Name
    domains: NameList


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
    weight: PositiveNumber | None = None
    idempotent: bool | None = None
    heavy: bool | None = None
    deadline_ms: PositiveMilliseconds | None = None
    work_ms: NonNegative | None = None
    answer_bytes: ByteCount | None = None
    share: NonNegative | None = None


class _Upstream(StatementSection):
    name: Name
    service: Name
    domain: Name
    address: Address
    port: Port
    slots: PositiveCount
    connections: PositiveCount


class _Link(StatementSection):
    title_fields = ('source', 'target')
    source: Name
    target: Name
    megabits: PositiveNumber
    cap: PositiveFraction | None = None


class _Drain(StatementSection):
    name: Name
    target: DrainTarget
    subject: Name


class _Shift(StatementSection):
    name: Name
    service: Name
    source: Name
    target: Name
    fraction: PositiveFraction
    cap: PositiveNumber
    started: NonNegative
    seconds: NonNegative


# Model of each section by the section type, the first word of its title.
SECTION_MODELS = MappingProxyType(
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
