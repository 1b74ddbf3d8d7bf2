"""The operators' statement: models, INI form and builder."""

from sesameroute.statement._builder import StatementBuilder
from sesameroute.statement._check import check_statement
from sesameroute.statement._finding import Finding, Severity
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
from sesameroute.statement._text import print_statement, read_statement

__all__ = [
    'Drain',
    'DrainTarget',
    'Finding',
    'Kind',
    'Link',
    'Places',
    'Policy',
    'Priority',
    'Service',
    'Severity',
    'Shift',
    'Statement',
    'StatementBuilder',
    'Upstream',
    'Vm',
    'check_statement',
    'print_statement',
    'read_statement',
]
