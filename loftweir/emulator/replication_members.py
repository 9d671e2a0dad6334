"""The members in virtual time: cores of `replication.core` that are started, given events and checked by the oracle."""

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

MakeCore = Callable[[str, PersistentState, Timing, Random, int], Core]

MAX_SNAPSHOT_TIME = 4 * MS  # until the state machine has taken a snapshot


class Members(Transport):
    """The slots and the processes in them. `make` creates a core. With `same_id` a member that has lost its disk
    returns under its old id, which is a deliberate defect."""

    def __init__(self, seed: int, plan: Plan | None, make: MakeCore, same_id: bool) -> None:
        super().__init__(seed, plan)
        self.make, self.same_id = make, same_id
        self.oracle = Oracle()
        self.steps = 0
        self.completions = 0  # completed writes
        self.reads = 0  # completed reads
        # Lost disks by id, as they were: an answer that is still on its way may be based on them.
        self.lost_disks: dict[str, Disk] = {}
        # Requests by token: the event, and the completed index and the latest leader's term when it was submitted.
        self.requests: dict[int, tuple[Event, int, int]] = {}
        self.outcomes: dict[int, RequestCompleted | RequestRejected] = {}
        self.slots = {f"n{i}": Slot(f"n{i}", self.random) for i in range(self.plan.slots)}
        self.wanted_slots = set(self.slots)  # slots that should have a voting member
        self.protected_term = 0  # with `Plan.spare_leader`: the term whose leader must not be deposed
        self._found_cluster()

    def _found_cluster(self) -> None:
        """Founds the cluster on the disk of the first slot, then starts all."""
        founding = [slot.member() for slot in self.slots.values()]
        first = next(iter(self.slots.values()))
        first.disk = Disk(founding_state(founding))
        for slot in self.slots.values():
            self.start(slot)

    def leader(self) -> Core | None:
        """The leader of the latest term that had one, if it still leads."""
        term = max(self.oracle.leaders, default=0)
        cores = (slot.core for slot in self.slots.values())
        return next((c for c in cores if c is not None and c.role is Role.LEADER and c.term == term), None)

    def start(self, slot: Slot) -> None:
        """Starts a process from the slot's disk, unless one is running."""
        if slot.core is None:
            slot.stepped_at = slot.clock_at(self.now)
            own_random = Random(self.random.random())
            slot.core = self.make(slot.id, slot.disk.stored(), self.plan.timing, own_random, slot.stepped_at)
            self.step(slot, Tick())

    def deliver(self, slot: Slot, core: Core | None, event: Event) -> None:
        """Delivers an event to the process `core`, or to any if it is None. A stalled process handles its events in
        order when it continues."""
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
        """Lets a core handle an event, executes its actions and schedules its next tick."""
        core, now = slot.core, slot.clock_at(self.now)
        assert core is not None
        led_term = core.term if core.role is Role.LEADER and core.voters != {core.me} else 0
        stalled = now - slot.stepped_at >= self.plan.timing.election_timeout
        slot.stepped_at = now
        actions = core.step(now, event)
        self.steps += 1
        if led_term and stalled:
            self._check_stepped_down(core, led_term, actions)
        if self.steps % self.plan.check_interval == 0 or isinstance(event, (MembershipChange, CompactLog)):
            core.check()
        for action in actions:
            self._execute(slot, core, action)
        if core.next_at < slot.tick_at and slot.core is core:
            slot.tick_at = core.next_at
            self.call_later(max(0, slot.time_at(core.next_at) - self.now), self.deliver, slot, core, Tick())

    def _check_stepped_down(self, core: Core, term: int, actions: list[Action]) -> None:
        """Checks that a leader that was stalled for an election timeout steps down before it does anything else."""
        if core.role is Role.LEADER and core.term == term or any(isinstance(a, RequestCompleted) for a in actions):
            raise InvariantViolation("a leader that was stalled continued to lead")

    # ---- actions of a core ----------------------------------------------------------------------

    def _execute(self, slot: Slot, core: Core, action: Action) -> None:
        if isinstance(action, SendMessage):
            slot.outgoing.append((action.after, action.message))
            if len(slot.outgoing) == 1 or action.after == 0:
                self._send_outgoing(slot)
        elif isinstance(action, PersistBatch):
            self.oracle.persisted(core, action)
            slot.disk.unsynced.append(action)
            self._start_sync(slot)
        elif isinstance(action, ApplyEntries):
            for entry in action.entries:
                self.oracle.applied(core, slot.machine, entry)
        elif isinstance(action, RestoreSnapshot):
            self.oracle.restored(slot.machine, action.snapshot)
        elif isinstance(action, StatusChanged):
            self._status_changed(slot, core, action)
        elif isinstance(action, RequestCompleted):
            self._request_completed(slot, core, action)
        elif isinstance(action, RequestRejected):
            self.outcomes[action.token] = action
            event, *_ = self.requests.pop(action.token)
            if action.why is not RejectionReason.LOST and isinstance(event, WriteRequest):
                self.oracle.rejected.add(event.data)
        elif isinstance(action, TakeSnapshot):
            self.call_later(self.random.randrange(MAX_SNAPSHOT_TIME), self._compact, slot, core)

    def _compact(self, slot: Slot, core: Core) -> None:
        self.deliver(slot, core, CompactLog(slot.machine.applied, slot.machine.snapshot(slot.name)))

    def _status_changed(self, slot: Slot, core: Core, action: StatusChanged) -> None:
        if action.role is Role.LEADER:
            self.oracle.elected(core)
        deposed = self.protected_term and action.term > self.protected_term
        if self.plan.spare_leader and self.faults_enabled and deposed:
            raise InvariantViolation(f"a leader without faults was deposed by {slot.name} in term {action.term}")

    def _request_completed(self, slot: Slot, core: Core, completed: RequestCompleted) -> None:
        """Checks that a read is not stale, and that a write is the client's own and is stored by a majority."""
        self.outcomes[completed.token] = completed
        event, completed_before, term_before = self.requests.pop(completed.token)
        if slot.machine.applied < completed.index:
            raise InvariantViolation("completed before it was applied")
        if isinstance(event, ReadRequest):
            self.reads += 1
            if slot.machine.applied < completed_before or core.term < term_before:
                raise InvariantViolation(
                    f"a stale read: {slot.name} has applied {slot.machine.applied} of {completed_before}, "
                    f"in term {core.term}"
                )
            return
        entry = self.oracle.committed[completed.index - 1]
        if isinstance(event, WriteRequest) and entry.data != event.data:
            raise InvariantViolation(f"completed with the entry of another request: {entry}")
        disks = self.lost_disks | {s.id: s.disk for s in self.slots.values()}
        copies = sum(disks[id].contains(entry) for id in core.voters)
        if copies <= len(core.voters) // 2:
            raise InvariantViolation(f"completed with {copies} copies among {len(core.voters)} voters: {entry}")
        self.oracle.completed_index = max(self.oracle.completed_index, completed.index)
        self.completions += 1
