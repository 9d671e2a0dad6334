"""The state of one member, and the part of its log that is in memory."""

from __future__ import annotations

from collections import deque
from random import Random

import msgspec

from loftweir.replication.api import Action, Entry, EntryKind, Member, PersistentState, Role, Snapshot, Timing

NEVER = 1 << 62  # ns; a time that is never reached

decode_members = msgspec.msgpack.Decoder(tuple[Member, ...]).decode


class Peer:
    """A leader's view of another member, with the messages in flight to it."""

    def __init__(self, id: str, next: int) -> None:
        self.id = id
        self.votes = False
        self.match = 0  # the highest index up to which its log is known to be stable
        self.next = next  # the next entry to send; those between `match` and it are in flight
        self.in_flight: deque[tuple[int, int]] = deque()  # last index and bytes of each AppendEntries
        self.bytes_in_flight = 0  # sum over `in_flight`
        self.probing = True  # where its log matches is not known: one message at a time
        self.restart_round = 0  # the round at which sending was restarted; responses to earlier rounds are obsolete
        self.round = 0  # the latest round that it answered
        self.last_response_at = 0  # ns; 0: none in this term
        self.removed_at = 0  # index of the entry that removes it, which it must still receive; 0: a member
        self.removed_until = NEVER
        self.removal_round = 0  # the round that informed it that its removal is committed
        self.snapshot: Snapshot | None = None
        self.snapshot_sent = 0  # bytes of the snapshot that were sent
        self.snapshot_acknowledged = 0
        self.snapshot_progressed = False  # a chunk was acknowledged since the last heartbeat

    def restart(self, next: int, round: int) -> None:
        """Forgets what is in flight and continues with entry `next`, one message at a time."""
        self.next, self.restart_round, self.probing = next, round, True
        self.in_flight.clear()
        self.bytes_in_flight = 0


class IncomingSnapshot:
    """A snapshot that arrives in chunks. All are of one sender in one term, as another leader's snapshot of the same
    index may differ in its bytes.
    """

    def __init__(self, key: tuple[str, int, int, int]) -> None:
        self.key = key
        self.data = bytearray()


class RaftState:
    """One member's state: its storage, its role in the term, and a leader's view of the others."""

    def __init__(self, me: str, stored_state: PersistentState, timing: Timing, random: Random, now: int) -> None:
        self.me = me
        self.timing = timing
        self._random = random
        self._now = now
        self._actions: list[Action] = []
        self._init_log(stored_state)
        self._init_storage()
        self._init_role()
        self._init_leadership()
        self._init_membership()

    def _init_log(self, stored_state: PersistentState) -> None:
        self.term = stored_state.hard.term
        self.vote = stored_state.hard.vote
        self.snapshot = stored_state.snapshot
        self._base = (
            stored_state.snapshot.index if stored_state.snapshot else 0
        )  # entries up to it are no longer in `_log`
        self._base_term = stored_state.snapshot.term if stored_state.snapshot else 0
        self._log = list(stored_state.entries)
        self.last_index = self._base + len(self._log)
        if self._log and self._log[-1].term > self.term:  # a torn batch: no vote in that term can have been sent
            self.term, self.vote = self._log[-1].term, ""
        # The members from each index on, as the log defines them; the first are those of the snapshot.
        self._configurations = [(self._base, stored_state.snapshot.members if stored_state.snapshot else ())]
        self._configurations += [(e.index, decode_members(e.data)) for e in self._log if e.kind is EntryKind.MEMBERS]

    def _init_storage(self) -> None:
        self._batch = 0  # the last one that was handed to the storage
        self._stable_batch = 0
        self._hard_state_batch = 0  # the batch with the current term and vote
        self.stable_index = self.last_index
        # [batch, last index in it] of batches that are not stable yet
        self._unsynced_batches: deque[list[int]] = deque()
        # changes of this step for the next batch, like the fields up to `_log_discarded`
        self._hard_state_changed = False
        self._truncated_from: int | None = None
        self._new_entries: list[Entry] = []
        self._new_snapshot: Snapshot | None = None
        self._log_discarded = False

    def _init_role(self) -> None:
        self.role = Role.OUT
        self.leader = ""
        self.broken = ""  # why the storage stopped this member
        self.commit = self.applied = self._base
        self._snapshot_requested_index = self._base  # the applied index when a snapshot was last requested or taken
        self._bytes_since_snapshot = 0  # applied since then
        self._leader_heard_at = 0
        self._incoming: IncomingSnapshot | None = None
        self._votes: set[str] = set()
        self._transfer_election = False  # the current candidacy was triggered by `TimeoutNow`
        self._election_wait = 0  # the randomized election timeout of this round
        self._deadline = NEVER
        self._vote_retry_at = NEVER  # when to repeat the vote requests

    def _init_leadership(self) -> None:
        # on a leader: the other members, and removed ones that have not been informed yet
        self._peers: dict[str, Peer] = {}
        self._voting_peers: list[Peer] = []
        # index and token of each write and membership change, in order
        self._pending_proposals: deque[tuple[int, int]] = deque()
        # required round, required commit index and token, in order
        self._pending_reads: deque[tuple[int, int, int]] = deque()
        self._round = 0  # the last one sent; it increases, and is the time of its sending
        self._heartbeat_round = 0  # the first round of the last heartbeat to all
        self._term_start_index = 0  # index of the first entry of this leader's term
        self._quorum_since = 0
        self._quorum_deadline = NEVER
        self._heartbeat_at = NEVER
        self._transfer_target = ""
        self._transfer_deadline = NEVER

    def _init_membership(self) -> None:
        self.members: tuple[Member, ...] = ()
        self._ids: frozenset[str] = frozenset()
        self._may_campaign = False  # may start an election
        self.voters: frozenset[str] = frozenset()
        self._majority = 0
        # as last reported by `StatusChanged`
        self._reported_status: tuple[Role, int, str, tuple[Member, ...]] = (Role.OUT, 0, "", ())

    def last_response_at(self, id: str) -> int:
        """On a leader: when it last got a response of a member in this term, ns; 0: never, or this is no leader."""
        peer = self._peers.get(id)
        return peer.last_response_at if peer else 0

    def match(self, id: str) -> int:
        """On a leader: the index up to which a member's log is known to be stable and equal to its own; 0: unknown."""
        if id == self.me:
            return self.stable_index
        peer = self._peers.get(id)
        return peer.match if peer else 0

    def term_at(self, index: int) -> int:
        """The term of the entry at `index`, which may be the last compacted one (0: the empty log's)."""
        return self._base_term if index == self._base else self._log[index - self._base - 1].term

    def entries(self, first: int, last: int) -> list[Entry]:
        """The entries from `first` to `last`, both included, as far as they are still in memory."""
        return self._log[max(0, first - self._base - 1) : last - self._base]

    @property
    def first_index(self) -> int:
        """The first index in memory; above `last_index` if there is none."""
        return self._base + 1

    def _is_alive(self, peer: Peer) -> bool:
        return peer.last_response_at > 0 and self._now - peer.last_response_at < self.timing.election_timeout

    def _reset_election_timer(self) -> None:
        """Starts a new election timeout, randomized so that few members campaign at once (paper, 5.2)."""
        self._election_wait = self.timing.election_timeout + self._random.randrange(self.timing.election_timeout + 1)
        self._deadline = self._now + self._election_wait
