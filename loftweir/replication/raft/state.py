"""The state of one member, and the log as far as it is in memory."""

from __future__ import annotations

from collections import deque
from random import Random

import msgspec

from loftweir.replication.api import Action, Entry, EntryKind, Member, PersistentState, Role, Snapshot, Timing

NEVER = 1 << 62  # a time that doesn't come

decode_members = msgspec.msgpack.Decoder(tuple[Member, ...]).decode


class Peer:
    """What a leader knows of another member, and what is under way to it."""

    def __init__(self, id: str, next: int) -> None:
        self.id = id
        self.votes = False
        self.match = 0  # it said that it has the log stable up to there
        self.next = next  # the next entry to send; what is between `match` and it is under way
        self.in_flight: deque[tuple[int, int]] = deque()  # last index and bytes of each append under way
        self.bytes_in_flight = 0  # of them all
        self.probing = True  # where its log matches isn't known: one message at a time
        self.restart_round = 0  # the round from which on it was started anew: what it says against earlier ones is old
        self.round = 0  # the latest that it answered
        self.last_response_at = 0  # ns; 0: never in this term
        self.removed_at = 0  # removed by the entry at this index, which it is still to get; 0: a member
        self.removed_until = NEVER
        self.removal_round = 0  # the round that told it that its removal is committed
        self.snapshot: Snapshot | None = None
        self.snapshot_sent = 0  # bytes of the snapshot
        self.snapshot_acknowledged = 0
        self.snapshot_progressed = False  # it has taken more since the last beat

    def restart(self, next: int, round: int) -> None:
        self.next, self.restart_round, self.probing = next, round, True
        self.in_flight.clear()
        self.bytes_in_flight = 0


class IncomingSnapshot:
    """A snapshot that comes in pieces: of one sender in one term, since another's may differ in its bytes."""

    def __init__(self, key: tuple[str, int, int, int]) -> None:
        self.key = key
        self.data = bytearray()


class RaftState:
    """One member's state: what its disk holds, its part in its term, and what a leader knows of the others."""

    def __init__(self, me: str, kept: PersistentState, timing: Timing, random: Random, now: int) -> None:
        self.me = me
        self.timing = timing
        self._random = random
        self._now = now
        self._actions: list[Action] = []
        self._init_log(kept)
        self._init_storage()
        self._init_role()
        self._init_leadership()
        self._init_membership()

    def _init_log(self, kept: PersistentState) -> None:
        self.term = kept.hard.term
        self.vote = kept.hard.vote
        self.snapshot = kept.snapshot
        self._base = kept.snapshot.index if kept.snapshot else 0  # entries up to it are no more in `_log`
        self._base_term = kept.snapshot.term if kept.snapshot else 0
        self._log = list(kept.entries)
        self.last_index = self._base + len(self._log)
        if self._log and self._log[-1].term > self.term:  # a torn batch: a vote in that term can't have been told
            self.term, self.vote = self._log[-1].term, ""
        # Members from each index on, as the log says; the first is as of the snapshot.
        self._configurations = [(self._base, kept.snapshot.members if kept.snapshot else ())]
        self._configurations += [(e.index, decode_members(e.data)) for e in self._log if e.kind is EntryKind.MEMBERS]

    def _init_storage(self) -> None:
        self._batch = 0  # the last asked for
        self._stable_batch = 0
        self._hard_state_batch = 0  # the one with the term and vote as they are now
        self.stable_index = self.last_index
        self._unsynced_batches: deque[list[int]] = deque()  # [batch, last index with it]: asked for, not stable yet
        self._hard_state_changed = False  # in this step, as all up to `_log_discarded`
        self._truncated_from: int | None = None
        self._new_entries: list[Entry] = []
        self._new_snapshot: Snapshot | None = None
        self._log_discarded = False

    def _init_role(self) -> None:
        self.role = Role.OUT
        self.leader = ""
        self.broken = ""  # why the storage ended this member's part
        self.commit = self.applied = self._base
        self._snapshot_requested_index = self._base  # applied when a snapshot was last wanted or made
        self._bytes_since_snapshot = 0  # bytes applied since then
        self._leader_heard_at = 0
        self._incoming: IncomingSnapshot | None = None
        self._votes: set[str] = set()
        self._transfer_election = False  # it stands because the leader said so
        self._election_wait = 0  # this round's wait for a leader
        self._deadline = NEVER
        self._vote_retry_at = NEVER  # votes are asked for again

    def _init_leadership(self) -> None:
        self._peers: dict[str, Peer] = {}  # of a leader: the other members, and those still to hear that they are out
        self._voting_peers: list[Peer] = []
        self._pending_proposals: deque[tuple[int, int]] = deque()  # index and token of writes and changes, in order
        self._pending_reads: deque[tuple[int, int, int]] = deque()  # round to be answered, index, token; in order
        self._round = 0  # the last sent; grows, and is the time of its sending
        self._heartbeat_round = 0  # the first of the last sent to all
        self._term_start_index = 0  # the first entry of this leader's term
        self._quorum_since = 0
        self._quorum_deadline = NEVER
        self._heartbeat_at = NEVER
        self._transfer_target = ""
        self._transfer_deadline = NEVER

    def _init_membership(self) -> None:
        self.members: tuple[Member, ...] = ()
        self._ids: frozenset[str] = frozenset()
        self._may_campaign = False  # it may stand for election
        self.voters: frozenset[str] = frozenset()
        self._majority = 0
        self._reported_status: tuple[Role, int, str, tuple[Member, ...]] = (Role.OUT, 0, "", ())  # as last told

    def last_response_at(self, id: str) -> int:
        """When a leader last had an answer of a member in this term, ns; 0: never, or this is no leader."""
        peer = self._peers.get(id)
        return peer.last_response_at if peer else 0

    def match(self, id: str) -> int:
        """Up to where a member's log is known to a leader to be stable and the same; 0: not known."""
        if id == self.me:
            return self.stable_index
        peer = self._peers.get(id)
        return peer.match if peer else 0

    def term_at(self, index: int) -> int:
        """The term of the entry at `index`, from the last that was let go on (0: the empty log's)."""
        return self._base_term if index == self._base else self._log[index - self._base - 1].term

    def entries(self, first: int, last: int) -> list[Entry]:
        """From `first` to `last`, both with it, as far as they are still in memory."""
        return self._log[max(0, first - self._base - 1) : last - self._base]

    @property
    def first_index(self) -> int:
        """Of the entries in memory; above `last_index` where there are none."""
        return self._base + 1

    def _is_alive(self, peer: Peer) -> bool:
        return peer.last_response_at > 0 and self._now - peer.last_response_at < self.timing.election_timeout

    def _reset_election_timer(self) -> None:
        """A new wait for a leader, at random so that few stand at once (paper, 5.2)."""
        self._election_wait = self.timing.election_timeout + self._random.randrange(self.timing.election_timeout + 1)
        self._deadline = self._now + self._election_wait
