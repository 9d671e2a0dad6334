"""The consensus core of the replicated state, composed of the classes in `replication/raft/`. No I/O and no clock.

It follows the Raft paper (Ongaro and Ousterhout, 2014; "paper") and Ongaro's dissertation (2014; "diss."). `step(now,
event)` takes one event and returns the resulting actions in order; `next_at` is the time at which a `Tick` is due
unless another event comes first.

Stable storage is asynchronous: a `PersistBatch` starts a write, `BatchSynced` reports its end, and any number may be
pending. The disk thus always holds a prefix of this member's history, and a message is sent only once the part that it
depends on is stable (`SendMessage.after`). The effect is that of synchronous storage with a slower network.

Invariants, which `check` verifies on the state:

1. snapshot <= applied = commit <= last index; entries have consecutive indexes and terms that never decrease; no entry
   has a term above the member's own.
2. A committed entry is never removed from the log. A leader never truncates its own log (paper, 5.3, 5.4).
3. The current members are those of the last MEMBERS entry in the log, committed or not (diss. 4.1). A leader appends
   one only once the previous one and an entry of its own term are committed.
4. A leader counts itself only up to `stable_index`, and another member only up to the index that this one reported as
   stable; it commits only by way of an entry of its own term (paper, 5.4.2). A candidate counts its own vote only once
   that is stable.
5. Only a leader has pending requests; when it stops being one, it rejects all of them at once (`RequestRejected`).
6. A leader without a majority's responses to messages that it sent within the last `Timing.election_timeout` is none
   (diss. 6.2). This is checked before anything else in a step, so that a process that was stalled answers nothing. A
   response counts with the time at which the message was sent that it answers, and members wait at least
   `Timing.election_timeout` after they received a leader's message: if the clocks run equally fast, one leader has
   stepped down before the next election starts, except after a leadership transfer.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import msgspec

from loftweir.replication.api import (
    Action,
    AppendEntries,
    AppendEntriesResponse,
    BatchSynced,
    CompactLog,
    Entry,
    EntryKind,
    Event,
    HardState,
    InstallSnapshot,
    InstallSnapshotResponse,
    Member,
    MembershipChange,
    MessageReceived,
    PersistentState,
    ReadRequest,
    RejectionReason,
    RequestRejected,
    RequestVote,
    RequestVoteResponse,
    RestoreSnapshot,
    Role,
    SendMessage,
    StorageBroken,
    Tick,
    TimeoutNow,
    Timing,
    TransferLeadership,
    WriteRequest,
)
from loftweir.replication.raft.election import Election
from loftweir.replication.raft.follower import Follower
from loftweir.replication.raft.invariants import Invariants
from loftweir.replication.raft.state import NEVER

__all__ = ["NEVER", "Core", "founding_state"]


def founding_state(members: Iterable[Member]) -> PersistentState:
    """The storage of the member that founds a cluster and leads first; the others start with empty storage."""
    data = msgspec.msgpack.encode(tuple(members))
    return PersistentState(HardState(1), None, (Entry(1, 1, EntryKind.MEMBERS, data),))


class Core(Election, Follower, Invariants):
    """One member. `stored_state` is the content of its stable storage; empty: the member has not been added to the
    cluster yet. The state machine is rebuilt by the first actions: a `RestoreSnapshot` if there is a snapshot, then the
    committed entries after it.
    """

    def __init__(self, me: str, stored_state: PersistentState, timing: Timing, random: Random, now: int) -> None:
        super().__init__(me, stored_state, timing, random, now)
        self._membership_changed()
        self._reset_election_timer()
        if stored_state.snapshot is not None:
            self._actions.append(RestoreSnapshot(stored_state.snapshot))

    def step(self, now: int, event: Event) -> list[Action]:
        """Handles one event. A time before the latest one counts as the latest. No message of another member raises an
        error.
        """
        if now > self._now:
            self._now = now
        if self.broken:
            if isinstance(event, (WriteRequest, ReadRequest, MembershipChange)):
                return [RequestRejected(event.token, RejectionReason.NOT_LEADER)]
            return []
        if self.role is Role.LEADER and self._now >= self._quorum_deadline:
            self._check_quorum()
        getattr(self, _EVENT_HANDLERS[type(event)])(event)
        if self._now >= self.next_at:
            self._time_passed()
        return self._collect_actions()

    @property
    def next_at(self) -> int:
        """The time at which a `Tick` is due in ns; `NEVER` if none is."""
        if self.role is Role.LEADER:
            return min(self._heartbeat_at, self._quorum_deadline, self._transfer_deadline) if self._peers else NEVER
        if not self._may_campaign or self.broken:
            return NEVER
        return self._deadline if self.role is Role.FOLLOWER else min(self._deadline, self._vote_retry_at)

    # ---- time and storage -----------------------------------------------------------------------

    def _on_tick(self, event: Tick) -> None:
        pass

    def _time_passed(self) -> None:
        if self.role is Role.LEADER:
            if self._now >= self._transfer_deadline:
                self._transfer_target, self._transfer_deadline = "", NEVER
            if self._now >= self._quorum_deadline:
                self._check_quorum()
            elif self._now >= self._heartbeat_at:
                self._send_heartbeats()
        elif self._now >= self._deadline:
            self._start_pre_vote()
        else:
            self._request_votes()

    def _on_batch_synced(self, event: BatchSynced) -> None:
        while self._unsynced_batches and self._unsynced_batches[0][0] <= event.batch:
            self._stable_batch, self.stable_index = self._unsynced_batches.popleft()
        if self.role is Role.CANDIDATE:
            self._count_votes()
        elif self.role is Role.LEADER:
            self._advance_commit()

    def _on_storage_broken(self, event: StorageBroken) -> None:
        self.broken = event.why or "broken"
        self._reject_pending(RejectionReason.LOST)
        self._peers, self._voting_peers = {}, []
        self.role, self.leader, self._incoming = Role.OUT, "", None
        self._actions = [action for action in self._actions if not isinstance(action, SendMessage)]

    # ---- messages -------------------------------------------------------------------------------

    def _on_message(self, event: MessageReceived) -> None:
        m = event.message
        if m.to == self.me:
            getattr(self, _MESSAGE_HANDLERS[type(m)])(m)

    # ---- requests of the host -------------------------------------------------------------------

    def _on_write(self, event: WriteRequest) -> None:
        if not self._can_accept(event.token):
            return
        if self._transfer_target:
            self._actions.append(RequestRejected(event.token, RejectionReason.BUSY))
            return
        self._pending_proposals.append((self.last_index + 1, event.token))
        self._propose(EntryKind.WRITE, event.data)

    def _on_membership_change(self, event: MembershipChange) -> None:
        if not self._can_accept(event.token):
            return
        refused = self._membership_rejection(event.members)
        if refused is not None:
            self._actions.append(RequestRejected(event.token, refused))
            return
        self._pending_proposals.append((self.last_index + 1, event.token))
        self._propose(EntryKind.MEMBERS, msgspec.msgpack.encode(event.members))


_EVENT_HANDLERS = {
    Tick: "_on_tick",
    MessageReceived: "_on_message",
    BatchSynced: "_on_batch_synced",
    StorageBroken: "_on_storage_broken",
    WriteRequest: "_on_write",
    ReadRequest: "_on_read",
    MembershipChange: "_on_membership_change",
    CompactLog: "_on_compact_log",
    TransferLeadership: "_on_transfer_leadership",
}
_MESSAGE_HANDLERS = {
    RequestVote: "_on_request_vote",
    RequestVoteResponse: "_on_vote_response",
    AppendEntries: "_on_append_entries",
    AppendEntriesResponse: "_on_append_response",
    InstallSnapshot: "_on_install_snapshot",
    InstallSnapshotResponse: "_on_snapshot_response",
    TimeoutNow: "_on_timeout_now",
}
