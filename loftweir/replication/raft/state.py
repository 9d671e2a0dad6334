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
        self.flight: deque[tuple[int, int]] = deque()  # last index and bytes of each append under way
        self.bytes = 0  # of them all
        self.probing = True  # where its log matches isn't known: one message at a time
        self.reset = 0  # the round from which on it was started anew: what it says against earlier ones is old
        self.round = 0  # the latest that it answered
        self.heard_at = 0  # ns; 0: never in this term
        self.leaving = 0  # removed by the entry at this index, which it is still to get; 0: a member
        self.leaving_until = NEVER
        self.leaving_told = 0  # the round that told it that its removal is committed
        self.sending: Snapshot | None = None
        self.sent = 0  # bytes of the snapshot
        self.taken = 0
        self.moved = False  # it has taken more since the last beat

    def started_anew(self, next: int, round: int) -> None:
        self.next, self.reset, self.probing = next, round, True
        self.flight.clear()
        self.bytes = 0


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
        self._out: list[Action] = []
        self._begin_log(kept)
        self._begin_storage()
        self._begin_part()
        self._begin_leadership()
        self._begin_members()

    def _begin_log(self, kept: PersistentState) -> None:
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
        self._configs = [(self._base, kept.snapshot.members if kept.snapshot else ())]
        self._configs += [(e.index, decode_members(e.data)) for e in self._log if e.kind is EntryKind.MEMBERS]

    def _begin_storage(self) -> None:
        self._batch = 0  # the last asked for
        self._stable_batch = 0
        self._hard_batch = 0  # the one with the term and vote as they are now
        self.stable_index = self.last_index
        self._pending: deque[list[int]] = deque()  # [batch, last index with it]: asked for, not stable yet
        self._hard_changed = False  # in this step, as all up to `_all_gone`
        self._cut: int | None = None
        self._new: list[Entry] = []
        self._taken_in: Snapshot | None = None
        self._all_gone = False

    def _begin_part(self) -> None:
        self.role = Role.OUT
        self.leader = ""
        self.broken = ""  # why the storage ended this member's part
        self.commit = self.applied = self._base
        self._wanted = self._base  # applied when a snapshot was last wanted or made
        self._since = 0  # bytes applied since then
        self._leader_heard = 0
        self._incoming: IncomingSnapshot | None = None
        self._votes: set[str] = set()
        self._handed = False  # it stands because the leader said so
        self._wait = 0  # this round's wait for a leader
        self._deadline = NEVER
        self._again_at = NEVER  # votes are asked for again

    def _begin_leadership(self) -> None:
        self._peers: dict[str, Peer] = {}  # of a leader: the other members, and those still to hear that they are out
        self._voting: list[Peer] = []
        self._owed: deque[tuple[int, int]] = deque()  # index and token of writes and changes, in order
        self._reads: deque[tuple[int, int, int]] = deque()  # round to be answered, index, token; in order
        self._round = 0  # the last sent; grows, and is the time of its sending
        self._all_round = 0  # the first of the last sent to all
        self._own_from = 0  # the first entry of this leader's term
        self._quorum_from = 0
        self._quorum_until = NEVER
        self._beat_at = NEVER
        self._hand_to = ""
        self._hand_until = NEVER

    def _begin_members(self) -> None:
        self.members: tuple[Member, ...] = ()
        self._ids: frozenset[str] = frozenset()
        self._standing = False  # it may stand for election
        self.voters: frozenset[str] = frozenset()
        self._majority = 0
        self._stood: tuple[Role, int, str, tuple[Member, ...]] = (Role.OUT, 0, "", ())  # as last told

    def heard_from(self, id: str) -> int:
        """When a leader last had an answer of a member in this term, ns; 0: never, or this is no leader."""
        peer = self._peers.get(id)
        return peer.heard_at if peer else 0

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

    def _alive(self, peer: Peer) -> bool:
        return peer.heard_at > 0 and self._now - peer.heard_at < self.timing.election

    def _restart_wait(self) -> None:
        """A new wait for a leader, at random so that few stand at once (paper, 5.2)."""
        self._wait = self.timing.election + self._random.randrange(self.timing.election + 1)
        self._deadline = self._now + self._wait
