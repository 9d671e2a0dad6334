"""Random legal event histories, checked by an oracle that knows the safety rules and nothing of the balancer."""

from hypothesis import given, settings
from hypothesis import strategies as st
from support import CLASSES, MS, SECOND, endpoint, make_balancer

from loftweir.interface import (
    Attempt,
    AttemptEnded,
    Cancel,
    Effect,
    Fail,
    Lifecycle,
    MembershipUpdate,
    Outcome,
    Reject,
    Request,
    RequestCancelled,
    Scope,
    Timer,
    TimerFired,
    UpdateKind,
)

BY_NAME = {c.name: c for c in CLASSES}
ADDRESSES = {f"{zone}{i}": (zone, 10 * n + i // 2) for n, zone in enumerate("abc") for i in range(3)}
MAX_ATTEMPTS = 3
NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}

STEP = st.tuples(
    st.sampled_from(["request", "request", "request", "end", "end", "end", "list", "fail", "gone"]),
    st.integers(0, 400),  # milliseconds since the step before
    st.integers(0, 1_000_000),  # selects among the step's choices
)


def new_balancer(seed, second_copies):
    return make_balancer(seed, second_copies=second_copies, max_attempts=MAX_ATTEMPTS)


class Oracle:
    """Simulates the host: keeps time, ends attempts, fires timers, and checks every action."""

    def __init__(self, seed, second_copies):
        self.balancer = new_balancer(seed, second_copies)
        self.second_copies = second_copies
        self.now = 5 * SECOND
        self.open = {}  # by id: [class, deadline, attempts as [provider, sent at, outcome or None]]
        self.over = set()
        self.timers = []
        self.ready = set()
        self.in_flight = []  # attempts in flight: (id, number, give up at)
        self.log = []

    def handle(self, *events):
        batch = list(events)
        self.log.append((self.now, batch))
        for action in self.balancer.handle(self.now, batch):
            self.check(action)

    def check(self, action):
        if isinstance(action, Timer):
            assert action.delay >= 0
            self.timers.append((self.now + action.delay, action.tag))
        elif isinstance(action, Attempt):
            assert action.request_id in self.open, "an attempt for a request that is over"
            cls, deadline, attempts = self.open[action.request_id]
            assert action.provider in self.ready, "an attempt to a provider that is not listed as ready"
            assert len(attempts) < MAX_ATTEMPTS
            assert self.second_copies or all(a[2] is not None for a in attempts)
            ran = [a for a in attempts if a[2] not in NEVER_RAN]
            if cls.effect is Effect.ONCE:
                assert not ran, "an effect could happen twice"
            if cls.effect is Effect.BY_KEY:
                for provider, sent, _ in ran:
                    assert self.now < sent + cls.window
                    chosen, previous = ADDRESSES[action.provider], ADDRESSES[provider]
                    assert cls.scope is not Scope.ZONE or chosen[0] == previous[0]
                    assert cls.scope is not Scope.CELL or chosen[1] == previous[1]
            attempts.append([action.provider, self.now, None])
            give_up_at = min(action.give_up_at or deadline, deadline)
            self.in_flight.append((action.request_id, len(attempts) - 1, give_up_at))
        elif isinstance(action, Reject):
            cls, _, attempts = self.open.pop(action.request_id)
            self.over.add(action.request_id)
            ran = [a for a in attempts if a[2] not in NEVER_RAN]
            if cls.effect is Effect.ONCE or (cls.effect is Effect.BY_KEY and cls.scope is not Scope.ALL):
                assert not ran, "a rejection of a request that may have run"
        elif isinstance(action, Fail):
            self.open.pop(action.request_id)
            self.over.add(action.request_id)
        elif isinstance(action, Cancel):
            raise AssertionError("the settings do not allow Cancel")

    def end(self, request_id, number, outcome):
        self.in_flight = [o for o in self.in_flight if o[:2] != (request_id, number)]
        provider = ""
        if request_id in self.open:
            entry = self.open[request_id][2][number]
            entry[2] = outcome
            provider = entry[0]
        over = outcome is Outcome.OK or request_id in self.over
        if over:
            self.open.pop(request_id, None)
            self.over.add(request_id)
        self.handle(AttemptEnded(request_id, number, provider, outcome, 10 * MS, over))

    def advance(self, until):
        """Advance the time: attempts time out and timers fire, each at its time."""
        while True:
            due = [(at, 0, (i, n)) for i, n, at in self.in_flight] + [(at, 1, (tag,)) for at, tag in self.timers]
            due = [d for d in due if d[0] <= until]
            if not due:
                break
            at, kind, arguments = min(due)
            self.now = max(self.now + (1 if kind else 0), at)
            if kind:
                self.timers.remove((at, arguments[0]))
                self.handle(TimerFired(arguments[0]))
            else:
                self.end(*arguments, Outcome.TIMED_OUT)
        self.now = max(self.now, until)
        for request_id, (_, deadline, _) in self.open.items():
            assert self.now <= deadline + 20 * MS, f"{request_id} has no final answer at its deadline"

    def step(self, kind, wait, pick):
        self.advance(self.now + wait * MS)
        if kind == "request":
            cls = CLASSES[pick % len(CLASSES)]
            request_id = f"r{len(self.log)}"
            time_left = (100 + pick % 900) * MS
            self.open[request_id] = [cls, self.now + time_left, []]
            self.handle(Request(request_id, cls.name, time_left))
        elif kind == "end" and self.in_flight:
            request_id, number, _ = self.in_flight[pick % len(self.in_flight)]
            outcomes = [o for o in Outcome if o is not Outcome.NOT_SENT]
            self.end(request_id, number, outcomes[pick // 7 % len(outcomes)])
        elif kind == "list":
            entries, ready = [], set()
            for n, (address, (zone, cell)) in enumerate(ADDRESSES.items()):
                state = list(Lifecycle)[0 if pick >> n & 1 else pick % 3]
                started_at = self.now if pick >> (n + 3) & 1 else 0
                entries.append(endpoint(address, zone, cell, state, 1.0 + n % 2, started_at))
                if state is Lifecycle.READY:
                    ready.add(address)
            self.ready = ready
            self.handle(MembershipUpdate(UpdateKind.FULL if pick % 2 else UpdateKind.CHANGES, tuple(entries)))
        elif kind == "fail":
            self.handle(MembershipUpdate(UpdateKind.FAILED))
        elif kind == "gone" and self.open:
            request_id = list(self.open)[pick % len(self.open)]
            del self.open[request_id]
            self.over.add(request_id)
            self.handle(RequestCancelled(request_id))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.booleans(), st.lists(STEP, max_size=60))
def test_no_safety_rule_is_broken_in_any_legal_history(seed, second_copies, steps):
    oracle = Oracle(seed, second_copies)
    if seed % 2:  # else no provider is known at first
        listed = tuple(endpoint(a, zone, cell) for a, (zone, cell) in ADDRESSES.items())
        oracle.ready = set(ADDRESSES)
        oracle.handle(MembershipUpdate(UpdateKind.REMEMBERED, listed))
    for step in steps:
        oracle.step(*step)
    oracle.advance(oracle.now + 2 * SECOND)
    assert not oracle.open, "every request has its final answer"
    first, second = new_balancer(seed, second_copies), new_balancer(seed, second_copies)
    replayed = [first.handle(now, events) for now, events in oracle.log]
    assert replayed == [second.handle(now, events) for now, events in oracle.log], (
        "equal events and seeds must give equal actions"
    )
