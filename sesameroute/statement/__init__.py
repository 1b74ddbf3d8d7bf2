"""The statement: an institution's configuration, written by its operators.

It lists VMs, services, backend servers, links between regions and limits.
The package has its data classes, INI format, checks and a builder.
"""

from sesameroute.statement._builder import StatementBuilder
from sesameroute.statement._check import check_statement
from sesameroute.statement._finding import Finding, Severity
from sesameroute.statement._ini_text import print_statement, read_statement
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
