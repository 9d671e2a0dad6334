"""The consensus core of the replicated state, put together from its parts in `replication/raft/`. No I/O, no clock.

From the Raft paper (Ongaro and Ousterhout, 2014; "paper") and Ongaro's dissertation (2014; "diss."). `step(now, event)`
takes one event and gives the actions that follow from it, in order; `next_at` is when a `Tick` is due, if nothing else
comes before.

Stable storage answers late: a `Keep` is only asked for, `Stable` tells of it, and any number may be under way. The disk
is so a prefix of this member's own history, and a message leaves only once the part that it rests on is stable
(`Say.after`): as if the storage answered at once and the network were slower.

Invariants, which `check` holds against the state:

1. snapshot <= applied = commit <= last index; entries follow one another without gap and their terms never fall; no
   entry has a term above the member's own.
2. What is committed is never cut. A leader never cuts its own log (paper, 5.3, 5.4).
3. The members in force are those of the last MEMBERS entry in the log, committed or not (diss. 4.1), and a
   leader adds one only once the one before it, and an entry of its own term, are committed.
4. A leader counts itself only up to `stable_index`, and a member only by what it said was stable; it commits only by an
   entry of its own term (paper, 5.4.2). A candidate counts its own vote only once that is stable.
5. Only a leader owes answers to tokens; who stops being one gives them all back at once (`Refused`).
6. A leader that has no answer of a majority to what it sent in the last `Timing.election` is none (diss. 6.2). This is
   seen to before anything else in a step, so that one that was stalled answers nothing. The time of an answer is the
   time when what it answers was sent, and members wait at least `Timing.election` from when they heard it: where the
   clocks run equally fast, one leader has stepped down before the next one stands, unless it handed over.
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
    """The disk that founds a cluster: for one member only, which leads first; the others begin with empty disks."""
    data = msgspec.msgpack.encode(tuple(members))
    return PersistentState(HardState(1), None, (Entry(1, 1, EntryKind.MEMBERS, data),))


class Core(Election, Follower, Invariants):
    """One member. `kept` is what its disk holds: all that is in it is stable; an empty one is of a member that isn't
    taken in yet. The machine is rebuilt from the first actions on: a `Restore` where there is a snapshot, then what is
    committed behind it."""

    def __init__(self, me: str, kept: PersistentState, timing: Timing, random: Random, now: int) -> None:
        super().__init__(me, kept, timing, random, now)
        self._configured()
        self._restart_wait()
        if kept.snapshot is not None:
            self._out.append(RestoreSnapshot(kept.snapshot))

    def step(self, now: int, event: Event) -> list[Action]:
        """Times that go back are taken as the latest seen. Raises nothing on what others send."""
        if now > self._now:
            self._now = now
        if self.broken:
            if isinstance(event, (WriteRequest, ReadRequest, MembershipChange)):
                return [RequestRejected(event.token, RejectionReason.NOT_LEADER)]
            return []
        if self.role is Role.LEADER and self._now >= self._quorum_until:
            self._check_quorum()
        getattr(self, _EVENT_HANDLERS[type(event)])(event)
        if self._now >= self.next_at:
            self._time_passed()
        return self._flushed()

    @property
    def next_at(self) -> int:
        """When a `Tick` is due, ns; `NEVER` where none is."""
        if self.role is Role.LEADER:
            return min(self._beat_at, self._quorum_until, self._hand_until) if self._peers else NEVER
        if not self._standing or self.broken:
            return NEVER
        return self._deadline if self.role is Role.FOLLOWER else min(self._deadline, self._again_at)

    # ---- time and storage -----------------------------------------------------------------------

    def _ticked(self, event: Tick) -> None:
        pass

    def _time_passed(self) -> None:
        if self.role is Role.LEADER:
            if self._now >= self._hand_until:
                self._hand_to, self._hand_until = "", NEVER
            if self._now >= self._quorum_until:
                self._check_quorum()
            elif self._now >= self._beat_at:
                self._beat()
        elif self._now >= self._deadline:
            self._ask()
        else:
            self._ask_votes()

    def _stable(self, event: BatchSynced) -> None:
        while self._pending and self._pending[0][0] <= event.batch:
            self._stable_batch, self.stable_index = self._pending.popleft()
        if self.role is Role.CANDIDATE:
            self._count_votes()
        elif self.role is Role.LEADER:
            self._count()

    def _ended(self, event: StorageBroken) -> None:
        self.broken = event.why or "broken"
        self._give_back(RejectionReason.LOST)
        self._peers, self._voting = {}, []
        self.role, self.leader, self._incoming = Role.OUT, "", None
        self._out = [action for action in self._out if not isinstance(action, SendMessage)]

    # ---- messages -------------------------------------------------------------------------------

    def _heard(self, event: MessageReceived) -> None:
        m = event.message
        if m.to == self.me:
            getattr(self, _MESSAGE_HANDLERS[type(m)])(m)

    # ---- what the host asks ---------------------------------------------------------------------

    def _write(self, event: WriteRequest) -> None:
        if not self._may_take(event.token):
            return
        if self._hand_to:
            self._out.append(RequestRejected(event.token, RejectionReason.BUSY))
            return
        self._owed.append((self.last_index + 1, event.token))
        self._propose(EntryKind.WRITE, event.data)

    def _change(self, event: MembershipChange) -> None:
        if not self._may_take(event.token):
            return
        refused = self._unfit(event.members)
        if refused is not None:
            self._out.append(RequestRejected(event.token, refused))
            return
        self._owed.append((self.last_index + 1, event.token))
        self._propose(EntryKind.MEMBERS, msgspec.msgpack.encode(event.members))


_EVENT_HANDLERS = {
    Tick: "_ticked",
    MessageReceived: "_heard",
    BatchSynced: "_stable",
    StorageBroken: "_ended",
    WriteRequest: "_write",
    ReadRequest: "_read",
    MembershipChange: "_change",
    CompactLog: "_compact",
    TransferLeadership: "_hand_over",
}
_MESSAGE_HANDLERS = {
    RequestVote: "_ask_vote",
    RequestVoteResponse: "_vote",
    AppendEntries: "_append_heard",
    AppendEntriesResponse: "_appended",
    InstallSnapshot: "_piece_heard",
    InstallSnapshotResponse: "_taken",
    TimeoutNow: "_lead_now",
}
