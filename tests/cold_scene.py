"""A fleet of balancers before servers of one known rate, in virtual time: what reaches each cold server is counted.

Nothing falls over here, so that the whole of an excess is seen: at each request that arrives at a cold server, how many
came within `fall_after`, less the budget `N` (fall_multiple x what it can do now x fall_after) and less 2 x root of N
+ 2 for chance. What it rejects counts, and so do repeats. Only balancers that have been told of the start send to it.
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from random import Random

from loftweir import interface as api
from loftweir.balance import Balancer

MS, SECOND = 1_000_000, 1_000_000_000
BEGAN = 1_700_000_000 * SECOND
TROUBLE = BEGAN + 5 * SECOND  # servers start cold from then on
COLD_FROM, WARM_WITHIN, FALL_MULTIPLE, FALL = 0.14, 24 * SECOND, 2.5, SECOND
SAFETY = api.Safety(20 * MS, 750 * MS, COLD_FROM, WARM_WITHIN, FALL_MULTIPLE, FALL, 10 * SECOND)
CLASSES = {
    "read": api.RequestClass("read", api.Effect.REPEATABLE, 600 * MS, 3 * SECOND, late_worth=0.2),
    "submit": api.RequestClass("submit", api.Effect.ONCE, SECOND, 3 * SECOND, worth=5.0, late_worth=0.3),
    "confirm": api.RequestClass(
        "confirm", api.Effect.BY_KEY, SECOND, 2500 * MS, api.Scope.ZONE, 12 * SECOND, 10.0, 0.25
    ),
}
PARTS = {"read": 0.47, "submit": 0.43, "confirm": 0.1}


@dataclass
class Case:
    """What befalls the servers, and who asks. `load` is of what all servers can do warm."""

    trouble: str = "one"  # one, quarter, release, zone, fleet
    balancers: int = 20
    servers: int = 12
    zones: int = 1
    load: float = 0.6
    rate: float = 25.0  # what a warm server can do in a second
    uneven: bool = False  # one balancer has five times the mean, the others some tenths to twice
    restarted: str = ""  # "", "one", "all": balancers that start anew beside the cold servers
    again: bool = False  # clients come again for what was refused
    seconds: int = 8  # from the trouble on


@dataclass
class Cold:
    """One server, cold or not."""

    name: str
    zone: str
    rate: float
    cores: int = 4
    room: int = 64
    started_at: int = 0
    up: bool = True
    busy: int = 0
    waiting: deque = field(default_factory=deque)
    came: deque = field(default_factory=deque)
    count: int = 0  # all that came while it was cold
    excess: float = -math.inf
    excess_at: int = 0
    busiest: int = 0  # the most that came within `fall_after`

    def able(self, now):
        if not self.started_at:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * max(0, now - self.started_at) / WARM_WITHIN)


class Fleet:
    def __init__(self, case, seed, make=Balancer):
        self.case, self.seed, self.make = case, seed, make
        self.random = Random(f"{seed} of the fleet")
        self.now, self.queue, self.order = BEGAN, [], 0
        self.zones = [f"z{n}" for n in range(case.zones)]
        self.servers = {}
        for n in range(case.servers):
            self.add(f"s{n}", self.zones[n % case.zones])
        self.balancers = {}
        self.calls = {}  # by balancer's life and request: class, end, tries, servers of its attempts
        self.lives = dict.fromkeys(range(case.balancers), 0)
        self.asked = self.served = self.in_time = self.refused = self.sent = 0
        weights = [self.random.lognormvariate(0, 0.5) if case.uneven else 1.0 for _ in range(case.balancers)]
        if case.uneven:
            weights[0] = 5 * sum(weights[1:]) / (len(weights) - 1)
        whole = case.load * case.rate * case.servers
        self.rates = [whole * w / sum(weights) for w in weights]

    def add(self, name, zone, started_at=0):
        self.servers[name] = Cold(name, zone, self.case.rate, started_at=started_at)
        return self.servers[name]

    # ---- the clock ------------------------------------------------------------------------------

    def after(self, delay, do, *arguments):
        self.order += 1
        heapq.heappush(self.queue, (self.now + int(delay), self.order, do, arguments))

    def play(self):
        for n in self.lives:
            self.start(n)
            self.arrival(n, True)
        self.after(TROUBLE - BEGAN, self.trouble)
        end = TROUBLE + self.case.seconds * SECOND
        while self.queue and self.queue[0][0] <= end:
            self.now, _, do, arguments = heapq.heappop(self.queue)
            do(*arguments)
        return self

    def cold(self):
        return [s for s in self.servers.values() if s.started_at]

    def excess(self):
        """The most that any cold server got beyond its budget and chance, in requests; at most 0: none did."""
        return max((s.excess for s in self.cold()), default=-math.inf)

    # ---- what befalls it ------------------------------------------------------------------------

    def trouble(self):
        case = self.case
        old = list(self.servers.values())
        if case.trouble == "one":
            self.replace(old[0])
        elif case.trouble == "quarter":
            for server in old[: len(old) // 4]:
                self.replace(server)
        elif case.trouble == "release":
            going = old[: len(old) * 6 // 10]
            for place, server in enumerate(going):
                self.after(place * 7 * SECOND // len(going), self.replace, server)
        elif case.trouble in ("zone", "fleet"):
            lost = [s for s in old if case.trouble == "fleet" or s.zone == self.zones[0]]
            for server in lost:
                self.leaves(server)
                self.after(3 * SECOND, self.returns, server)
        if case.restarted:
            beside = 3 * SECOND if case.trouble in ("zone", "fleet") else 0
            for n in self.lives:
                if case.restarted == "all" or n == 0:
                    self.after(beside + 500 * MS + self.random.random() * 100 * MS, self.restart, n)

    def replace(self, old):
        new = self.add(f"{old.name}'", old.zone, self.now)
        self.tell(new, api.Lifecycle.READY)
        self.tell(old, api.Lifecycle.DRAINING)

    def leaves(self, server):
        server.up = False
        self.tell(server, api.Lifecycle.GONE)

    def returns(self, server):
        server.up, server.started_at, server.busy = True, self.now, 0
        server.waiting.clear()
        self.tell(server, api.Lifecycle.READY)

    def entry(self, server, lifecycle):
        return api.Endpoint(server.name, server.zone, "m", 0, lifecycle, 1.0, server.started_at)

    def tell(self, server, lifecycle):
        entry = self.entry(server, lifecycle)
        server.lifecycle = lifecycle
        for n in self.lives:
            self.after(self.random.random() * 300 * MS, self.told, n, self.lives[n], entry)

    def told(self, n, life, entry):
        if life == self.lives[n]:
            self.feed(n, api.MembershipUpdate(api.UpdateKind.CHANGES, (entry,), 1))

    def start(self, n):
        settings = api.Settings(
            self.zones[n % len(self.zones)], tuple(self.zones), CLASSES, SAFETY, balancers=self.case.balancers, me=n,
            discovery_pushes=True, capacity_known=False, max_attempts=3, retry_after=True,
            max_retry_after=1500 * MS,
        )  # fmt: skip
        self.balancers[n] = self.make(settings, hash((self.seed, n, self.lives[n])))
        ready = api.Lifecycle.READY
        entries = tuple(
            self.entry(s, getattr(s, "lifecycle", ready))
            for s in self.servers.values()
            if s.up and getattr(s, "lifecycle", ready) is ready
        )
        self.feed(n, api.MembershipUpdate(api.UpdateKind.FULL, entries, 1))

    def restart(self, n):
        self.lives[n] += 1
        self.start(n)

    # ---- clients --------------------------------------------------------------------------------

    def arrival(self, n, first=False):
        if not first:
            self.asked += 1
            name = self.random.choices(list(PARTS), list(PARTS.values()))[0]
            self.request(n, name, self.now + CLASSES[name].deadline, self.now, 0)
        self.after(self.random.expovariate(self.rates[n]) * SECOND, self.arrival, n)

    def request(self, n, name, end, begun, tries):
        if end <= self.now:
            return
        self.order += 1
        request = f"r{self.order}"
        self.calls[n, self.lives[n], request] = [name, end, begun, tries, 0]
        self.feed(n, api.Request(request, name, end - self.now))

    def feed(self, n, event):
        life = self.lives[n]
        for action in self.balancers[n].handle(self.now, [event]):
            if isinstance(action, api.Attempt):
                self.attempt(n, life, action)
            elif isinstance(action, api.Timer):
                if not action.request_id or (n, life, action.request_id) in self.calls:
                    self.after(action.delay, self.timer, n, life, action)
            elif isinstance(action, api.Reject | api.Fail):
                self.answered(n, life, action)

    def timer(self, n, life, action):
        if life == self.lives[n] and (not action.request_id or (n, life, action.request_id) in self.calls):
            self.feed(n, api.TimerFired(action.tag))

    def answered(self, n, life, action):
        name, end, begun, tries, _ = self.calls.pop((n, life, action.request_id))
        self.refused += 1
        if self.case.again and isinstance(action, api.Reject) and tries < 4:
            away = max(action.retry_after, 100 * MS) * (1 + 0.3 * self.random.random())
            self.after(away, self.request, n, name, end, begun, tries + 1)

    # ---- attempts -------------------------------------------------------------------------------

    def attempt(self, n, life, action):
        call = self.calls[n, life, action.request_id]
        number, server = call[4], self.servers[action.provider]
        call[4] += 1
        self.sent += 1
        near = server.zone == self.zones[n % len(self.zones)]
        self.after((1 if near else 8) * MS, self.comes, n, life, action.request_id, number, server, self.now)

    def comes(self, n, life, request, number, server, began):
        self.count(server)
        job = (n, life, request, number, server, began)
        if not server.up:
            self.after(MS, self.ended, *job, api.Outcome.CONNECT_FAILED)
        elif server.busy >= server.cores and len(server.waiting) >= server.room:
            self.after(MS, self.ended, *job, api.Outcome.FULL)
        else:
            server.waiting.append(job)
            self.work(server)

    def count(self, server):
        """One more has come to it: how far that is over the budget for the time now behind it."""
        able = server.able(self.now)
        if able >= 1:
            return
        server.count += 1
        server.came.append(self.now)
        while server.came[0] <= self.now - FALL:
            server.came.popleft()
        allowed = FALL_MULTIPLE * able * server.rate * FALL / SECOND
        excess = len(server.came) - allowed - 2 * math.sqrt(allowed) - 2
        server.busiest = max(server.busiest, len(server.came))
        if excess > server.excess:
            server.excess, server.excess_at = excess, self.now

    def work(self, server):
        while server.waiting and server.busy < server.cores:
            server.busy += 1
            job = server.waiting.popleft()
            took = self.random.expovariate(server.rate * server.able(self.now) / server.cores) * SECOND
            self.after(took, self.done, server, job)

    def done(self, server, job):
        server.busy = max(0, server.busy - 1)
        self.work(server)
        self.after(MS, self.ended, *job, api.Outcome.OK if server.up else api.Outcome.RESET)

    def ended(self, n, life, request, number, server, began, outcome):
        call = self.calls.get((n, life, request))
        if life != self.lives[n]:
            return
        over = call is not None and outcome is api.Outcome.OK
        if over:
            del self.calls[n, life, request]
            self.served += 1
            self.in_time += self.now - call[2] <= CLASSES[call[0]].aim
        if call is not None and not over and call[1] <= self.now:
            del self.calls[n, life, request]
            over = True
        self.feed(n, api.AttemptEnded(request, number, server.name, outcome, self.now - began, over))


if __name__ == "__main__":
    import itertools
    import sys

    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    only = sys.argv[2:] if len(sys.argv) > 2 else ["one", "quarter", "release", "zone", "fleet"]
    head = "trouble zones servers balancers load uneven restarted again"
    print(f"{head:64} cold over worst mean(excess) in_time")
    for trouble, again, restarted in itertools.product(only, (False, True), ("", "one", "all")):
        for zones, servers, balancers, load, uneven in (
            (1, 12, 3, 0.6, False), (1, 12, 20, 0.6, True), (1, 12, 30, 0.9, True), (3, 12, 20, 0.9, False),
            (4, 60, 30, 0.9, True), (3, 60, 200, 0.6, True), (3, 12, 200, 0.9, True),
        ):  # fmt: skip
            case = Case(trouble, balancers, servers, zones, load, uneven=uneven, restarted=restarted, again=again)
            plays = [Fleet(case, s).play() for s in range(seeds)]
            cold = [s for p in plays for s in p.cold()]
            over = [s for s in cold if s.excess > 0]
            worst = max((s.excess for s in cold), default=0)
            mean = sum(s.excess for s in cold) / max(1, len(cold))
            served = sum(p.in_time for p in plays) / sum(p.asked for p in plays)
            name = f"{trouble} {zones} {servers} {balancers} {load} {uneven} {restarted or '-'} {again}"
            print(f"{name:64} {len(cold):4} {len(over):4} {worst:6.1f} {mean:6.1f} {served:.3f}", flush=True)
