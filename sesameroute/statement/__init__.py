"""The operators' statement: models, INI form and builder."""

from sesameroute.statement._model import (
    Drain,
    DrainTarget,
    Kind,
    Link,
    Places,
    Policy,
    Priority,
    Service,
    Shift,
    Statement,
    Upstream,
    Vm,
)

__all__ = [
    'Drain',
    'DrainTarget',
    'Kind',
    'Link',
    'Places',
    'Policy',
    'Priority',
    'Service',
    'Shift',
    'Statement',
    'Upstream',
    'Vm',
]
