"""Runs a whole deployment in one process, with load, faults and a report."""

from sesameroute.local._deployment import Deployment
from sesameroute.local._fault import list_faults
from sesameroute.local._options import RunOptions, ScheduledFault, parse_fault
from sesameroute.local._place_faults import PLACE_FAULTS
from sesameroute.local._platform_faults import PLATFORM_FAULTS
from sesameroute.local._relocation import (
    reserve_address_offset,
    shift_addresses,
)
from sesameroute.local._report import build_report, format_json, format_table
from sesameroute.local._session import RunResult, run_local_deployment
from sesameroute.local._upstream_faults import UPSTREAM_FAULTS

__all__ = [
    'PLACE_FAULTS',
    'PLATFORM_FAULTS',
    'UPSTREAM_FAULTS',
    'Deployment',
    'ScheduledFault',
    'RunResult',
    'RunOptions',
    'build_report',
    'reserve_address_offset',
    'list_faults',
    'parse_fault',
    'format_json',
    'format_table',
    'shift_addresses',
    'run_local_deployment',
]
