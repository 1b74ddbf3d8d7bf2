"""Tests of single requests that wait for one server with one slot."""

import pytest

from sesameroute.placement import (
    Grant,
    Outcome,
    Pool,
    PoolIdentity,
    Reason,
    Refusal,
    Release,
    SlotRequest,
)
from sesameroute.registry import Backend, BackendState, RegistryEntry

RUN_SECONDS = 0.5
LEARNED_RUNS = 4


def build_request(**options):
    """Return a request; times in seconds."""
    defaults = {
        'priority': 1,
        'objective': 2.0,
        'on_time': 2.0,
        'time_left': 2.4,
        'caller_time_left': 3.0,
    }
    return SlotRequest('s', 'f', 'k', **{**defaults, **options})


class Queue:
    """A pool with one server whose only slot is in use.

    `settled` has the results of the requests that waited, by ticket, in order.
    """

    def __init__(self):
        """Let the pool learn how long runs take, then occupy the slot."""
        self.now = 10.0
        self.settled = {}
        self.pool = Pool(PoolIdentity('s', 'r', 'n'))
        backend = Backend(
            'a', 's', 'h', 80, 'z', 1, BackendState.READY, incarnation=1
        )
        self.pool.update_backends([RegistryEntry(backend, 0)], {'z': 'r'}, 0)
        for _ in range(LEARNED_RUNS):
            self.running = self.place()
            self.end()
        self.running = self.place()

    def place(self, node='n', **options):
        """Place a request; return its result, or None if it waits."""
        ticket = options.get('ticket', '')
        return self.pool.place(
            build_request(**options),
            node,
            lambda result: self.settled.update({ticket: result}),
            self.now,
        )

    def end(self):
        """End the running request."""
        self.now += RUN_SECONDS
        self.release(self.running.number)

    def release(self, number, *, ticket='', outcome=Outcome.ANSWERED):
        """Release a slot, or withdraw a request."""
        release = Release('s', number, outcome, RUN_SECONDS, ticket=ticket)
        self.pool.release(release, self.now)


@pytest.mark.parametrize(
    ('time_left', 'result_type'), [(0.5 + 0.45, Refusal), (0.5 + 0.6, Grant)]
)
def test_slot_goes_to_requests_that_can_end(time_left, result_type):
    """A payment was sent with 0.42 s left for 0.56 s of work."""
    queue = Queue()
    assert queue.place(ticket='t', time_left=time_left) is None
    queue.end()
    queue.now += 0.1 if result_type is Refusal else 0
    queue.pool.tick(queue.now)
    queue.now += 1
    queue.pool.tick(queue.now)
    assert isinstance(queue.settled['t'], result_type)


def test_returning_request_without_time_for_its_run_is_refused():
    """There is a free slot, but its run would be cut at the deadline."""
    queue = Queue()
    queue.end()
    result = queue.place(on_time=-1, time_left=0.3, is_returning=True)
    assert result.reason is Reason.TOO_LATE


def test_withdrawn_request_leaves_the_queue_at_once():
    """A caller that has left got the slot before those that still waited."""
    queue = Queue()
    assert queue.place(ticket='left', priority=0) is None
    assert queue.place(ticket='stays') is None
    queue.release(0, ticket='left', outcome=Outcome.CANCELLED)
    assert isinstance(queue.settled['left'], Refusal)
    queue.end()
    assert isinstance(queue.settled['stays'], Grant)


def test_withdrawn_grant_frees_its_slot():
    """A node that gave up its call never learned of the grant."""
    queue = Queue()
    assert queue.place(ticket='lost') is None
    queue.end()
    assert isinstance(queue.settled['lost'], Grant)
    assert queue.place(ticket='next') is None
    queue.release(0, ticket='lost', outcome=Outcome.CANCELLED)
    assert isinstance(queue.settled['next'], Grant)


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        ({'priority': 1}, {'priority': 0}),
        ({'priority': 0, 'tenant_priority': 1}, {'priority': 2}),
        ({'on_time': 1.9}, {'on_time': 1.8}),
    ],
)
def test_order_of_service(first, second):
    """The second goes first: urgency of tenant, of route, latest start."""
    queue = Queue()
    assert queue.place(ticket='first', **first) is None
    assert queue.place(ticket='second', **second) is None
    queue.end()
    assert isinstance(queue.settled.get('second'), Grant)
    assert 'first' not in queue.settled


def refuse(queue):
    """Refuse a caller with 3 s left; return when it may come back."""
    refusal = queue.place(on_time=0.2)
    assert refusal.retry_after > 0.1
    return queue.now + refusal.retry_after


def test_caller_that_comes_back_early_is_told_the_same_time():
    """It neither waits nor moves its appointment."""
    queue = Queue()
    due = refuse(queue)
    queue.now += 0.05
    refusal = queue.place(caller_time_left=2.95)
    assert queue.now + refusal.retry_after == pytest.approx(due)


def test_return_is_known_when_it_looks_like_a_new_caller():
    """Within a tenth of its time its limit does not show earlier attempts."""
    queue = Queue()
    due = refuse(queue)
    left = 3.0 - (due - queue.now)
    queue.now = due
    queue.end()
    queue.running = queue.place(caller_time_left=9.0)
    result = queue.place(ticket='t', caller_time_left=left - RUN_SECONDS)
    # Its objective has passed, and others need the slot.
    assert isinstance(result, Refusal)


def test_new_caller_is_not_taken_for_one_that_came_back():
    """It asks for the same object with the usual time."""
    queue = Queue()
    refuse(queue)
    queue.now += 0.05
    assert queue.place(ticket='new') is None


def test_requests_of_other_nodes_wait_no_longer_than_these():
    """The node would use its own pool, beside the leader's count."""
    queue = Queue()
    assert queue.place('other', ticket='t', objective=4.0, on_time=4.0) is None
    queue.now += 0.35
    queue.pool.tick(queue.now)
    assert isinstance(queue.settled['t'], Refusal)
