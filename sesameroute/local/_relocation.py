"""Shifts the addresses of a run so that concurrent runs do not collide."""

import socket
from dataclasses import replace
from ipaddress import IPv4Address

from sesameroute.exceptions import InputError
from sesameroute.statement import Statement

__all__ = ['reserve_address_offset', 'shift_addresses']

_ADDRESSES_PER_OFFSET = 65_536  # number of addresses with one second octet
_MAX_CONCURRENT_RUNS = 10
_RESERVATION_PORT = 8499  # bound as a lock, never listened on
_OFFSET_PER_RUN = 20  # added to the second octet for each further run


def shift_addresses(statement: Statement, offset: int) -> Statement:
    """Return the statement with the second octet of each address increased."""
    if not offset:
        return statement
    vms = {
        name: replace(vm, address=_shift_address(vm.address, offset))
        for name, vm in statement.vms.items()
    }
    upstreams = {
        name: replace(
            upstream,
            address=_shift_address(upstream.address, offset),
        )
        for name, upstream in statement.upstreams.items()
    }
    return replace(statement, vms=vms, upstreams=upstreams)


def reserve_address_offset(statement: Statement) -> tuple[int, socket.socket]:
    """Reserve an address offset that no other run on this machine uses.

    Returns
    -------
    offset : int
        Number to add to the second octet of each address.
    reservation : socket.socket
        Bound socket that holds the reservation until it is closed.

    Raises
    ------
    InputError
        All offsets are in use.

    """
    first_vm = next(iter(statement.vms.values()))
    for run in range(_MAX_CONCURRENT_RUNS):
        reservation = socket.socket()
        try:
            reservation.bind(
                (
                    _shift_address(first_vm.address, run * _OFFSET_PER_RUN),
                    _RESERVATION_PORT,
                ),
            )
        except OSError:
            reservation.close()
            continue
        return run * _OFFSET_PER_RUN, reservation
    raise InputError(
        f'{first_vm.address}: {_MAX_CONCURRENT_RUNS} local runs already use'
        ' these addresses',
    )


def _shift_address(address: str, offset: int) -> str:
    return str(IPv4Address(address) + offset * _ADDRESSES_PER_OFFSET)
