"""A model checker for the consensus core: explores every order of events in small clusters, breadth first, visiting
each state once.

Time is abstracted away: any voter may campaign at any moment, and no follower prefers a live leader. This allows more
than clocks ever do, so what holds here holds at any speed. A message may arrive at any later moment, once, or never. A
disk syncs within the step or, as often as the budget allows, later; a crash loses what was not synced. The checker
looks only at results: the leaders of a term, what was applied, what a leader's log contains, and on how many disks a
completed write is stored.

The arrival of a message that would change nothing is not explored: everything that can happen after it can also happen
while the message is still in the network.
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

UNUSED_TIMING = Timing(1, 1)
UNUSED_RANDOM = Random(0)  # a core without clocks draws no random timeouts
FIRST_CHANGE_TOKEN = 100  # tokens of membership changes are above it, those of writes below


class UntimedCore(Core):
    """A core without clocks: a `Tick` starts an election, and all heartbeat rounds are equal."""

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

    def copy(self) -> UntimedCore:
        """A copy that shares no mutable state with this core."""
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
        """Everything that later steps depend on. Batches are given relative to the last synced one."""
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


class SlotState(NamedTuple):
    """A slot: its process, its disk, its unsynced batches, and the messages that wait for them."""

    core: UntimedCore
    hard: HardState
    entries: tuple[Entry, ...]
    unsynced: tuple[PersistBatch, ...] = ()
    waiting: tuple[tuple[int, int], ...] = ()  # batch, number of the message
    fingerprint: int = 0  # slot states with equal fingerprints behave alike

    def contains(self, entry: Entry) -> bool:
        """Whether an entry is on the disk."""
        return entry in self.entries

    def with_fingerprint(self) -> SlotState:
        """This state with its fingerprint computed."""
        stable = self.core._stable_batch
        waiting = tuple((after - stable, number) for after, number in self.waiting)
        return self._replace(fingerprint=hash((self.core.key(), self.hard, self.entries, waiting)))


class Completion(NamedTuple):
    """A request that a leader has completed."""

    log_index: int
    voters: frozenset[str]
    on_own_disk: bool  # whether the entry was on the leader's own disk at that time


class StepResult(NamedTuple):
    """What a step did in one slot. Equal slot states have equal results, whatever the state of the other slots."""

    slot: SlotState
    unsynced: bool  # some of its batches are not synced yet
    sent: frozenset[int] = frozenset()  # numbers of messages
    applied: tuple[Entry, ...] = ()
    completions: tuple[Completion, ...] = ()
    elected_in: int = 0  # the term in which it became leader


class EventBudget(NamedTuple):
    """How many events of each kind may still happen."""

    campaigns: int = 1
    writes: int = 2
    crashes: int = 1
    wipes: int = 1
    late_syncs: int = 1  # steps whose sync happens later
    membership_changes: int = 0


DEFAULT_BUDGET = EventBudget()


class State(NamedTuple):
    """A state of the whole cluster."""

    slots: tuple[SlotState, ...]
    network: frozenset[int]  # numbers of messages
    budget: EventBudget
    committed: tuple[Entry, ...] = ()  # from index 1 on, as first applied by any member
    terms: tuple[int, ...] = ()  # by committed entry: the term of the member that applied it first
    leaders: frozenset[tuple[int, str]] = frozenset()
    lost: tuple[SlotState, ...] = ()  # slots before their disks were wiped

    def key(self) -> int:
        """States with equal keys are explored once."""
        fingerprints = tuple([slot.fingerprint for slot in self.slots])
        return hash((fingerprints, self.network, self.budget, len(self.committed), self.leaders))


class ModelChecker:
    """Explores the states of a cluster. `make` is `UntimedCore` or a subclass with a deliberate defect. With `same_id`
    a member whose disk was wiped returns under its old id."""

    def __init__(
        self,
        make: type[UntimedCore] = UntimedCore,
        budget: EventBudget = DEFAULT_BUDGET,
        slots: int = 3,
        same_id: bool = False,
    ):
        self.make, self.same_id = make, same_id
        self.states = self.depth = self.completions = 0
        self.members = tuple(Member(id, id, id) for id in "abcde"[:slots])
        self._messages: list[AnyMessage] = []
        self._message_numbers: dict[AnyMessage, int] = {}
        self._started: dict[tuple[str, PersistentState], SlotState] = {}
        self._results: dict[tuple[int, object, bool], StepResult] = {}
        stored = founding_state(self.members)
        slot_states = tuple(self._start_process(m.id, stored) for m in self.members)
        self.first = self._elect_first(State(slot_states, frozenset(), budget))

    def _elect_first(self, state: State) -> State:
        """The first member leads in term 2, elected by the smallest majority; the others have received nothing."""
        state = self._step(state, 0, Tick())
        for _ in range(len(self.members) // 2):
            state = self._receive(state, min(n for n in state.network if isinstance(self._messages[n], RequestVote)))
            state = self._receive(
                state, next(n for n in state.network if isinstance(self._messages[n], RequestVoteResponse))
            )
        assert state.slots[0].core.role is Role.LEADER
        return state._replace(
            network=frozenset(n for n in state.network if not isinstance(self._messages[n], RequestVote))
        )

    def _start_process(self, id: str, stored: PersistentState) -> SlotState:
        """A slot whose process has just started from a disk."""
        slot = self._started.get((id, stored))
        if slot is None:
            core = self.make(id, stored, UNUSED_TIMING, UNUSED_RANDOM, 0)
            slot = SlotState(core, stored.hard, stored.entries).with_fingerprint()
            self._started[id, stored] = slot
        return slot

    def run(self, depth: int, states: int = 1 << 40) -> ModelChecker:
        """Explores everything within `depth` steps, or until `states` states are found. Raises `InvariantViolation` for
        a guarantee that does not hold."""
        seen = {self.first.key()}
        level = [self.first]
        while level and self.depth < depth and len(seen) < states:
            self.depth += 1
            next_level = []
            for state in level:
                for successor in self._successors(state):
                    key = successor.key()
                    if key not in seen:
                        seen.add(key)
                        next_level.append(successor)
                if len(seen) >= states:
                    break
            level = next_level
        self.states = len(seen)
        return self

    # ---- possible events ------------------------------------------------------------------------

    def _successors(self, state: State) -> Iterator[State]:
        budget = state.budget
        sync_choices = (False, True) if budget.late_syncs else (False,)
        for number in state.network:
            for late_sync in sync_choices:
                successor = self._receive(state, number, late_sync)
                if successor is not state:
                    yield successor
        for at, slot in enumerate(state.slots):
            core = slot.core
            if core.role is Role.LEADER:
                if budget.writes:
                    spent = state._replace(budget=budget._replace(writes=budget.writes - 1))
                    write = WriteRequest(budget.writes, b"%d by %s" % (budget.writes, core.me.encode()))
                    for late_sync in sync_choices:
                        yield self._step(spent, at, write, late_sync)
                if budget.membership_changes:
                    left = budget.membership_changes
                    spent = state._replace(budget=budget._replace(membership_changes=left - 1))
                    for members in self._possible_changes(core.members):
                        yield self._step(spent, at, MembershipChange(FIRST_CHANGE_TOKEN + left, members))
            elif budget.campaigns and core._may_campaign:
                spent = state._replace(budget=budget._replace(campaigns=budget.campaigns - 1))
                yield self._step(spent, at, Tick())
            if slot.unsynced:
                yield self._step(state, at, None)
            if budget.crashes:
                yield self._restart(state, at)
            if budget.wipes:
                yield self._wipe(state, at)

    def _possible_changes(self, members: tuple[Member, ...]) -> Iterator[tuple[Member, ...]]:
        """The members without one of them, or with one of the first members that is missing."""
        for member in members:
            if len(members) > 1:
                yield tuple(m for m in members if m != member)
        for member in self.members:
            if member not in members:
                yield (*members, member)

    def _restart(self, state: State, at: int) -> State:
        """A crash, and a start from what was synced."""
        slot = state.slots[at]
        restarted = self._start_process(slot.core.me, PersistentState(slot.hard, None, slot.entries))
        budget = state.budget._replace(crashes=state.budget.crashes - 1)
        return self._replace_slot(state, at, restarted)._replace(budget=budget)

    def _wipe(self, state: State, at: int) -> State:
        """The disk is lost; messages to the slot's former id are dropped, if the id is not kept."""
        slot = state.slots[at]
        id = slot.core.me if self.same_id else slot.core.me + "'"
        dropped = frozenset(n for n in state.network if self._messages[n].to == slot.core.me != id)
        state = state._replace(lost=(*state.lost, slot), network=state.network - dropped)
        wiped = self._replace_slot(state, at, self._start_process(id, PersistentState()))
        return wiped._replace(budget=state.budget._replace(wipes=0))

    def _replace_slot(self, state: State, at: int, slot: SlotState) -> State:
        return state._replace(slots=(*state.slots[:at], slot, *state.slots[at + 1 :]))

    def _receive(self, state: State, number: int, late_sync: bool = False) -> State:
        """A message arrives at its slot. The member there drops it if it is for another id. Returns the same state if
        nothing changes."""
        at = ord(self._messages[number].to[0]) - ord("a")
        result = self._result(state.slots[at], number, late_sync)
        if result.slot.fingerprint == state.slots[at].fingerprint and result.sent <= state.network:
            return state
        return self._check_and_apply(state._replace(network=state.network - {number}), at, result)

    def _step(self, state: State, at: int, event: Event | None, late_sync: bool = False) -> State:
        return self._check_and_apply(state, at, self._result(state.slots[at], event, late_sync))

    # ---- steps of one slot ----------------------------------------------------------------------

    def _result(self, slot: SlotState, event: Event | int | None, late_sync: bool) -> StepResult:
        """The result of an event, of the arrival of a message (its number), or of a sync only (None)."""
        key = (slot.fingerprint, event, late_sync)
        result = self._results.get(key)
        if result is None:
            if event is None:
                result = self._after_sync(StepResult(slot, True))
            else:
                received = MessageReceived(self._messages[event]) if isinstance(event, int) else event
                result = self._after_event(slot, received)
                if result.unsynced and not (late_sync or slot.unsynced):
                    result = self._after_sync(result)
            self._results[key] = result = result._replace(slot=result.slot.with_fingerprint())
        return result

    def _after_event(self, slot: SlotState, event: Event) -> StepResult:
        core = slot.core.copy()
        led = core.role is Role.LEADER
        actions = core.step(0, event)
        batches = tuple(a for a in actions if isinstance(a, PersistBatch))
        messages = [(a.after, self._message_number(a.message)) for a in actions if isinstance(a, SendMessage)]
        applied = tuple(e for a in actions if isinstance(a, ApplyEntries) for e in a.entries)
        completions = tuple(
            Completion(a.index, core.voters, slot.contains(core.entries(a.index, a.index)[0]))
            for a in actions
            if isinstance(a, RequestCompleted)
        )
        waiting = slot.waiting + tuple(m for m in messages if m[0])
        after = SlotState(core, slot.hard, slot.entries, slot.unsynced + batches, waiting)
        elected_in = core.term if core.role is Role.LEADER and not led else 0
        sent = frozenset(number for batch, number in messages if not batch)
        return StepResult(after, bool(batches), sent, applied, completions, elected_in)

    def _after_sync(self, result: StepResult) -> StepResult:
        """The result with all batches synced and the waiting messages sent."""
        slot = result.slot
        disk = Disk(PersistentState(slot.hard, None, slot.entries))
        last_batch = slot.unsynced[-1].batch
        disk.unsynced.extend(slot.unsynced)
        disk.sync(last_batch)
        sent = result.sent | {number for _, number in slot.waiting}
        synced = self._after_event(SlotState(slot.core, disk.hard, tuple(disk.entries)), BatchSynced(last_batch))
        return StepResult(
            synced.slot,
            synced.unsynced,
            sent | synced.sent,
            result.applied + synced.applied,
            result.completions + synced.completions,
            result.elected_in or synced.elected_in,
        )

    def _message_number(self, message: AnyMessage) -> int:
        number = self._message_numbers.setdefault(message, len(self._messages))
        if number == len(self._messages):
            self._messages.append(message)
        return number

    # ---- the whole cluster ----------------------------------------------------------------------

    def _check_and_apply(self, state: State, at: int, result: StepResult) -> State:
        """Checks the result of a step in one slot, and returns the state of the cluster after it."""
        budget, committed, terms, leaders = state.budget, state.committed, state.terms, state.leaders
        core = result.slot.core
        for entry in result.applied:
            if entry.index > len(committed):
                committed, terms = (*committed, entry), (*terms, core.term)
            elif committed[entry.index - 1] != entry:
                raise InvariantViolation(f"two committed entries: {committed[entry.index - 1]} and {entry}")
        for completion in result.completions:
            entry = committed[completion.log_index - 1]
            others = (*state.lost, *state.slots[:at], *state.slots[at + 1 :])
            copies = {s.core.me for s in others if s.contains(entry)} | ({core.me} if completion.on_own_disk else set())
            if len(copies & completion.voters) <= len(completion.voters) // 2:
                raise InvariantViolation(f"completed when only {copies} have stored {entry}")
            self.completions += 1
        if result.elected_in:
            if any(term == result.elected_in and id != core.me for term, id in leaders):
                raise InvariantViolation(f"two leaders in term {result.elected_in}")
            leaders |= {(result.elected_in, core.me)}
            # A leader that is elected late in an older term may lack entries that were committed in a later one.
            required = [entry for entry, term in zip(committed, terms, strict=True) if term < result.elected_in]
            if any(core.entries(entry.index, entry.index) != [entry] for entry in required):
                raise InvariantViolation(f"the leader of term {result.elected_in} lacks a committed entry")
        if result.unsynced and not state.slots[at].unsynced:
            budget = budget._replace(late_syncs=budget.late_syncs - 1)
        slots = (*state.slots[:at], result.slot, *state.slots[at + 1 :])
        return State(slots, state.network | result.sent, budget, committed, terms, leaders, state.lost)
