"""Lease holders, the leader's expiry and the state machine in virtual time, over many seeds: clocks that are 5 % off,
lost and late responses, stalls, changes of the leader. The same runs find each of the defects in `MUTANTS`.
"""

import heapq
import os
from random import Random

import pytest

from loftweir.emulator.histories import AcceptedOperation, fencing_violations
from loftweir.lease import holder as holder_module
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
from loftweir.replication import machine as machine_module
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


class Simulation:
    """Three members, of which one leads or none does, and three holders that want one lease. Times are true
    time in ns.
    """

    def __init__(self, seed, holder=LeaseHolder, keeper=LeaseExpirer):
        self.random = r = Random(seed)
        self.now, self.events, self.count, self.fault_free = 0, [], 0, False
        self.machine, self.in_flight, self.grants, self.accepted, self.sent = Machine(), [], [], [], {}
        self.expirers, self.clocks, self.leader = [keeper() for _ in range(3)], [Clock(r) for _ in range(3)], None
        self.holders = [holder("duty", f"h{n}", r.choice([1, 1, 2]) * SECOND, Random(seed * 3 + n)) for n in range(3)]
        self.holder_clocks, self.stalled, self.ticks = [Clock(r) for _ in range(3)], [0] * 3, [0] * 3
        for n in range(3):
            self.schedule(r.randrange(SECOND), self.deliver, n, LeaseWanted())
            self.schedule(r.randrange(SECOND), self.write_fenced, n)
        self.schedule(0, self.elect)
        self.schedule(r.randrange(3 * SECOND), self.stall)

    def schedule(self, after, do, *rest):
        self.count += 1
        heapq.heappush(self.events, (self.now + after, self.count, do, rest))

    def run(self, seconds):
        end = self.now + seconds * SECOND
        while self.events and self.events[0][0] < end:
            self.now, _, do, rest = heapq.heappop(self.events)
            do(*rest)
        self.now = end

    def message_delay(self):
        """The delay of a message; None: it is lost."""
        draw = 1 if self.fault_free else self.random.random()
        if draw < 0.08:
            return None
        return self.random.randrange(1800 * MS if draw < 0.2 else 20 * MS)

    # ---- holders ----

    def deliver(self, n, event):
        if self.now < self.stalled[n]:
            self.schedule(self.stalled[n] - self.now, self.deliver, n, event)
            return
        holder, clock = self.holders[n], self.holder_clocks[n]
        for action in holder.step(clock(self.now), event):
            if isinstance(action, SendOperation):
                self.send(n, holder.name, action.operation, action.request_id)
        if holder.next_at is not None and holder.next_at != self.ticks[n]:
            self.ticks[n] = holder.next_at
            self.schedule(max(0, clock.true(holder.next_at) - self.now), self.tick, n, holder.next_at)
        if TRAITS[holder.state].may_act:
            acting = [m for m in range(3) if self.holders[m].valid_token(self.holder_clocks[m](self.now)) is not None]
            assert len(acting) < 2, f"two holders: {acting}"

    def tick(self, n, at):
        if self.holders[n].next_at == at:
            self.deliver(n, Tick())

    def write_fenced(self, n):
        self.schedule(self.random.randrange(600 * MS), self.write_fenced, n)
        token = self.holders[n].valid_token(self.holder_clocks[n](self.now)) if self.now >= self.stalled[n] else None
        if token is not None:
            self.send(n, self.holders[n].name + "!", FencedWrite("duty", token, "k", b"%d" % self.now))

    def stall(self):
        self.schedule(self.random.randrange(4 * SECOND), self.stall)
        if not self.fault_free:
            self.stalled[self.random.randrange(3)] = self.now + self.random.randrange(3 * SECOND)

    def send(self, n, session, operation, request_id=None):
        life, number = self.sent.get(session, (0, 0))
        self.sent[session] = life, number + 1
        data = encode(Command(f"{session} {life}", number + 1, operation))
        for _ in range(1 + (self.random.random() < 0.1)):  # once or twice
            delay = self.message_delay()
            if delay is not None:
                self.schedule(delay, self.arrive, data, n, request_id, self.now)
        if request_id is not None and not self.fault_free:  # the proposer's timeout
            self.schedule(
                self.random.randrange(500 * MS, 3 * SECOND), self.deliver, n, ResponseReceived(request_id, None)
            )

    # ---- members ----

    def arrive(self, data, n=None, request_id=None, sent=0):
        if self.leader is not None:
            slow = 1 if self.random.random() < 0.9 else 40
            self.in_flight.append((self.count, data, n, request_id, sent))
            self.schedule(self.random.randrange(slow * 10 * MS), self.commit, self.count)

    def commit(self, upto):
        """Commits the entries up to `upto` in log order."""
        while self.in_flight and self.in_flight[0][0] <= upto:
            self.apply(*self.in_flight.pop(0))

    def apply(self, _, data, n, request_id, sent):
        machine, index = self.machine, self.machine.index + 1
        lease = machine.leases.get("duty")
        result, command = machine.apply(index, data), machine_module._decode_command(data)
        operation = command.act
        if isinstance(operation, FencedWrite) and isinstance(result, Ok) and result.index == index:
            assert lease.holder == self.holders[n].name and operation.token == max(self.grants), (
                "an old write was accepted"
            )
            self.accepted.append(AcceptedOperation("duty", operation.token, sent, self.now))
        if isinstance(operation, AcquireLease) and isinstance(result, Ok) and result.index == index:
            assert result.value > max(self.grants, default=0), "a token that is not higher"
            self.grants.append(result.value)
        if machine.changed_lease and self.leader is not None:
            self.expirers[self.leader].lease_changed(
                self.clocks[self.leader](self.now), "duty", machine.leases.get("duty")
            )
            self.schedule_expiry()
        if isinstance(result, UnknownSession):  # its proposer begins another one when it receives this
            session, life = command.session.split(" ")
            self.sent[session] = max(self.sent[session], (int(life) + 1, 0))
        delay = self.message_delay()
        if request_id is not None and delay is not None:
            self.schedule(delay, self.deliver, n, ResponseReceived(request_id, result))

    def schedule_expiry(self):
        at = self.expirers[self.leader].next_at
        if at is not None:
            self.schedule(max(0, self.clocks[self.leader].true(at) - self.now), self.propose_expirations, self.leader)

    def propose_expirations(self, leader):
        if leader == self.leader:
            for expire in self.expirers[leader].due_expirations(self.clocks[leader](self.now)):
                self.arrive(encode(Command("", 0, expire)))
            self.schedule_expiry()

    def elect(self):
        """No leader for a while; then any member, with a prefix of the entries in flight."""
        if self.leader is not None:
            self.expirers[self.leader].lost_leadership()
        self.leader, self.in_flight = None, self.in_flight[: self.random.randint(0, len(self.in_flight))]
        self.schedule(self.random.randrange(1 + (not self.fault_free) * 1500 * MS), self.lead, self.random.randrange(3))

    def lead(self, leader):
        for entry in self.in_flight:
            self.apply(*entry)
        self.leader, self.in_flight = leader, []
        self.machine.skip(self.machine.index + 1)
        self.expirers[leader].became_leader(self.clocks[leader](self.now), self.machine.leases)
        self.schedule_expiry()
        if not self.fault_free:
            self.schedule(self.random.randrange(200 * MS, 8 * SECOND), self.elect)


def run_and_check(seed, seconds=8, **parts):
    simulation = Simulation(seed, **parts)
    simulation.run(seconds)
    assert fencing_violations(simulation.accepted) == []
    simulation.fault_free = True
    simulation.run(5)
    assert any(
        h.valid_token(c(simulation.now)) for h, c in zip(simulation.holders, simulation.holder_clocks, strict=True)
    ), "no holder"
    return simulation


def test_there_are_never_two_holders_and_every_accepted_write_has_the_newest_token():
    grants = accepted = 0
    for seed in range(SEEDS):
        simulation = run_and_check(seed)
        grants, accepted = grants + len(simulation.grants), accepted + len(simulation.accepted)
    assert grants > 2 * SEEDS and accepted > 5 * SEEDS, (grants, accepted)


# ---- deliberate defects -------------------------------------------------------------------------


class TimesFromTheResponse(LeaseHolder):
    def _on_response(self, now, answer):
        if answer.request_id in self._pending_requests:
            self._pending_requests[answer.request_id] = self._pending_requests[answer.request_id]._replace(sent=now)
        super()._on_response(now, answer)


class UsesLostGrants(LeaseHolder):
    def _on_response(self, now, answer):
        if isinstance(answer.result, LeaseHeld) and answer.result.holder == self.name:
            answer = ResponseReceived(answer.request_id, Ok(0, answer.result.token))
        super()._on_response(now, answer)


class RevivesExpiredLease(LeaseHolder):
    """A late renewal revives a lease that expired a while ago."""

    def _transition(self, now, step, sent=None):
        if step is not Transition.EXPIRED or now > self.until + self.ttl // 2:
            super()._transition(now, step, sent)


class ContinuesOldCountdown(LeaseExpirer):
    old: dict = {}

    def lost_leadership(self):
        self.old = self.countdowns
        super().lost_leadership()

    def became_leader(self, now, leases):
        super().became_leader(now, leases)
        for lease_name in self.countdowns.keys() & self.old.keys():
            countdown = self.countdowns[lease_name]
            until = min(countdown.until, self.old[lease_name].until)
            self._start_countdown(lease_name, countdown._replace(until=until))


def same_token(machine, operation):
    result = Machine._acquire_lease(machine, operation)
    if isinstance(result, Ok):
        machine.leases[operation.duty] = machine.leases[operation.duty]._replace(token=1)
        result = Ok(result.index, 1)
    return result


def expire_despite_renewal(machine, operation):
    return Machine._expire_lease(machine, ExpireLease(operation.duty, operation.token, machine.index))


def accept_any_token(machine, operation):
    lease = machine.leases.get(operation.duty)
    return Machine._write_fenced(
        machine, FencedWrite(operation.duty, lease.token, operation.key, operation.value) if lease else operation
    )


MUTANTS = {
    "no margin": ("two holders", lambda patch: patch.setattr(holder_module, "margin", lambda ttl: 0), {}),
    "half the drift": (
        "two holders", lambda patch: patch.setattr(holder_module, "margin", lambda ttl: ttl * 10 // 210), {}
    ),
    "timed from the response, not the request": ("two holders", None, {"holder": TimesFromTheResponse}),
    "a lease whose grant was lost is used": ("two holders", None, {"holder": UsesLostGrants}),
    "a new leader continues an old countdown": ("two holders", None, {"keeper": ContinuesOldCountdown}),
    "a late renewal revives a lease, and a lease expires despite a renewal": (
        "two holders",
        lambda patch: patch.setitem(machine_module.OPERATION_HANDLERS, ExpireLease, expire_despite_renewal),
        {"holder": RevivesExpiredLease},
    ),
    "the token does not increase": (
        "not higher", lambda patch: patch.setitem(machine_module.OPERATION_HANDLERS, AcquireLease, same_token), {}
    ),
    "no fencing": (
        "an old write",
        lambda patch: patch.setitem(machine_module.OPERATION_HANDLERS, FencedWrite, accept_any_token),
        {},
    ),
}  # fmt: skip


@pytest.mark.parametrize("mutant", MUTANTS)
def test_each_mutant_is_found(mutant, monkeypatch):
    why, patch, parts = MUTANTS[mutant]
    if patch:
        patch(monkeypatch)
    with pytest.raises(AssertionError, match=why):
        for seed in range(3000):
            run_and_check(seed, **parts)


# ---- holder and expiry alone --------------------------------------------------------------------


def granted_holder(ttl=10 * SECOND):
    """A holder that sent its request at 0 and was granted token 7 at 1 s."""
    holder = LeaseHolder("d", "me", ttl, Random(1))
    assert holder.step(0, LeaseWanted()) == [SendOperation(1, AcquireLease("d", holder.name, ttl))]
    assert holder.step(SECOND, ResponseReceived(1, Ok(7, 7))) == [TaskStarted(7)]
    return holder, ttl - holder_module.margin(ttl)


def test_the_holder_writes_until_its_time_since_the_request_is_over_and_renews_after_a_third():
    holder, until = granted_holder()
    assert until == 10 * SECOND - 952380953 - 50 * MS and holder.next_at == 10 * SECOND // 3
    assert (holder.valid_token(until - 1), holder.valid_token(until)) == (7, None), (
        "after a stop only its clock shows it"
    )
    (renew,) = holder.step(holder.next_at, Tick())
    assert renew == SendOperation(2, RenewLease("d", holder.name, 7)) and holder.state is HolderState.RENEWING
    assert holder.step(until - 1, ResponseReceived(2, Ok(9, 7))) == [SendOperation(3, renew.operation)], (
        "a third has passed since the request"
    )
    assert (
        holder.valid_token(until + 10 * SECOND // 3 - 1) == 7 and holder.valid_token(until + 10 * SECOND // 3) is None
    )


def test_an_expired_token_is_never_used_again():
    holder, until = granted_holder()
    holder.step(10 * SECOND // 3, Tick())
    assert holder.step(until, ResponseReceived(2, Ok(9, 7))) == [
        TaskStopped(7),
        SendOperation(3, ReleaseLease("d", holder.name, 7)),
    ]
    assert holder.valid_token(until) is None and holder.step(until + 1, ResponseReceived(3, None)) == []
    (request_id,) = holder.step(holder.next_at, Tick())
    assert isinstance(request_id.operation, AcquireLease), (
        "the release may be lost: it finds its own lease, and releases it first"
    )
    assert holder.step(until + SECOND, ResponseReceived(request_id.request_id, LeaseHeld(1, holder.name, 7)))[
        0
    ].operation == ReleaseLease("d", holder.name, 7)
    assert holder.valid_token(until + SECOND) is None


def test_a_lost_lease_stops_the_task_at_once_and_a_late_grant_is_released():
    holder, _ = granted_holder()
    holder.step(10 * SECOND // 3, Tick())
    assert (
        holder.step(4 * SECOND, ResponseReceived(2, LeaseNotHeld(9, 7))) == [TaskStopped(7)]
        and holder.state is HolderState.FREE
    )
    (request_id,) = holder.step(holder.next_at, Tick())
    assert holder.step(5 * SECOND, LeaseUnwanted()) == [] and holder.state is HolderState.IDLE
    assert holder.step(6 * SECOND, ResponseReceived(request_id.request_id, Ok(12, 12)))[0].operation == ReleaseLease(
        "d", holder.name, 12
    )
    holder, until = granted_holder()
    stopped, release = holder.step(2 * SECOND, LeaseUnwanted())
    assert (stopped, release.operation) == (TaskStopped(7), ReleaseLease("d", holder.name, 7)), (
        "it stops the task before it releases the lease"
    )


def test_without_responses_the_holder_keeps_trying_with_bounded_memory():
    holder = LeaseHolder("d", "me", SECOND, Random(1))
    sent = holder.step(0, LeaseWanted())
    for _ in range(400):
        sent += holder.step(holder.next_at, Tick())
    assert len(sent) > 2 * holder_module.MAX_PENDING_REQUESTS >= 2 * len(holder._pending_requests)


def test_the_table_covers_every_state_and_a_holders_name_is_unique():
    assert {state for state, _ in TRANSITIONS} == set(HolderState) == set(TRANSITIONS.values()) == set(TRAITS)
    assert all((state, TRAITS[state].on_timeout) in TRANSITIONS for state in HolderState if TRAITS[state].on_timeout)
    assert all(
        (state, Transition.EXPIRED) in TRANSITIONS and (state, Transition.LOST) in TRANSITIONS
        for state in HolderState
        if TRAITS[state].may_act
    )
    assert LeaseHolder("d", "me", SECOND, Random(1)).name != LeaseHolder("d", "me", SECOND, Random(2)).name
    for lease_name, name, ttl in (("", "me", SECOND), ("d", "m" * 112, SECOND), ("d", "me", SECOND - 1)):
        with pytest.raises(ValueError):
            LeaseHolder(lease_name, name, ttl, Random(1))


def test_expiry_is_timed_in_full_and_only_while_leading():
    expirer, lease = LeaseExpirer(), Lease("h", 5, 2 * SECOND, 5)
    expirer.lease_changed(0, "d", lease)
    assert expirer.next_at is None and expirer.due_expirations(10**12) == []
    expirer.became_leader(10 * SECOND, {"d": lease})
    assert expirer.due_expirations(12 * SECOND - 1) == [] and expirer.due_expirations(12 * SECOND) == [
        ExpireLease("d", 5, 5)
    ]
    assert expirer.due_expirations(12 * SECOND + 1) == [] and expirer.due_expirations(expirer.next_at) == [
        ExpireLease("d", 5, 5)
    ], "repeated"
    expirer.lease_changed(14 * SECOND, "d", lease._replace(renewed=9))
    assert expirer.due_expirations(16 * SECOND) == [ExpireLease("d", 5, 9)]
    expirer.lease_changed(17 * SECOND, "d", None)
    assert expirer.due_expirations(10**12) == []
