"""Holders, keepers and the machine in virtual time, over seeds: clocks 5 % off, lost and late answers, stalls, other
leaders. What is taken out or turned round by `MUTANTS` is found by the same runs."""

import heapq
import os
from random import Random

import pytest

from loftweir.emulator.histories import Act, two_holders
from loftweir.lease import holder as holding
from loftweir.lease.holder import (
    TRAITS,
    TRANSITIONS,
    HolderState,
    LeaseHolder,
    LeaseUnwanted,
    LeaseWanted,
    ResponseReceived,
    SendOperation,
    TaskStarted,
    TaskStopped,
    Tick,
    Transition,
)
from loftweir.lease.keeper import LeaseExpirer
from loftweir.replication import machine as keeping
from loftweir.replication.machine import (
    SECOND,
    AcquireLease,
    Command,
    ExpireLease,
    FencedWrite,
    Lease,
    LeaseHeld,
    LeaseNotHeld,
    Machine,
    Ok,
    ReleaseLease,
    RenewLease,
    UnknownSession,
    encode,
)

SEEDS = int(os.environ.get("LEASE_SEEDS", 1200))
MS = 1_000_000


class Clock:
    def __init__(self, random):
        self.rate, self.offset = random.choice([0.95, 1.05, random.uniform(0.95, 1.05)]), random.randrange(10**12)

    def __call__(self, true):
        return self.offset + int(true * self.rate)

    def true(self, local):
        return int((local - self.offset) / self.rate) + 1


class World:
    """Three members, one of which leads or none does; three holders that want one duty. Times are true, ns."""

    def __init__(self, seed, holder=LeaseHolder, keeper=LeaseExpirer):
        self.random = r = Random(seed)
        self.now, self.events, self.count, self.calm = 0, [], 0, False
        self.machine, self.flight, self.grants, self.accepted, self.sent = Machine(), [], [], [], {}
        self.keepers, self.clocks, self.leader = [keeper() for _ in range(3)], [Clock(r) for _ in range(3)], None
        self.holders = [holder("duty", f"h{n}", r.choice([1, 1, 2]) * SECOND, Random(seed * 3 + n)) for n in range(3)]
        self.own, self.stalled, self.ticks = [Clock(r) for _ in range(3)], [0] * 3, [0] * 3
        for n in range(3):
            self.at(r.randrange(SECOND), self.holder, n, LeaseWanted())
            self.at(r.randrange(SECOND), self.act, n)
        self.at(0, self.elect)
        self.at(r.randrange(3 * SECOND), self.stall)

    def at(self, after, do, *rest):
        self.count += 1
        heapq.heappush(self.events, (self.now + after, self.count, do, rest))

    def run(self, seconds):
        end = self.now + seconds * SECOND
        while self.events and self.events[0][0] < end:
            self.now, _, do, rest = heapq.heappop(self.events)
            do(*rest)
        self.now = end

    def way(self):
        """Of a message; None: it is lost."""
        draw = 1 if self.calm else self.random.random()
        if draw < 0.08:
            return None
        return self.random.randrange(1800 * MS if draw < 0.2 else 20 * MS)

    # ---- holders ----

    def holder(self, n, event):
        if self.now < self.stalled[n]:
            self.at(self.stalled[n] - self.now, self.holder, n, event)
            return
        one, clock = self.holders[n], self.own[n]
        for action in one.step(clock(self.now), event):
            if isinstance(action, SendOperation):
                self.send(n, one.name, action.operation, action.request_id)
        if one.next_at is not None and one.next_at != self.ticks[n]:
            self.ticks[n] = one.next_at
            self.at(max(0, clock.true(one.next_at) - self.now), self.tick, n, one.next_at)
        if TRAITS[one.state].may_act:
            acting = [m for m in range(3) if self.holders[m].valid_token(self.own[m](self.now)) is not None]
            assert len(acting) < 2, f"two holders: {acting}"

    def tick(self, n, at):
        if self.holders[n].next_at == at:
            self.holder(n, Tick())

    def act(self, n):
        self.at(self.random.randrange(600 * MS), self.act, n)
        token = self.holders[n].valid_token(self.own[n](self.now)) if self.now >= self.stalled[n] else None
        if token is not None:
            self.send(n, self.holders[n].name + "!", FencedWrite("duty", token, "k", b"%d" % self.now))

    def stall(self):
        self.at(self.random.randrange(4 * SECOND), self.stall)
        if not self.calm:
            self.stalled[self.random.randrange(3)] = self.now + self.random.randrange(3 * SECOND)

    def send(self, n, session, act, ask=None):
        life, number = self.sent.get(session, (0, 0))
        self.sent[session] = life, number + 1
        data = encode(Command(f"{session} {life}", number + 1, act))
        for _ in range(1 + (self.random.random() < 0.1)):  # once, or once more
            way = self.way()
            if way is not None:
                self.at(way, self.arrive, data, n, ask, self.now)
        if ask is not None and not self.calm:  # the caller's time for it
            self.at(self.random.randrange(500 * MS, 3 * SECOND), self.holder, n, ResponseReceived(ask, None))

    # ---- members ----

    def arrive(self, data, n=None, ask=None, sent=0):
        if self.leader is not None:
            slow = 1 if self.random.random() < 0.9 else 40
            self.flight.append((self.count, data, n, ask, sent))
            self.at(self.random.randrange(slow * 10 * MS), self.commit, self.count)

    def commit(self, upto):
        """All up to there, in the order of the log."""
        while self.flight and self.flight[0][0] <= upto:
            self.apply(*self.flight.pop(0))

    def apply(self, _, data, n, ask, sent):
        machine, index = self.machine, self.machine.index + 1
        lease = machine.leases.get("duty")
        result, order = machine.apply(index, data), keeping._decode_command(data)
        act = order.act
        if isinstance(act, FencedWrite) and isinstance(result, Ok) and result.index == index:
            assert lease.holder == self.holders[n].name and act.token == max(self.grants), "an old act was accepted"
            self.accepted.append(Act("duty", act.token, sent, self.now))
        if isinstance(act, AcquireLease) and isinstance(result, Ok) and result.index == index:
            assert result.value > max(self.grants, default=0), "a token that is not higher"
            self.grants.append(result.value)
        if machine.changed_lease and self.leader is not None:
            self.keepers[self.leader].lease_changed(
                self.clocks[self.leader](self.now), "duty", machine.leases.get("duty")
            )
            self.keep_later()
        if isinstance(result, UnknownSession):  # its caller begins another, once it hears of it
            session, life = order.session.split(" ")
            self.sent[session] = max(self.sent[session], (int(life) + 1, 0))
        way = self.way()
        if ask is not None and way is not None:
            self.at(way, self.holder, n, ResponseReceived(ask, result))

    def keep_later(self):
        at = self.keepers[self.leader].next_at
        if at is not None:
            self.at(max(0, self.clocks[self.leader].true(at) - self.now), self.keep, self.leader)

    def keep(self, leader):
        if leader == self.leader:
            for expire in self.keepers[leader].due_expirations(self.clocks[leader](self.now)):
                self.arrive(encode(Command("", 0, expire)))
            self.keep_later()

    def elect(self):
        """No leader for a while; then any, that has a part of what was under way."""
        if self.leader is not None:
            self.keepers[self.leader].lost_leadership()
        self.leader, self.flight = None, self.flight[: self.random.randint(0, len(self.flight))]
        self.at(self.random.randrange(1 + (not self.calm) * 1500 * MS), self.lead, self.random.randrange(3))

    def lead(self, leader):
        for entry in self.flight:
            self.apply(*entry)
        self.leader, self.flight = leader, []
        self.machine.skip(self.machine.index + 1)
        self.keepers[leader].became_leader(self.clocks[leader](self.now), self.machine.leases)
        self.keep_later()
        if not self.calm:
            self.at(self.random.randrange(200 * MS, 8 * SECOND), self.elect)


def judged(seed, seconds=8, **parts):
    world = World(seed, **parts)
    world.run(seconds)
    assert two_holders(world.accepted) == []
    world.calm = True
    world.run(5)
    assert any(h.valid_token(c(world.now)) for h, c in zip(world.holders, world.own, strict=True)), "nobody holds"
    return world


def test_never_two_holders_and_every_accepted_act_is_of_the_newest_token():
    grants = accepted = 0
    for seed in range(SEEDS):
        world = judged(seed)
        grants, accepted = grants + len(world.grants), accepted + len(world.accepted)
    assert grants > 2 * SEEDS and accepted > 5 * SEEDS, (grants, accepted)


# ---- what is taken out or turned round, and found -----------------------------------------------


class FromTheAnswer(LeaseHolder):
    def _on_response(self, now, answer):
        if answer.request_id in self._pending_requests:
            self._pending_requests[answer.request_id] = self._pending_requests[answer.request_id]._replace(sent=now)
        super()._on_response(now, answer)


class TakesUp(LeaseHolder):
    def _on_response(self, now, answer):
        if isinstance(answer.result, LeaseHeld) and answer.result.holder == self.name:
            answer = ResponseReceived(answer.request_id, Ok(0, answer.result.token))
        super()._on_response(now, answer)


class Revives(LeaseHolder):
    """A late renewal brings back what had lapsed a while ago."""

    def _transition(self, now, step, sent=None):
        if step is not Transition.EXPIRED or now > self.until + self.ttl // 2:
            super()._transition(now, step, sent)


class OldTime(LeaseExpirer):
    old: dict = {}

    def lost_leadership(self):
        self.old = self.countdowns
        super().lost_leadership()

    def became_leader(self, now, leases):
        super().became_leader(now, leases)
        for duty in self.countdowns.keys() & self.old.keys():
            self._start_countdown(
                duty, self.countdowns[duty]._replace(until=min(self.countdowns[duty].until, self.old[duty].until))
            )


def same_token(machine, act):
    result = Machine._acquire_lease(machine, act)
    if isinstance(result, Ok):
        machine.leases[act.duty] = machine.leases[act.duty]._replace(token=1)
        result = Ok(result.index, 1)
    return result


def whatever_was_renewed(machine, act):
    return Machine._expire_lease(machine, ExpireLease(act.duty, act.token, machine.index))


def any_token(machine, act):
    lease = machine.leases.get(act.duty)
    return Machine._write_fenced(machine, FencedWrite(act.duty, lease.token, act.key, act.value) if lease else act)


MUTANTS = {
    "no margin": ("two holders", lambda patch: patch.setattr(holding, "margin", lambda ttl: 0), {}),
    "half the drift": (
        "two holders", lambda patch: patch.setattr(holding, "margin", lambda ttl: ttl * 10 // 210), {}
    ),
    "counted from the answer, not the asking": ("two holders", None, {"holder": FromTheAnswer}),
    "a lease whose answer was lost is taken up": ("two holders", None, {"holder": TakesUp}),
    "a new leader goes on with the time it counted before": ("two holders", None, {"keeper": OldTime}),
    "a late renewal revives, and a lease ends whatever was renewed meanwhile": (
        "two holders",
        lambda patch: patch.setitem(keeping.OPERATION_HANDLERS, ExpireLease, whatever_was_renewed), {"holder": Revives}
    ),
    "the token does not grow": (
        "not higher", lambda patch: patch.setitem(keeping.OPERATION_HANDLERS, AcquireLease, same_token), {}
    ),
    "no fence": ("an old act", lambda patch: patch.setitem(keeping.OPERATION_HANDLERS, FencedWrite, any_token), {}),
}  # fmt: skip


@pytest.mark.parametrize("mutant", MUTANTS)
def test_each_mutant_is_found(mutant, monkeypatch):
    why, patch, parts = MUTANTS[mutant]
    if patch:
        patch(monkeypatch)
    with pytest.raises(AssertionError, match=why):
        for seed in range(3000):
            judged(seed, **parts)


# ---- the holder and the keeper alone ------------------------------------------------------------


def held(ttl=10 * SECOND):
    """A holder that asked at 0 and was granted token 7 at 1 s."""
    holder = LeaseHolder("d", "me", ttl, Random(1))
    assert holder.step(0, LeaseWanted()) == [SendOperation(1, AcquireLease("d", holder.name, ttl))]
    assert holder.step(SECOND, ResponseReceived(1, Ok(7, 7))) == [TaskStarted(7)]
    return holder, ttl - holding.margin(ttl)


def test_it_acts_until_its_time_counted_from_the_asking_and_renews_at_a_third():
    holder, until = held()
    assert until == 10 * SECOND - 952380953 - 50 * MS and holder.next_at == 10 * SECOND // 3
    assert (holder.valid_token(until - 1), holder.valid_token(until)) == (7, None), "stopped: its clock alone tells it"
    (renew,) = holder.step(holder.next_at, Tick())
    assert renew == SendOperation(2, RenewLease("d", holder.name, 7)) and holder.state is HolderState.RENEWING
    assert holder.step(until - 1, ResponseReceived(2, Ok(9, 7))) == [SendOperation(3, renew.operation)], (
        "from the asking a third has passed"
    )
    assert (
        holder.valid_token(until + 10 * SECOND // 3 - 1) == 7 and holder.valid_token(until + 10 * SECOND // 3) is None
    )


def test_a_lapse_ends_a_token_for_good():
    holder, until = held()
    holder.step(10 * SECOND // 3, Tick())
    assert holder.step(until, ResponseReceived(2, Ok(9, 7))) == [
        TaskStopped(7),
        SendOperation(3, ReleaseLease("d", holder.name, 7)),
    ]
    assert holder.valid_token(until) is None and holder.step(until + 1, ResponseReceived(3, None)) == []
    (ask,) = holder.step(holder.next_at, Tick())
    assert isinstance(ask.operation, AcquireLease), (
        "the release may be lost: it finds its own lease, and lets it go first"
    )
    assert holder.step(until + SECOND, ResponseReceived(ask.request_id, LeaseHeld(1, holder.name, 7)))[
        0
    ].operation == ReleaseLease("d", holder.name, 7)
    assert holder.valid_token(until + SECOND) is None


def test_a_lost_lease_stops_at_once_and_a_late_grant_is_let_go():
    holder, _ = held()
    holder.step(10 * SECOND // 3, Tick())
    assert (
        holder.step(4 * SECOND, ResponseReceived(2, LeaseNotHeld(9, 7))) == [TaskStopped(7)]
        and holder.state is HolderState.FREE
    )
    (ask,) = holder.step(holder.next_at, Tick())
    assert holder.step(5 * SECOND, LeaseUnwanted()) == [] and holder.state is HolderState.IDLE
    assert holder.step(6 * SECOND, ResponseReceived(ask.request_id, Ok(12, 12)))[0].operation == ReleaseLease(
        "d", holder.name, 12
    )
    holder, until = held()
    stop, release = holder.step(2 * SECOND, LeaseUnwanted())
    assert (stop, release.operation) == (TaskStopped(7), ReleaseLease("d", holder.name, 7)), (
        "it stops before it lets go"
    )


def test_without_any_answer_it_asks_on_and_keeps_no_more_than_it_must():
    holder = LeaseHolder("d", "me", SECOND, Random(1))
    sent = holder.step(0, LeaseWanted())
    for _ in range(400):
        sent += holder.step(holder.next_at, Tick())
    assert len(sent) > 2 * holding.MAX_PENDING_REQUESTS >= 2 * len(holder._pending_requests)


def test_the_table_leads_from_every_state_to_rest_and_each_name_is_of_one_life():
    assert {state for state, _ in TRANSITIONS} == set(HolderState) == set(TRANSITIONS.values()) == set(TRAITS)
    assert all((state, TRAITS[state].on_timeout) in TRANSITIONS for state in HolderState if TRAITS[state].on_timeout)
    assert all(
        (state, Transition.EXPIRED) in TRANSITIONS and (state, Transition.LOST) in TRANSITIONS
        for state in HolderState
        if TRAITS[state].may_act
    )
    assert LeaseHolder("d", "me", SECOND, Random(1)).name != LeaseHolder("d", "me", SECOND, Random(2)).name
    for duty, name, ttl in (("", "me", SECOND), ("d", "m" * 112, SECOND), ("d", "me", SECOND - 1)):
        with pytest.raises(ValueError):
            LeaseHolder(duty, name, ttl, Random(1))


def test_a_keeper_counts_in_full_and_only_while_it_leads():
    keeper, lease = LeaseExpirer(), Lease("h", 5, 2 * SECOND, 5)
    keeper.lease_changed(0, "d", lease)
    assert keeper.next_at is None and keeper.due_expirations(10**12) == []
    keeper.became_leader(10 * SECOND, {"d": lease})
    assert keeper.due_expirations(12 * SECOND - 1) == [] and keeper.due_expirations(12 * SECOND) == [
        ExpireLease("d", 5, 5)
    ]
    assert keeper.due_expirations(12 * SECOND + 1) == [] and keeper.due_expirations(keeper.next_at) == [
        ExpireLease("d", 5, 5)
    ], "made again"
    keeper.lease_changed(14 * SECOND, "d", lease._replace(renewed=9))
    assert keeper.due_expirations(16 * SECOND) == [ExpireLease("d", 5, 9)]
    keeper.lease_changed(17 * SECOND, "d", None)
    assert keeper.due_expirations(10**12) == []
