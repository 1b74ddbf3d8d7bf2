"""Rate limits hold in every window, whatever the times of the events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameroute.limits import LinkBudgets, SlidingWindow, TokenBucket
from sesameroute.routing.tests import samples

DETERMINISTIC = settings(derandomize=True, deadline=None, database=None)
GAPS_SECONDS = st.lists(st.floats(0, 0.4), max_size=200)


def measure_peak(events):
    """Return the largest sum of sizes in any interval of one second."""
    return max(
        (
            sum(size for when, size in events if start <= when < start + 1)
            for start, _ in events
        ),
        default=0,
    )


@DETERMINISTIC
@given(GAPS_SECONDS, st.integers(1, 20))
def test_window_never_exceeds_rate(gaps, rate):
    """No interval of one second has more events than the limit."""
    window = SlidingWindow(rate)
    now, taken = 0, []
    for gap in gaps:
        now += gap
        if window.try_acquire(now):
            taken.append((now, 1))
    assert measure_peak(taken) <= rate


def test_window_with_rate_below_one():
    """A rate of 0.25 events per second allows one event in four seconds."""
    window = SlidingWindow(0.25)
    taken = [now for now in range(20) if window.try_acquire(now)]
    assert taken == [0, 4, 8, 12, 16]


@DETERMINISTIC
@given(
    st.lists(
        st.tuples(st.floats(0, 0.4), st.integers(1, 100_000)),
        max_size=80,
    ),
)
def test_link_limit_holds_during_partition(chunks):
    """Two partitioned VMs together stay within the link's limit."""
    statement = samples.build_statement()
    cap = statement.links[0].bytes_per_second
    sent = []
    for vm in ('vm-s-a', 'vm-s-b'):
        budgets = LinkBudgets(statement, vm)
        now = 0
        for gap, size in chunks:
            now += gap
            now += budgets.charge_bytes('north', min(size, 10_000), now)
            sent.append((now, min(size, 10_000)))
    assert measure_peak(sorted(sent)) <= cap


def test_measure_peak_detects_fixed_window_burst():
    """The peak exceeds the limit if a limiter refills at each full second."""
    taken = [(0.9, 5), (1.1, 5)]
    assert measure_peak(taken) > 5


def test_bucket_delays_bytes_beyond_burst():
    """Bytes beyond the burst are delayed."""
    bucket = TokenBucket(1000)
    assert bucket.charge_bytes(40, 0) < bucket.charge_bytes(950, 0)
    assert not bucket.has_budget(0)
