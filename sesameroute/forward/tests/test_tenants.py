"""Tests of keys and allowances while requests are forwarded."""

from dataclasses import replace

import pytest

from sesameroute.forward.tests.harness import ForwarderHarness, earn_retries
from sesameroute.forward.tests.servers import ScriptedServer, find_header
from sesameroute.forward.tests.test_changed_routes import ChangingAllocator
from sesameroute.routes import RequestKind
from sesameroute.tenants import RevocationBounds, Tenant

_ONE = Tenant('one', frozenset({'k1'}), 3, 5, homes=frozenset({'north'}))
_KEY = ('X-Api-Key', 'k1')
_FORGED = ('Sesameroute-tenant', 'other')


class CountingAllowances:
    """Lets a fixed number of requests through."""

    def __init__(self, left):
        """Store what is left."""
        self.left = left

    def take(self, _tenant):
        """Count a request; refuse it if nothing is left."""
        if self.left < 1:
            return 0.2
        self.left -= 1
        return None

    def read_level(self, _tenant):
        """Return what is left."""
        return self.left

    def give_back(self, _tenant):
        """Count a request as not sent."""
        self.left += 1


def build(*scripts, tenants=(_ONE,), kind=RequestKind.SAFE, **route):
    """Return a harness with tenants, and its servers."""
    servers = [ScriptedServer(each) for each in scripts or ['whole']]
    harness = ForwarderHarness(*servers, kind=kind)
    configure(harness, tenants, **route)
    return harness, servers


def configure(harness, tenants, **route):
    """Put the next version of the configuration in force."""
    active = harness.active_configuration
    former = active.configuration
    routes = tuple(replace(each, **route) for each in former.routes)
    active.apply_if_newer(
        replace(
            former, version=active.version + 1, tenants=tenants, routes=routes
        )
    )


def list_heads(servers):
    """Return the heads of all requests that reached a server."""
    return [head for each in servers for head in each.heads]


def read_tenants(servers):
    """Return the tenant that each request at a server is said to be of."""
    heads = list_heads(servers)
    assert not any('x-api-key' in head.lower() for head in heads)
    return [find_header(head, 'sesameroute-tenant') for head in heads]


@pytest.mark.parametrize(
    ('headers', 'status', 'tenants'),
    [
        ([_KEY], 200, ['one']),
        ([_KEY, _FORGED], 200, ['one']),
        ([], 401, []),
        ([_FORGED], 401, []),
        ([('X-Api-Key', 'k2')], 401, []),
        ([_KEY, _KEY], 401, []),
    ],
)
def test_key_decides(headers, status, tenants):
    """The server gets the tenant's name from this node alone, and no key."""
    harness, servers = build()
    assert harness.forward(headers=headers)[0] == status
    assert read_tenants(servers) == tenants


@pytest.mark.parametrize(
    ('headers', 'terms', 'status'),
    [
        ([_KEY], {}, 503),
        ([('X-Api-Key', 'k2')], {}, 503),
        ([], {}, 503),
        ([_KEY], {'is_anonymous': True}, 200),
        ([_KEY], {'tenants': ()}, 200),
    ],
)
def test_node_out_of_touch_takes_no_keys(headers, terms, status):
    """Nothing is sent nor refused for good; in touch again, all is served."""
    harness, servers = build(**terms)
    age = 4.0
    bounds = RevocationBounds(is_strict=True, seconds=5)
    gate = harness.forwarder.guards.tenants
    gate.may_take_keys_ = lambda: bounds.may_take_keys(age)
    assert harness.forward(headers=[_KEY])[0] == 200
    age = 6.0
    assert harness.forward(headers=headers)[0] == status
    assert len(list_heads(servers)) == 1 + (status == 200)
    age = 0.3
    assert harness.forward(headers=[_KEY])[0] == 200


def test_node_falls_out_of_touch_between_tries():
    """What has run already is not called "not run"."""
    harness, servers = build('no answer', 'whole')
    gate = harness.forwarder.guards.tenants
    gate.may_take_keys_ = lambda: not list_heads(servers)
    assert harness.forward(headers=[_KEY])[0] in {502, 504}
    assert len(list_heads(servers)) == 1


@pytest.mark.parametrize('headers', [[], [_KEY], [_KEY, _KEY, _FORGED]])
def test_anonymous_route_needs_no_key(headers):
    """A key is not handed on there either, nor a tenant that is claimed."""
    harness, servers = build(is_anonymous=True)
    assert harness.forward(headers=headers)[0] == 200
    assert read_tenants(servers) == ['']


def test_without_tenants_headers_are_forwarded():
    """Earlier deployments are served as before."""
    harness, servers = build(tenants=())
    assert harness.forward(headers=[_KEY, _FORGED])[0] == 200
    head = list_heads(servers)[-1]
    assert find_header(head, 'x-api-key') == 'k1'
    assert find_header(head, 'sesameroute-tenant') == 'other'


@pytest.mark.parametrize(
    ('homes', 'asked'), [((), ('north',)), (('north', 'south'), ('north',))]
)
def test_pool_learns_of_the_tenant(homes, asked):
    """The regions of route and tenant both bind."""
    harness, _servers = build(homes=frozenset(homes))
    assert harness.forward(headers=[_KEY])[0] == 200
    slot_request = harness.allocator.asks[-1]
    assert slot_request.homes == asked
    assert (slot_request.tenant, slot_request.tenant_priority) == ('one', 3)
    assert slot_request.allowance == 5


def test_no_region_for_route_and_tenant():
    """Nothing is sent if no region is permitted by both."""
    harness, servers = build(homes=frozenset({'south'}))
    assert harness.forward(headers=[_KEY])[0] == 503
    assert not list_heads(servers)


_PASSED_ON = (
    Tenant('one', frozenset()),
    Tenant('two', frozenset({'k1'})),
)


@pytest.mark.parametrize(
    ('changed', 'status', 'tenants'),
    [
        (_PASSED_ON, 200, ['two']),
        ((Tenant('one', frozenset({'k9'})),), 401, []),
        ((), 200, ['']),
    ],
)
def test_key_that_changes_while_the_request_waits(changed, status, tenants):
    """What is sent goes by the newest configuration."""
    harness, servers = build()
    harness.forwarder.allocator = ChangingAllocator(
        harness.allocator, lambda: configure(harness, changed)
    )
    headers = [_KEY] if changed else []
    if not changed:
        configure(harness, (_ONE,), is_anonymous=True)
    assert harness.forward(headers=headers)[0] == status
    assert read_tenants(servers) == tenants
    granted = len(harness.allocator.asks)
    assert len(harness.allocator.releases) == granted


def test_key_taken_away_before_a_second_try():
    """A request that may have run is not said to be refused."""
    harness, servers = build('no answer', 'whole')
    earn_retries(harness.forwarder.guards.retries)
    connections = harness.forwarder.sender.connections
    opened = connections.open

    def take_key_and_open(*arguments):
        configure(harness, (Tenant('one', frozenset()),))
        return opened(*arguments)

    connections.open = take_key_and_open
    assert harness.forward(headers=[_KEY])[0] == 502
    assert len(list_heads(servers)) == 1


@pytest.mark.parametrize(
    ('scripts', 'left', 'status', 'left_then'),
    [
        (['whole'], 1, 200, 0),
        (['whole'], 0, 429, 0),
        (['shed', 'whole'], 1, 200, 0),
        (['shed'], 1, 503, 1),
        (['no answer', 'whole'], 2, 200, 0),
        (['no answer', 'whole'], 1, 502, 0),
    ],
)
def test_tries_that_may_run_count(scripts, left, status, left_then):
    """What a server has not run costs the tenant nothing."""
    harness, servers = build(*scripts)
    earn_retries(harness.forwarder.guards.retries)
    allowances = CountingAllowances(left)
    harness.forwarder.guards.tenants.allowances_ = allowances
    answer = harness.forward(headers=[_KEY])
    assert answer[0] == status
    assert allowances.left == left_then
    if status == 429:
        assert answer[1]['Retry-After'] == '0.200'
        assert not list_heads(servers)
        assert not harness.allocator.asks
    assert len(harness.allocator.releases) == len(list_heads(servers))


def test_no_limit_counts_nothing():
    """A tenant without a rate may send what it likes."""
    harness, _servers = build(tenants=(replace(_ONE, rate=0),))
    harness.forwarder.guards.tenants.allowances_ = CountingAllowances(0)
    assert harness.forward(headers=[_KEY])[0] == 200


def test_kind_of_an_upload_is_kept():
    """A request keeps the kind of its route until that changes."""
    harness, _servers = build(kind=RequestKind.UPLOAD)
    seen = []
    gate = harness.forwarder.guards.tenants
    check_key = gate.check_key

    def record_and_check(state):
        seen.append(state.route.kind)
        return check_key(state)

    gate.check_key = record_and_check
    assert harness.forward(headers=[_KEY], body=b'x')[0] == 200
    assert set(seen) == {RequestKind.UPLOAD}
