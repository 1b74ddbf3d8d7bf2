"""`sesame-explain where`: where a request would go now, and why."""

import getpass
import json
import sys
from collections.abc import Iterator, Sequence
from typing import Any
from urllib.parse import urlencode

import urllib3
from absl import flags

from sesameroute.exceptions import ExitCode
from sesameroute.tenants import hash_keys

__all__ = ['describe', 'run_query']

_TIMEOUT_SECONDS = 5.0
_OK = 200
_USAGE = """Tells where a request would go now, and why. It sends nothing.

  sesame-explain where NODE --host HOST --path PATH [--object KEY]
      [--zone ZONE] [--deadline_ms N] [--tenant NAME | --key_hash HASH |
      --ask_key] [--json]

NODE is the address of a node's metrics, IP:PORT. Any node can be asked; it
asks the one that leads the pool. HASH is the SHA-256 of a tenant's key or its
first eight digits, as in the nodes' lines; with --ask_key the key is read from
the terminal or standard input, and only its SHA-256 is sent.
"""
_QUERY_FIELDS = (
    'host',
    'path',
    'object',
    'zone',
    'deadline_ms',
    'tenant',
    'key_hash',
)


def run_query(arguments: Sequence[str]) -> ExitCode:
    """Ask a node and print its answer; return the exit code.

    Parameters
    ----------
    arguments : sequence of str
        The command line from `where` on.

    """
    options = _define_flags()
    try:
        command_line = options(list(arguments))[1:]
    except flags.Error as error:
        print(f'{error}\n{_USAGE}', file=sys.stderr)
        return ExitCode.INPUT
    if len(command_line) != 1:
        print(_USAGE, file=sys.stderr)
        return ExitCode.INPUT
    query = {
        name: options[name].value
        for name in _QUERY_FIELDS
        if options[name].value
    }
    if options['ask_key'].value:
        query['key_hash'] = hash_keys(_read_key())
    return _ask(command_line[0], query, as_json=options['json'].value)


def describe(explanation: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of an explanation for a person.

    Examples
    --------
    >>> next(describe({'region': 'r', 'directory': []}))
    'a caller in r: the directory names no VM'

    """
    vms = ', '.join(explanation['directory']) or 'no VM'
    yield f'a caller in {explanation["region"]}: the directory names {vms}'
    route = explanation.get('route')
    if route is None:
        yield 'no route in force: {0} by version {1}'.format(
            explanation.get('refusal'), explanation.get('version')
        )
        return
    yield (
        'route {name}: {kind}, priority {priority}, {latency_target} s to be'
        ' on time, {timeout} s at most, homes {homes}, services {weights}'
    ).format(**route)
    if route.get('is_anonymous'):
        yield 'the route is anonymous: it needs no key'
    tenant = explanation.get('tenant')
    if tenant:
        yield from _describe_tenant(tenant)
    for service in explanation['services']:
        yield from _describe_service(service)
    yield 'nothing was sent'


def _describe_tenant(tenant: dict[str, Any]) -> Iterator[str]:
    if 'name' in tenant:
        yield (
            'tenant {name}: priority {priority}, {rate} requests a second and'
            ' a burst of {burst}, homes with the route {homes}'
        ).format(**tenant)
    for place, view in enumerate(tenant.get('tokens') or ()):
        label = 'a depot that it asks' if place else 'this node'
        yield (
            '  {node} ({0}): {tokens:.2f} tokens, room for {room:.2f}'
        ).format(label, **view)
    if 'why' in tenant:
        yield '  by its key it would get {status} ({why})'.format(**tenant)
    elif 'status' in tenant:
        yield (
            '  beyond its allowance: it would get {status}, Retry-After'
            ' {retry_after:.3f} s'
        ).format(**tenant)


def _describe_service(described: dict[str, Any]) -> Iterator[str]:
    label = 'service {service}, pool led by {leader}'.format(**described)
    placement = described.get('placement')
    if placement is None:
        yield f'{label}: {described["unknown"]}'
        return
    yield f'{label}: {_describe_verdict(placement)}'
    yield '  region {region}; shares of other regions {shares}'.format(
        **placement
    )
    for server in placement['servers']:
        yield f'  {_describe_server(server)}'


def _describe_verdict(placement: dict[str, Any]) -> str:
    texts = {
        'grant': 'it would run on {server}',
        'wait': (
            'it would wait for a slot, for {wait_seconds:.3f} s at most,'
            ' behind {ahead} others'
        ),
        'refuse': 'it would be refused ({reason})',
    }
    return texts[placement['verdict']].format(**placement)


def _describe_server(server: dict[str, Any]) -> str:
    notes = [
        text
        for name, text in (
            ('is_warm', 'has the object cached'),
            ('is_cold', 'has just started'),
            ('is_suspended', 'is suspended after a failure'),
        )
        if server[name]
    ]
    load = (
        '{name}: {free} of {slots} slots free, slowdown {slowdown:.2f},'
        ' penalty {penalty:.2f}'
    ).format(**server)
    return ', '.join((load, *notes))


def _ask(node: str, query: dict[str, str], *, as_json: bool) -> ExitCode:
    url = f'http://{node}/placement?{urlencode(query)}'
    try:
        answer = urllib3.request(
            'GET', url, timeout=_TIMEOUT_SECONDS, retries=False
        )
    except urllib3.exceptions.HTTPError as error:
        print(f'{node} not reached: {error}', file=sys.stderr)
        return ExitCode.UNREACHABLE
    explanation = json.loads(answer.data)
    if answer.status != _OK:
        print(f'bad-input: {explanation}', file=sys.stderr)
        return ExitCode.INPUT
    if as_json:
        print(json.dumps(explanation, indent=2))
    else:
        print('\n'.join(describe(explanation)))
    return ExitCode.OK


def _read_key() -> str:
    if sys.stdin.isatty():
        return getpass.getpass('key: ')
    return sys.stdin.readline().rstrip('\r\n')


def _define_flags() -> flags.FlagValues:
    options = flags.FlagValues()
    flags.DEFINE_boolean(
        'ask_key',
        default=False,
        help='Read the key; send its digest only.',
        flag_values=options,
    )
    for name in _QUERY_FIELDS:
        flags.DEFINE_string(
            name, default='', help=f'The {name}.', flag_values=options
        )
    flags.DEFINE_boolean(
        'json', default=False, help='Print JSON.', flag_values=options
    )
    return options
