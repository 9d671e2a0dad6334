"""The consensus core: its behaviour, simulations with faults from seeds, every order of events in small clusters, and
deliberate defects, each of which one of these must find.
"""

import time
from random import Random

import msgspec
import pytest

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.emulator.replication_plan import MS, Plan
from loftweir.emulator.replication_world import Simulation
from loftweir.emulator.walk import DEFAULT_BUDGET, EventBudget, ModelChecker, UntimedCore
from loftweir.replication import api
from loftweir.replication.api import EntryKind, Member, RejectionReason, RequestRejected, Role, Timing
from loftweir.replication.core import _MESSAGE_HANDLERS, NEVER, Core

SECOND = 1000 * MS
with_fields = msgspec.structs.replace


def cluster_with_leader(make=Core, member_count=3, **plan):
    """A simulated cluster with a leader and without faults, and its members, the leader's first."""
    sim = Simulation(1, Plan(member_count, **plan), make)
    until(sim, lambda: (leader := sim.leader()) and leader.can_change_members and sim.converged())
    first = member_at(sim, sim.leader().me)
    return sim, [first, *(member for member in sim.slots.values() if member is not first)]


def member_at(sim, id):
    return sim.slots[id.split(".")[0]]


def until(sim, over, within=2 * SECOND):
    assert sim.run_until(sim.now + within, over), [sim.describe(member) for member in sim.slots.values()]


def cut_both_ways(sim, a, b, by=1):
    sim.cut([(a.name, b.name), (b.name, a.name)], by)


def write_and_wait(sim, member, count=1):
    """Makes writes one after the other and returns their outcomes."""
    outcomes = []
    for _ in range(count):
        token = sim.write(member)
        until(sim, lambda token=token: token in sim.outcomes)
        outcomes.append(sim.outcomes[token])
    return outcomes


# ---- scripts: each passes with the core, and fails with a deliberate defect ---------------------


def figure_eight(make=Core):
    """Paper, figure 8: an entry of an old term is on a majority, and another leader may still overwrite it."""
    sim, (a, b, c) = cluster_with_leader(make, timing=Timing(10 * MS, 50 * MS, max_append_bytes=1))
    for other in (b, c):
        cut_both_ways(sim, a, other)
    sim.write(a)
    old = a.core.last_index
    until(sim, lambda: a.disk.last_index == old)
    sim.crash(a)
    until(sim, lambda: Role.LEADER in (b.core.role, c.core.role))
    p, q = (b, c) if b.core.role is Role.LEADER else (c, b)
    cut_both_ways(sim, p, q)
    until(sim, lambda: p.disk.last_index == old)  # another entry at the same index, only on its own disk
    sim.crash(p)
    cut_both_ways(sim, a, q, -1)
    sim.start(a)
    until(sim, lambda: a.core.match(q.id) == old)  # in a later term of the leader, on two disks of three
    cut_both_ways(sim, a, q)
    sim.crash(a)
    cut_both_ways(sim, p, q, -1)
    sim.start(p)
    until(sim, lambda: p.core.role is Role.LEADER and p.core.can_change_members)
    assert q.core.entries(old, old)[0].kind is EntryKind.NOOP


def stale_read(make=Core):
    """A leader that is cut off and whose clock nearly stops answers no read, although it still believes that it
    leads.
    """
    sim, (a, b, c) = cluster_with_leader(make)
    sim.set_clock_rate(a, 20)
    for other in (b, c):
        cut_both_ways(sim, a, other)
    until(sim, lambda: sim.leader() not in (None, a.core))
    write_and_wait(sim, member_at(sim, sim.leader().me))
    assert a.core.role is Role.LEADER
    token = sim.read(a)
    sim.run_until(sim.now + 100 * MS)
    assert token not in sim.outcomes
    for other in (b, c):
        cut_both_ways(sim, a, other, -1)
    until(sim, lambda: token in sim.outcomes)
    assert sim.outcomes[token] == RequestRejected(token, RejectionReason.NOT_LEADER)


def follower_without_incoming_messages(make=Core):
    """A member that does not receive the leader's messages, but whose own messages reach all, disturbs neither then nor
    afterwards.
    """
    sim, (a, b, c) = cluster_with_leader(make)
    term = a.core.term
    sim.cut([(a.name, b.name)], 1)
    until(sim, lambda: b.core.role is not Role.FOLLOWER)
    sim.run_until(sim.now + 300 * MS)
    sim.cut([(a.name, b.name)], -1)
    sim.run_until(sim.now + 300 * MS)
    assert [s.core.term for s in (a, b, c)] == [term] * 3 and sim.leader() is a.core


def uninformed_removed_voter(make=Core):
    """A removed voter that was not informed does not disturb (diss. 4.2.3), and neither does its later term."""
    sim, (a, b, c) = cluster_with_leader(make)
    term = a.core.term
    cut_both_ways(sim, a, b)
    sim.submit(a, lambda token: api.MembershipChange(token, tuple(m for m in a.core.members if m.id != b.id)))
    sim.run_until(sim.now + 20 * MS)
    sim.crash(b)
    b.disk.hard = api.HardState(term + 1, b.id)  # as if it had started an election
    sim.start(b)
    cut_both_ways(sim, a, b, -1)
    sim.run_until(sim.now + 500 * MS)
    assert b.core.role is not Role.OUT and (c.core.leader, c.core.term) == (a.id, term) == (a.id, a.core.term)


def truncated_members(make=Core):
    """The members of a truncated entry are not effective any more."""
    sim, (a, b, c) = cluster_with_leader(make)
    before = a.core.members
    for other in (b, c):
        cut_both_ways(sim, a, other)
    token = sim.submit(a, lambda token: api.MembershipChange(token, before[:2]))
    assert a.core.members == before[:2]
    until(sim, lambda: sim.leader() not in (None, a.core))
    for other in (b, c):
        cut_both_ways(sim, a, other, -1)
    until(sim, sim.converged)
    assert a.core.members == before and sim.outcomes[token] == RequestRejected(token, RejectionReason.LOST)


def snapshot_in_chunks(make=Core):
    """A snapshot is sent in chunks while writes continue, and memory stays bounded; a window that was full before does
    not prevent it.
    """
    sim, (a, b, _) = cluster_with_leader(make, max_sync_time=200_000)
    sim.crash(b)
    write_and_wait(sim, a, 100)
    sim.start(b)
    sent_messages, most = [], 0
    send = sim._send
    sim._send = lambda source, m: (sent_messages.append(m), send(source, m))
    for _ in range(200):
        write_and_wait(sim, a)
        most = max(most, a.core.last_index - a.core.first_index, b.core.last_index - b.core.first_index)
    pieces = [m for m in sent_messages if isinstance(m, api.InstallSnapshot)]
    assert len({m.at for m in pieces}) > 2 and max(len(m.data) for m in pieces) <= sim.plan.timing.snapshot_chunk_bytes
    assert len({m.index for m in pieces}) == 1, "one snapshot was enough, and the log continued from there"
    assert b.core.applied >= a.core.last_index - 5 and most < 5 * sim.plan.timing.snapshot_after_entries
    until(sim, sim.converged)


def needed_after_its_removal(make=Core):
    """A member that alone has the entry which removes it has to lead once more (diss. 4.2.2)."""
    sim, (a, b) = cluster_with_leader(make, member_count=2)
    cut_both_ways(sim, a, b)
    sim.submit(a, lambda token: api.MembershipChange(token, (b.member(),)))
    sim.wanted_slots.discard(a.name)
    until(sim, lambda: a.disk.last_index == a.core.last_index)
    sim.crash(a)
    sim.start(a)
    cut_both_ways(sim, a, b, -1)
    until(sim, lambda: sim.converged() and a.core.role is Role.OUT)
    assert sim.leader() is b.core


def chunks_of_two_snapshots(make=Core):
    """Chunks of two leaders' snapshots of one index are not combined, and a snapshot that is already included is not
    installed.
    """
    core = make("b", api.PersistentState(), Timing(), Random(1), 0)
    members = (Member("a", "a", ""), Member("b", "b", ""))

    def piece(sender, term, member_at, data, index=5):
        head = {"sender": sender, "to": "b", "term": term, "index_term": 1, "members": members, "size": 4, "round": 1}
        return core.step(0, api.MessageReceived(api.InstallSnapshot(**head, index=index, at=member_at, data=data)))

    def upto(actions):
        return [a.message.upto for a in actions if isinstance(a, api.SendMessage)]

    assert upto(piece("a", 2, 0, b"AA")) == [2] == upto(piece("a", 2, 0, b"AA"))
    assert upto(piece("c", 3, 2, b"CC")) == [0]
    assert upto(piece("c", 3, 0, b"CC")) == [2]
    actions = piece("c", 3, 2, b"CC")
    assert [a.snapshot.data for a in actions if isinstance(a, api.RestoreSnapshot)] == [b"CCCC"]
    persist, send = (next(a for a in actions if isinstance(a, kind)) for kind in (api.PersistBatch, api.SendMessage))
    assert send.after == persist.batch and persist.all_gone and send.message.upto == 4
    again = piece("c", 3, 0, b"CC", index=4)
    assert upto(again) == [4] and not any(isinstance(a, (api.PersistBatch, api.RestoreSnapshot)) for a in again)


SCRIPTS = [
    figure_eight,
    stale_read,
    follower_without_incoming_messages,
    uninformed_removed_voter,
    needed_after_its_removal,
]
SCRIPTS += [truncated_members, snapshot_in_chunks, chunks_of_two_snapshots]


@pytest.mark.parametrize("script", SCRIPTS)
def test_scripted_scenarios(script):
    script()


# ---- behaviour ----------------------------------------------------------------------------------


@pytest.mark.parametrize("member_count", [1, 2, 3, 5])
def test_a_cluster_is_founded_and_serves_writes_and_reads(member_count):
    sim, (a, *others) = cluster_with_leader(member_count=member_count)
    outcomes = write_and_wait(sim, a, 20)
    assert [type(o) for o in outcomes] == [api.RequestCompleted] * 20
    assert [o.index for o in outcomes] == list(range(outcomes[0].index, outcomes[0].index + 20))
    token = sim.read(a)
    until(sim, lambda: token in sim.outcomes)
    assert sim.outcomes[token] == api.RequestCompleted(token, outcomes[-1].index)
    for other in others:
        assert write_and_wait(sim, other)[0].why is RejectionReason.NOT_LEADER
    for member in sim.slots.values():
        sim.crash(member)
        sim.start(member)
    until(sim, lambda: sim.leader() and sim.converged())


def test_a_leadership_transfer_takes_no_election_timeout_and_loses_no_write():
    sim, (a, *_) = cluster_with_leader()
    tokens = [sim.write(a) for _ in range(10)]
    began = sim.now
    sim.deliver(a, a.core, api.TransferLeadership())
    late = sim.write(a)
    assert sim.outcomes[late].why is RejectionReason.BUSY
    until(sim, lambda: sim.leader() not in (None, a.core))
    assert sim.now - began < 20 * MS and all(type(sim.outcomes[t]) is api.RequestCompleted for t in tokens)


def test_a_leadership_transfer_to_an_unreachable_member_is_given_up():
    sim, (a, b, c) = cluster_with_leader()
    for _ in range(5):
        sim.write(a)
    cut_both_ways(sim, a, b)
    cut_both_ways(sim, a, c)
    sim.deliver(a, a.core, api.TransferLeadership())
    cut_both_ways(sim, a, b, -1)
    cut_both_ways(sim, a, c, -1)
    a.core._transfer_target = "nobody"
    sim.run_until(sim.now + 100 * MS)
    assert type(write_and_wait(sim, a)[0]) is api.RequestCompleted


def test_a_leader_that_removes_itself_steps_down_once_that_is_committed():
    sim, (a, *_) = cluster_with_leader()
    token = sim.submit(a, lambda token: api.MembershipChange(token, tuple(m for m in a.core.members if m.id != a.id)))
    sim.wanted_slots.discard(a.name)
    until(sim, lambda: token in sim.outcomes)
    assert type(sim.outcomes[token]) is api.RequestCompleted and a.core.role is Role.OUT
    began = sim.now
    until(sim, sim.converged)
    assert sim.now - began < 40 * MS, "it let another member start an election"
    sim.run_until(sim.now + 500 * MS)
    assert a.core.role is Role.OUT and max(sim.oracle.leaders) == sim.leader().term


def test_a_member_with_a_wiped_disk_returns_under_another_id_as_a_learner_first():
    sim, (a, b, _) = cluster_with_leader()
    write_and_wait(sim, a, 30)
    sim._inject_wipe(b, 50 * MS)
    until(sim, lambda: b.core is not None)
    assert b.core.role is Role.OUT and not b.core.members
    seen = set()
    sim.call_later(0, sim.administer)
    until(sim, lambda: seen.add(b.core.role) or seen.add(b.id in a.core._ids - a.core.voters) or sim.converged())
    assert seen >= {Role.OUT, Role.FOLLOWER, True} and b.id in a.core.voters and b.id.endswith(".2")


def test_membership_changes_of_more_than_one_step_are_rejected():
    sim, (a, b, c) = cluster_with_leader()
    core, members = a.core, a.core.members
    learners = tuple(Member(f"x{i}", f"x{i}", "", False) for i in range(14))
    for unfit in ((), members[:1], (*members, members[0]), (*members, Member("d", b.name, "")), (*members, *learners)):
        assert core.step(core._now, api.MembershipChange(1, unfit)) == [RequestRejected(1, RejectionReason.UNFIT)]
    more = (*members, *learners[:1])
    taken = core.step(core._now, api.MembershipChange(2, more))
    assert any(isinstance(a, api.PersistBatch) for a in taken) and core.members == more  # effective at once
    assert core.step(core._now, api.MembershipChange(3, members)) == [RequestRejected(3, RejectionReason.BUSY)]
    busy = [core.step(core._now, api.WriteRequest(10 + i, b"")) for i in range(50)]
    assert busy[-1] == [RequestRejected(59, RejectionReason.BUSY)]
    ended = core.step(core._now, api.StorageBroken("gone"))
    assert {r.why for r in ended if isinstance(r, RequestRejected)} == {RejectionReason.LOST}
    assert not any(isinstance(a, api.SendMessage) for a in ended) and core.role is Role.OUT and core.next_at == NEVER
    assert core.step(core._now, api.WriteRequest(99, b"")) == [RequestRejected(99, RejectionReason.NOT_LEADER)]
    core.check()


def test_a_member_far_behind_catches_up_on_10_000_entries_quickly():
    timing = Timing(10 * MS, 50 * MS, snapshot_after_entries=1 << 30)
    sim, (a, b, _) = cluster_with_leader(timing=timing, check_interval=1 << 30)
    sim.crash(b)
    for _ in range(10):
        tokens = [sim.write(a) for _ in range(1000)]
        until(sim, lambda tokens=tokens: tokens[-1] in sim.outcomes)
    sim.start(b)
    began, real = sim.now, time.perf_counter()
    until(sim, lambda: b.core.applied == a.core.last_index >= 10_000)
    assert sim.now - began < 200 * MS and time.perf_counter() - real < 5


def test_what_the_core_reports_about_other_members():
    sim, (a, b, c) = cluster_with_leader()
    write_and_wait(sim, a, 3)
    sim.crash(c)
    sim.run_until(sim.now + 200 * MS)
    now = a.clock_at(sim.now)
    assert a.core.match(b.id) == a.core.last_index == a.core.match(a.id) and a.core.match("nobody") == 0
    assert now - a.core.last_response_at(b.id) < 20 * MS < 150 * MS < now - a.core.last_response_at(c.id)
    assert 0 <= now - a.core.quorum_confirmed_at < 20 * MS and now <= a.core.next_at <= now + 10 * MS
    assert 0 <= b.clock_at(sim.now) - b.core.quorum_confirmed_at < 20 * MS


def test_a_step_takes_little_cpu_time():
    sim, (a, b, c) = cluster_with_leader(check_interval=1 << 30)
    for _ in range(5):
        began, steps = time.process_time(), sim.steps
        tokens = [sim.write(a) for _ in range(30)]
        until(sim, lambda tokens=tokens: tokens[-1] in sim.outcomes)
        each = (time.process_time() - began) / (sim.steps - steps)
        if each < 200e-6:
            return
    raise AssertionError(f"{each * 1e6:.0f} us a step, simulation included")


# ---- simulations, and every order of events -----------------------------------------------------


def runs(make=Core, seeds=range(160), same_id=False):
    for seed in seeds:
        Simulation(seed, make=make, same_id=same_id).run()


def walk(make=UntimedCore, depth=7, left=DEFAULT_BUDGET, same_id=False):
    return ModelChecker(make, left, same_id=same_id).run(depth)


def walk_changes(make=UntimedCore, depth=10):
    """With two membership changes in place of crashes and wiped disks."""
    return walk(make, depth, EventBudget(1, 1, 0, 0, 0, 2))


def test_simulations_with_faults_keep_all_guarantees():
    runs()


def test_a_simulation_is_determined_by_its_seed():
    assert [(w.steps, w.completions, w.fault_counts) for w in (Simulation(5).run(), Simulation(5).run())][::-1] == [
        (w.steps, w.completions, w.fault_counts) for w in (Simulation(5).run(), Simulation(5).run())
    ]


def test_every_order_of_events_in_small_clusters_keeps_all_guarantees():
    seen = walk()
    assert (seen.depth, seen.states) == (7, 51841) and seen.completions > 300
    changes = walk_changes(depth=8)
    assert changes.states > 10_000 and changes.completions > 100


# ---- deliberate defects -------------------------------------------------------------------------


def on_persist(change):
    return {
        "_collect_actions": lambda b: (
            lambda s: [change(a) if isinstance(a, api.PersistBatch) else a for a in b._collect_actions(s)]
        )
    }


def handles_messages_for_any_id(base):
    def handle(self, event):
        me, self.me = self.me, event.message.to
        getattr(self, _MESSAGE_HANDLERS[type(event.message)])(event.message)
        self.me = me

    return handle


def commits_the_highest_match(base):
    def advance_commit(self):
        best = max([self.stable_index, *(p.match for p in self._voting_peers)])
        if best > self.commit and self._is_of_current_term(best):
            self._commit_to(best)

    return advance_commit


def completes_reads_at_once(base):
    def complete_reads(self):
        while self._pending_reads and self._pending_reads[0][1] <= self.commit:
            _, index, token = self._pending_reads.popleft()
            self._actions.append(api.RequestCompleted(token, index))

    return complete_reads


def reads_before_own_entry(base):
    def on_read(self, event):
        own, self._term_start_index = self._term_start_index, 0
        base._on_read(self, event)
        self._term_start_index = own

    return on_read


def reports_lost_proposals_as_not_done(base):
    def reject_pending(self, reads):
        self._actions += [RequestRejected(token, RejectionReason.NOT_LEADER) for _, token in self._pending_proposals]
        self._pending_proposals.clear()
        base._reject_pending(self, reads)

    return reject_pending


def commits_unmatched_entries(base):
    def handle(self, m):
        base._on_append_entries(self, m)
        if m.term == self.term and self.commit < min(m.commit, self.last_index):
            self._commit_to(min(m.commit, self.last_index))

    return handle


def votes_twice(base):
    def on_request_vote(self, m):
        if not m.pre and m.term == self.term:
            self.vote = ""
        base._on_request_vote(self, m)

    return on_request_vote


def mixes_chunks_of_snapshots(base):
    def handle(self, m):
        if self._incoming is not None:
            self._incoming.key = (m.sender, m.term, m.index, m.size)
        base._on_install_snapshot(self, m)

    def follow(self, term, leader):
        incoming = self._incoming
        base._become_follower(self, term, leader)
        self._incoming = incoming

    return {"_on_install_snapshot": handle, "_become_follower": follow}


def installs_old_snapshots(base):
    def handle(self, m):
        self.commit = min(self.commit, m.index - 1)
        base._on_install_snapshot(self, m)

    return handle


def keeps_truncated_members(base):
    def truncate_from(self, index):
        configs = self._configurations[:]
        base._truncate_from(self, index)
        self._configurations, self.members = configs, configs[-1][1]

    return truncate_from


def accepts_terms_of_non_members(base):
    def responding_peer(self, m):
        if m.term > self.term:
            self._become_follower(m.term, "")
        return base._responding_peer(self, m)

    return responding_peer


def leads_after_its_removal(base):
    def commit_to(self, index):
        ids, self._ids = self._ids, self._ids | {self.me}
        base._commit_to(self, index)
        self._ids = ids

    return commit_to


def campaigns_only_as_current_voter(base):
    def update_membership_role(self):
        base._update_membership_role(self)
        self._may_campaign = self.me in self.voters

    return update_membership_role


def never_sends_needed_snapshots(base):
    """A member whose missing entries were compacted while its window was full gets heartbeats with entry 0 for ever."""

    def send_heartbeats(self):
        full = [p for p in self._peers.values() if p.snapshot is None and p.next <= self._base]
        for p in full:
            p.snapshot, p.snapshot_progressed = api.Snapshot(1, 1, (), b""), True
        base._send_heartbeats(self)
        for p in full:
            p.snapshot = None

    return send_heartbeats


def runs_of(kind, count):
    """The seeds of one kind of plan."""
    return lambda make, same_id=False: runs(make, range(kind, 8 * count, 8), same_id)


def some_runs(make, same_id=False):
    runs(make, range(48), same_id)


DEFECTS = {  # by name: the defect, and the runs that must find it
    "the vote is not persisted": (
        on_persist(lambda k: with_fields(k, hard=k.hard and with_fields(k.hard, vote=""))),
        some_runs,
        walk,
    ),
    "the term is not persisted": (on_persist(lambda k: with_fields(k, hard=None)), some_runs, walk),
    "a truncation is not persisted": (on_persist(lambda k: with_fields(k, cut=None)), runs_of(3, 20)),
    "a write is acknowledged before a majority has it": (
        {"_advance_commit": commits_the_highest_match},
        some_runs,
        walk,
    ),
    "the leader counts itself before it is stable": (
        {"_leader_match": lambda b: lambda s: s.last_index},
        some_runs,
        walk,
    ),
    "an entry of an old term is committed by counting": (
        {"_is_of_current_term": lambda b: lambda s, i: True},
        figure_eight,
    ),
    "any log counts as up to date": ({"_up_to_date": lambda b: lambda s, m: True}, some_runs, walk),
    "two votes in a term": ({"_on_request_vote": votes_twice}, some_runs, walk),
    "messages for another id are handled": ({"_on_message": handles_messages_for_any_id}, some_runs, walk),
    "a wiped disk returns under its id": ({}, some_runs, walk),
    "a stale leader answers reads": ({"_complete_reads": completes_reads_at_once}, stale_read),
    "reads before an entry of the own term is committed": ({"_on_read": reads_before_own_entry}, some_runs),
    "any membership change is accepted": (
        {"_membership_rejection": lambda b: lambda s, m: None},
        some_runs,
        walk_changes,
    ),
    "two membership changes at once": (
        {"can_change_members": lambda b: property(lambda s: s.commit >= s._term_start_index)},
        some_runs,
        walk_changes,
    ),
    "a membership change before an entry of the own term": (
        {"can_change_members": lambda b: property(lambda s: s.commit >= s._configurations[-1][0])},
        some_runs,
    ),
    "members of a truncated entry stay effective": ({"_truncate_from": keeps_truncated_members}, truncated_members),
    "a follower answers before the entries are stable": (
        {"_batch_covering": lambda b: lambda s, i: 0},
        some_runs,
        walk,
    ),
    "no pre-vote": (
        {"_start_pre_vote": lambda b: lambda s: s._start_election(False)},
        follower_without_incoming_messages,
        runs_of(0, 10),
    ),
    "votes while a leader is alive": (
        {"_leader_is_alive": lambda b: lambda s: False},
        follower_without_incoming_messages,
    ),
    "a later term of a non-member is accepted": (
        {"_responding_peer": accepts_terms_of_non_members},
        uninformed_removed_voter,
    ),
    "a stalled leader continues": (
        {"_check_quorum": lambda b: lambda s: setattr(s, "_quorum_deadline", NEVER)},
        some_runs,
    ),
    "proposals that may be committed are reported as not done": (
        {"_reject_pending": reports_lost_proposals_as_not_done},
        some_runs,
    ),
    "a follower commits entries that did not match": (
        {"_on_append_entries": commits_unmatched_entries},
        runs_of(3, 20),
    ),
    "a removed leader continues": ({"_commit_to": leads_after_its_removal}, some_runs),
    "a removed voter may not campaign": (
        {"_update_membership_role": campaigns_only_as_current_voter},
        needed_after_its_removal,
    ),
    "chunks of two snapshots are combined": (mixes_chunks_of_snapshots, chunks_of_two_snapshots),
    "an older snapshot is installed": (
        {"_on_install_snapshot": installs_old_snapshots},
        chunks_of_two_snapshots,
        some_runs,
    ),
    "compacted entries are never sent as a snapshot": (
        {"_send_heartbeats": never_sends_needed_snapshots},
        snapshot_in_chunks,
    ),
}


def with_defect(base, patch):
    patch = patch(base) if callable(patch) else {name: made(base) for name, made in patch.items()}
    return type("Broken", (base,), patch)


@pytest.mark.parametrize("name", DEFECTS)
def test_each_deliberate_defect_is_found(name):
    patch, *finders = DEFECTS[name]
    for finder in finders:
        make = with_defect(UntimedCore if finder in (walk, walk_changes) else Core, patch)
        same_id = {"same_id": True} if patch == {} else {}
        with pytest.raises((InvariantViolation, AssertionError)):
            finder(make, **same_id)
