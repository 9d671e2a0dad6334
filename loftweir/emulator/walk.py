"""Every order of what can happen to a few copies, in small sizes: breadth first, each state once.

Time is taken out: any voter may stand at any moment and no leader is stuck to, which allows more than clocks ever do,
so what holds here holds at any speed. A message may come at any later moment or never, once. A disk syncs within the
step or, as often as allowed, later; a crash loses what it had not synced. The walk judges only by what came of it:
leaders in a term, what was applied, what a leader has, and on how many disks a promise lies.

A message that would change nothing is not taken: all that can come with it gone can come with it there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.emulator.replication_disk import Disk
from loftweir.replication.api import (
    AnyMessage,
    AppendEntriesResponse,
    ApplyEntries,
    BatchSynced,
    Entry,
    Event,
    HardState,
    Member,
    MembershipChange,
    MessageReceived,
    PersistBatch,
    PersistentState,
    RequestCompleted,
    RequestVote,
    RequestVoteResponse,
    Role,
    SendMessage,
    Tick,
    Timing,
    WriteRequest,
)
from loftweir.replication.core import NEVER, Core, founding_state

ALWAYS_SAME = Timing(1, 1)
NO_RANDOM = Random(0)  # nothing comes of it without clocks


class UntimedCore(Core):
    """A core without clocks: a `Tick` makes it stand, and a round is as good as another."""

    next_at = NEVER

    def _on_tick(self, event: Tick) -> None:
        if self.role is not Role.LEADER and self._may_campaign:
            self._start_election(False)

    def _leader_is_alive(self) -> bool:
        return False

    def _check_quorum(self) -> None:
        self._quorum_deadline = NEVER

    def _next_round(self) -> int:
        self._round = 1
        return 1

    def _on_append_response(self, m: AppendEntriesResponse) -> None:
        if m.sender in self._peers:
            self._peers[m.sender].restart_round = 0
        super()._on_append_response(m)

    def copied(self) -> UntimedCore:
        new = object.__new__(type(self))
        new.__dict__.update(self.__dict__)
        new._log, new._configurations, new._votes = self._log[:], self._configurations[:], set(self._votes)
        new._unsynced_batches = deque(pending[:] for pending in self._unsynced_batches)
        new._pending_proposals, new._pending_reads, new._actions, new._new_entries = (
            deque(self._pending_proposals),
            deque(self._pending_reads),
            [],
            [],
        )
        new._peers = {}
        for id, peer in self._peers.items():
            new._peers[id] = other = object.__new__(type(peer))
            other.__dict__.update(peer.__dict__)
            other.in_flight = deque(peer.in_flight)
        new._voting_peers = [peer for peer in new._peers.values() if peer.votes]
        return new

    def key(self) -> object:
        """All that what comes later depends on; batches by their distance."""
        stable = self._stable_batch
        return (
            (self.me, self.term, self.vote, self.role, self.leader, self.commit, self.stable_index, tuple(self._log)),
            (
                frozenset(self._votes),
                max(0, self._hard_state_batch - stable),
                self._batch - stable,
                tuple(self._pending_proposals),
            ),
            tuple((batch - stable, index) for batch, index in self._unsynced_batches),
            tuple((p.id, p.match, p.next, p.probing, p.removed_at, tuple(p.in_flight)) for p in self._peers.values()),
        )


class Place(NamedTuple):
    """A seat: its process, what is on its disk, what is asked for, and what waits for that."""

    core: UntimedCore
    hard: HardState
    entries: tuple[Entry, ...]
    asked: tuple[PersistBatch, ...] = ()
    held: tuple[tuple[int, int], ...] = ()  # batch, number of a message
    mark: int = 0  # equal ones go on alike

    def holds(self, entry: Entry) -> bool:
        return entry in self.entries

    def marked(self) -> Place:
        stable = self.core._stable_batch
        waits = tuple((after - stable, number) for after, number in self.held)
        return self._replace(mark=hash((self.core.key(), self.hard, self.entries, waits)))


class Promise(NamedTuple):
    at: int  # index
    voters: frozenset[str]
    own: bool  # on the leader's own disk then


class Went(NamedTuple):
    """What a step did at one seat; the same from equal places, wherever the others are."""

    place: Place
    slow: bool  # what it asked for is not synced yet
    sent: frozenset[int] = frozenset()
    applied: tuple[Entry, ...] = ()
    promises: tuple[Promise, ...] = ()
    leads: int = 0  # the term in which it begins to


class EventBudget(NamedTuple):
    """What may still happen."""

    stands: int = 1
    writes: int = 2
    crashes: int = 1
    wipes: int = 1
    slow: int = 1  # steps whose sync comes later
    changes: int = 0


DEFAULT_BUDGET = EventBudget()


class State(NamedTuple):
    places: tuple[Place, ...]
    net: frozenset[int]  # numbers of messages
    left: EventBudget
    committed: tuple[Entry, ...] = ()  # from index 1 on, as any has applied it
    terms: tuple[int, ...] = ()  # of who committed each
    leaders: frozenset[tuple[int, str]] = frozenset()
    lost: tuple[Place, ...] = ()  # wiped disks, as they were

    def key(self) -> int:
        marks = tuple([place.mark for place in self.places])
        return hash((marks, self.net, self.left, len(self.committed), self.leaders))


class ModelChecker:
    """`make` is `Timeless`, or one broken on purpose; `same_id`: a wiped disk comes back under its old id."""

    def __init__(
        self,
        make: type[UntimedCore] = UntimedCore,
        left: EventBudget = DEFAULT_BUDGET,
        seats: int = 3,
        same_id: bool = False,
    ):
        self.make, self.same_id = make, same_id
        self.states = self.depth = self.completions = 0
        self.members = tuple(Member(id, id, id) for id in "abcde"[:seats])
        self._messages: list[AnyMessage] = []
        self._numbers: dict[AnyMessage, int] = {}
        self._begun: dict[tuple[str, PersistentState], Place] = {}
        self._went: dict[tuple[int, object, bool], Went] = {}
        kept = founding_state(self.members)
        places = tuple(self._made(m.id, kept) for m in self.members)
        # The first leads in term 2, by the votes of as few as can be; the others have heard nothing.
        state = self._step(State(places, frozenset(), left), 0, Tick())
        for _ in range(seats // 2):
            state = self._heard(state, min(n for n in state.net if isinstance(self._messages[n], RequestVote)))
            state = self._heard(state, next(n for n in state.net if isinstance(self._messages[n], RequestVoteResponse)))
        assert state.places[0].core.role is Role.LEADER
        self.first = state._replace(
            net=frozenset(n for n in state.net if not isinstance(self._messages[n], RequestVote))
        )

    def _made(self, id: str, kept: PersistentState) -> Place:
        """A process begins with that disk."""
        made = self._begun.get((id, kept))
        if made is None:
            made = Place(self.make(id, kept, ALWAYS_SAME, NO_RANDOM, 0), kept.hard, kept.entries).marked()
            self._begun[id, kept] = made
        return made

    def run(self, depth: int, states: int = 1 << 40) -> ModelChecker:
        """All that can come in so many steps, or until so many states were seen. `Breach`: what was broken."""
        seen = {self.first.key()}
        now = [self.first]
        while now and self.depth < depth and len(seen) < states:
            self.depth += 1
            then = []
            for state in now:
                for next in self._next(state):
                    key = next.key()
                    if key not in seen:
                        seen.add(key)
                        then.append(next)
                if len(seen) >= states:
                    break
            now = then
        self.states = len(seen)
        return self

    # ---- what may come next ---------------------------------------------------------------------

    def _next(self, state: State) -> Iterator[State]:
        left = state.left
        slows = (False, True) if left.slow else (False,)
        for number in state.net:
            for slow in slows:
                then = self._heard(state, number, slow)
                if then is not state:
                    yield then
        for at, place in enumerate(state.places):
            core = place.core
            if core.role is Role.LEADER:
                if left.writes:
                    spent = state._replace(left=left._replace(writes=left.writes - 1))
                    write = WriteRequest(left.writes, b"%d by %s" % (left.writes, core.me.encode()))
                    for slow in slows:
                        yield self._step(spent, at, write, slow)
                if left.changes:
                    spent = state._replace(left=left._replace(changes=left.changes - 1))
                    for members in self._changes(core.members):
                        yield self._step(spent, at, MembershipChange(100 + left.changes, members))
            elif left.stands and core._may_campaign:
                yield self._step(state._replace(left=left._replace(stands=left.stands - 1)), at, Tick())
            if place.asked:
                yield self._step(state, at, None)
            if left.crashes:
                yield self._again(state, at)
            if left.wipes:
                yield self._wiped(state, at)

    def _changes(self, members: tuple[Member, ...]) -> Iterator[tuple[Member, ...]]:
        """One less, or one of the first members back."""
        for member in members:
            if len(members) > 1:
                yield tuple(m for m in members if m != member)
        for member in self.members:
            if member not in members:
                yield (*members, member)

    def _again(self, state: State, at: int) -> State:
        """A crash, and the start from what was synced."""
        place = state.places[at]
        made = self._made(place.core.me, PersistentState(place.hard, None, place.entries))
        return self._put(state, at, made)._replace(left=state.left._replace(crashes=state.left.crashes - 1))

    def _wiped(self, state: State, at: int) -> State:
        """The disk is lost; what was said to its id is heard by nobody."""
        place = state.places[at]
        id = place.core.me if self.same_id else place.core.me + "'"
        gone = frozenset(n for n in state.net if self._messages[n].to == place.core.me != id)
        state = state._replace(lost=(*state.lost, place), net=state.net - gone)
        return self._put(state, at, self._made(id, PersistentState()))._replace(left=state.left._replace(wipes=0))

    def _put(self, state: State, at: int, place: Place) -> State:
        return state._replace(places=(*state.places[:at], place, *state.places[at + 1 :]))

    def _heard(self, state: State, number: int, slow: bool = False) -> State:
        """By whoever sits at the seat that it is sent to, who drops it if it isn't meant."""
        at = ord(self._messages[number].to[0]) - ord("a")
        went = self._at(state.places[at], number, slow)
        if went.place.mark == state.places[at].mark and went.sent <= state.net:
            return state
        return self._judged(state._replace(net=state.net - {number}), at, went)

    def _step(self, state: State, at: int, event: Event | None, slow: bool = False) -> State:
        return self._judged(state, at, self._at(state.places[at], event, slow))

    # ---- one seat -------------------------------------------------------------------------------

    def _at(self, place: Place, event: Event | int | None, slow: bool) -> Went:
        """An event there, or the message of that number, or only a sync."""
        key = (place.mark, event, slow)
        went = self._went.get(key)
        if went is None:
            if event is None:
                went = self._synced(Went(place, True))
            else:
                went = self._stepped(place, MessageReceived(self._messages[event]) if isinstance(event, int) else event)
                if went.slow and not (slow or place.asked):
                    went = self._synced(went)
            self._went[key] = went = went._replace(place=went.place.marked())
        return went

    def _stepped(self, place: Place, event: Event) -> Went:
        core = place.core.copied()
        led = core.role is Role.LEADER
        actions = core.step(0, event)
        asked = tuple(a for a in actions if isinstance(a, PersistBatch))
        said = [(a.after, self._number(a.message)) for a in actions if isinstance(a, SendMessage)]
        applied = tuple(e for a in actions if isinstance(a, ApplyEntries) for e in a.entries)
        promises = tuple(
            Promise(a.index, core.voters, place.holds(core.entries(a.index, a.index)[0]))
            for a in actions
            if isinstance(a, RequestCompleted)
        )
        held = place.held + tuple(h for h in said if h[0])
        now = Place(core, place.hard, place.entries, place.asked + asked, held)
        leads = core.term if core.role is Role.LEADER and not led else 0
        return Went(now, bool(asked), frozenset(n for after, n in said if not after), applied, promises, leads)

    def _synced(self, went: Went) -> Went:
        place = went.place
        disk, batch = Disk(PersistentState(place.hard, None, place.entries)), place.asked[-1].batch
        disk.asked.extend(place.asked)
        disk.synced(batch)
        leave = went.sent | {number for _, number in place.held}
        then = self._stepped(Place(place.core, disk.hard, tuple(disk.entries)), BatchSynced(batch))
        return Went(
            then.place,
            then.slow,
            leave | then.sent,
            went.applied + then.applied,
            went.promises + then.promises,
            went.leads or then.leads,
        )

    def _number(self, message: AnyMessage) -> int:
        number = self._numbers.setdefault(message, len(self._messages))
        if number == len(self._messages):
            self._messages.append(message)
        return number

    # ---- all of them ----------------------------------------------------------------------------

    def _judged(self, state: State, at: int, went: Went) -> State:
        left, committed, terms, leaders = state.left, state.committed, state.terms, state.leaders
        core = went.place.core
        for entry in went.applied:
            if entry.index > len(committed):
                committed, terms = (*committed, entry), (*terms, core.term)
            elif committed[entry.index - 1] != entry:
                raise InvariantViolation(f"committed twice: {committed[entry.index - 1]} and {entry}")
        for promise in went.promises:
            entry = committed[promise.at - 1]
            others = (*state.lost, *state.places[:at], *state.places[at + 1 :])
            holders = {p.core.me for p in others if p.holds(entry)} | ({core.me} if promise.own else set())
            if len(holders & promise.voters) <= len(promise.voters) // 2:
                raise InvariantViolation(f"answered with {holders} that hold {entry}")
            self.completions += 1
        if went.leads:
            if any(term == went.leads and id != core.me for term, id in leaders):
                raise InvariantViolation(f"two leaders in term {went.leads}")
            leaders |= {(went.leads, core.me)}
            # Who wins an older term late need not have what a later one committed.
            must = [entry for entry, term in zip(committed, terms, strict=True) if term < went.leads]
            if any(core.entries(entry.index, entry.index) != [entry] for entry in must):
                raise InvariantViolation(f"the leader of term {went.leads} lacks what was committed")
        if went.slow and not state.places[at].asked:
            left = left._replace(slow=left.slow - 1)
        places = (*state.places[:at], went.place, *state.places[at + 1 :])
        return State(places, state.net | went.sent, left, committed, terms, leaders, state.lost)
