"""Tests of pools whose backend servers leave while requests wait."""

from dataclasses import replace

import pytest

from sesameroute.placement import (
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
    'one', 's', '10.0.0.1', 80, 'z', 2, BackendState.READY, incarnation=7
)


_TWO = replace(_BACKEND, name='two', host='10.0.0.2')


class _Service:
    """A registry and the pool of its service; time stands still."""

    def __init__(self, *backends):
        """Start with some backend servers."""
        self.registry = Registry()
        self.pool = Pool(PoolIdentity('s', 'north', 'leader'))
        self.settled = []
        for each in backends:
            self.put(each)

    def put(self, backend):
        """List a server or change its entry."""
        self.registry.put(backend, 0)
        self.update()

    def update(self):
        """Tell the pool what the registry lists."""
        entries = self.registry.list_service('s')
        self.pool.update_backends(entries, {'z': 'north'}, 0.01)

    def place(self, count=1):
        """Ask for slots; return what is granted or refused at once."""
        return [
            self.pool.place(_REQUEST, 'node', self.settled.append, 0.01)
            for _ in range(count)
        ]

    def release(self, grants, backend):
        """Release the slots of one server."""
        for grant in grants:
            if grant.backend == backend:
                self.pool.release(
                    Release('s', grant.number, Outcome.ANSWERED, 0.01), 0.01
                )

    def drain(self):
        """The entry of the server says that it drains."""
        self.put(replace(_BACKEND, state=BackendState.DRAINING))

    def leave(self):
        """The server itself says that it leaves."""
        self.registry.announcements.record(
            Announcement('one', 7, 0, is_leaving=True)
        )
        self.update()

    def vanish(self):
        """The entry of the server has been missing for the grace period."""
        self.registry.remove('one', 0)
        self.registry.expire(2)
        self.update()


_CHANGES = pytest.mark.parametrize('change', ['drain', 'leave', 'vanish'])


@_CHANGES
def test_waiting_requests_are_refused_when_the_last_server_leaves(change):
    """They waited in vain, and got slots of a server that had left."""
    service = _Service(_BACKEND)
    held = service.place(2)
    assert service.place() == [None]
    getattr(service, change)()
    assert [type(each) for each in service.settled] == [Refusal]
    service.release(held, 'one')
    assert len(service.settled) == 1


@_CHANGES
def test_waiting_request_gets_its_next_home_at_once(change):
    """It had waited for the slots of the server that had its object."""
    service = _Service(_BACKEND)
    service.place(2)
    assert service.place() == [None]
    service.put(_TWO)
    assert not service.settled
    getattr(service, change)()
    assert [each.backend for each in service.settled] == ['two']


@_CHANGES
def test_slot_of_a_dropped_server_is_not_granted_again(change):
    """Another server has the object cached, too: the request waits for it."""
    service = _Service(_BACKEND, _TWO)
    held = service.place(4)
    assert {each.backend for each in held} == {'one', 'two'}
    assert service.place() == [None]
    getattr(service, change)()
    service.release(held, 'one')
    assert not service.settled
    service.release(held, 'two')
    assert [each.backend for each in service.settled] == ['two']


def test_slot_of_an_earlier_incarnation_is_not_granted_again():
    """Its successor of the same name starts with all of its slots free."""
    service = _Service(_BACKEND, _TWO)
    held = service.place(4)
    assert service.place() == [None]
    service.leave()
    service.put(replace(_BACKEND, incarnation=8))
    service.release(held, 'one')
    assert not service.settled
    granted = service.place()
    assert [(each.backend, each.incarnation) for each in granted] == [
        ('one', 8)
    ]
