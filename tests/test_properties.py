"""Random legal histories against an oracle that knows the rules and nothing of the module."""

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
    st.integers(0, 1_000_000),  # what the step picks among its choices
)


def build(seed, second_copies):
    return make_balancer(seed, second_copies=second_copies, max_attempts=MAX_ATTEMPTS)


class Oracle:
    """Plays the world: keeps time, ends attempts, fires timers, and checks every action."""

    def __init__(self, seed, second_copies):
        self.balancer = build(seed, second_copies)
        self.second_copies = second_copies
        self.now = 5 * SECOND
        self.open = {}  # id: [class, deadline, attempts as [server, sent, outcome or None]]
        self.over = set()
        self.timers = []
        self.ready = set()
        self.named = set()
        self.out = []  # (id, number, give up at)
        self.log = []

    def feed(self, *events):
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
            cls, deadline, tries = self.open[action.request_id]
            assert action.provider in self.ready, "an attempt to a server not listed as ready"
            assert len(tries) < MAX_ATTEMPTS
            assert self.second_copies or all(t[2] is not None for t in tries)
            ran = [t for t in tries if t[2] not in NEVER_RAN]
            if cls.effect is Effect.ONCE:
                assert not ran, "an effect could happen twice"
            if cls.effect is Effect.BY_KEY:
                for server, sent, _ in ran:
                    assert self.now < sent + cls.window
                    mine, theirs = ADDRESSES[action.provider], ADDRESSES[server]
                    assert cls.scope is not Scope.ZONE or mine[0] == theirs[0]
                    assert cls.scope is not Scope.CELL or mine[1] == theirs[1]
            tries.append([action.provider, self.now, None])
            give_up = min(action.give_up_at or deadline, deadline)
            self.out.append((action.request_id, len(tries) - 1, give_up))
        elif isinstance(action, Reject):
            cls, _, tries = self.open.pop(action.request_id)
            self.over.add(action.request_id)
            ran = [t for t in tries if t[2] not in NEVER_RAN]
            if cls.effect is Effect.ONCE or (cls.effect is Effect.BY_KEY and cls.scope is not Scope.ALL):
                assert not ran, "a refusal of what may have run"
        elif isinstance(action, Fail):
            self.open.pop(action.request_id)
            self.over.add(action.request_id)
        elif isinstance(action, Cancel):
            raise AssertionError("cancelling is not allowed in these settings")

    def end(self, request_id, number, outcome):
        self.out = [o for o in self.out if o[:2] != (request_id, number)]
        server = ""
        if request_id in self.open:
            entry = self.open[request_id][2][number]
            entry[2] = outcome
            server = entry[0]
        over = outcome is Outcome.OK or request_id in self.over
        if over:
            self.open.pop(request_id, None)
            self.over.add(request_id)
        self.feed(AttemptEnded(request_id, number, server, outcome, 10 * MS, over))

    def advance(self, until):
        """Time passes: attempts time out and timers fire, each in its turn."""
        while True:
            due = [(at, 0, (i, n)) for i, n, at in self.out] + [(at, 1, (tag,)) for at, tag in self.timers]
            due = [d for d in due if d[0] <= until]
            if not due:
                break
            at, kind, what = min(due)
            self.now = max(self.now + (1 if kind else 0), at)
            if kind:
                self.timers.remove((at, what[0]))
                self.feed(TimerFired(what[0]))
            else:
                self.end(*what, Outcome.TIMED_OUT)
        self.now = max(self.now, until)
        for request_id, (_, deadline, _) in self.open.items():
            assert self.now <= deadline + 20 * MS, f"{request_id} has no answer at its deadline"

    def step(self, kind, wait, pick):
        self.advance(self.now + wait * MS)
        if kind == "request":
            cls = CLASSES[pick % len(CLASSES)]
            request_id = f"r{len(self.log)}"
            patience = (100 + pick % 900) * MS
            self.open[request_id] = [cls, self.now + patience, []]
            self.feed(Request(request_id, cls.name, patience))
        elif kind == "end" and self.out:
            request_id, number, _ = self.out[pick % len(self.out)]
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
            self.feed(MembershipUpdate(UpdateKind.FULL if pick % 2 else UpdateKind.CHANGES, tuple(entries)))
        elif kind == "fail":
            self.feed(MembershipUpdate(UpdateKind.FAILED))
        elif kind == "gone" and self.open:
            request_id = list(self.open)[pick % len(self.open)]
            del self.open[request_id]
            self.over.add(request_id)
            self.feed(RequestCancelled(request_id))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.booleans(), st.lists(STEP, max_size=60))
def test_no_rule_is_broken_on_any_legal_history(seed, second_copies, steps):
    oracle = Oracle(seed, second_copies)
    if seed % 2:  # else no server is known at first
        listed = tuple(endpoint(a, zone, cell) for a, (zone, cell) in ADDRESSES.items())
        oracle.ready = set(ADDRESSES)
        oracle.feed(MembershipUpdate(UpdateKind.REMEMBERED, listed))
    for step in steps:
        oracle.step(*step)
    oracle.advance(oracle.now + 2 * SECOND)
    assert not oracle.open, "every request has had its one answer"
    replay, fresh = build(seed, second_copies), build(seed, second_copies)
    again = [replay.handle(now, events) for now, events in oracle.log]
    assert again == [fresh.handle(now, events) for now, events in oracle.log], "equal events, equal actions"
