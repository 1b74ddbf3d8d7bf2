"""Tests of pools whose backend servers ask for a pause."""

from dataclasses import replace

import pytest

from sesameroute.placement import (
    Grant,
    Outcome,
    Pool,
    PoolIdentity,
    Refusal,
    Release,
    SlotRequest,
)
from sesameroute.registry import (
    Announcement,
    Backend,
    BackendState,
    Registry,
)

_REQUEST = SlotRequest('s', 'r', 'k', 1, 0.3, 0.3, 1.0)
_BACKEND = Backend(
    'one', 's', '10.0.0.1', 80, 'z', 4, BackendState.READY, incarnation=7
)
_END = 3.0


class _Service:
    """A registry and the pool of its service."""

    def __init__(self, *names):
        """Start with some backend servers."""
        self.registry = Registry()
        self.pool = Pool(
            PoolIdentity('s', 'north', 'leader'), self.registry.announcements
        )
        self.settled = []
        for name in names:
            self.put(replace(_BACKEND, name=name))

    def put(self, backend):
        """List a server or change its entry."""
        self.registry.put(backend, 0)
        entries = self.registry.list_service('s')
        self.pool.update_backends(entries, {'z': 'north'}, 0)

    def pause(self, name='one', until=_END):
        """Record that a server wants no requests."""
        self.registry.announcements.record(
            Announcement(name, 7, 0, paused_until=until)
        )

    def place(self, now, count=1):
        """Ask for slots; return what is granted or refused at once."""
        return [
            self.pool.place(_REQUEST, 'node', self.settled.append, now)
            for _ in range(count)
        ]

    def release(self, grant, outcome, now):
        """Free a slot."""
        self.pool.release(Release('s', grant.number, outcome, 0.01), now)


def find_servers(results):
    """Return the servers of the grants."""
    return [each.backend for each in results if isinstance(each, Grant)]


def test_room_of_a_paused_server_is_away():
    """Its objects go to the other server until then."""
    for paused, other in (('one', 'two'), ('two', 'one')):
        service = _Service('one', 'two')
        service.pause(paused)
        assert set(find_servers(service.place(_END - 0.01, 3))) == {other}
        states = service.pool.states
        assert states.count_usable_slots(_END - 0.01) == 4
        assert states.count_usable_slots(_END) == 8


def test_requests_are_refused_at_once_while_all_servers_pause():
    """They come back when the first pause is over, not all at that moment."""
    service = _Service('one', 'two')
    service.pause('one')
    service.pause('two', _END + 2)
    results = service.place(1.0, 20)
    assert {type(each) for each in results} == {Refusal}
    pauses = [each.retry_after for each in results]
    assert min(pauses) > _END - 1
    assert max(pauses) < _END
    assert len(set(pauses)) > 10


@pytest.mark.parametrize('others', [(), ('two',)])
def test_waiting_requests_are_settled_when_their_server_pauses(others):
    """They waited for a slot that none of them may have."""
    service = _Service('one')
    service.place(0.01, 4)
    assert service.place(0.01) == [None]
    for name in others:
        service.put(replace(_BACKEND, name=name))
    service.pause()
    service.pool.tick(0.02)
    assert len(service.settled) == 1
    assert find_servers(service.settled) == list(others)


@pytest.mark.parametrize(
    ('outcome', 'count'),
    [
        (Outcome.ANSWERED, 4),
        (Outcome.SHED, 1),
        (Outcome.LOST, 1),
        (Outcome.CANCELLED, 1),
    ],
)
def test_one_request_tries_the_server_after_its_pause(outcome, count):
    """All came at the end of the pause, and the server paused again."""
    service = _Service('one')
    service.pause()
    grant, *others = service.place(_END, 10)
    assert not find_servers(others)
    for each in others:
        assert each is None or isinstance(each, Refusal)
    service.release(grant, outcome, _END + 0.1)
    late = [*service.settled, *service.place(_END + 0.1, 10)]
    assert len(find_servers(late)) == count


def test_lost_try_holds_up_no_other_for_long():
    """A grant may end without a word of its node."""
    service = _Service('one')
    service.pause()
    service.place(_END)
    assert len(find_servers(service.place(_END + 6, 10))) > 1


def test_server_that_starts_again_is_not_paused():
    """The pause was that of an earlier process."""
    service = _Service('one')
    service.pause()
    service.place(1.0)
    service.put(replace(_BACKEND, incarnation=8))
    assert len(find_servers(service.place(1.1, 4))) == 4
