"""The decisions of a client-side load balancer: PreferClose of KEP-4444, under four safety rules.

The events that it handles and the actions that it returns are in interface.py; read that first. Then read
`Balancer.handle` and the class from top to bottom: membership and discovery; health; candidate set (PreferClose) and
even spread; attempts, retries and rejections; final answers. Every attempt goes through `_send_attempt`, the only gate,
and every rejection or failure of an accepted request through `_end_request`: these two enforce the rules, whatever the
code around them asks for.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf, sqrt
from random import Random

from loftweir.crowding import BaselineLatency, GroupLoad, TrackedAttempt, step_length
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
from loftweir.start_times import effective_start

# ---- health --------------------------------------------------------------------------------------

# Outcomes that are failures of the provider.
PROVIDER_FAILURES = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED)
# Penalty for an attempt without a response: once when it is late and once more when it times out. A provider is ejected
# at 1, which the two reach together.
LATE_PENALTY = 0.6
# Answers over which a provider's success rate is averaged.
SUCCESS_MEMORY = 16
# The share of the penalty for one failure that is waived for a provider with a success rate of 1.
SUCCESS_DISCOUNT = 0.85
# The success rate from which one failure alone says little about a provider.
RELIABLE_FROM = 0.4
# Answers over which the failure rate of a class at a provider is averaged.
FAILURE_MEMORY = 10
# The failure rate from which a provider gets no more requests of that class.
MAX_FAILURE_RATE = 0.25
# The most failures in a row that count. Each doubles the half-life of the failure rate, and the time in which only
# repeatable requests try the provider.
MAX_FAILURE_STREAK = 5

# ---- latency and concurrency ---------------------------------------------------------------------

# Answers over which the latency that one more attempt in flight adds is averaged.
ADDED_LATENCY_MEMORY = 12
# A provider of the own zone gets one more attempt if its answer is to be expected within this share of the aim.
LOCAL_LATENCY_SHARE = 0.4
# The same for a provider of another zone.
REMOTE_LATENCY_SHARE = 0.6
# A provider is slow if its recent latency is above this share of the time after which an attempt is late. A request of
# the most valuable class is sent if its answer is to be expected within this share of its aim.
MAX_LATENCY_SHARE = 0.6
# Answers over which a provider's recent latency is averaged.
LATENCY_MEMORY = 3
# The half-life of a provider's recent latency, in multiples of `fall_after`.
LATENCY_HALF_LIFE = 3
# How long a provider is skipped after it was full, in aims of the attempt's class.
SKIP_AFTER_FULL = 0.25
# How long a provider is skipped after it accepted no connection, in aims of the attempt's class.
SKIP_AFTER_CONNECT_FAILED = 1.0
# A provider may have 1 attempt in flight and this many times the mean of its peers; beyond that its turns go to them.
MAX_IN_FLIGHT_RATIO = 1.25
# Turns that one request examines at most: where so many providers are cold and have had their turns, all of them have.
MAX_TURNS_EXAMINED = 32

# ---- cold providers and the request rate ---------------------------------------------------------

# Attempts to a provider whose times are kept.
RECENT_SENDS = 16
# From the first request until the mean interval between requests is known, in multiples of `fall_after`.
INTERVAL_KNOWN_AFTER = 4
# Until then a client is taken to send each request this many times at most, as rejected requests are retried.
MAX_CLIENT_SENDS = 3
# The rate of attempts to a cold provider while the traffic may be retries of an unknown number of clients, as a share
# of the rate of an even spread.
UNKNOWN_TRAFFIC_FACTOR = 0.5
# Requests over which the shares of the classes are averaged.
CLASS_MEMORY = 64

# ---- retries -------------------------------------------------------------------------------------

# Retries that each request adds to the retry budget.
RETRIES_PER_REQUEST = 0.25
# The most retries that the budget can contain.
RETRY_BURST = 5.0
# The advised time until a client's retry while all requests are rejected, as a share of the aim.
RETRY_AFTER_SHARE = 0.25
# The least share of rejected requests that is used for that time.
MIN_REJECTED_SHARE = 0.2

# The baseline latency of a class that the settings no longer have: never known.
UNKNOWN_BASELINE = BaselineLatency()

# Tags of timers: the next call to discovery, the deadline of a request, and the time when an attempt is late.
DISCOVERY_TAG = "discovery"
REQUEST_TAG = "request:"
LATE_TAG = "late:"


@dataclass(slots=True, eq=False)
class ProviderState:
    """A listed provider and what this balancer has observed of it."""

    address: str
    zone: str
    listed_start: int  # on the list's clock
    notified_at: int  # when this balancer was notified of the provider's current process
    phase: float  # while cold, the first attempt comes after this share of an interval between attempts
    started_at: int = 0  # on this process's clock
    cell: int = 0
    weight: float = 1.0
    ready: bool = False
    penalty: float = 0.0  # grows with each failure and shrinks with each success; ejected at 1
    ejected_until: int = 0  # 0: not ejected
    ejections: int = 0  # consecutive ejections
    recent_failures: float = 0.0  # of any class; each successful answer halves it
    last_failure_at: int = 0
    success_rate: float = 0.0  # the share of successful answers among recent ones
    failure_rates: dict[str, FailureRate] = field(default_factory=dict)  # by class, as one may fail and others not
    in_flight: dict[AttemptState, None] = field(default_factory=dict)  # this balancer's attempts, the oldest first
    last_sent_at: int = 0
    # When the most recent attempts were sent.
    recent_sends: deque[float] = field(default_factory=lambda: deque([-inf] * RECENT_SENDS, RECENT_SENDS))
    answered_sent_at: int = 0  # when the most recent of its answered attempts was sent
    last_answer_at: int = 0
    latency: float = 0.0  # the recent mean
    added_latency: float = 0.0  # by one more attempt in flight; 0: not known yet
    skipped_until: int = 0  # it was full or accepted no connection
    reenabled: bool = False  # its operators enabled it again

    def update(self, endpoint: Endpoint, now: int, previous_list_at: int | None) -> None:
        """Apply a list entry; `previous_list_at` is when the list before this one was received."""
        if endpoint.started_at != self.listed_start:
            # A new process: what was observed of the previous one does not apply to it.
            self.started_at = effective_start(endpoint.started_at, now, previous_list_at)
            self.penalty, self.ejected_until, self.ejections = 0.0, 0, 0
            self.success_rate, self.latency, self.added_latency = 0.0, 0.0, 0.0
            self.skipped_until, self.recent_failures = 0, 0.0
            self.failure_rates, self.notified_at = {}, now
        self.cell = endpoint.cell
        self.weight = endpoint.weight
        self.reenabled = endpoint.reenabled
        self.listed_start = endpoint.started_at
        self.ready = endpoint.lifecycle is Lifecycle.READY

    def group(self, scope: Scope) -> object:
        """Return the group of providers that drop duplicates of one another's requests."""
        return self.cell if scope is Scope.CELL else self.zone if scope is Scope.ZONE else None


@dataclass(slots=True)
class FailureRate:
    """The share of failures among a provider's answers to one class."""

    rate: float = 0.0
    updated_at: int = 0
    streak: int = 0  # failures since the last successful answer


class AttemptState:
    """One attempt: its provider, when it was sent, and whether it is in flight or is known never to have run."""

    __slots__ = ("provider", "group", "cls", "sent_at", "position", "in_flight", "never_ran", "late", "tracked")

    def __init__(self, provider: ProviderState, cls: RequestClass, sent_at: int) -> None:
        self.provider = provider
        self.group = provider.group(cls.scope)  # as of now: a later list may move the provider to another group
        self.cls = cls
        self.sent_at = provider.last_sent_at = sent_at
        provider.recent_sends.append(sent_at)
        provider.in_flight[self] = None
        self.position = len(provider.in_flight)  # among the attempts in flight at the provider, from 1
        self.in_flight, self.never_ran = True, False
        self.late = False  # it takes so long that its provider is overloaded
        self.tracked: TrackedAttempt | None = None


class RequestState:
    """A request that this balancer owes a final answer."""

    __slots__ = ("id", "cls", "deadline", "attempts", "streaming")

    def __init__(self, request: Request, cls: RequestClass, now: int) -> None:
        self.id = request.id
        self.cls = cls
        self.deadline = now + request.time_left
        if not (cls.late_worth or cls.aim_stretch or cls.stream):
            # An answer after the aim is worth nothing: a longer attempt would only take up a provider's time.
            self.deadline = min(self.deadline, now + cls.aim)
        self.attempts: list[AttemptState] = []
        self.streaming = False

    def has_attempt_in_flight(self) -> bool:
        """Return whether any attempt is in flight."""
        return any(a.in_flight for a in self.attempts)

    def may_have_run(self) -> AttemptState | None:
        """Return the first attempt that is not known to have had no effect, which includes one in flight."""
        return next((a for a in self.attempts if not a.never_ran), None)


@dataclass(slots=True, eq=False)
class Pool:
    """Providers to spread requests over in rounds; in each round a provider has turns according to its weight."""

    providers: list[ProviderState] = field(default_factory=list)
    turns: list[ProviderState] = field(default_factory=list)
    round_started_at: int = 0
    capacity: float = 1.0  # of the providers now, as a share of their capacity when warm
    all_cold: bool = False
    load: GroupLoad = field(default_factory=GroupLoad)
    size: float = 0.0  # of its providers together, following the list slowly
    size_updated_at: int = 0

    def update_size(self, now: int, half_life: int, listed: float) -> float:
        """Return the size, which takes up half of a change of the list in each `half_life`.

        A zone's traffic stays when its providers leave. Measured by the remaining ones alone, a few cold providers
        would get all of it.
        """
        keep = 0.5 ** ((now - self.size_updated_at) / max(1, half_life)) if self.size else 0.0
        self.size = listed + (self.size - listed) * keep
        self.size_updated_at = now
        return self.size


class Balancer:
    """The decisions of one balancer. The host passes it every event in order and carries out the actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random, self.phases = Random(seed), Random(f"phases {seed}")
        self.now = 0
        self.providers: dict[str, ProviderState] = {}  # by address; all that the list names as ready or draining
        self.requests: dict[str, RequestState] = {}  # by id; those without a final answer
        # By request and number; all that are in flight, also those of requests that have their final answer.
        self.attempts: dict[tuple[str, int], AttemptState] = {}
        self.waiting: dict[str, RequestState] = {}  # requests with no attempt in flight that wait for a provider
        self.list_received_at: int | None = None  # the latest list of discovery
        self.local, self.remote = Pool(), Pool()  # the ready providers of the own zone, and of the other zones
        self.retry_budget = RETRY_BURST
        self.class_shares: dict[str, float] = {}  # of recent requests
        self.baselines: dict[str, BaselineLatency] = {}  # by class
        # The mean interval between requests, and the decayed number of intervals that it is the mean of.
        self.interval = self.intervals = 0.0
        self.first_request_at = self.last_request_at = 0
        self.call_scheduled = False  # a timer for the next call to discovery is running
        self.failed_calls = 0  # calls to discovery that failed in a row
        self.actions: list[Action] = []
        self._apply_settings(settings)

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle the events of one moment in order and return the actions to take, in order."""
        self.now, self.actions = now, []
        self.local.load.advance(now, self.step)
        self.remote.load.advance(now, self.step, self.local.load.overload > 0)
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
                self._apply_settings(event.settings)
        return self.actions

    def _apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on. Requests keep their class; what was learnt of removed classes is dropped."""
        self.settings, classes = settings, settings.classes
        shares = {name: self.class_shares.get(name, 1 / len(classes)) for name in classes}
        self.class_shares = {name: share / sum(shares.values()) for name, share in shares.items()}
        self.baselines = {name: self.baselines.get(name, BaselineLatency()) for name in classes}
        self._update_step()
        for provider in self.providers.values():
            rates = provider.failure_rates
            provider.failure_rates = {name: rate for name, rate in rates.items() if name in classes}
        self._rebuild_pools()

    def _update_step(self) -> None:
        classes = self.settings.classes
        mean_aim = sum(share * classes[name].aim for name, share in self.class_shares.items())
        self.step = step_length(mean_aim, self.interval)

    # ---- membership and discovery ---------------------------------------------------------------

    def _membership(self, update: MembershipUpdate) -> None:
        ask_within = self.settings.safety.ask_within
        if update.kind is UpdateKind.FAILED:
            self.call_scheduled, self.failed_calls = False, self.failed_calls + 1
            sidecars, pending = self.settings.balancers, update.response_pending
            self._schedule_call(*backoff(ask_within, self.failed_calls, update.list_age, sidecars, pending))
            return
        if update.kind is UpdateKind.REMEMBERED:
            # Many balancers start together and discovery responds to one after another: spread their first calls.
            self._schedule_call(*first_call_delay(ask_within, self.settings.balancers, self.settings.me))
        else:
            self.failed_calls = 0
        if update.kind is not UpdateKind.CHANGES:
            listed = {e.address for e in update.endpoints}
            self.providers = {address: provider for address, provider in self.providers.items() if address in listed}
        for endpoint in update.endpoints:
            if endpoint.lifecycle is Lifecycle.GONE:
                self.providers.pop(endpoint.address, None)
                continue
            new = ProviderState(endpoint.address, endpoint.zone, endpoint.started_at, self.now, self.phases.random())
            new.started_at = effective_start(endpoint.started_at, self.now, None)
            self.providers.setdefault(endpoint.address, new).update(endpoint, self.now, self.list_received_at)
        if update.kind is not UpdateKind.REMEMBERED:
            self.list_received_at = self.now
        self._rebuild_pools()
        for request in list(self.waiting.values()):
            self._serve(request)

    def _schedule_call(self, longest: int, shortest: int) -> None:
        """Request a watch after a random delay, so that balancers do not call discovery in step; see `listclock`."""
        if not self.settings.discovery_pushes and not self.call_scheduled:
            self.call_scheduled = True
            self.actions.append(Timer(self.random.randint(shortest, longest), DISCOVERY_TAG))

    # ---- health -----------------------------------------------------------------------------------

    def _pool_of(self, provider: ProviderState) -> Pool:
        return self.local if provider.zone == self.settings.zone else self.remote

    def _add_penalty(self, provider: ProviderState, penalty: float) -> None:
        """Passive outlier ejection, on this balancer's own evidence. A provider that is full is not unhealthy."""
        provider.penalty += penalty
        if provider.penalty < 1 or self.now < provider.ejected_until:
            return
        # Panic threshold: where most providers seem unhealthy, this view is wrong or the others would be overloaded.
        pool = self._pool_of(provider)
        ejected = sum(p.ejected_until > self.now for p in pool.providers)
        if 2 * (ejected + 1) > len(pool.providers):
            return
        safety = self.settings.safety
        duration = min(safety.warm_within, safety.fall_after * 2**provider.ejections)
        provider.ejections += 1
        provider.ejected_until = self.now + duration + self.random.randrange(duration // 4 + 1)
        provider.penalty = 0.5
        pool.turns = [p for p in pool.turns if p is not provider]

    def _record_failure(self, provider: ProviderState, cls: RequestClass, unreachable: bool) -> None:
        """Attribute a failure to the request, the class or the provider.

        If the provider otherwise answers well, the failure is mostly the request's; if it serves other classes, the
        class's; else the provider's. A failed connection (`unreachable`) is always the provider's.
        """
        if not unreachable:
            unreliable = provider.success_rate < RELIABLE_FROM
            provider.recent_failures = min(MAX_FAILURE_STREAK, provider.recent_failures + (1 if unreliable else 0.5))
            provider.last_failure_at = self.now
        if not unreachable and any(
            self._failure_rate(provider, name) < MAX_FAILURE_RATE for name in provider.failure_rates if name != cls.name
        ):
            return
        penalty = 1 - SUCCESS_DISCOUNT * provider.success_rate
        provider.success_rate *= 1 - 1 / SUCCESS_MEMORY
        self._add_penalty(provider, penalty)
        if unreachable:  # if a whole zone is unreachable, its traffic must move to the others
            self._pool_of(provider).load.add_unreachable()

    def _late_after(self, cls: RequestClass) -> int:
        return self.baselines.get(cls.name, UNKNOWN_BASELINE).overrun_after(cls.aim)

    def _record_success(self, attempt: AttemptState, elapsed: int) -> None:
        """Raise the success rate; an answer within the aim lowers the penalty too."""
        provider = attempt.provider
        provider.success_rate += (1 - provider.success_rate) / SUCCESS_MEMORY
        if elapsed <= attempt.cls.aim and not self._is_cold(provider):
            provider.penalty /= 2
            if provider.penalty < 0.1:
                provider.ejections = 0

    def _record_overrun(self, provider: ProviderState, cls: RequestClass) -> None:
        """Handle an attempt that takes far too long.

        Late answers are a sign of overload. A provider that sends no answer at all gets a penalty, which is smaller the
        more overloaded its zone is. A cold provider is slow because it is cold, and is not charged.
        """
        if self._is_cold(provider):
            return
        load = self._pool_of(provider).load
        if self.now - provider.last_answer_at > cls.aim:
            self._add_penalty(provider, LATE_PENALTY * (1 - load.overload))
        if provider.ejected_until <= self.now and not self.baselines.get(cls.name, UNKNOWN_BASELINE).is_known():
            load.add_rejected()

    # ---- candidate set (PreferClose) and even spread --------------------------------------------

    def _rebuild_pools(self) -> None:
        """KEP-4444, PreferClose: ready providers of the own zone, else all ready providers."""
        for pool in (self.local, self.remote):
            self._update_size(pool)
            pool.turns = []
        ready = [p for p in self.providers.values() if p.ready]
        self.local.providers = [p for p in ready if p.zone == self.settings.zone]
        self.remote.providers = [p for p in ready if p.zone != self.settings.zone]
        # Remote providers that get an even share of this balancer's traffic while they are cold.
        few_balancers = self.settings.balancers < len(self.settings.zones)
        self.remote_to_warm = [p for p in self.remote.providers if p.reenabled or few_balancers]

    def _capacity(self, provider: ProviderState) -> float:
        """Return the least share of its full capacity that a provider has now.

        It grows linearly from `cold_from` at the provider's start to 1 after `warm_within`.
        """
        safety = self.settings.safety
        age = self.now - provider.started_at
        if provider.started_at <= 0 or age >= safety.warm_within:
            return 1.0
        return safety.cold_from + (1 - safety.cold_from) * max(0, age) / safety.warm_within

    def _is_cold(self, provider: ProviderState) -> bool:
        """Return whether twice the traffic that the provider could carry when warm would make it fail now."""
        return self._capacity(provider) * self.settings.safety.fall_multiple < 2

    def _cold_allowance(self, provider: ProviderState) -> int:
        """Return how many attempts this balancer may send to a cold provider in `fall_after`, whatever others send.

        Besides its budget N a provider tolerates chance variation of 2 x the root of N + 2. This is the balancer's part
        of that, where the whole traffic needs no more; else 0.
        """
        settings = self.settings
        if settings.balancers > RECENT_SENDS or not self._is_cold(provider):
            return 0
        size, pool = self._size(provider), self._pool_of(provider)
        requested = size * settings.balancers * settings.safety.fall_after / (self.interval or inf)
        if not size or requested > RECENT_SENDS * pool.size:
            return 0
        whole = max(1, self.local.size + self.remote.size)
        budget = settings.safety.fall_multiple * self._capacity(provider) * requested / whole
        allowance = int((2 * sqrt(budget) + 2) / settings.balancers)
        return allowance if requested <= allowance * settings.balancers * pool.size else 0

    def _size(self, provider: ProviderState) -> float:
        return provider.weight if self.settings.capacity_known else 1.0

    def _update_size(self, pool: Pool) -> float:
        half_life = self.settings.safety.warm_within // 2
        return pool.update_size(self.now, half_life, sum(map(self._size, pool.providers)))

    def _spread_weight(self, provider: ProviderState) -> float:
        """Return a provider's weight in the even spread: its size, reduced while it is cold.

        It is reduced further during overload, whose retries multiply the requests that arrive, so that all balancers
        together send a provider no more than it can handle.
        """
        size, capacity = self._size(provider), self._capacity(provider)
        overload = self._pool_of(provider).load.overload
        return size if capacity >= 1 or self._cold_allowance(provider) else size * capacity * (1 - overload)

    def _refresh_round(self, pool: Pool) -> None:
        """Begin a new round if no turns are left, or if the pool's capacity may be out of date.

        Cold providers warm up while few turns of their pool are taken.
        """
        fall_after = self.settings.safety.fall_after
        if not pool.turns or (pool.capacity < 1 and self.now - pool.round_started_at >= fall_after):
            self._begin_round(pool)

    def _begin_round(self, pool: Pool) -> None:
        """Begin a new round with one turn for each provider on average, by weight; only the remainder is random."""
        providers = [p for p in pool.providers if p.ejected_until <= self.now]
        if 2 * len(providers) < len(pool.providers):
            providers = pool.providers[:]  # the panic threshold again: providers may have left since the ejections
        if pool is self.remote and self.local.providers:
            # Overflow of the own zone has an unknown volume: only a cold provider's own zone may send to it.
            providers = [p for p in providers if not self._is_cold(p)]
        if not providers:
            return
        pool.turns = []
        pool.round_started_at = self.now
        self.random.shuffle(providers)
        weights = [self._spread_weight(p) for p in providers]
        total = sum(weights)
        # While some providers are cold, the whole includes ejected providers and those that left recently: the cold
        # ones must not get the traffic of these.
        whole = sum(self._size(p) for p in providers)
        if any(self._is_cold(p) for p in providers):
            whole = max(whole, self._update_size(pool))
        pool.capacity, pool.all_cold = total / whole, all(map(self._is_cold, providers))
        scale, point = len(providers) / total, self.random.random()
        for provider, weight in zip(providers, weights, strict=True):
            point -= weight * scale
            while point < 0:
                pool.turns.append(provider)
                point += 1
        self.random.shuffle(pool.turns)

    def _pick_first(self, cls: RequestClass) -> ProviderState | None:
        """Pick the provider of a request's first attempt, or None to reject the request.

        Regardless of load it is the next turn of the own zone, or of the other zones if that has no provider. A zone
        with cold providers keeps the requests that they can handle and lets the others overflow to other zones.
        """
        pool = self.local if any(p.ejected_until <= self.now for p in self.local.providers) else self.remote
        pool = pool if pool.providers else self.local
        if not pool.providers:
            return None
        for provider in self.remote_to_warm if pool is self.local else ():
            if self._is_due(provider, cls):
                return provider
        self._refresh_round(pool)
        overflow = rejected = 1 - pool.capacity * (1 - pool.load.overload)
        if pool is self.local and self.remote.providers:
            self._refresh_round(self.remote)
            if self.remote.turns:
                remote = self.remote.load
                rejected *= remote.overload if pool.all_cold else pool.load.rejected_overflow(remote)
        if self._is_rejected(cls, rejected):
            return None
        if pool is self.local and self.random.random() * (1 - rejected) < overflow - rejected:
            pool = self.remote
        drawn = self._draw(pool, cls) or (self._draw(self.remote, cls) if pool is self.local else None)
        if drawn is not None:
            return drawn
        providers = self.remote.providers if self.local.all_cold else self.local.providers + self.remote.providers
        usable = [p for p in providers if p.ejected_until <= self.now and not self._is_cold(p)]
        mean_worth = sum(share * self.settings.classes[name].worth for name, share in self.class_shares.items())
        # The most valuable requests are sent as long as they may be answered in time at all: rejecting the others
        # leaves them the capacity.
        if cls.worth >= mean_worth * (1 - 1e-9) and (fit := [p for p in usable if self._can_meet_aim(p, cls)]):
            return min(fit, key=lambda p: p.added_latency * (len(p.in_flight) + 1))
        # A provider that fails now and then is better than none.
        fit = [p for p in usable if self._has_room(p, cls)]
        return min(fit, key=lambda p: self._failure_rate(p, cls.name), default=None)

    def _is_due(self, provider: ProviderState, cls: RequestClass) -> bool:
        """Return whether a cold provider of another zone is due its even share of the repeatable requests.

        No other balancer may send to it. With the same amount from the balancers of its own zone it stays below
        `fall_multiple`.
        """
        if cls.effect is not Effect.REPEATABLE or not self._is_cold(provider) or provider.ejected_until > self.now:
            return False
        idle = self.now - max(provider.last_sent_at, provider.started_at)
        share = idle * self._size(provider) * self._capacity(provider)
        due = share > self.interval * (self._update_size(self.local) + self._update_size(self.remote))
        return due and self._has_room(provider, cls) and self._is_healthy(provider, cls)

    def _is_rejected(self, cls: RequestClass, share: float) -> bool:
        """Return whether a request is in the `share` of all requests to reject.

        The least valuable requests are rejected first, and no more than that share of the traffic as a whole.
        """
        if share <= 0:
            return False
        classes = self.settings.classes
        less = sum(s for name, s in self.class_shares.items() if classes[name].worth < cls.worth)
        same = sum(s for name, s in self.class_shares.items() if classes[name].worth == cls.worth)
        return self.random.random() * same < share - less

    def _can_meet_aim(self, provider: ProviderState, cls: RequestClass) -> bool:
        usable = provider.skipped_until <= self.now and self._is_healthy(provider, cls)
        limit = cls.aim * MAX_LATENCY_SHARE
        return usable and provider.added_latency * (len(self._live_attempts(provider, cls)) + 1) <= limit

    def _failure_rate(self, provider: ProviderState, class_name: str) -> float:
        """Return the share of its answers to this class that are failures, decayed to now.

        It decays more slowly the longer only failures came, so that a provider is tried again but not at the cost of
        many requests.
        """
        recorded = provider.failure_rates.get(class_name)
        if recorded is None or not recorded.rate:
            return 0.0
        half_life = max(1, self.settings.safety.fall_after) * 2**recorded.streak
        return float(recorded.rate * 0.5 ** ((self.now - recorded.updated_at) / half_life))

    def _is_healthy(self, provider: ProviderState, cls: RequestClass) -> bool:
        """Return whether a provider may be sent this class.

        A balancer that seldom sends to a provider learns of its fault from one failure. Until the provider has answered
        again, only repeatable requests try it.
        """
        if self._failure_rate(provider, cls.name) >= MAX_FAILURE_RATE:
            return False
        since = self.now - provider.last_failure_at
        failures = provider.recent_failures
        doubtful = failures >= 1 and since < self.settings.safety.fall_after * 2**failures
        return not doubtful or cls.effect is Effect.REPEATABLE

    def _record_result(self, provider: ProviderState, cls: RequestClass, failed: bool) -> None:
        """Add an answer, or an attempt that is taken for lost, to the failure rate of its class."""
        recorded = provider.failure_rates.setdefault(cls.name, FailureRate())
        rate = self._failure_rate(provider, cls.name)
        recorded.rate = rate + (failed - rate) / FAILURE_MEMORY
        recorded.streak = min(MAX_FAILURE_STREAK, recorded.streak + 1) if failed else 0
        recorded.updated_at = self.now

    def _draw(self, pool: Pool, cls: RequestClass) -> ProviderState | None:
        """Return the next turn's provider that can take an attempt; when no turns are left, begin one more round.

        A provider with many more attempts in flight than its peers is slower: its turn goes to them (consistent hashing
        with bounded loads, Mirrokni et al., 2018).
        """
        limit = 1 + MAX_IN_FLIGHT_RATIO * len(self.attempts) / max(1, len(pool.providers))
        for _ in range(2):
            for _ in range(min(MAX_TURNS_EXAMINED, len(pool.turns))):
                provider = pool.turns.pop()
                usable = len(provider.in_flight) < limit and self._has_room(provider, cls)
                if usable and self._is_healthy(provider, cls) and not self._is_slow(provider, cls):
                    return provider
                if self._is_cold(provider):
                    pool.turns.insert(0, provider)  # it keeps its turn until the interval between attempts has passed
            if pool.turns or not any(self._has_room(p, cls) for p in pool.providers):
                return None
            self._begin_round(pool)
        return None

    def _has_room(self, provider: ProviderState, cls: RequestClass) -> bool:
        """Return whether the provider can answer one more attempt in time, given this balancer's own attempts there.

        An attempt that is in flight for long shows that the provider is stuck. A provider that returns from ejection
        gets one attempt at a time.
        """
        if provider.skipped_until > self.now:
            return False
        if self._is_cold(provider):
            # Attempts keep an interval that is `fall_multiple` times shorter than an even spread has it, and no
            # shorter: turns that other providers were skipped for, or retries, would make it fail. A balancer that
            # started later than the provider may receive the retries of requests that others rejected.
            fall_after = self.settings.safety.fall_after
            started_beside = provider.started_at < self.first_request_at > self.now - INTERVAL_KNOWN_AFTER * fall_after
            rate = self._size(provider) * self._capacity(provider)  # 0: no attempts at all
            rate *= UNKNOWN_TRAFFIC_FACTOR if started_beside else self.settings.safety.fall_multiple
            first = provider.last_sent_at < provider.notified_at
            apart = self.interval * self._pool_of(provider).size * (provider.phase if first else 1)
            if (self.now - max(provider.last_sent_at, provider.notified_at)) * rate < apart:
                allowance = self._cold_allowance(provider)
                if not allowance or provider.recent_sends[-allowance] > self.now - fall_after:
                    return False
        if not (in_flight := self._live_attempts(provider, cls)):
            return True
        if provider.ejections or self.now - in_flight[0].sent_at > self._late_after(cls):
            return False
        share = LOCAL_LATENCY_SHARE if provider.zone == self.settings.zone else REMOTE_LATENCY_SHARE
        return provider.added_latency * (len(in_flight) + 1) <= cls.aim * share

    def _is_slow(self, provider: ProviderState, cls: RequestClass) -> bool:
        """Return whether recent answers took too long, though none of this balancer's attempts waits there.

        If it seldom sends to the provider, the queue there consists of other balancers' attempts. The latency decays,
        so that the provider is tried again, and is no reason to reject a request.
        """
        idle = self.now - provider.last_sent_at > cls.aim
        return idle and self._recent_latency(provider) > self._late_after(cls) * MAX_LATENCY_SHARE

    def _recent_latency(self, provider: ProviderState) -> float:
        half_life = max(1, LATENCY_HALF_LIFE * self.settings.safety.fall_after)
        return float(provider.latency * 0.5 ** ((self.now - provider.last_answer_at) / half_life))

    def _live_attempts(self, provider: ProviderState, cls: RequestClass) -> list[AttemptState]:
        """Return this balancer's attempts that are in flight at the provider, the oldest first, without lost ones.

        An attempt that is late while later ones were answered is lost, on a connection that went silent or with an
        incomplete answer. It is no load and says nothing about the others.
        """
        since = self.now - self._late_after(cls)
        return [a for a in provider.in_flight if a.sent_at > provider.answered_sent_at or a.sent_at >= since]

    def _pick_retry(self, request: RequestState) -> ProviderState | None:
        """Pick a provider for a further attempt: one not tried before, and of the group that its effect allows.

        The own zone comes first here too; unlike a first attempt, a retry leaves it when it must.
        """
        tried = [a.provider for a in request.attempts]
        ran = request.may_have_run()
        for providers in (self.local.providers, self.remote.providers):
            fit = [p for p in providers if p not in tried and p.ejected_until <= self.now]
            if ran is not None and request.cls.effect is Effect.BY_KEY:
                fit = [p for p in fit if p.group(request.cls.scope) == ran.group]
            # During overload, retries would make cold providers fail.
            fit = [p for p in fit if not self._is_cold(p) and self._has_room(p, request.cls)]
            fit = [p for p in fit if self._is_healthy(p, request.cls)] or fit
            if fit:
                return self.random.choices(fit, [self._spread_weight(p) for p in fit])[0]
        return None

    # ---- attempts, retries, rejections ----------------------------------------------------------

    def _request(self, event: Request) -> None:
        cls = event.request_class or self.settings.classes[event.class_name]
        capacity = (self.local if self.local.providers else self.remote).capacity
        fall_after = self.settings.safety.fall_after
        self.first_request_at = self.first_request_at or self.now
        # Beside cold providers rejected requests are retried by their clients: the interval stays what it was before.
        known_at = self.first_request_at + INTERVAL_KNOWN_AFTER * fall_after
        if self.last_request_at and (capacity >= 1 or self.now < known_at):
            since = min(self.now - self.last_request_at, fall_after)
            half_life = max(1, self.settings.safety.warm_within // 2)
            self.intervals = 1 + self.intervals * 0.5 ** (since / half_life)
            self.interval += (since * min(MAX_CLIENT_SENDS, 1 / capacity) - self.interval) / self.intervals
        self.last_request_at = self.now
        for name, share in self.class_shares.items():
            self.class_shares[name] = share + ((name == cls.name) - share) / CLASS_MEMORY
        self._update_step()
        self.retry_budget = min(RETRY_BURST, self.retry_budget + RETRIES_PER_REQUEST)
        # The client's deadline had passed when the request was read, or this process has no capacity for it. No
        # provider has received it, so that every request may be retried.
        if event.time_left <= 0 or self._is_rejected(cls, event.reject_share):
            self.actions.append(Reject(event.id, self._retry_after(cls)))
            return
        request = self.requests[event.id] = RequestState(event, cls, self.now)
        self._serve(request)

    def _serve(self, request: RequestState) -> None:
        provider = self._pick_first(request.cls)
        if provider is None and self.providers:
            self._end_request(request)  # no provider could answer it in time
        elif provider is None or not self._send_attempt(request, provider):
            self._wait_for_provider(request)

    def _wait_for_provider(self, request: RequestState) -> None:
        """Keep the request until a list update brings a provider or its deadline passes."""
        if request.id not in self.waiting:
            self.waiting[request.id] = request
            delay = max(0, request.deadline - self.now)
            self.actions.append(Timer(delay, REQUEST_TAG + request.id, request.id))

    def _send_attempt(self, request: RequestState, provider: ProviderState) -> bool:
        """Send an attempt, or return False if the rules or the limits forbid it. This is the only gate for attempts.

        One final answer: nothing is sent for a request that has ended. No second effect: see the checks of `effect`.
        Drains: attempts go only to providers that the list calls ready, from the moment this balancer is notified.
        """
        cls, attempts = request.cls, request.attempts
        if request.id not in self.requests or request.streaming or not provider.ready or self.now >= request.deadline:
            return False
        if len(attempts) >= self.settings.max_attempts:
            return False
        if request.has_attempt_in_flight() and not self.settings.second_copies:
            return False
        ran, send_by = request.may_have_run(), request.deadline
        if ran is not None and cls.effect is Effect.ONCE:
            return False
        if ran is not None and cls.effect is Effect.BY_KEY:
            send_by = min(send_by, ran.sent_at + cls.window)
            if ran.group != provider.group(cls.scope) or self.now >= send_by:
                return False
        self.waiting.pop(request.id, None)
        attempt = AttemptState(provider, cls, self.now)
        attempts.append(attempt)
        self.attempts[request.id, len(attempts) - 1] = attempt
        # A cold or ejected provider is slow for reasons of its own, which say nothing about its group's load.
        if not self._is_cold(provider) and provider.ejected_until <= self.now:
            baseline = self.baselines.get(cls.name, UNKNOWN_BASELINE).unit(cls.aim)
            attempt.tracked = self._pool_of(provider).load.track(baseline)
        self.actions.append(Attempt(request.id, provider.address, request.deadline, send_by))
        self.actions.append(Timer(self._late_after(cls), f"{LATE_TAG}{len(attempts) - 1}:{request.id}", request.id))
        return True

    def _attempt_ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts.pop((event.request_id, event.attempt), None)
        request = self.requests.get(event.request_id)
        if attempt is not None:
            self._release_attempt(attempt, event)
        if attempt is None or request is None:
            return
        provider, outcome = attempt.provider, event.outcome
        if outcome in PROVIDER_FAILURES:
            self._record_failure(provider, request.cls, outcome is Outcome.CONNECT_FAILED)
        if outcome is Outcome.FULL:
            provider.skipped_until = self.now + int(request.cls.aim * SKIP_AFTER_FULL)
        elif outcome is Outcome.CONNECT_FAILED:
            provider.skipped_until = self.now + int(request.cls.aim * SKIP_AFTER_CONNECT_FAILED)
        if outcome is Outcome.FULL and not self._is_cold(provider):
            self._pool_of(provider).load.add_rejected()
        elif outcome is Outcome.OK and not attempt.late:
            self._record_success(attempt, event.elapsed)
        elif outcome is Outcome.TIMED_OUT and attempt.late and attempt.sent_at >= provider.last_answer_at:
            self._add_penalty(provider, LATE_PENALTY * (1 - self._pool_of(provider).load.overload))
        elif outcome is Outcome.TIMED_OUT and not attempt.late:
            self._record_overrun(provider, attempt.cls)
        attempt.in_flight = False
        attempt.never_ran = outcome.never_ran
        if event.request_ended or outcome is Outcome.OK:
            self._forget(request.id)
        elif not request.has_attempt_in_flight() and not self._retry(request):
            self._end_request(request)

    def _release_attempt(self, attempt: AttemptState, event: AttemptEnded) -> None:
        """Remove an ended attempt from its provider; an answer updates the provider's latency and failure rates."""
        provider = attempt.provider
        provider.in_flight.pop(attempt, None)
        if attempt.tracked is not None:
            attempt.tracked.end()
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.RESET):
            provider.latency, provider.last_answer_at = self._recent_latency(provider), self.now
            self._record_result(provider, attempt.cls, event.outcome is not Outcome.OK)
            provider.answered_sent_at = max(provider.answered_sent_at, attempt.sent_at)
        if event.outcome is Outcome.OK:
            provider.recent_failures /= 2
            # The class may have been removed from the settings.
            self.baselines.get(attempt.cls.name, BaselineLatency()).update(self.now, event.elapsed)
            provider.latency += (event.elapsed - provider.latency) / LATENCY_MEMORY
            added = event.elapsed / attempt.position
            mean = provider.added_latency
            provider.added_latency += (added - mean) / ADDED_LATENCY_MEMORY if mean else added

    def _retry(self, request: RequestState) -> bool:
        """Send a further attempt if the rules allow one and the retry budget has one left.

        The budget grows by less than one retry per request, which keeps a failing fleet from a retry storm.
        """
        if self.retry_budget < 1:
            return False
        provider = self._pick_retry(request)
        if provider is None or not self._send_attempt(request, provider):
            return False
        self.retry_budget -= 1
        return True

    def _stream_started(self, event: StreamStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is not None:
            request.streaming = True

    def _timer(self, tag: str) -> None:
        if tag == DISCOVERY_TAG:
            self.call_scheduled = False
            self.actions.append(Watch())
        elif tag.startswith(LATE_TAG):
            number, _, request_id = tag[len(LATE_TAG) :].partition(":")
            request = self.requests.get(request_id)
            attempt = None if request is None or request.streaming else request.attempts[int(number)]
            if request is not None and attempt is not None and attempt.in_flight:
                attempt.late = True
                if attempt.tracked is not None:
                    attempt.tracked.end()
                if attempt.sent_at >= attempt.provider.answered_sent_at:
                    self._record_overrun(attempt.provider, request.cls)
                else:  # lost: a provider that hangs on one class may answer the others
                    self._record_result(attempt.provider, request.cls, True)
        elif tag.startswith(REQUEST_TAG):
            request = self.waiting.get(tag[len(REQUEST_TAG) :])
            if request is not None and self.now >= request.deadline:
                self._end_request(request)

    # ---- final answers --------------------------------------------------------------------------

    def _end_request(self, request: RequestState) -> None:
        """Give the final answer to a request that was not served: a rejection if it is harmless, else a failure."""
        ran = request.may_have_run()
        harmless = ran is None or request.cls.retryable_anywhere
        self.actions.append(Reject(request.id, self._retry_after(request.cls)) if harmless else Fail(request.id))
        self._forget(request.id)

    def _retry_after(self, cls: RequestClass) -> int:
        """Return how long a client should wait before it retries: the longer, the more requests are rejected now.

        It is never longer than a part of the aim: a prompt retry has a chance of its own, and one that comes too late
        only adds to the next peak.
        """
        if not self.settings.retry_after:
            return 0
        pool = self.local if self.local.providers else self.remote
        rejected = 1 - pool.capacity * (1 - pool.load.overload)
        advice = int(cls.aim * RETRY_AFTER_SHARE * max(rejected, MIN_REJECTED_SHARE))
        return min(self.settings.max_retry_after, advice)

    def _forget(self, request_id: str) -> None:
        self.requests.pop(request_id, None)
        self.waiting.pop(request_id, None)
