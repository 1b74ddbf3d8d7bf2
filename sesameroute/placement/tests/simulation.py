"""A discrete-event simulation of backend servers and callers.

A backend server runs as many requests at once as it has slots and queues the
rest. It caches the objects that it handled last; the run time for a cached
object is `HIT_RUN_TIME_RATIO` times that for another one. Callers send
requests for random objects at random times and retry once after a refusal.
"""

import heapq
import itertools
import random
from collections import Counter, OrderedDict, defaultdict

from sesameroute.placement import (
    Grant,
    Outcome,
    Pool,
    PoolIdentity,
    Release,
    ServerLoad,
    SlotRequest,
)
from sesameroute.registry import Backend, BackendState, RegistryEntry

# Run time for a cached object, relative to that for another one.
HIT_RUN_TIME_RATIO = 0.3
TICK_SECONDS = 0.015
REFRESH_SECONDS = 0.25
# Time until the caller learns that a server has shed its request.
SHED_SECONDS = 0.002
# Time until the caller sends a shed request again.
SHED_RETRY_SECONDS = 0.02
# Times that the caller sends a shed request again.
MAX_SHED_RETRIES = 3


class Server:
    """One simulated backend server that caches `cache_size` objects."""

    def __init__(self, name, zone, slots, cache_size):
        """Start with an empty cache."""
        self.name = name
        self.zone = zone
        self.slots = slots
        self.cache_size = cache_size
        self.slowdown = 1.0
        self.shed_probability = 0.0
        self.running = 0
        self.max_running = 0
        self.starts = []
        self.cached = OrderedDict()
        self.slots_free_at = [0.0] * slots

    def start(self, key, work, now):
        """Return the seconds that a request takes, including queueing."""
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.starts.append(now)
        is_cached = key in self.cached
        self.cached[key] = True
        self.cached.move_to_end(key)
        while len(self.cached) > self.cache_size:
            self.cached.popitem(last=False)
        ends_at = self.compute_start(now) + work * self.slowdown * (
            HIT_RUN_TIME_RATIO if is_cached else 1
        )
        heapq.heapreplace(self.slots_free_at, ends_at)
        return ends_at - now

    def compute_start(self, now):
        """Return when a request that arrives now would start to run."""
        return max(now, self.slots_free_at[0])


class Simulation:
    """Simulates the servers, pools and callers of one service."""

    def __init__(
        self,
        regions,
        *,
        seed=1,
        cache_size=99,
        slots=6,
        objective=0.2,
        build_policy=None,
    ):
        """Build the servers and pools.

        Parameters
        ----------
        regions : dict of str to int
            Number of servers in each region.
        seed : int
            Seed of the random numbers.
        cache_size : int
            Number of objects that each server caches.
        slots : int
            Number of slots of each server.
        objective : float
            Target latency in seconds.
        build_policy : callable, optional
            Takes the simulation and a region and returns what places the
            requests of the region; a pool by default.

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
        self.placements = []
        self.reports_pace = False
        # Seconds to another region and back.
        self.travel = 0
        for region, count in regions.items():
            zone = f'{region}-a'
            self.zones[zone] = region
            for place in range(count):
                self.add_server(f'{region}-{place}', zone, slots, cache_size)
        for region in regions:
            self.pools[region] = (build_policy or build_pool)(self, region)
        self.sync()

    def add_server(self, name, zone, slots, cache_size, cold_until=0.0):
        """Add a server to the registry."""
        self.servers[name] = Server(name, zone, slots, cache_size)
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
        self.entries[name] = RegistryEntry(backend, cold_until)

    def remove_server(self, name):
        """Remove a server from the registry."""
        self.entries.pop(name)
        self.sync()

    def sync(self):
        """Update the pools from the registry."""
        for pool in self.pools.values():
            pool.update_backends(self.entries.values(), self.zones, self.now)

    def schedule(self, moment, call, *arguments):
        """Schedule a call for a time in seconds."""
        number = next(self.numbers)
        heapq.heappush(self.events, (moment, number, call, arguments))

    def schedule_arrivals(self, region, rate, start, end, keys=111, work=0.24):
        """Schedule requests from a region between two times.

        Parameters
        ----------
        region : str
            Region of the callers.
        rate : float
            Average number of requests per second.
        start, end : float
            Times in seconds.
        keys : int
            Number of different objects.
        work : float
            Average run time in seconds for an object that is not cached.

        """
        moment = start
        while True:
            moment += self.random.expovariate(rate)
            if moment >= end:
                return
            key = f'k{self.random.randrange(keys)}'
            cost = work * self.random.uniform(0.85, 1.15)
            self.schedule(moment, self._submit, region, key, cost, moment, 0)

    def run(self, end):
        """Run the simulation until a time in seconds."""
        for step, call in (
            (TICK_SECONDS, self._tick),
            (REFRESH_SECONDS, self._refresh),
        ):
            moment = self.now
            while moment < end:
                self.schedule(moment, call)
                moment += step
        while self.events and self.events[0][0] <= end:
            self.now, _number, call, arguments = heapq.heappop(self.events)
            call(*arguments)

    def compute_fraction(self, outcome, region=None):
        """Return the fraction of requests with an outcome.

        A request and its retries count once. Without a region, the requests
        of all regions count.
        """
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

    def _submit(self, region, key, work, first_sent_at, attempt):
        elapsed = self.now - first_sent_at
        time_left = 6 * self.objective - elapsed
        slot_request = SlotRequest(
            'service',
            'flow',
            key,
            2,
            self.objective,
            self.objective - elapsed,
            min(time_left, 4 * self.objective),
            attempt > 0,
        )
        submission = region, key, work, first_sent_at, attempt, self.now

        def settle(result):
            self._handle_result(slot_request, result, submission)

        placed = self.pools[region].place(
            slot_request, region, settle, self.now
        )
        if placed is not None:
            settle(placed)

    def _handle_result(self, slot_request, result, submission):
        region, key, work, first_sent_at, attempt, sent_at = submission
        if isinstance(result, Grant):
            server = self.servers[result.backend]
            if self.random.random() < server.shed_probability:
                self.schedule(
                    self.now + SHED_SECONDS,
                    self._handle_shed,
                    result,
                    submission,
                )
                return
            self.waits.append(self.now - sent_at)
            self.placements.append((self.now, region, self.zones[server.zone]))
            self._start(result, submission)
            return
        self.refusal_waits.append(self.now - sent_at)
        retry_at = self.now + result.retry_after
        if attempt or retry_at - first_sent_at > 5 * self.objective:
            self._count(region, 'refused', first_sent_at)
            return
        self.schedule(
            retry_at,
            self._submit,
            region,
            key,
            work,
            first_sent_at,
            attempt + 1,
        )

    def _start(self, grant, submission):
        """Run a request, once it has travelled to the server."""
        server = self.servers[grant.backend]
        region, key, work, first_sent_at, _attempt, _sent_at = submission
        travel = 0 if self.zones[server.zone] == region else self.travel
        granted_at = self.now

        def run():
            ends_at = self.now + server.start(key, work, self.now) + travel / 2
            seconds = ends_at - granted_at
            self.schedule(
                ends_at, self._finish, region, grant, seconds, first_sent_at
            )

        if travel:
            self.schedule(self.now + travel / 2, run)
        else:
            run()

    def _handle_shed(self, grant, submission):
        region, key, work, first_sent_at, attempt, _sent_at = submission
        release = Release('service', grant.number, Outcome.SHED, SHED_SECONDS)
        self.pools[region].release(release, self.now)
        if attempt >= MAX_SHED_RETRIES:
            self._count(region, 'refused', first_sent_at)
            return
        retry_at = self.now + SHED_RETRY_SECONDS
        self.schedule(
            retry_at,
            self._submit,
            region,
            key,
            work,
            first_sent_at,
            attempt + 1,
        )

    def _finish(self, region, grant, seconds, first_sent_at):
        self.servers[grant.backend].running -= 1
        release = Release(
            'service',
            grant.number,
            Outcome.ANSWERED,
            seconds,
            load=self._report_load(self.servers[grant.backend]),
        )
        self.pools[region].release(release, self.now)
        is_late = self.now - first_sent_at > self.objective
        self._count(region, 'late' if is_late else 'on time', first_sent_at)

    def _report_load(self, server):
        if not self.reports_pace:
            return None
        return ServerLoad(server.running, 0, server.slots, server.slowdown)

    def _count(self, region, outcome, first_sent_at):
        self.results[region][outcome] += 1
        self.by_second[int(first_sent_at)][outcome] += 1


def build_pool(_simulation, region):
    """Return a new pool for a region."""
    pool = Pool(PoolIdentity('service', region, region))
    pool.limit_cold_starts(5, 0.8)
    return pool
