"""Simulation of many balancers that send to providers of a known rate, in virtual time.

It counts the attempts that reach each cold provider. No provider fails from overload here, so that the whole excess is
seen. At each attempt that reaches a cold provider, the excess is the number of attempts within `fall_after`, less the
budget N (fall_multiple x the provider's current rate x fall_after) and less 2 x the root of N + 2 for chance. Attempts
that the provider rejects count, and so do retries. Only balancers that were notified of a start send to the provider.
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from random import Random

from loftweir import interface as api
from loftweir.balance import Balancer

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
START = 1_700_000_000 * SECOND  # of the simulation, on all clocks
FAULT_AT = START + 5 * SECOND  # providers start cold from then on
# As in `interface.Safety`.
COLD_FROM = 0.14
WARM_WITHIN = 24 * SECOND
FALL_MULTIPLE = 2.5
FALL_AFTER = SECOND
SAFETY = api.Safety(20 * MS, 750 * MS, COLD_FROM, WARM_WITHIN, FALL_MULTIPLE, FALL_AFTER, 10 * SECOND)
CLASSES = {
    "read": api.RequestClass("read", api.Effect.REPEATABLE, 600 * MS, 3 * SECOND, late_worth=0.2),
    "submit": api.RequestClass("submit", api.Effect.ONCE, SECOND, 3 * SECOND, worth=5.0, late_worth=0.3),
    "confirm": api.RequestClass(
        "confirm", api.Effect.BY_KEY, SECOND, 2500 * MS, api.Scope.ZONE, 12 * SECOND, 10.0, 0.25
    ),
}
CLASS_SHARES = {"read": 0.47, "submit": 0.43, "confirm": 0.1}  # of the requests


@dataclass
class Scenario:
    """The fleet, its traffic and which providers start cold."""

    # "one", "quarter": so many are replaced at once; "release": six in ten are replaced within 7 s; "zone", "fleet":
    # all of the first zone, or all, are down for 3 s.
    fault: str = "one"
    balancers: int = 20
    providers: int = 12
    zones: int = 1
    load: float = 0.6  # of what all providers can handle when warm
    rate: float = 25.0  # what a warm provider can handle per second
    uneven: bool = False  # one balancer gets five times the mean of the others, whose shares vary as well
    restarted: str = ""  # "", "one", "all": which balancers restart shortly after the providers started
    client_retries: bool = False  # clients retry rejected requests
    seconds: int = 8  # from the fault on


@dataclass
class SimulatedProvider:
    """A provider with a queue, whose rate grows while it is cold."""

    name: str
    zone: str
    rate: float  # when warm, per second
    cores: int = 4
    queue_size: int = 64
    started_at: int = 0  # 0: warm
    up: bool = True
    busy: int = 0  # cores
    queue: deque = field(default_factory=deque)
    arrivals: deque = field(default_factory=deque)  # within `fall_after`, while it was cold
    count: int = 0  # all arrivals while it was cold
    excess: float = -math.inf
    excess_at: int = 0
    busiest: int = 0  # the most arrivals within `fall_after`

    def capacity(self, now):
        """The share of its rate that it has now."""
        if not self.started_at:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * max(0, now - self.started_at) / WARM_WITHIN)


class FleetSimulation:
    """Balancers, their clients and providers, in virtual time."""

    def __init__(self, scenario, seed, make_balancer=Balancer):
        self.scenario, self.seed, self.make_balancer = scenario, seed, make_balancer
        self.random = Random(f"{seed} of the fleet")
        self.now, self.queue, self.order = START, [], 0
        self.zones = [f"z{n}" for n in range(scenario.zones)]
        self.providers = {}
        for n in range(scenario.providers):
            self.add(f"s{n}", self.zones[n % scenario.zones])
        self.balancers = {}
        # By balancer, its instance and the request: class, deadline, begin, retries by the client, attempts.
        self.requests = {}
        self.instances = dict.fromkeys(range(scenario.balancers), 0)  # grows with each restart of the balancer
        self.requested = self.served = self.in_time = self.rejected = self.sent = 0
        weights = [self.random.lognormvariate(0, 0.5) if scenario.uneven else 1.0 for _ in range(scenario.balancers)]
        if scenario.uneven:
            weights[0] = 5 * sum(weights[1:]) / (len(weights) - 1)
        whole = scenario.load * scenario.rate * scenario.providers
        self.rates = [whole * w / sum(weights) for w in weights]

    def add(self, name, zone, started_at=0):
        self.providers[name] = SimulatedProvider(name, zone, self.scenario.rate, started_at=started_at)
        return self.providers[name]

    # ---- the clock ------------------------------------------------------------------------------

    def after(self, delay, handler, *arguments):
        self.order += 1
        heapq.heappush(self.queue, (self.now + int(delay), self.order, handler, arguments))

    def run(self):
        for n in self.instances:
            self.start(n)
            self.arrival(n, True)
        self.after(FAULT_AT - START, self.inject_fault)
        end = FAULT_AT + self.scenario.seconds * SECOND
        while self.queue and self.queue[0][0] <= end:
            self.now, _, handler, arguments = heapq.heappop(self.queue)
            handler(*arguments)
        return self

    def cold(self):
        """All providers that started cold."""
        return [p for p in self.providers.values() if p.started_at]

    def excess(self):
        """The most attempts that any cold provider got beyond its budget and chance; at most 0 if none did."""
        return max((p.excess for p in self.cold()), default=-math.inf)

    # ---- injected faults ------------------------------------------------------------------------

    def inject_fault(self):
        scenario = self.scenario
        old = list(self.providers.values())
        if scenario.fault == "one":
            self.replace(old[0])
        elif scenario.fault == "quarter":
            for provider in old[: len(old) // 4]:
                self.replace(provider)
        elif scenario.fault == "release":
            replaced = old[: len(old) * 6 // 10]
            for position, provider in enumerate(replaced):
                self.after(position * 7 * SECOND // len(replaced), self.replace, provider)
        elif scenario.fault in ("zone", "fleet"):
            lost = [p for p in old if scenario.fault == "fleet" or p.zone == self.zones[0]]
            for provider in lost:
                self.take_down(provider)
                self.after(3 * SECOND, self.bring_up, provider)
        if scenario.restarted:
            outage = 3 * SECOND if scenario.fault in ("zone", "fleet") else 0
            for n in self.instances:
                if scenario.restarted == "all" or n == 0:
                    self.after(outage + 500 * MS + self.random.random() * 100 * MS, self.restart, n)

    def replace(self, old):
        new = self.add(f"{old.name}'", old.zone, self.now)
        self.publish(new, api.Lifecycle.READY)
        self.publish(old, api.Lifecycle.DRAINING)

    def take_down(self, provider):
        provider.up = False
        self.publish(provider, api.Lifecycle.GONE)

    def bring_up(self, provider):
        provider.up, provider.started_at, provider.busy = True, self.now, 0
        provider.queue.clear()
        self.publish(provider, api.Lifecycle.READY)

    def endpoint(self, provider, lifecycle):
        return api.Endpoint(provider.name, provider.zone, "m", 0, lifecycle, 1.0, provider.started_at)

    def publish(self, provider, lifecycle):
        """Notify each balancer of the change within 300 ms."""
        endpoint = self.endpoint(provider, lifecycle)
        provider.lifecycle = lifecycle
        for n in self.instances:
            self.after(self.random.random() * 300 * MS, self.notify, n, self.instances[n], endpoint)

    def notify(self, n, instance, endpoint):
        if instance == self.instances[n]:
            self.handle(n, api.MembershipUpdate(api.UpdateKind.CHANGES, (endpoint,), 1))

    def start(self, n):
        settings = api.Settings(
            self.zones[n % len(self.zones)], tuple(self.zones), CLASSES, SAFETY, balancers=self.scenario.balancers,
            me=n, discovery_pushes=True, capacity_known=False, max_attempts=3, retry_after=True,
            max_retry_after=1500 * MS,
        )  # fmt: skip
        self.balancers[n] = self.make_balancer(settings, hash((self.seed, n, self.instances[n])))
        ready = api.Lifecycle.READY
        endpoints = tuple(
            self.endpoint(p, getattr(p, "lifecycle", ready))
            for p in self.providers.values()
            if p.up and getattr(p, "lifecycle", ready) is ready
        )
        self.handle(n, api.MembershipUpdate(api.UpdateKind.FULL, endpoints, 1))

    def restart(self, n):
        self.instances[n] += 1
        self.start(n)

    # ---- clients --------------------------------------------------------------------------------

    def arrival(self, n, first=False):
        if not first:
            self.requested += 1
            name = self.random.choices(list(CLASS_SHARES), list(CLASS_SHARES.values()))[0]
            self.request(n, name, self.now + CLASSES[name].deadline, self.now, 0)
        self.after(self.random.expovariate(self.rates[n]) * SECOND, self.arrival, n)

    def request(self, n, name, deadline, begun, retries):
        if deadline <= self.now:
            return
        self.order += 1
        request = f"r{self.order}"
        self.requests[n, self.instances[n], request] = [name, deadline, begun, retries, 0]
        self.handle(n, api.Request(request, name, deadline - self.now))

    def handle(self, n, event):
        instance = self.instances[n]
        for action in self.balancers[n].handle(self.now, [event]):
            if isinstance(action, api.Attempt):
                self.attempt(n, instance, action)
            elif isinstance(action, api.Timer):
                if not action.request_id or (n, instance, action.request_id) in self.requests:
                    self.after(action.delay, self.timer, n, instance, action)
            elif isinstance(action, api.Reject | api.Fail):
                self.unserved(n, instance, action)

    def timer(self, n, instance, action):
        current = instance == self.instances[n]
        if current and (not action.request_id or (n, instance, action.request_id) in self.requests):
            self.handle(n, api.TimerFired(action.tag))

    def unserved(self, n, instance, action):
        """A request was rejected or failed; its client may retry it."""
        name, deadline, begun, retries, _ = self.requests.pop((n, instance, action.request_id))
        self.rejected += 1
        if self.scenario.client_retries and isinstance(action, api.Reject) and retries < 4:
            delay = max(action.retry_after, 100 * MS) * (1 + 0.3 * self.random.random())
            self.after(delay, self.request, n, name, deadline, begun, retries + 1)

    # ---- attempts -------------------------------------------------------------------------------

    def attempt(self, n, instance, action):
        request = self.requests[n, instance, action.request_id]
        number, provider = request[4], self.providers[action.provider]
        request[4] += 1
        self.sent += 1
        local = provider.zone == self.zones[n % len(self.zones)]
        delay = (1 if local else 8) * MS
        self.after(delay, self.arrive, n, instance, action.request_id, number, provider, self.now)

    def arrive(self, n, instance, request, number, provider, sent_at):
        self.count(provider)
        job = (n, instance, request, number, provider, sent_at)
        if not provider.up:
            self.after(MS, self.ended, *job, api.Outcome.CONNECT_FAILED)
        elif provider.busy >= provider.cores and len(provider.queue) >= provider.queue_size:
            self.after(MS, self.ended, *job, api.Outcome.FULL)
        else:
            provider.queue.append(job)
            self.work(provider)

    def count(self, provider):
        """Count an arrival at a cold provider and update how far it is above the budget for `fall_after`."""
        capacity = provider.capacity(self.now)
        if capacity >= 1:
            return
        provider.count += 1
        provider.arrivals.append(self.now)
        while provider.arrivals[0] <= self.now - FALL_AFTER:
            provider.arrivals.popleft()
        budget = FALL_MULTIPLE * capacity * provider.rate * FALL_AFTER / SECOND
        excess = len(provider.arrivals) - budget - 2 * math.sqrt(budget) - 2
        provider.busiest = max(provider.busiest, len(provider.arrivals))
        if excess > provider.excess:
            provider.excess, provider.excess_at = excess, self.now

    def work(self, provider):
        while provider.queue and provider.busy < provider.cores:
            provider.busy += 1
            job = provider.queue.popleft()
            rate_of_core = provider.rate * provider.capacity(self.now) / provider.cores
            self.after(self.random.expovariate(rate_of_core) * SECOND, self.done, provider, job)

    def done(self, provider, job):
        provider.busy = max(0, provider.busy - 1)
        self.work(provider)
        self.after(MS, self.ended, *job, api.Outcome.OK if provider.up else api.Outcome.RESET)

    def ended(self, n, instance, request_id, number, provider, sent_at, outcome):
        request = self.requests.get((n, instance, request_id))
        if instance != self.instances[n]:
            return
        over = request is not None and outcome is api.Outcome.OK
        if over:
            del self.requests[n, instance, request_id]
            self.served += 1
            self.in_time += self.now - request[2] <= CLASSES[request[0]].aim
        if request is not None and not over and request[1] <= self.now:
            del self.requests[n, instance, request_id]
            over = True
        self.handle(n, api.AttemptEnded(request_id, number, provider.name, outcome, self.now - sent_at, over))


if __name__ == "__main__":
    import itertools
    import sys

    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    faults = sys.argv[2:] if len(sys.argv) > 2 else ["one", "quarter", "release", "zone", "fleet"]
    columns = "fault zones providers balancers load uneven restarted client_retries"
    print(f"{columns:64} cold over worst mean(excess) in_time")
    for fault, client_retries, restarted in itertools.product(faults, (False, True), ("", "one", "all")):
        for zones, providers, balancers, load, uneven in (
            (1, 12, 3, 0.6, False), (1, 12, 20, 0.6, True), (1, 12, 30, 0.9, True), (3, 12, 20, 0.9, False),
            (4, 60, 30, 0.9, True), (3, 60, 200, 0.6, True), (3, 12, 200, 0.9, True),
        ):  # fmt: skip
            scenario = Scenario(
                fault, balancers, providers, zones, load, uneven=uneven, restarted=restarted,
                client_retries=client_retries,
            )  # fmt: skip
            runs = [FleetSimulation(scenario, seed).run() for seed in range(seeds)]
            cold = [p for run in runs for p in run.cold()]
            over = [p for p in cold if p.excess > 0]
            worst = max((p.excess for p in cold), default=0)
            mean = sum(p.excess for p in cold) / max(1, len(cold))
            in_time = sum(run.in_time for run in runs) / sum(run.requested for run in runs)
            name = f"{fault} {zones} {providers} {balancers} {load} {uneven} {restarted or '-'} {client_retries}"
            print(f"{name:64} {len(cold):4} {len(over):4} {worst:6.1f} {mean:6.1f} {in_time:.3f}", flush=True)
