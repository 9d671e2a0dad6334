"""The members in virtual time: cores of `replication.core`, started, told of events, and judged by the oracle."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from loftweir.emulator.replication_breach import Breach
from loftweir.emulator.replication_disk import Disk
from loftweir.emulator.replication_oracle import Oracle
from loftweir.emulator.replication_plan import MS, Plan
from loftweir.emulator.replication_seat import Seat
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
        self.promises = 0  # writes answered by Done
        self.reads = 0  # reads answered
        self.lost: dict[str, Disk] = {}  # by id, as they were: each may be what an answer still on its way rests on
        self.tokens: dict[int, tuple[Event, int, int]] = {}  # the event, and what was promised and committed then
        self.outcomes: dict[int, RequestCompleted | RequestRejected] = {}
        self.seats = {f"n{i}": Seat(f"n{i}", self.random) for i in range(self.plan.seats)}
        self.wanted = set(self.seats)  # seats that are to be members
        self.quiet_term = 0  # of a quiet run: the term in which all has to stay
        self._found()

    def _found(self) -> None:
        """The first seat's disk founds the cluster; then all start."""
        founding = [seat.member() for seat in self.seats.values()]
        first = next(iter(self.seats.values()))
        first.disk = Disk(founding_state(founding))
        for seat in self.seats.values():
            self.start(seat)

    def leader(self) -> Core | None:
        """Of the latest term in which there was one, if it still leads."""
        term = max(self.oracle.leaders, default=0)
        cores = (seat.core for seat in self.seats.values())
        return next((c for c in cores if c is not None and c.role is Role.LEADER and c.term == term), None)

    def start(self, seat: Seat) -> None:
        if seat.core is None:
            seat.stepped_at = seat.clock(self.at)
            own = Random(self.random.random())
            seat.core = self.make(seat.id, seat.disk.kept(), self.plan.timing, own, seat.stepped_at)
            self.step(seat, Tick())

    def event(self, seat: Seat, core: Core | None, event: Event) -> None:
        """For the process `core`; one that is stalled takes it when it goes on, each in its order."""
        if seat.core is None or core is not None and seat.core is not core:
            return
        if self.at < seat.stalled_until:
            self.later(seat.stalled_until - self.at, self.event, seat, core, event)
        elif not isinstance(event, Tick):
            self.step(seat, event)
        else:
            seat.tick_at = NEVER
            self.step(seat, event)

    def step(self, seat: Seat, event: Event) -> None:
        core, now = seat.core, seat.clock(self.at)
        assert core is not None
        led = core.term if core.role is Role.LEADER and core.voters != {core.me} else 0
        stalled = now - seat.stepped_at >= self.plan.timing.election_timeout
        seat.stepped_at = now
        actions = core.step(now, event)
        self.steps += 1
        if led and stalled:
            self._says_nothing(core, led, actions)
        if self.steps % self.plan.check == 0 or isinstance(event, (MembershipChange, CompactLog)):
            core.check()
        for action in actions:
            self._act(seat, core, action)
        if core.next_at < seat.tick_at and seat.core is core:
            seat.tick_at = core.next_at
            self.later(max(0, seat.when(core.next_at) - self.at), self.event, seat, core, Tick())

    def _says_nothing(self, core: Core, term: int, actions: list[Action]) -> None:
        """A leader that was stalled so long is none before anything else."""
        if core.role is Role.LEADER and core.term == term or any(isinstance(a, RequestCompleted) for a in actions):
            raise Breach("a leader that was stalled went on")

    # ---- what a core asks for -------------------------------------------------------------------

    def _act(self, seat: Seat, core: Core, action: Action) -> None:
        if isinstance(action, SendMessage):
            seat.held.append((action.after, action.message))
            if len(seat.held) == 1 or action.after == 0:
                self._leave(seat)
        elif isinstance(action, PersistBatch):
            self.oracle.kept(core, action)
            seat.disk.asked.append(action)
            self._sync(seat)
        elif isinstance(action, ApplyEntries):
            for entry in action.entries:
                self.oracle.applied(core, seat.machine, entry)
        elif isinstance(action, RestoreSnapshot):
            self.oracle.restored(seat.machine, action.snapshot)
        elif isinstance(action, StatusChanged):
            self._stands(seat, core, action)
        elif isinstance(action, RequestCompleted):
            self._done(seat, core, action)
        elif isinstance(action, RequestRejected):
            self.outcomes[action.token] = action
            event, *_ = self.tokens.pop(action.token)
            if action.why is not RejectionReason.LOST and isinstance(event, WriteRequest):
                self.oracle.nothing.add(event.data)
        elif isinstance(action, TakeSnapshot):
            self.later(self.random.randrange(4 * MS), self._snapshot, seat, core)

    def _snapshot(self, seat: Seat, core: Core) -> None:
        self.event(seat, core, CompactLog(seat.machine.applied, seat.machine.snapshot(seat.name)))

    def _stands(self, seat: Seat, core: Core, action: StatusChanged) -> None:
        if action.role is Role.LEADER:
            self.oracle.leads(core)
        if self.plan.quiet and self.troubled and self.quiet_term and action.term > self.quiet_term:
            raise Breach(f"a leader that was well was deposed: {seat.name} in term {action.term}")

    def _done(self, seat: Seat, core: Core, done: RequestCompleted) -> None:
        self.outcomes[done.token] = done
        event, promised, terms = self.tokens.pop(done.token)
        if seat.machine.applied < done.index:
            raise Breach("answered before it was applied")
        if isinstance(event, ReadRequest):
            self.reads += 1
            if seat.machine.applied < promised or core.term < terms:
                raise Breach(f"a stale read: {seat.name} at {seat.machine.applied} of {promised}, term {core.term}")
            return
        entry = self.oracle.committed[done.index - 1]
        if isinstance(event, WriteRequest) and entry.data != event.data:
            raise Breach(f"answered for another: {entry}")
        disks = self.lost | {s.id: s.disk for s in self.seats.values()}
        holders = sum(disks[id].holds(entry) for id in core.voters)
        if holders <= len(core.voters) // 2:
            raise Breach(f"answered with {holders} of {len(core.voters)} that hold it: {entry}")
        self.oracle.done = max(self.oracle.done, done.index)
        self.promises += 1
