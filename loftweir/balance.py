"""The decisions of a client-side load balancer: PreferClose of KEP-4444, under four rules.

The types it speaks in are in interface.py; read that first. Then read `Balancer.handle`, and the class from top to
bottom: membership and discovery; candidate set (PreferClose) and even spread; attempts, retries and refusals; final
answers. Every attempt leaves through `_attempt`, the only gate, and every refusal through `_end`: those two keep the
rules, whatever the code around them wants.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf, sqrt
from random import Random

from loftweir.crowding import CountedCall, Crowding, UsualTime, step_length
from loftweir.interface import (
    Action,
    Attempt,
    AttemptEnded,
    Effect,
    Endpoint,
    Event,
    Fail,
    Lifecycle,
    MembershipUpdate,
    Outcome,
    Reject,
    Request,
    RequestCancelled,
    RequestClass,
    Scope,
    Settings,
    SettingsChanged,
    StreamStarted,
    Timer,
    TimerFired,
    UpdateKind,
    Watch,
)
from loftweir.listclock import backoff, first_call_delay
from loftweir.start_times import start

BLAMED = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED)
LATE_BLAME = 0.6  # of an attempt that hears nothing, when it is late and again when it times out: together enough
TRUST_MEMORY = 16  # answers over which a server's good record is taken
TRUSTED = 0.85  # of the blame for one failure, taken off a server that has answered well
KNOWN = 0.4  # trust from which one failure alone says little
FAILS_MEMORY, AILING = 10, 0.25  # answers over which failures are taken; the part that is too much
LONGEST_ROW = 5  # failures in a row, each of which doubles the time in which half of the part is forgotten
PACE_MEMORY = 12  # answers over which a server's pace is taken
ROOM = {"near": 0.4, "far": 0.6}  # of the aim, up to which a further call is held to be answered in time
ALONE, WAIT_MEMORY = 0.6, 3  # of the aim, that an answer of late may take; answers over which that is taken
FULL_FOR, SHUT_FOR = 0.25, 1.0  # aims to pass over one that turned a call away, or took no connection
LATELY, WAIT_FADES = 16, 3  # calls to a server whose times are kept; fall_afters in which half of its wait is forgotten
GAP_FROM, COME_AGAIN = 4, 3  # fall_afters that make the time between requests known; till then, how often a client asks
CROWD_CLOSER = 0.5  # that calls to a cold server are, of an even spread of what a crowd of unknown size asks
MOST_HELD = 1.25  # of the mean of its peers, that a server holds beside one call until its turns go to them
MOST_TURNS = 32  # turns that one request looks at: where so many servers are cold and have had theirs, all have
MIX_MEMORY = 64  # requests over which the parts of the classes are taken
RETRY_PART, RETRY_BURST = 0.25, 5.0  # further attempts earned by each request, and how many may be saved up
COME_BACK, LEAST_AWAY = 0.25, 0.2  # of the aim, at full pressure; and the least pressure counted for it
UNKNOWN = UsualTime()
DISCOVERY_TAG, REQUEST_TAG, LATE_TAG = "discovery", "request:", "late:"


@dataclass(slots=True, eq=False)
class ProviderState:
    """A server of the list, and what this balancer has seen of it."""

    address: str
    zone: str
    listed_start: int  # on the list's clock
    told_at: int  # when this balancer was told of this process
    phase: float  # the part of the distance, from then, after which the first call goes to one that is cold
    started_at: int = 0  # on this process's clock
    cell: int = 0
    weight: float = 1.0
    ready: bool = False
    penalty: float = 0.0  # failures seen of late, each success takes some back
    out_until: int = 0  # set aside until then; 0: not set aside
    strikes: int = 0  # how often in a row it was set aside
    doubt: float = 0.0  # failures of late, of any class; an answer takes half of it back
    failed_at: int = 0  # the latest of them
    trust: float = 0.0  # the part of good answers of late
    failure_rates: dict[str, Record] = field(default_factory=dict)  # by class: one may fail where the others are served
    out: dict[Try, None] = field(default_factory=dict)  # this balancer's calls that it holds, the oldest first
    sent_at: int = 0  # the latest of them
    lately: deque[float] = field(default_factory=lambda: deque([-inf] * LATELY, LATELY))  # when the last were sent
    answered: int = 0  # when the latest of its answered calls was sent
    heard_at: int = 0  # when it last answered anything
    wait: float = 0.0  # what an answer takes, of late
    pace: float = 0.0  # what one more call out adds to the time of an answer; 0: not known yet
    full_until: int = 0  # it turned a call away, or took no connection: passed over until then
    reenabled: bool = False  # its operators say that it may serve again

    def update(self, endpoint: Endpoint, now: int, heard_at: int | None) -> None:
        """`heard_at`: when the list before this one was heard."""
        if endpoint.started_at != self.listed_start:
            self.started_at = start(endpoint.started_at, now, heard_at)
            self.penalty, self.out_until, self.strikes = 0.0, 0, 0  # a new process: its past is not its own
            self.trust, self.wait, self.pace, self.full_until, self.doubt = 0.0, 0.0, 0.0, 0, 0.0
            self.failure_rates, self.told_at = {}, now
        self.cell = endpoint.cell
        self.weight = endpoint.weight
        self.reenabled = endpoint.reenabled
        self.listed_start = endpoint.started_at
        self.ready = endpoint.lifecycle is Lifecycle.READY

    def group(self, scope: Scope) -> object:
        return self.cell if scope is Scope.CELL else self.zone if scope is Scope.ZONE else None


@dataclass(slots=True)
class Record:
    """The part of failures among a server's answers to one class."""

    part: float = 0.0
    at: int = 0  # when it was last taken
    row: int = 0  # failures with no answer between them


class Try:
    """One attempt: where, when, and whether it is still out or is known never to have run."""

    __slots__ = ("server", "group", "cls", "sent_at", "place", "out", "never_ran", "late", "counted")

    def __init__(self, server: ProviderState, cls: RequestClass, sent_at: int) -> None:
        self.server = server
        self.group = server.group(cls.scope)  # as it was then: a list may put its server into another one
        self.cls = cls
        self.sent_at = server.sent_at = sent_at
        server.lately.append(sent_at)
        server.out[self] = None
        self.place = len(server.out)
        self.out, self.never_ran = True, False
        self.late = False  # it takes so long that its server is overrun
        self.counted: CountedCall | None = None


class Call:
    """A request this balancer owes an answer for."""

    __slots__ = ("id", "cls", "deadline", "tries", "streaming")

    def __init__(self, request: Request, cls: RequestClass, now: int) -> None:
        self.id = request.id
        self.cls = cls
        self.deadline = now + request.time_left
        if not (cls.late_worth or cls.aim_stretch or cls.stream):  # nothing is left to win, but a server's time
            self.deadline = min(self.deadline, now + cls.aim)
        self.tries: list[Try] = []
        self.streaming = False

    def is_out(self) -> bool:
        return any(t.out for t in self.tries)

    def may_have_run(self) -> Try | None:
        """The first attempt not known to have stayed without effect; one still out counts."""
        return next((t for t in self.tries if not t.never_ran), None)


@dataclass(slots=True, eq=False)
class Pool:
    """Servers to spread over, in rounds: each has its turns in a round, by its share."""

    providers: list[ProviderState] = field(default_factory=list)
    turns: list[ProviderState] = field(default_factory=list)
    round_began_at: int = 0
    warmth: float = 1.0  # what the servers can do now, as a part of what they can do warm
    all_frail: bool = False  # so all of them have only just started
    crowding: Crowding = field(default_factory=Crowding)
    size: float = 0.0  # of its servers together, as its traffic knows it: follows the list slowly
    sized_at: int = 0

    def settle(self, now: int, half: int, listed: float) -> float:
        """Its size: after `half` it has taken up half of a change of the list. A zone's traffic stays when its
        servers leave: measured by those that are left, a few cold ones would be fed all of it."""
        keep = 0.5 ** ((now - self.sized_at) / max(1, half)) if self.size else 0.0
        self.size = listed + (self.size - listed) * keep
        self.sized_at = now
        return self.size


class Balancer:
    """The decisions of one balancer. Feed it every event in order; carry out what it returns, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random, self.phases = Random(seed), Random(f"phases {seed}")
        self.now = 0
        self.providers: dict[str, ProviderState] = {}  # all that the list names as ready or draining
        self.calls: dict[str, Call] = {}
        self.tries: dict[tuple[str, int], Try] = {}  # all that are out, also of requests that are over
        self.held: dict[str, Call] = {}  # calls with no attempt out, waiting for a server
        self.heard_at: int | None = None  # the latest list of discovery
        self.near, self.far = Pool(), Pool()  # the ready servers of the own zone, and of the others
        self.retry_budget = RETRY_BURST
        self.class_shares: dict[str, float] = {}  # the part of each class of late
        self.usual: dict[str, UsualTime] = {}  # by class
        self.gap = self.asked = 0.0  # the mean time from one request to the next, and of how many
        self.began = self.last_request_at = 0  # when the first and the latest came
        self.asking, self.failures_to_ask = False, 0
        self.actions: list[Action] = []
        self._use(settings)

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of one moment, in order, and return what to do, in order."""
        self.now, self.actions = now, []
        self.near.crowding.advance(now, self.step)
        self.far.crowding.advance(now, self.step, self.near.crowding.pressure > 0)
        for event in events:
            if isinstance(event, Request):
                self._request(event)
            elif isinstance(event, AttemptEnded):
                self._attempt_ended(event)
            elif isinstance(event, MembershipUpdate):
                self._membership(event)
            elif isinstance(event, TimerFired):
                self._timer(event.tag)
            elif isinstance(event, StreamStarted):
                self._stream_started(event)
            elif isinstance(event, RequestCancelled):
                self._forget(event.request_id)
            elif isinstance(event, SettingsChanged):
                self._use(event.settings)
        return self.actions

    def _use(self, settings: Settings) -> None:
        """These settings from now on; calls keep their class, what was learnt of classes now gone is dropped."""
        self.settings, classes = settings, settings.classes
        parts = {name: self.class_shares.get(name, 1 / len(classes)) for name in classes}
        self.class_shares = {name: part / sum(parts.values()) for name, part in parts.items()}
        self.usual = {name: self.usual.get(name, UsualTime()) for name in classes}
        self._take_step()
        for server in self.providers.values():
            server.failure_rates = {name: record for name, record in server.failure_rates.items() if name in classes}
        self._rebuild()

    def _take_step(self) -> None:
        classes = self.settings.classes
        self.step = step_length(sum(part * classes[name].aim for name, part in self.class_shares.items()), self.gap)

    # ---- membership and discovery ---------------------------------------------------------------

    def _membership(self, update: MembershipUpdate) -> None:
        ask = self.settings.safety.ask_within
        if update.kind is UpdateKind.FAILED:
            self.asking, self.failures_to_ask = False, self.failures_to_ask + 1
            callers, pending = self.settings.balancers, update.response_pending
            self._ask_in(*backoff(ask, self.failures_to_ask, update.list_age, callers, pending))
            return
        if update.kind is UpdateKind.REMEMBERED:
            # Many balancers start together and discovery answers in turn: spread the first asks.
            self._ask_in(*first_call_delay(ask, self.settings.balancers, self.settings.me))
        else:
            self.failures_to_ask = 0
        if update.kind is not UpdateKind.CHANGES:
            listed = {e.address for e in update.endpoints}
            self.providers = {address: server for address, server in self.providers.items() if address in listed}
        for endpoint in update.endpoints:
            if endpoint.lifecycle is Lifecycle.GONE:
                self.providers.pop(endpoint.address, None)
                continue
            server = ProviderState(endpoint.address, endpoint.zone, endpoint.started_at, self.now, self.phases.random())
            server.started_at = start(endpoint.started_at, self.now, None)
            self.providers.setdefault(endpoint.address, server).update(endpoint, self.now, self.heard_at)
        if update.kind is not UpdateKind.REMEMBERED:
            self.heard_at = self.now
        self._rebuild()
        for call in list(self.held.values()):
            self._serve(call)

    def _ask_in(self, most: int, least: int) -> None:
        """Ask for a watch at a random moment, so that balancers do not ask in step, and in time (`listclock`)."""
        if not self.settings.discovery_pushes and not self.asking:
            self.asking = True
            self.actions.append(Timer(self.random.randint(least, most), DISCOVERY_TAG))

    # ---- health -----------------------------------------------------------------------------------

    def _pool(self, server: ProviderState) -> Pool:
        return self.near if server.zone == self.settings.zone else self.far

    def _suspect(self, server: ProviderState, blame: float) -> None:
        """Passive outlier ejection, on this balancer's own evidence; refusals as full are not ill health."""
        server.penalty += blame
        if server.penalty < 1 or self.now < server.out_until:
            return
        # Panic threshold: where most are ill by this view, the view is wrong or the rest would be drowned.
        pool = self._pool(server)
        out = sum(s.out_until > self.now for s in pool.providers)
        if 2 * (out + 1) > len(pool.providers):
            return
        safety = self.settings.safety
        rest = min(safety.warm_within, safety.fall_after * 2**server.strikes)
        server.strikes += 1
        server.out_until = self.now + rest + self.random.randrange(rest // 4 + 1)
        server.penalty = 0.5
        pool.turns = [s for s in pool.turns if s is not server]

    def _blame(self, server: ProviderState, cls: RequestClass, crowd: bool) -> None:
        """A failure of one that answers well otherwise is that answer's, of one that serves other classes
        that class's; of any other the server's. No connection (`crowd`) is always the server's."""
        if not crowd:
            server.doubt = min(LONGEST_ROW, server.doubt + (1 if server.trust < KNOWN else 0.5))
            server.failed_at = self.now
        if not crowd and any(self._fails(server, c) < AILING for c in server.failure_rates if c != cls.name):
            return
        blame = 1 - TRUSTED * server.trust
        server.trust *= 1 - 1 / TRUST_MEMORY
        self._suspect(server, blame)
        if crowd:  # a zone that is shut as a whole must let its traffic go
            self._pool(server).crowding.unreachable()

    def _late_after(self, cls: RequestClass) -> int:
        return self.usual.get(cls.name, UNKNOWN).overrun_after(cls.aim)

    def _answered(self, attempt: Try, elapsed: int) -> None:
        """A good answer speaks for its server, the more so in time."""
        server = attempt.server
        server.trust += (1 - server.trust) / TRUST_MEMORY
        if elapsed <= attempt.cls.aim and not self._frail(server):
            server.penalty /= 2
            if server.penalty < 0.1:
                server.strikes = 0

    def _overrun(self, server: ProviderState, cls: RequestClass) -> None:
        """A call takes far too long. Late answers are the crowd's; silence blames the server, the less the more of a
        crowd there is. One that is cold is slow for that."""
        if self._frail(server):
            return
        crowding = self._pool(server).crowding
        if self.now - server.heard_at > cls.aim:
            self._suspect(server, LATE_BLAME * (1 - crowding.pressure))
        if server.out_until <= self.now and not self.usual.get(cls.name, UNKNOWN).known():
            crowding.refused()

    # ---- candidate set (PreferClose) and even spread --------------------------------------------

    def _rebuild(self) -> None:
        """KEP-4444, PreferClose: ready servers of the own zone, else all ready servers."""
        for pool in (self.near, self.far):
            self._settle(pool)
            pool.turns = []
        ready = [s for s in self.providers.values() if s.ready]
        self.near.providers = [s for s in ready if s.zone == self.settings.zone]
        self.far.providers = [s for s in ready if s.zone != self.settings.zone]
        self.back = [s for s in self.far.providers if s.reenabled or self.settings.balancers < len(self.settings.zones)]

    def _able(self, server: ProviderState) -> float:
        """The least part of its capacity that a server can do now: from `cold_from` evenly to all in `warm_within`."""
        safety = self.settings.safety
        age = self.now - server.started_at
        if server.started_at <= 0 or age >= safety.warm_within:
            return 1.0
        return safety.cold_from + (1 - safety.cold_from) * max(0, age) / safety.warm_within

    def _frail(self, server: ProviderState) -> bool:
        """So cold that the traffic of a crowd, twice what its size could carry warm, would push it over."""
        return self._able(server) * self.settings.safety.fall_multiple < 2

    def _harmless(self, server: ProviderState) -> int:
        """How many calls in `fall_after` this balancer may send a frail server, whatever others send: its part of the
        chance beside the budget, 2 x root of it + 2, where all are asked for no more; else none."""
        settings = self.settings
        if settings.balancers > LATELY or not self._frail(server):
            return 0
        size, pool = self._size(server), self._pool(server)
        asked = size * settings.balancers * settings.safety.fall_after / (self.gap or inf)
        if not size or asked > LATELY * pool.size:
            return 0
        budget = settings.safety.fall_multiple * self._able(server) * asked / max(1, self.near.size + self.far.size)
        part = int((2 * sqrt(budget) + 2) / settings.balancers)
        return part if asked <= part * settings.balancers * pool.size else 0

    def _size(self, server: ProviderState) -> float:
        return server.weight if self.settings.capacity_known else 1.0

    def _settle(self, pool: Pool) -> float:
        return pool.settle(self.now, self.settings.safety.warm_within // 2, sum(map(self._size, pool.providers)))

    def _share(self, server: ProviderState) -> float:
        """A server's part of the spread: its size, less what it cannot do while it is cold, and less again in a crowd,
        whose repeats multiply what arrives. So the balancers together send it no more than it can do."""
        size, able = self._size(server), self._able(server)
        crowd = self._pool(server).crowding.pressure
        return size if able >= 1 or self._harmless(server) else size * able * (1 - crowd)

    def _refresh(self, pool: Pool) -> None:
        """Turns to take, and a warmth that holds now: cold servers warm while a pool of theirs is hardly drawn from."""
        if not pool.turns or (pool.warmth < 1 and self.now - pool.round_began_at >= self.settings.safety.fall_after):
            self._begin_round(pool)

    def _begin_round(self, pool: Pool) -> None:
        """A new round: one turn a server on average, each by its share, at random only in the rest."""
        providers = [s for s in pool.providers if s.out_until <= self.now]
        if 2 * len(providers) < len(pool.providers):
            providers = pool.providers[:]  # the panic threshold again: servers may have left since
        if pool is self.far and self.near.providers:
            # What overflows is a crowd's, of no known size: only a cold server's own zone may feed it.
            providers = [s for s in providers if not self._frail(s)]
        if not providers:
            return
        pool.turns = []
        pool.round_began_at = self.now
        self.random.shuffle(providers)
        shares = [self._share(s) for s in providers]
        total = sum(shares)
        # Servers set aside, or gone of late, count in the whole while some are cold: these must not get their part.
        whole = sum(self._size(s) for s in providers)
        if any(self._frail(s) for s in providers):
            whole = max(whole, self._settle(pool))
        pool.warmth, pool.all_frail = total / whole, all(map(self._frail, providers))
        scale, point = len(providers) / total, self.random.random()
        for server, share in zip(providers, shares, strict=True):
            point -= share * scale
            while point < 0:
                pool.turns.append(server)
                point += 1
        self.random.shuffle(pool.turns)

    def _next(self, cls: RequestClass) -> ProviderState | None:
        """Blind to load: the next turn of the own zone, or of the other zones where that has no server. A zone whose
        servers are cold keeps what they can do and lets the rest overflow, which would push them over."""
        pool = self.near if any(s.out_until <= self.now for s in self.near.providers) else self.far
        pool = pool if pool.providers else self.near
        if not pool.providers:
            return None
        for server in self.back if pool is self.near else ():
            if self._is_due(server, cls):
                return server
        self._refresh(pool)
        away = shed = 1 - pool.warmth * (1 - pool.crowding.pressure)
        if pool is self.near and self.far.providers:
            self._refresh(self.far)
            if self.far.turns:
                far = self.far.crowding
                shed *= far.pressure if pool.all_frail else pool.crowding.turned_away(far)
        if self._sheds(cls, shed):
            return None
        if pool is self.near and self.random.random() * (1 - shed) < away - shed:
            pool = self.far
        drawn = self._draw(pool, cls) or (self._draw(self.far, cls) if pool is self.near else None)
        if drawn is not None:
            return drawn
        providers = self.far.providers if self.near.all_frail else self.near.providers + self.far.providers
        up = [s for s in providers if s.out_until <= self.now and not self._frail(s)]
        mean = sum(part * self.settings.classes[name].worth for name, part in self.class_shares.items())
        # What is worth most is sent as long as it may be in time at all: the rest left it that room.
        if cls.worth >= mean * (1 - 1e-9) and (able := [s for s in up if self._may_do(s, cls)]):
            return min(able, key=lambda s: s.pace * (len(s.out) + 1))
        # One that fails now and then is better than none.
        able = [s for s in up if self._has_room(s, cls)]
        return min(able, key=lambda s: self._fails(s, cls.name), default=None)

    def _is_due(self, server: ProviderState, cls: RequestClass) -> bool:
        """Whether a cold one of another zone is to be fed its even share, of what may be repeated: nobody else may send
        to it. With as much again from its own zone's balancers it stays under fall_multiple."""
        if cls.effect is not Effect.REPEATABLE or not self._frail(server) or server.out_until > self.now:
            return False
        share = (self.now - max(server.sent_at, server.started_at)) * self._size(server) * self._able(server)
        due = share > self.gap * (self._settle(self.near) + self._settle(self.far))
        return due and self._has_room(server, cls) and self._sound(server, cls)

    def _sheds(self, cls: RequestClass, part: float) -> bool:
        """Whether a request is among the `part` of all to turn away: what is worth least goes first, and of the
        traffic as a whole no more than that part goes."""
        if part <= 0:
            return False
        classes = self.settings.classes
        less = sum(p for name, p in self.class_shares.items() if classes[name].worth < cls.worth)
        same = sum(p for name, p in self.class_shares.items() if classes[name].worth == cls.worth)
        return self.random.random() * same < part - less

    def _may_do(self, server: ProviderState, cls: RequestClass) -> bool:
        sound = server.full_until <= self.now and self._sound(server, cls)
        return sound and server.pace * (len(self._held_by(server, cls)) + 1) <= cls.aim * ALONE

    def _fails(self, server: ProviderState, name: str) -> float:
        """The part of its answers to this class that fail. It is forgotten with time, the more slowly the
        longer nothing else came, so that a server is tried again, but not at the cost of many requests."""
        record = server.failure_rates.get(name)
        if record is None or not record.part:
            return 0.0
        half = max(1, self.settings.safety.fall_after) * 2**record.row
        return float(record.part * 0.5 ** ((self.now - record.at) / half))

    def _sound(self, server: ProviderState, cls: RequestClass) -> bool:
        """Whether it is to be sent this class. A balancer that meets a server seldom learns of its fault from one
        failure: until it has answered again, only what may be repeated tries it."""
        if self._fails(server, cls.name) >= AILING:
            return False
        since = self.now - server.failed_at
        doubted = server.doubt >= 1 and since < self.settings.safety.fall_after * 2**server.doubt
        return not doubted or cls.effect is Effect.REPEATABLE

    def _record(self, server: ProviderState, cls: RequestClass, failed: bool) -> None:
        record = server.failure_rates.setdefault(cls.name, Record())
        part = self._fails(server, cls.name)
        record.part = part + (failed - part) / FAILS_MEMORY
        record.row = min(LONGEST_ROW, record.row + 1) if failed else 0
        record.at = self.now

    def _draw(self, pool: Pool, cls: RequestClass) -> ProviderState | None:
        """The next turn of a server that can take a call; where none is left, one more round. One that holds many
        more calls than its peers is slower: its turn goes to them (bounded loads, Mirrokni et al., 2018)."""
        most = 1 + MOST_HELD * len(self.tries) / max(1, len(pool.providers))
        for _ in range(2):
            for _ in range(min(MOST_TURNS, len(pool.turns))):
                server = pool.turns.pop()
                room = len(server.out) < most and self._has_room(server, cls)
                if room and self._sound(server, cls) and not self._slow(server, cls):
                    return server
                if self._frail(server):
                    pool.turns.insert(0, server)  # its turn comes when its distance is kept
            if pool.turns or not any(self._has_room(s, cls) for s in pool.providers):
                return None
            self._begin_round(pool)
        return None

    def _has_room(self, server: ProviderState, cls: RequestClass) -> bool:
        """Whether it can still answer in time, by this balancer's own calls there. One that holds as many as that is
        not usable now. A call out for long says that it is jammed; one back from being set aside gets one."""
        if server.full_until > self.now:
            return False
        if self._frail(server):
            # fall_multiple times closer together than an even spread has it, no more: what others are passed over for,
            # or what comes again, would push it over. Who began beside it may meet a crowd that others turned away.
            crowd = server.started_at < self.began > self.now - GAP_FROM * self.settings.safety.fall_after
            rate = self._size(server) * self._able(server)  # 0: nothing is for it
            rate *= CROWD_CLOSER if crowd else self.settings.safety.fall_multiple
            apart = self.gap * self._pool(server).size * (server.phase if server.sent_at < server.told_at else 1)
            if (self.now - max(server.sent_at, server.told_at)) * rate < apart:
                calls = self._harmless(server)
                if not calls or server.lately[-calls] > self.now - self.settings.safety.fall_after:
                    return False
        if not (held := self._held_by(server, cls)):
            return True
        if server.strikes or self.now - held[0].sent_at > self._late_after(cls):
            return False
        part = ROOM["near" if server.zone == self.settings.zone else "far"]
        return server.pace * (len(held) + 1) <= cls.aim * part

    def _slow(self, server: ProviderState, cls: RequestClass) -> bool:
        """Whether answers of late took too long there, though none of ours waits: met seldom, its queue is made of
        others' calls. Forgotten with time, so that it is tried again; and no reason to turn a request away."""
        return self.now - server.sent_at > cls.aim and self._wait(server) > self._late_after(cls) * ALONE

    def _wait(self, server: ProviderState) -> float:
        half = max(1, WAIT_FADES * self.settings.safety.fall_after)
        return float(server.wait * 0.5 ** ((self.now - server.heard_at) / half))

    def _held_by(self, server: ProviderState, cls: RequestClass) -> list[Try]:
        """The calls it holds. One past its aim while later ones were answered is lost, on a connection that
        fell silent or with an answer that stopped short: it is no load, and says nothing of the rest."""
        since = self.now - self._late_after(cls)
        return [t for t in server.out if t.sent_at > server.answered or t.sent_at >= since]

    def _another(self, call: Call) -> ProviderState | None:
        """A server for a further attempt: not tried before, and of the group its repeats must keep to. The zone comes
        first here too; unlike a first attempt, a further one leaves it when it must."""
        tried = [t.server for t in call.tries]
        ran = call.may_have_run()
        for providers in (self.near.providers, self.far.providers):
            fit = [s for s in providers if s not in tried and s.out_until <= self.now]
            if ran is not None and call.cls.effect is Effect.BY_KEY:
                fit = [s for s in fit if s.group(call.cls.scope) == ran.group]
            # The repeats of a crowd would push cold ones over.
            fit = [s for s in fit if not self._frail(s) and self._has_room(s, call.cls)]
            fit = [s for s in fit if self._sound(s, call.cls)] or fit
            if fit:
                return self.random.choices(fit, [self._share(s) for s in fit])[0]
        return None

    # ---- attempts, retries, refusals ------------------------------------------------------------

    def _request(self, request: Request) -> None:
        cls = request.request_class or self.settings.classes[request.class_name]
        warmth, fall_after = (self.near if self.near.providers else self.far).warmth, self.settings.safety.fall_after
        self.began = self.began or self.now
        # Beside cold servers what is turned away comes again: the traffic that is spread is that of before.
        if self.last_request_at and (warmth >= 1 or self.now - self.began < GAP_FROM * fall_after):
            since = min(self.now - self.last_request_at, fall_after)
            self.asked = 1 + self.asked * 0.5 ** (since / max(1, self.settings.safety.warm_within // 2))
            self.gap += (since * min(COME_AGAIN, 1 / warmth) - self.gap) / self.asked
        self.last_request_at = self.now
        for name, part in self.class_shares.items():
            self.class_shares[name] = part + ((name == cls.name) - part) / MIX_MEMORY
        self._take_step()
        self.retry_budget = min(RETRY_BURST, self.retry_budget + RETRY_PART)
        # Too old when it was read, or more than this process can carry: no server has seen it, all may come again.
        if request.time_left <= 0 or self._sheds(cls, request.reject_share):
            self.actions.append(Reject(request.id, self._come_back(cls)))
            return
        call = self.calls[request.id] = Call(request, cls, self.now)
        self._serve(call)

    def _serve(self, call: Call) -> None:
        server = self._next(call.cls)
        if server is None and self.providers:
            self._end(call)  # shed: nothing that could serve it in time
        elif server is None or not self._attempt(call, server):
            self._hold(call)

    def _hold(self, call: Call) -> None:
        if call.id not in self.held:
            self.held[call.id] = call
            self.actions.append(Timer(max(0, call.deadline - self.now), REQUEST_TAG + call.id, call.id))

    def _attempt(self, call: Call, server: ProviderState) -> bool:
        """The only gate for attempts. False: the rules or the limits forbid this one.

        One final answer: nothing is sent for a call that has ended. No effect twice: see below. Drains:
        only servers that the list calls ready, from the moment this balancer is told.
        """
        cls, tries = call.cls, call.tries
        if call.id not in self.calls or call.streaming or not server.ready or self.now >= call.deadline:
            return False
        if len(tries) >= self.settings.max_attempts or (call.is_out() and not self.settings.second_copies):
            return False
        ran, send_by = call.may_have_run(), call.deadline
        if ran is not None and cls.effect is Effect.ONCE:
            return False
        if ran is not None and cls.effect is Effect.BY_KEY:
            send_by = min(send_by, ran.sent_at + cls.window)
            if ran.group != server.group(cls.scope) or self.now >= send_by:
                return False
        self.held.pop(call.id, None)
        attempt = Try(server, cls, self.now)
        tries.append(attempt)
        self.tries[call.id, len(tries) - 1] = attempt
        if not self._frail(server) and server.out_until <= self.now:  # else it is slow for reasons of its own
            attempt.counted = self._pool(server).crowding.count(self.usual.get(cls.name, UNKNOWN).counted(cls.aim))
        self.actions.append(Attempt(call.id, server.address, call.deadline, send_by))
        self.actions.append(Timer(self._late_after(cls), f"{LATE_TAG}{len(tries) - 1}:{call.id}", call.id))
        return True

    def _attempt_ended(self, event: AttemptEnded) -> None:
        done, call = self.tries.pop((event.request_id, event.attempt), None), self.calls.get(event.request_id)
        if done is not None:
            self._returned(done, event)
        if done is None or call is None:
            return
        if event.outcome in BLAMED:
            self._blame(done.server, call.cls, event.outcome is Outcome.CONNECT_FAILED)
        if event.outcome is Outcome.FULL:
            done.server.full_until = self.now + int(call.cls.aim * FULL_FOR)
        elif event.outcome is Outcome.CONNECT_FAILED:
            done.server.full_until = self.now + int(call.cls.aim * SHUT_FOR)
        if event.outcome is Outcome.FULL and not self._frail(done.server):
            self._pool(done.server).crowding.refused()
        elif event.outcome is Outcome.OK and not done.late:
            self._answered(done, event.elapsed)
        elif event.outcome is Outcome.TIMED_OUT and done.late and done.sent_at >= done.server.heard_at:
            self._suspect(done.server, LATE_BLAME * (1 - self._pool(done.server).crowding.pressure))
        elif event.outcome is Outcome.TIMED_OUT and not done.late:
            self._overrun(done.server, done.cls)
        done.out = False
        done.never_ran = event.outcome.never_ran
        if event.request_ended or event.outcome is Outcome.OK:
            self._forget(call.id)
        elif not call.is_out() and not self._retry(call):
            self._end(call)

    def _returned(self, ended: Try, event: AttemptEnded) -> None:
        """The server holds one call less; an answer tells how long each one before it took."""
        server = ended.server
        server.out.pop(ended, None)
        if ended.counted is not None:
            ended.counted.end()
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.RESET):
            server.wait, server.heard_at = self._wait(server), self.now
            self._record(server, ended.cls, event.outcome is not Outcome.OK)
            server.answered = max(server.answered, ended.sent_at)
        if event.outcome is Outcome.OK:
            server.doubt /= 2
            self.usual.get(ended.cls.name, UsualTime()).learn(self.now, event.elapsed)  # or its class is gone
            server.wait += (event.elapsed - server.wait) / WAIT_MEMORY
            pace = event.elapsed / ended.place
            server.pace += (pace - server.pace) / PACE_MEMORY if server.pace else pace

    def _retry(self, call: Call) -> bool:
        """A further attempt, where the rules allow one and the budget has it: one for each few requests, no more, which
        keeps a failing fleet from a storm."""
        if self.retry_budget < 1:
            return False
        server = self._another(call)
        if server is None or not self._attempt(call, server):
            return False
        self.retry_budget -= 1
        return True

    def _stream_started(self, event: StreamStarted) -> None:
        call = self.calls.get(event.request_id)
        if call is not None:
            call.streaming = True

    def _timer(self, tag: str) -> None:
        if tag == DISCOVERY_TAG:
            self.asking = False
            self.actions.append(Watch())
        elif tag.startswith(LATE_TAG):
            number, _, request_id = tag[len(LATE_TAG) :].partition(":")
            call = self.calls.get(request_id)
            late = None if call is None or call.streaming else call.tries[int(number)]
            if call is not None and late is not None and late.out:
                late.late = True
                if late.counted is not None:
                    late.counted.end()
                if late.sent_at >= late.server.answered:
                    self._overrun(late.server, call.cls)
                else:  # lost: what hangs one class may answer the others
                    self._record(late.server, call.cls, True)
        elif tag.startswith(REQUEST_TAG):
            call = self.held.get(tag[len(REQUEST_TAG) :])
            if call is not None and self.now >= call.deadline:
                self._end(call)

    # ---- final answers --------------------------------------------------------------------------

    def _end(self, call: Call) -> None:
        """The final answer where none was served: a refusal where it is harmless, else a failure."""
        ran = call.may_have_run()
        harmless = ran is None or call.cls.retryable_anywhere
        self.actions.append(Reject(call.id, self._come_back(call.cls)) if harmless else Fail(call.id))
        self._forget(call.id)

    def _come_back(self, cls: RequestClass) -> int:
        """How long a client should stay away: the longer, the more is turned away now. Never longer than a part of its
        aim: a new try has a chance of its own soon, and one that comes too late only adds to the next crowd."""
        if not self.settings.retry_after:
            return 0
        pool = self.near if self.near.providers else self.far
        away = 1 - pool.warmth * (1 - pool.crowding.pressure)
        return min(self.settings.max_retry_after, int(cls.aim * COME_BACK * max(away, LEAST_AWAY)))

    def _forget(self, request_id: str) -> None:
        self.calls.pop(request_id, None)
        self.held.pop(request_id, None)
