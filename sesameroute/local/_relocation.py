"""Addresses of a local run: moved aside while another run uses them."""

import socket
from dataclasses import replace
from ipaddress import IPv4Address

from sesameroute.exceptions import InputError
from sesameroute.statement import Statement

__all__ = ['find_free_offset', 'relocate']

_NETWORK_SIZE = 65_536  # addresses below one second octet
_MOST_RUNS = 10
_STRIDE = 20  # second octets between two runs


def relocate(statement: Statement, offset: int) -> Statement:
    """Return the statement with all second octets raised by an offset."""
    if not offset:
        return statement
    vms = {
        name: replace(vm, address=_move(vm.address, offset))
        for name, vm in statement.vms.items()
    }
    upstreams = {
        name: replace(upstream, address=_move(upstream.address, offset))
        for name, upstream in statement.upstreams.items()
    }
    return replace(statement, vms=vms, upstreams=upstreams)


def find_free_offset(statement: Statement) -> int:
    """Return the first offset at which no other run listens.

    Raises
    ------
    InputError
        All are in use.

    """
    first = next(iter(statement.vms.values()))
    for run in range(_MOST_RUNS):
        offset = run * _STRIDE
        if _is_free(_move(first.address, offset), statement.entry_port):
            return offset
    raise InputError(f'{first.address}: {_MOST_RUNS} runs are under way')


def _move(address: str, offset: int) -> str:
    return str(IPv4Address(address) + offset * _NETWORK_SIZE)


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True
