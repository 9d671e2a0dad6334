"""The members in virtual time: cores of `replication.core`, started, told of events, and judged by the oracle."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.emulator.replication_disk import Disk
from loftweir.emulator.replication_oracle import Oracle
from loftweir.emulator.replication_plan import MS, Plan
from loftweir.emulator.replication_seat import Slot
from loftweir.emulator.replication_transport import Transport
from loftweir.replication.api import (
    Action,
    ApplyEntries,
    CompactLog,
    Event,
    MembershipChange,
    PersistBatch,
    PersistentState,
    ReadRequest,
    RejectionReason,
    RequestCompleted,
    RequestRejected,
    RestoreSnapshot,
    Role,
    SendMessage,
    StatusChanged,
    TakeSnapshot,
    Tick,
    Timing,
    WriteRequest,
)
from loftweir.replication.core import NEVER, Core, founding_state

Make = Callable[[str, PersistentState, Timing, Random, int], Core]


class Members(Transport):
    """The seats and the processes in them. `make` begins a core; `same_id`: who loses a disk comes back under the old
    id, which is a fault on purpose."""

    def __init__(self, seed: int, plan: Plan | None, make: Make, same_id: bool) -> None:
        super().__init__(seed, plan)
        self.make, self.same_id = make, same_id
        self.oracle = Oracle()
        self.steps = 0
        self.completions = 0  # writes answered by Done
        self.reads = 0  # reads answered
        self.lost: dict[str, Disk] = {}  # by id, as they were: each may be what an answer still on its way rests on
        self.tokens: dict[int, tuple[Event, int, int]] = {}  # the event, and what was promised and committed then
        self.outcomes: dict[int, RequestCompleted | RequestRejected] = {}
        self.slots = {f"n{i}": Slot(f"n{i}", self.random) for i in range(self.plan.slots)}
        self.wanted_slots = set(self.slots)  # seats that are to be members
        self.quiet_term = 0  # of a quiet run: the term in which all has to stay
        self._found()

    def _found(self) -> None:
        """The first seat's disk founds the cluster; then all start."""
        founding = [slot.member() for slot in self.slots.values()]
        first = next(iter(self.slots.values()))
        first.disk = Disk(founding_state(founding))
        for slot in self.slots.values():
            self.start(slot)

    def leader(self) -> Core | None:
        """Of the latest term in which there was one, if it still leads."""
        term = max(self.oracle.leaders, default=0)
        cores = (slot.core for slot in self.slots.values())
        return next((c for c in cores if c is not None and c.role is Role.LEADER and c.term == term), None)

    def start(self, slot: Slot) -> None:
        if slot.core is None:
            slot.stepped_at = slot.clock_at(self.now)
            own = Random(self.random.random())
            slot.core = self.make(slot.id, slot.disk.kept(), self.plan.timing, own, slot.stepped_at)
            self.step(slot, Tick())

    def deliver(self, slot: Slot, core: Core | None, event: Event) -> None:
        """For the process `core`; one that is stalled takes it when it goes on, each in its order."""
        if slot.core is None or core is not None and slot.core is not core:
            return
        if self.now < slot.stalled_until:
            self.call_later(slot.stalled_until - self.now, self.deliver, slot, core, event)
        elif not isinstance(event, Tick):
            self.step(slot, event)
        else:
            slot.tick_at = NEVER
            self.step(slot, event)

    def step(self, slot: Slot, event: Event) -> None:
        core, now = slot.core, slot.clock_at(self.now)
        assert core is not None
        led = core.term if core.role is Role.LEADER and core.voters != {core.me} else 0
        stalled = now - slot.stepped_at >= self.plan.timing.election_timeout
        slot.stepped_at = now
        actions = core.step(now, event)
        self.steps += 1
        if led and stalled:
            self._says_nothing(core, led, actions)
        if self.steps % self.plan.check == 0 or isinstance(event, (MembershipChange, CompactLog)):
            core.check()
        for action in actions:
            self._act(slot, core, action)
        if core.next_at < slot.tick_at and slot.core is core:
            slot.tick_at = core.next_at
            self.call_later(max(0, slot.time_at(core.next_at) - self.now), self.deliver, slot, core, Tick())

    def _says_nothing(self, core: Core, term: int, actions: list[Action]) -> None:
        """A leader that was stalled so long is none before anything else."""
        if core.role is Role.LEADER and core.term == term or any(isinstance(a, RequestCompleted) for a in actions):
            raise InvariantViolation("a leader that was stalled went on")

    # ---- what a core asks for -------------------------------------------------------------------

    def _act(self, slot: Slot, core: Core, action: Action) -> None:
        if isinstance(action, SendMessage):
            slot.held.append((action.after, action.message))
            if len(slot.held) == 1 or action.after == 0:
                self._leave(slot)
        elif isinstance(action, PersistBatch):
            self.oracle.kept(core, action)
            slot.disk.asked.append(action)
            self._sync(slot)
        elif isinstance(action, ApplyEntries):
            for entry in action.entries:
                self.oracle.applied(core, slot.machine, entry)
        elif isinstance(action, RestoreSnapshot):
            self.oracle.restored(slot.machine, action.snapshot)
        elif isinstance(action, StatusChanged):
            self._stands(slot, core, action)
        elif isinstance(action, RequestCompleted):
            self._done(slot, core, action)
        elif isinstance(action, RequestRejected):
            self.outcomes[action.token] = action
            event, *_ = self.tokens.pop(action.token)
            if action.why is not RejectionReason.LOST and isinstance(event, WriteRequest):
                self.oracle.nothing.add(event.data)
        elif isinstance(action, TakeSnapshot):
            self.call_later(self.random.randrange(4 * MS), self._snapshot, slot, core)

    def _snapshot(self, slot: Slot, core: Core) -> None:
        self.deliver(slot, core, CompactLog(slot.machine.applied, slot.machine.snapshot(slot.name)))

    def _stands(self, slot: Slot, core: Core, action: StatusChanged) -> None:
        if action.role is Role.LEADER:
            self.oracle.leads(core)
        if self.plan.quiet and self.faults_enabled and self.quiet_term and action.term > self.quiet_term:
            raise InvariantViolation(f"a leader that was well was deposed: {slot.name} in term {action.term}")

    def _done(self, slot: Slot, core: Core, done: RequestCompleted) -> None:
        self.outcomes[done.token] = done
        event, promised, terms = self.tokens.pop(done.token)
        if slot.machine.applied < done.index:
            raise InvariantViolation("answered before it was applied")
        if isinstance(event, ReadRequest):
            self.reads += 1
            if slot.machine.applied < promised or core.term < terms:
                raise InvariantViolation(
                    f"a stale read: {slot.name} at {slot.machine.applied} of {promised}, term {core.term}"
                )
            return
        entry = self.oracle.committed[done.index - 1]
        if isinstance(event, WriteRequest) and entry.data != event.data:
            raise InvariantViolation(f"answered for another: {entry}")
        disks = self.lost | {s.id: s.disk for s in self.slots.values()}
        holders = sum(disks[id].holds(entry) for id in core.voters)
        if holders <= len(core.voters) // 2:
            raise InvariantViolation(f"answered with {holders} of {len(core.voters)} that hold it: {entry}")
        self.oracle.done = max(self.oracle.done, done.index)
        self.completions += 1
