"""Addresses of a local run: moved aside while another run uses them."""

import socket
from dataclasses import replace
from ipaddress import IPv4Address

from sesameroute.exceptions import InputError
from sesameroute.statement import Statement

__all__ = ['claim_offset', 'relocate']

_NETWORK_SIZE = 65_536  # addresses below one second octet
_MOST_RUNS = 10
_CLAIM_PORT = 8499  # bound, but never listened on
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


def claim_offset(statement: Statement) -> tuple[int, socket.socket]:
    """Return an offset that no other run uses, and the claim to it.

    Raises
    ------
    InputError
        All are in use.

    """
    first = next(iter(statement.vms.values()))
    for run in range(_MOST_RUNS):
        claim = socket.socket()
        try:
            claim.bind((_move(first.address, run * _STRIDE), _CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return run * _STRIDE, claim
    raise InputError(f'{first.address}: {_MOST_RUNS} runs are under way')


def _move(address: str, offset: int) -> str:
    return str(IPv4Address(address) + offset * _NETWORK_SIZE)
