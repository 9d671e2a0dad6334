"""The consensus core of the copies: elections, log, members, snapshots, reads. No I/O, no clock.

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

from collections import deque
from collections.abc import Iterable
from random import Random

import msgspec

from loftweir.replication.api import (
    Action,
    AnyMessage,
    Append,
    Appended,
    Apply,
    AskVote,
    Broken,
    Change,
    Compact,
    Done,
    Entry,
    Event,
    HandOver,
    Hard,
    Heard,
    Keep,
    Kept,
    Kind,
    LeadNow,
    Member,
    Piece,
    Read,
    Refusal,
    Refused,
    Restore,
    Role,
    Say,
    Snapshot,
    Stable,
    Stands,
    Taken,
    Tick,
    Timing,
    Vote,
    WantSnapshot,
    Write,
)

NEVER = 1 << 62  # a time that doesn't come
VOTERS = 7  # at most
MEMBERS = 16  # at most, learners with them
FLIGHT = 32  # appends under way to a member at most; what comes meanwhile goes together in the next
ROOM = 4  # bytes under way to a member at most, in times of a full append or piece
HELD = 4  # times `log_entries` that are held at most for members that take a snapshot now
OVERHEAD = 32  # bytes of an entry beside its data, about

_members = msgspec.msgpack.Decoder(tuple[Member, ...])


def begun(members: Iterable[Member]) -> Kept:
    """The disk that founds a cluster: for one member only, which leads first; the others begin with empty disks."""
    data = msgspec.msgpack.encode(tuple(members))
    return Kept(Hard(1), None, (Entry(1, 1, Kind.MEMBERS, data),))


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


class Incoming:
    """A snapshot that comes in pieces: of one sender in one term, since another's may differ in its bytes."""

    def __init__(self, key: tuple[str, int, int, int]) -> None:
        self.key = key
        self.data = bytearray()


class Core:
    """One member. `kept` is what its disk holds: all that is in it is stable; an empty one is of a member that isn't
    taken in yet. The machine is rebuilt from the first actions on: a `Restore` where there is a snapshot, then what is
    committed behind it."""

    def __init__(self, me: str, kept: Kept, timing: Timing, random: Random, now: int) -> None:
        self.me = me
        self.timing = timing
        self._random = random
        self._now = now
        self._out: list[Action] = []

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
        self._configs += [(e.index, _members.decode(e.data)) for e in self._log if e.kind is Kind.MEMBERS]

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

        self.role = Role.OUT
        self.leader = ""
        self.broken = ""  # why the storage ended this member's part
        self.commit = self.applied = self._base
        self._wanted = self._base  # applied when a snapshot was last wanted or made
        self._leader_heard = 0
        self._incoming: Incoming | None = None
        self._votes: set[str] = set()
        self._handed = False  # it stands because the leader said so
        self._wait = 0  # this round's wait for a leader
        self._deadline = NEVER
        self._again_at = NEVER  # votes are asked for again

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

        self.members: tuple[Member, ...] = ()
        self._ids: frozenset[str] = frozenset()
        self._standing = False  # it may stand for election
        self.voters: frozenset[str] = frozenset()
        self._majority = 0
        self._configured()
        self._restart_wait()
        if kept.snapshot is not None:
            self._out.append(Restore(kept.snapshot))
        self._stood: tuple[Role, int, str, tuple[Member, ...]] = (Role.OUT, 0, "", ())  # as last told

    # ---- from outside ---------------------------------------------------------------------------

    def step(self, now: int, event: Event) -> list[Action]:
        """Times that go back are taken as the latest seen. Raises nothing on what others send."""
        if now > self._now:
            self._now = now
        if self.broken:
            if isinstance(event, (Write, Read, Change)):
                return [Refused(event.token, Refusal.NOT_LEADER)]
            return []
        if self.role is Role.LEADER and self._now >= self._quorum_until:
            self._check_quorum()
        getattr(self, _STEPS[type(event)])(event)
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

    @property
    def quorum_heard_at(self) -> int:
        """Of a leader: the latest time at which it sent something that a majority has answered since (or when it began
        to lead, or its voters changed). Of others: when they last heard from the leader; 0: from none yet. ns."""
        if self.role is not Role.LEADER:
            return self._leader_heard
        return max(self._quorum_from, min(self._quorum_round(), self._now))

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
    def settled(self) -> bool:
        """Of a leader: it may take a change of members. An entry of its term and the last change are committed."""
        return self.role is Role.LEADER and self.commit >= max(self._own_from, self._configs[-1][0])

    @property
    def first_index(self) -> int:
        """Of the entries in memory; above `last_index` where there are none."""
        return self._base + 1

    def check(self) -> None:
        """AssertionError where an invariant doesn't hold; costs as much as the log is long."""
        since = self.snapshot.index if self.snapshot else 0
        assert self._base <= self.applied == self.commit <= self.last_index == self._base + len(self._log)
        assert self._base <= since <= self.applied
        assert 0 <= self.stable_index <= self.last_index and self._stable_batch <= self._batch
        assert [e.index for e in self._log] == list(range(self._base + 1, self.last_index + 1))
        terms = [self._base_term, *(e.term for e in self._log), self.term]
        assert terms == sorted(terms), "terms fall"
        said = [(e.index, _members.decode(e.data)) for e in self._log if e.kind is Kind.MEMBERS and e.index > since]
        assert [c for c in self._configs if c[0] > since] == said and self._configs[0][0] <= since
        assert self.members == self._configs[-1][1]
        assert [i for i, _ in self._configs] == sorted({i for i, _ in self._configs})
        assert not any((self._hard_changed, self._cut, self._new, self._taken_in, self._out)), "a step left something"
        if self.role is not Role.LEADER:
            assert not self._owed and not self._reads and not self._peers
            assert (self.role is Role.OUT) == (not (self.me in self._ids or self._standing) or bool(self.broken))
            return
        assert self.leader == self.me and self.term_at(self.last_index) == self.term
        own = max(self.commit, self._own_from)  # what is before it may be committed, unknown to this leader
        assert sum(i > own for i, _ in self._configs) <= 1, "two changes of members under way"
        assert self._now < self._quorum_until
        assert self.me in self.voters or self._configs[-1][0] > self.commit, "a leader that was removed"
        assert self._configs[-1][0] <= own or self.commit >= self._own_from, "a change came too early"
        assert all(self.commit < i <= self.last_index for i, _ in self._owed)
        assert {p.id for p in self._peers.values() if not p.leaving} == self._ids - {self.me}
        for p in self._peers.values():
            assert p.match < p.next <= self.last_index + 1 and p.round <= self._round
            assert p.bytes == sum(size for _, size in p.flight)

    # ---- storage --------------------------------------------------------------------------------

    def _flushed(self) -> list[Action]:
        """What the step did: first what is to be kept, since all that is said rests on it."""
        out, self._out = self._out, []
        if self._hard_changed or self._new or self._cut is not None or self._taken_in is not None:
            self._batch += 1
            hard = Hard(self.term, self.vote) if self._hard_changed else None
            keep = Keep(self._batch, hard, self._cut, tuple(self._new), self._taken_in, self._all_gone)
            out.insert(0, keep)
            self._pending.append([self._batch, self.last_index])
            self._hard_changed = self._all_gone = False
            self._cut = self._taken_in = None
            self._new = []
        stood = (self.role, self.term, self.leader, self.members)
        if stood != self._stood:
            self._stood = stood
            out.append(Stands(*stood))
        return out

    def _hard(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self._hard_changed = True
        self._hard_batch = self._batch + 1

    def _say(self, message: AnyMessage, after: int = 0) -> None:
        """What is said in a term leaves once that is stable."""
        after = max(after, self._hard_batch)
        self._out.append(Say(message, after if after > self._stable_batch else 0))

    def _stable(self, event: Stable) -> None:
        while self._pending and self._pending[0][0] <= event.batch:
            self._stable_batch, self.stable_index = self._pending.popleft()
        if self.role is Role.CANDIDATE:
            self._count_votes()
        elif self.role is Role.LEADER:
            self._count()

    def _gone_from(self, index: int) -> None:
        """What was asked to be kept from here on is not this member's log any more."""
        self.stable_index = min(self.stable_index, index - 1)
        for pending in self._pending:
            pending[1] = min(pending[1], index - 1)

    def _ended(self, event: Broken) -> None:
        self.broken = event.why or "broken"
        self._give_back(Refusal.LOST)
        self._peers, self._voting = {}, []
        self.role, self.leader, self._incoming = Role.OUT, "", None
        self._out = [action for action in self._out if not isinstance(action, Say)]

    # ---- log and members ------------------------------------------------------------------------

    def _grow(self, entry: Entry) -> None:
        self._log.append(entry)
        self._new.append(entry)
        self.last_index = entry.index
        if entry.kind is Kind.MEMBERS:
            self._configs.append((entry.index, _members.decode(entry.data)))
            self._configured()

    def _cut_from(self, index: int) -> None:
        """Drop entries that were never committed; the members that they named go with them."""
        assert index > self.commit, "a committed entry would be cut"
        del self._log[index - self._base - 1 :]
        self.last_index = index - 1
        self._cut = index
        self._gone_from(index)
        if self._configs[-1][0] >= index:
            while self._configs[-1][0] >= index:
                self._configs.pop()
            self._configured()

    def _configured(self) -> None:
        """Other members are in force."""
        index, self.members = self._configs[-1]
        self._ids = frozenset(m.id for m in self.members)
        self.voters = frozenset(m.id for m in self.members if m.votes)
        self._majority = len(self.voters) // 2 + 1
        self._placed()
        if self.role is Role.LEADER:
            self._meet(index)

    def _placed(self) -> None:
        """Whether it may stand, and whether it is out. A voter may stand until its removal is known to be committed:
        it may be the only one with the entry that all others wait for (diss. 4.2.2)."""
        self._standing = False
        for at, members in reversed(self._configs):
            if any(m.votes and m.id == self.me for m in members):
                self._standing = True
            if at <= self.commit:
                break
        if self.role is Role.LEADER:
            return
        if not self._standing and self.me not in self._ids:
            self.role = Role.OUT
        elif self.role is Role.OUT:
            self.role = Role.FOLLOWER
            self._restart_wait()

    def _meet(self, index: int) -> None:
        """A leader's view of the members that are in force from `index` on, its next entry."""
        for id in sorted(self._ids - {self.me}):
            peer = self._peers.setdefault(id, Peer(id, index))
            peer.votes, peer.leaving = id in self.voters, 0
        for peer in self._peers.values():
            if peer.id not in self._ids and not peer.leaving:
                # It still gets the entry that removes it, and that this is committed, so as to know; it counts no more.
                peer.votes, peer.leaving, peer.leaving_told = False, index, 0
                peer.leaving_until = self._now + 4 * self.timing.election
        self._voting = [peer for peer in self._peers.values() if peer.votes]
        self._quorum_from = self._now  # a new voter has not been asked anything yet
        self._quorum_until = self._now + self.timing.election if self._others_needed() else NEVER

    def _others_needed(self) -> int:
        return self._majority - (self.me in self.voters)

    def _members_at(self, index: int) -> tuple[Member, ...]:
        return next(members for at, members in reversed(self._configs) if at <= index)

    def _commit_to(self, index: int) -> None:
        """Committed up to there: applied, and answered for. Who leads and is removed by it leads no more."""
        changing = self.commit < self._configs[-1][0]
        self.commit = index
        first = self.applied - self._base
        self._out.append(Apply(tuple(self._log[first : index - self._base])))
        self.applied = index
        if changing:
            self._placed()
        while self._owed and self._owed[0][0] <= index:
            at, token = self._owed.popleft()
            self._out.append(Done(token, at))
        if self.applied - self._wanted >= self.timing.log_entries:
            self._wanted = self.applied
            self._out.append(WantSnapshot())
        if self.role is not Role.LEADER:
            return
        if self._reads:
            self._confirm()
        if self.me not in self.voters and self._configs[-1][0] <= index:
            self._to_another(self._best())
            self._down()

    def _compact(self, event: Compact) -> None:
        had = self.snapshot.index if self.snapshot else 0
        if not had < event.index <= self.applied:
            return  # an older one, made while a newer one was taken in
        self._wanted = max(self._wanted, event.index)
        snapshot = Snapshot(event.index, self.term_at(event.index), self._members_at(event.index), event.data)
        self.snapshot = self._taken_in = snapshot
        keep_from = event.index - self.timing.keep_behind
        taking = [p.sending.index for p in self._peers.values() if p.sending and self._alive(p)]
        if taking:  # they go on from their snapshot by the log, or they would need one snapshot after the other
            keep_from = max(min(keep_from, *taking), event.index - HELD * self.timing.log_entries)
        if keep_from > self._base:
            self._base_term = self.term_at(keep_from)
            del self._log[: keep_from - self._base]
            self._base = keep_from
        while len(self._configs) > 1 and self._configs[1][0] <= event.index:
            self._configs.pop(0)

    # ---- terms and elections --------------------------------------------------------------------

    def _restart_wait(self) -> None:
        """A new wait for a leader, at random so that few stand at once (paper, 5.2)."""
        self._wait = self.timing.election + self._random.randrange(self.timing.election + 1)
        self._deadline = self._now + self._wait

    def _follow(self, term: int, leader: str) -> None:
        """Under this term, which is not below the member's own; the leader may not be known."""
        if term > self.term:
            self._hard(term, "")
        if self.role is Role.LEADER:
            self._down()
        elif self.role is not Role.OUT:
            self.role = Role.FOLLOWER
        self.leader = leader
        self._incoming = None

    def _down(self) -> None:
        """Lead no more: what was not answered is not known to come true here."""
        self._give_back(Refusal.NOT_LEADER)
        self._peers, self._voting = {}, []
        self._hand_to, self._hand_until = "", NEVER
        self.role = Role.FOLLOWER
        self._placed()
        self.leader = ""
        self._restart_wait()

    def _give_back(self, reads: Refusal) -> None:
        self._out += [Refused(token, Refusal.LOST) for _, token in self._owed]
        self._out += [Refused(token, reads) for *_, token in self._reads]
        self._owed.clear()
        self._reads.clear()

    def _sticky(self) -> bool:
        """A leader is well: nobody may stand against it (diss. 4.2.3)."""
        if self.role is Role.LEADER:
            return True
        return self.leader != "" and self._now - self._leader_heard < self.timing.election

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

    def _ask(self) -> None:
        """Nothing was heard from a leader: ask whether one could be elected, without a new term (diss. 9.6)."""
        self.role, self.leader, self._handed = Role.ASKING, "", False
        self._restart_wait()
        self._votes = {self.me}
        if len(self._votes & self.voters) >= self._majority:
            self._stand(False)
        else:
            self._ask_votes()

    def _stand(self, handed: bool) -> None:
        self.role, self.leader, self._handed = Role.CANDIDATE, "", handed
        self._hard(self.term + 1, self.me)
        self._restart_wait()
        self._votes = set()
        self._ask_votes()

    def _ask_votes(self) -> None:
        self._again_at = self._now + self.timing.beat
        pre = self.role is Role.ASKING
        for id in sorted(self.voters - self._votes - {self.me}):
            last, term = self.last_index, self.term_at(self.last_index)
            self._say(
                AskVote(
                    sender=self.me,
                    to=id,
                    term=self.term + pre,
                    last_index=last,
                    last_term=term,
                    pre=pre,
                    handed=self._handed,
                )
            )

    def _ask_vote(self, m: AskVote) -> None:
        if m.pre:
            granted = m.term > self.term and not self._sticky() and self._up_to_date(m)
            term = m.term if granted else self.term
            self._say(Vote(sender=self.me, to=m.sender, term=term, granted=granted, pre=True))
            return
        if m.term > self.term:
            if self._sticky() and not m.handed:
                return
            self._follow(m.term, "")
        granted = m.term == self.term and self.vote in ("", m.sender) and self._up_to_date(m)
        if granted:
            if not self.vote:
                self._hard(self.term, m.sender)
            self._deadline = self._now + self._wait
        self._say(Vote(sender=self.me, to=m.sender, term=self.term, granted=granted, pre=False))

    def _up_to_date(self, m: AskVote) -> bool:
        """The asker's log holds all that may be committed as far as this one knows (paper, 5.4.1)."""
        return (m.last_term, m.last_index) >= (self.term_at(self.last_index), self.last_index)

    def _vote(self, m: Vote) -> None:
        if m.pre and m.granted:
            if self.role is Role.ASKING and m.term == self.term + 1:
                self._votes.add(m.sender)
                if len(self._votes & self.voters) >= self._majority:
                    self._stand(False)
        elif m.term > self.term:
            if m.sender in self._ids:
                self._follow(m.term, "")
        elif self.role is Role.CANDIDATE and m.term == self.term and m.granted and not m.pre:
            self._votes.add(m.sender)
            self._count_votes()

    def _own_vote_stable(self) -> bool:
        return self._hard_batch <= self._stable_batch

    def _count_votes(self) -> None:
        own = self.me in self.voters and self._own_vote_stable()
        if len(self._votes & self.voters) + own >= self._majority:
            self._lead()

    # ---- leading --------------------------------------------------------------------------------

    def _lead(self) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self._peers = {}
        self._round = max(self._round, self._now)
        self._own_from = self.last_index + 1
        self._meet(self._own_from)
        self._propose(Kind.NOOP, b"")
        self._beat_at = self._now + self.timing.beat
        self._count()

    def _propose(self, kind: Kind, data: bytes) -> int:
        entry = Entry(self.last_index + 1, self.term, kind, data)
        self._grow(entry)
        for peer in self._peers.values():
            self._feed(peer)
        return entry.index

    def _quorum_round(self) -> int:
        """The latest round that a majority has answered, this leader with it."""
        needed = self._others_needed()
        if needed <= 0:
            return NEVER
        rounds = sorted(peer.round for peer in self._voting)
        return rounds[-needed] if needed <= len(rounds) else 0

    def _check_quorum(self) -> None:
        heard = self.quorum_heard_at
        if self._now - heard >= self.timing.election:
            self._down()
        else:
            self._quorum_until = heard + self.timing.election if self._others_needed() else NEVER

    def _own_match(self) -> int:
        return self.stable_index

    def _count(self) -> None:
        """Commit what a majority has stable, by way of an entry of this term only (paper, 5.4.2)."""
        matches = [peer.match for peer in self._voting]
        if self.me in self.voters:
            matches.append(self._own_match())
        matches.sort()
        index = matches[-self._majority] if len(matches) >= self._majority else 0
        if index > self.commit and self._own_term(index):
            self._commit_to(index)

    def _own_term(self, index: int) -> bool:
        return self.term_at(index) == self.term

    def _next_round(self) -> int:
        self._round = max(self._round + 1, self._now)
        return self._round

    def _to_all(self) -> None:
        """A sign of life to all. It names the last entry sent, so that one that was lost on the way is found out."""
        self._all_round = self._round + 1
        for peer in self._peers.values():
            prev = peer.next - 1 if peer.sending is None and peer.next > self._base else 0
            self._append(peer, prev, ())

    def _beat(self) -> None:
        self._beat_at = self._now + self.timing.beat
        for peer in list(self._peers.values()):
            if peer.leaving and (0 < peer.leaving_told <= peer.round or self._now >= peer.leaving_until):
                del self._peers[peer.id]
            elif peer.sending is None and peer.next <= self._base:
                self._send_snapshot(peer)  # what it lacks was let go, whether all that was sent got there or not
            elif peer.sending is not None:
                if not peer.moved and peer.sending.index < self._base:
                    self._send_snapshot(peer)  # a newer one: behind the old one there would be a gap
                elif not peer.moved:
                    peer.sent, peer.probing = peer.taken, True
                    self._piece(peer, peer.sending)
                peer.moved = False
        self._to_all()
        if self._hand_to:
            self._hand()

    def _append(self, peer: Peer, prev: int, entries: tuple[Entry, ...]) -> None:
        if peer.leaving and not peer.leaving_told and prev >= peer.leaving and self.commit >= peer.leaving:
            peer.leaving_told = self._round + 1
        self._say(
            Append(
                sender=self.me,
                to=peer.id,
                term=self.term,
                prev_index=prev,
                prev_term=self.term_at(prev) if prev else 0,
                entries=entries,
                commit=self.commit,
                round=self._next_round(),
            )
        )

    def _feed(self, peer: Peer) -> None:
        """What it lacks, as far as there is room under way."""
        if peer.sending is not None:
            return
        full = self.timing.append_bytes
        while peer.next <= self.last_index:
            if len(peer.flight) >= (1 if peer.probing else FLIGHT) or peer.bytes >= ROOM * full:
                return
            if peer.next <= self._base:
                self._send_snapshot(peer)
                return
            first = last = peer.next - self._base - 1
            size = 0
            while last < len(self._log) and (size == 0 or size + len(self._log[last].data) < full):
                size += len(self._log[last].data) + OVERHEAD
                last += 1
            prev, peer.next = peer.next - 1, self._base + last + 1
            peer.flight.append((peer.next - 1, size))
            peer.bytes += size
            self._append(peer, prev, tuple(self._log[first:last]))

    def _send_snapshot(self, peer: Peer) -> None:
        assert self.snapshot is not None, "entries are let go only behind a snapshot"
        peer.started_anew(peer.next, self._round)
        peer.sending, peer.sent, peer.taken, peer.moved = self.snapshot, 0, 0, True
        self._piece(peer, self.snapshot)

    def _pieces(self, peer: Peer, snapshot: Snapshot) -> None:
        while peer.sent < len(snapshot.data) and peer.sent - peer.taken < ROOM * self.timing.piece_bytes:
            self._piece(peer, snapshot)

    def _piece(self, peer: Peer, snapshot: Snapshot) -> None:
        data = snapshot.data[peer.sent : peer.sent + self.timing.piece_bytes]
        self._say(
            Piece(
                sender=self.me,
                to=peer.id,
                term=self.term,
                index=snapshot.index,
                index_term=snapshot.term,
                members=snapshot.members,
                at=peer.sent,
                data=data,
                size=len(snapshot.data),
                round=self._next_round(),
            )
        )
        peer.sent += len(data)

    def _alive(self, peer: Peer) -> bool:
        return peer.heard_at > 0 and self._now - peer.heard_at < self.timing.election

    def _answered(self, m: Appended | Taken) -> Peer | None:
        """Whose answer it is to this leader of this term. A later term ends this one, if a member says so."""
        if m.term > self.term:
            if m.sender in self._ids:
                self._follow(m.term, "")
            return None
        peer = self._peers.get(m.sender)
        if peer is None or m.term != self.term or m.round > self._round:
            return None
        peer.heard_at = self._now
        if m.round > peer.round:
            peer.round = m.round
            if self._reads:
                self._confirm()
        return peer

    def _appended(self, m: Appended) -> None:
        peer = self._answered(m)
        if peer is None:
            return
        if not m.ok:
            if peer.sending is None and m.round > peer.reset:
                peer.started_anew(max(peer.match, min(m.match, peer.next - 1)) + 1, self._round)
                self._feed(peer)
            return
        if m.round > peer.reset:
            peer.probing = peer.sending is not None and peer.probing
        if m.match > peer.match:
            self._has(peer, m.match)
        elif peer.next <= self.last_index:
            self._feed(peer)

    def _has(self, peer: Peer, index: int) -> None:
        """It has the log stable up to there."""
        peer.match = index
        peer.next = max(peer.next, index + 1)
        while peer.flight and peer.flight[0][0] <= index:
            peer.bytes -= peer.flight.popleft()[1]
        if peer.votes and index > self.commit:
            self._count()
        if self.role is Role.LEADER:  # it may have been removed by what this committed
            self._feed(peer)
            if self._hand_to:
                self._hand()

    def _taken(self, m: Taken) -> None:
        peer = self._answered(m)
        if peer is None or peer.sending is None or m.index != peer.sending.index:
            return
        snapshot = peer.sending
        if m.upto >= len(snapshot.data):
            peer.sending = None
            peer.started_anew(max(peer.match, snapshot.index) + 1, self._round)
            peer.probing = False
            self._has(peer, peer.next - 1)
        elif m.upto > peer.taken:
            peer.taken, peer.sent, peer.moved, peer.probing = m.upto, max(peer.sent, m.upto), True, False
            self._pieces(peer, snapshot)
        elif m.upto < peer.taken and m.round > peer.reset:  # it lost what it held
            peer.started_anew(peer.next, self._round)
            peer.taken = peer.sent = m.upto
            self._piece(peer, snapshot)

    # ---- following ------------------------------------------------------------------------------

    def _heard(self, event: Heard) -> None:
        m = event.message
        if m.to == self.me:
            getattr(self, _HEARD[type(m)])(m)

    def _from_leader(self, m: Append | Piece) -> bool:
        """Whether it is of the term's leader, who is followed then."""
        if m.term < self.term or self.role is Role.LEADER and m.term == self.term:
            return False
        if m.term > self.term or self.leader != m.sender:
            self._follow(m.term, m.sender)
        self._leader_heard = self._now
        self._deadline = self._now + self._wait
        return True

    def _appended_say(self, m: Append, ok: bool, match: int, after: int = 0) -> None:
        self._say(Appended(sender=self.me, to=m.sender, term=self.term, ok=ok, match=match, round=m.round), after)

    def _append_heard(self, m: Append) -> None:
        if not self._from_leader(m):
            if m.term < self.term:  # so that it learns of the later term
                self._appended_say(m, False, self.last_index)
            return
        prev = m.prev_index
        if prev > self.last_index:
            self._appended_say(m, False, self.last_index)
            return
        if prev > self.commit and self.term_at(prev) != m.prev_term:
            # No entry of the term that stands there can be the leader's behind where that term began (paper, 5.3).
            other, prev = self.term_at(prev), prev - 1
            while prev > self.commit and self.term_at(prev) == other:
                prev -= 1
            self._appended_say(m, False, prev)
            return
        matched = prev + len(m.entries)
        for entry in m.entries:
            if entry.index <= self.commit:
                continue
            if entry.index <= self.last_index:
                if self.term_at(entry.index) == entry.term:
                    continue
                self._cut_from(entry.index)
            self._grow(entry)
        if self.commit < m.commit and self.commit < matched:
            self._commit_to(min(m.commit, matched))
        if not m.entries:  # a sign of life is answered at once: only what is stable already
            self._appended_say(m, True, min(matched, self.stable_index))
        else:
            self._appended_say(m, True, matched, self._covers(matched))

    def _covers(self, index: int) -> int:
        """A batch with which the log is stable up to there; 0: it is."""
        if index <= self.stable_index:
            return 0
        return self._batch + bool(self._new or self._taken_in)

    def _piece_heard(self, m: Piece) -> None:
        if not self._from_leader(m):
            if m.term < self.term:
                self._taken_say(m, 0)
            return
        if m.index <= self.commit:  # all that it holds is here
            self._incoming = None
            self._taken_say(m, m.size, self._covers(m.index))
            return
        key = (m.sender, m.term, m.index, m.size)
        if self._incoming is None or self._incoming.key != key:
            self._incoming = Incoming(key)
        held = self._incoming.data
        if m.at == len(held) and m.at + len(m.data) <= m.size:
            held += m.data
        if len(held) < m.size:
            self._taken_say(m, len(held))
            return
        self._incoming = None
        self._install(Snapshot(m.index, m.index_term, m.members, bytes(held)))
        self._taken_say(m, m.size, self._batch + 1)

    def _taken_say(self, m: Piece, upto: int, after: int = 0) -> None:
        self._say(Taken(sender=self.me, to=m.sender, term=self.term, index=m.index, upto=upto, round=m.round), after)

    def _install(self, snapshot: Snapshot) -> None:
        """In place of the log up to it; what is behind it stays only if the log agrees with it there (paper, 7)."""
        index = snapshot.index
        if index <= self.last_index and self.term_at(index) == snapshot.term:
            del self._log[: index - self._base]
            self._configs = [(index, snapshot.members), *(c for c in self._configs if c[0] > index)]
        else:
            self._gone_from(self.commit + 1)
            self._all_gone = True
            self._log = []
            self.last_index = index
            self._configs = [(index, snapshot.members)]
        self._base, self._base_term = index, snapshot.term
        self.commit = self.applied = self._wanted = index
        self.snapshot = self._taken_in = snapshot
        self._out.append(Restore(snapshot))
        self._configured()

    # ---- what the host asks ---------------------------------------------------------------------

    def _ticked(self, event: Tick) -> None:
        pass

    def _may_take(self, token: int) -> bool:
        if self.role is not Role.LEADER:
            self._out.append(Refused(token, Refusal.NOT_LEADER))
            return False
        if len(self._owed) + len(self._reads) >= self.timing.under_way:
            self._out.append(Refused(token, Refusal.BUSY))
            return False
        return True

    def _write(self, event: Write) -> None:
        if not self._may_take(event.token):
            return
        if self._hand_to:
            self._out.append(Refused(event.token, Refusal.BUSY))
            return
        self._owed.append((self.last_index + 1, event.token))
        self._propose(Kind.WRITE, event.data)

    def _read(self, event: Read) -> None:
        """Answered once a majority has answered something sent after this, and the log is committed up to where it was
        then, an entry of this term with it (diss. 6.4)."""
        if not self._may_take(event.token):
            return
        self._reads.append((self._round + 1, max(self.commit, self._own_from), event.token))
        self._confirm()

    def _confirm(self) -> None:
        reads, answered = self._reads, self._quorum_round()
        while reads and reads[0][0] <= answered and reads[0][1] <= self.commit:
            _, index, token = reads.popleft()
            self._out.append(Done(token, index))
        # One round to all at a time: those that come meanwhile wait for the next.
        if reads and self._all_round < reads[0][0]:
            self._to_all()

    def _change(self, event: Change) -> None:
        if not self._may_take(event.token):
            return
        refused = self._unfit(event.members)
        if refused is not None:
            self._out.append(Refused(event.token, refused))
            return
        self._owed.append((self.last_index + 1, event.token))
        self._propose(Kind.MEMBERS, msgspec.msgpack.encode(event.members))

    def _unfit(self, members: tuple[Member, ...]) -> Refusal | None:
        """One voter more or less at a time. None is under way, and an entry of this leader's term is committed: else
        two leaders could each have made another change, with majorities that don't meet (diss. 4.1, and Ongaro's note
        of 2015 on it)."""
        voters = {m.id for m in members if m.votes}
        if len({m.id for m in members}) < len(members) or len({m.name for m in members}) < len(members):
            return Refusal.UNFIT
        if not voters or len(voters) > VOTERS or len(members) > MEMBERS or len(voters ^ self.voters) > 1:
            return Refusal.UNFIT
        if self._hand_to or not self.settled:
            return Refusal.BUSY
        return None

    def _hand_over(self, event: HandOver) -> None:
        """Take no more writes until another, which has all, leads; or for `Timing.election` at most (diss. 3.10)."""
        best = self._best()
        if best is not None and not self._hand_to:
            self._hand_to, self._hand_until = best.id, self._now + self.timing.election
            self._hand()

    def _best(self) -> Peer | None:
        """The voter that is nearest to having all."""
        return max((p for p in self._voting if self._alive(p)), key=lambda p: (p.match, p.id), default=None)

    def _hand(self) -> None:
        peer = self._peers.get(self._hand_to)
        if peer is not None and peer.match == self.commit == self.last_index:
            self._to_another(peer)

    def _to_another(self, peer: Peer | None) -> None:
        if peer is not None:
            self._say(LeadNow(sender=self.me, to=peer.id, term=self.term))

    def _lead_now(self, m: LeadNow) -> None:
        following = self.role is Role.FOLLOWER and self.me in self.voters
        if following and m.term == self.term and m.sender == self.leader:
            self._stand(True)


_STEPS = {
    Tick: "_ticked",
    Heard: "_heard",
    Stable: "_stable",
    Broken: "_ended",
    Write: "_write",
    Read: "_read",
    Change: "_change",
    Compact: "_compact",
    HandOver: "_hand_over",
}
_HEARD = {
    AskVote: "_ask_vote",
    Vote: "_vote",
    Append: "_append_heard",
    Appended: "_appended",
    Piece: "_piece_heard",
    Taken: "_taken",
    LeadNow: "_lead_now",
}
