"""A model of backend servers and callers in simulated time.

A backend server runs as many requests as it has slots and queues the rest,
takes `WARM` times as long for an object among the last that it has handled,
and forgets the others. Callers come at random times, ask for objects and come
back once after a refusal.
"""

import heapq
import itertools
import random
from collections import Counter, OrderedDict, defaultdict

from sesameroute.placement import (
    Ask,
    Grant,
    Outcome,
    Pool,
    PoolTerms,
    Release,
)
from sesameroute.registry import Backend, BackendState, Entry

WARM = 0.3
TICK = 0.015
REFRESH = 0.25
SHED = 0.002  # seconds until a server that sheds has said so
PAUSE = 0.02  # seconds until a caller whose request was shed is back
MOST_SHED = 3  # times that a caller comes back after it


class Server:
    """One backend server."""

    def __init__(self, name, zone, slots, keeps):
        """Start without objects."""
        self.name = name
        self.zone = zone
        self.slots = slots
        self.keeps = keeps
        self.pace = 1.0
        self.sheds = 0.0
        self.running = 0
        self.most = 0
        self.starts = []
        self.known = OrderedDict()
        self.free_at = [0.0] * slots

    def start(self, key, work, now):
        """Return how long a request takes, its time in the queue included."""
        self.running += 1
        self.most = max(self.most, self.running)
        self.starts.append(now)
        is_known = key in self.known
        self.known[key] = True
        self.known.move_to_end(key)
        while len(self.known) > self.keeps:
            self.known.popitem(last=False)
        done = self.measure_begin(now) + work * self.pace * (
            WARM if is_known else 1
        )
        heapq.heapreplace(self.free_at, done)
        return done - now

    def measure_begin(self, now):
        """Return when a request that comes now would begin."""
        return max(now, self.free_at[0])


class World:
    """Servers, pools and callers of one service."""

    def __init__(
        self,
        regions,
        *,
        seed=1,
        keeps=99,
        slots=6,
        objective=0.2,
        build=None,
    ):
        """Build `regions`: servers in each region by name.

        `build` takes the world and a region and returns what places the
        region's requests; by default a pool.
        """
        self.random = random.Random(seed)
        self.objective = objective
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.servers = {}
        self.entries = {}
        self.zones = {}
        self.pools = {}
        self.results = defaultdict(Counter)
        self.by_second = defaultdict(Counter)
        self.waits = []
        self.refusal_waits = []
        self.ran_in = []
        for region, count in regions.items():
            zone = f'{region}-a'
            self.zones[zone] = region
            for place in range(count):
                self.add_server(f'{region}-{place}', zone, slots, keeps)
        for region in regions:
            self.pools[region] = (build or build_pool)(self, region)
        self.sync()

    def add_server(self, name, zone, slots, keeps, cold_until=0.0):
        """Add a server to the registry."""
        self.servers[name] = Server(name, zone, slots, keeps)
        backend = Backend(
            name,
            'service',
            name,
            80,
            zone,
            slots,
            BackendState.READY,
            incarnation=1,
        )
        self.entries[name] = Entry(backend, cold_until)

    def remove_server(self, name):
        """Take a server out of the registry."""
        self.entries.pop(name)
        self.sync()

    def sync(self):
        """Give the registry to the pools."""
        for pool in self.pools.values():
            pool.sync(self.entries.values(), self.zones, self.now)

    def at(self, moment, call, *arguments):
        """Run a call at a time."""
        number = next(self.numbers)
        heapq.heappush(self.events, (moment, number, call, arguments))

    def arrive(self, region, rate, start, end, keys=111, work=0.24):
        """Let callers of a region come from `start` to `end`."""
        moment = start
        while True:
            moment += self.random.expovariate(rate)
            if moment >= end:
                return
            key = f'k{self.random.randrange(keys)}'
            cost = work * self.random.uniform(0.85, 1.15)
            self.at(moment, self._ask, region, key, cost, moment, 0)

    def run(self, end):
        """Run until a time."""
        for step, call in ((TICK, self._tick), (REFRESH, self._refresh)):
            moment = self.now
            while moment < end:
                self.at(moment, call)
                moment += step
        while self.events and self.events[0][0] <= end:
            self.now, _number, call, arguments = heapq.heappop(self.events)
            call(*arguments)

    def share(self, outcome, region=None):
        """Return the share of first requests that ended so."""
        counts = Counter()
        for place, results in self.results.items():
            if region in {None, place}:
                counts.update(results)
        return counts[outcome] / max(sum(counts.values()), 1)

    def _tick(self):
        for pool in self.pools.values():
            if pool.has_waiting:
                pool.tick(self.now)

    def _refresh(self):
        for name, pool in self.pools.items():
            pool.tick(self.now)
            pool.refresh(self.now)
            report = pool.make_report(self.now)
            for other, target in self.pools.items():
                if other != name:
                    target.take_report(name, report, self.now)

    def _ask(self, region, key, work, first, attempt):
        spent = self.now - first
        limit = 6 * self.objective - spent
        ask = Ask(
            'service',
            'flow',
            key,
            2,
            self.objective,
            self.objective - spent,
            min(limit, 4 * self.objective),
            attempt > 0,
        )
        trip = region, key, work, first, attempt, self.now

        def settle(result):
            self._take(ask, result, trip)

        placed = self.pools[region].place(ask, region, settle, self.now)
        if placed is not None:
            settle(placed)

    def _take(self, ask, result, trip):
        region, key, work, first, attempt, asked = trip
        if isinstance(result, Grant):
            server = self.servers[result.backend]
            if self.random.random() < server.sheds:
                self.at(self.now + SHED, self._shed, result, trip)
                return
            seconds = server.start(key, work, self.now)
            self.waits.append(self.now - asked)
            self.ran_in.append((self.now, region, self.zones[server.zone]))
            done = self.now + seconds
            self.at(done, self._finish, region, result, seconds, first)
            return
        self.refusal_waits.append(self.now - asked)
        back = self.now + result.retry_after
        if attempt or back - first > 5 * self.objective:
            self._count(region, 'refused', first)
            return
        self.at(back, self._ask, region, key, work, first, attempt + 1)

    def _shed(self, grant, trip):
        region, key, work, first, attempt, _asked = trip
        release = Release('service', grant.number, Outcome.SHED, SHED)
        self.pools[region].release(release, self.now)
        if attempt >= MOST_SHED:
            self._count(region, 'refused', first)
            return
        back = self.now + PAUSE
        self.at(back, self._ask, region, key, work, first, attempt + 1)

    def _finish(self, region, grant, seconds, first):
        self.servers[grant.backend].running -= 1
        release = Release('service', grant.number, Outcome.ANSWERED, seconds)
        self.pools[region].release(release, self.now)
        is_late = self.now - first > self.objective
        self._count(region, 'late' if is_late else 'on time', first)

    def _count(self, region, outcome, first):
        self.results[region][outcome] += 1
        self.by_second[int(first)][outcome] += 1


def build_pool(_world, region):
    """Return the pool of a region."""
    pool = Pool(PoolTerms('service', region, region))
    pool.set_cold(5, 0.8)
    return pool
