"""A voter on the loop: owns the disk, the core, the machine and the leases' times, and carries the core's actions out.

Invariants: events are handed to the core one after another, each with all its actions carried out before the next; a
message leaves only once the batch that it rests on is stable; who asked for a write, read or change is told once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from loftweir.config.model import Replication
from loftweir.errors import LoftweirError
from loftweir.lease.keeper import LeaseExpirer
from loftweir.net.loop import READABLE, SECOND, Coroutine, Loop, Task, Wait
from loftweir.replication.api import (
    AppendEntries,
    ApplyEntries,
    BatchSynced,
    CompactLog,
    EntryKind,
    Event,
    Member,
    MembershipChange,
    MessageReceived,
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
    StorageBroken,
    TakeSnapshot,
    Tick,
    Timing,
    TransferLeadership,
    WriteRequest,
)
from loftweir.replication.core import Core, founding_state
from loftweir.replication.disk import Disk
from loftweir.replication.links import MemberLink
from loftweir.replication.machine import AnyResult, Command, Machine, encode
from loftweir.replication.wire import VERSION, CommittedEntry, FollowResponse, Hello, OutcomeCode, StatusResponse
from loftweir.replication.wire import ConnectionKind as Who
from loftweir.telemetry.catalogue import REPLICATION_ROLE, REPLICATION_TURNED_AWAY
from loftweir.telemetry.log import emit, traceback_location

FOUNDING_BATCH = 0  # the batch that founds; the core counts its own from 1 on
MAX_FOLLOW_ENTRIES, MAX_FOLLOW_BYTES = 256, 256 * 1024  # of one answer to a follower; the rest comes with the next
LINK_IDLE_TIMEOUT = 10 * SECOND  # of a link to one that is no member
MAX_LINKS = 32  # at most; twice the members that there may be
UNKNOWN_LAG = 1 << 62

ResultCallback = Callable[[OutcomeCode, int, AnyResult | None], None]
OUTCOME_CODES = {
    RejectionReason.NOT_LEADER: OutcomeCode.NOT_LEADER,
    RejectionReason.LOST: OutcomeCode.LOST,
    RejectionReason.BUSY: OutcomeCode.BUSY,
    RejectionReason.UNFIT: OutcomeCode.UNFIT,
}


class Voter:
    """`applied` is called after each step that changed the machine, `ended` once, with why this part is over."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        options: Replication,
        seats: dict[str, str],
        opened: tuple[Disk, PersistentState],
        applied: Callable[[], None],
        ended: Callable[[LoftweirError], None],
    ) -> None:
        self.loop = loop
        self.name = name
        self.options = options
        self.seats = seats  # as this sidecar's operator lists them: where each name is reached from here
        self.disk, kept = opened
        self.me = self.disk.member
        self.applied = applied
        self.ended = ended
        self.timing = Timing(beat=options.beat, election=options.election)
        self.random = Random(f"{self.me} {loop.now()}")
        self.core = Core(self.me, kept, self.timing, self.random, loop.now())
        self.machine = Machine()
        self.keeper = LeaseExpirer()
        self.begun = kept != PersistentState()  # something was kept, or is asked to be, ever
        self.lost = self.disk.lost  # ... or may have been, by files that were set aside
        self.founding: PersistentState | None = None  # asked to be kept, and not yet stable
        self.over = False
        self.stable = 0  # the last batch that is
        self.held: deque[SendMessage] = deque()  # until their batch is; in order of batches
        self.links: dict[str, MemberLink] = {}
        self.names: dict[str, str] = {}  # by id, of others that have connected
        self.pending: deque[Event] = deque()
        self.steps = False
        self.tokens = 0
        self.waiting: dict[int, ResultCallback] = {}
        self.results: dict[int, AnyResult] = {}  # of writes applied in this step, by index
        self.told_index = 0
        self.known_at = 0  # when it last knew a leader with a majority, itself or another; 0: never
        self.led = (0, 0)  # the term that it led last, and when it began to
        self.voted = False  # in the life of this process it was a voter, by a log that had all that was committed then
        self.hello = Hello(VERSION, options.cluster, self.me, name, Who.MEMBER)
        self.ticker: Task = loop.spawn(self._tick(), self._crashed, urgent=True)
        self.reader: Task = loop.spawn(self._read_disk(), self._crashed, urgent=True)

    def start(self) -> None:
        self.feed(Tick())

    # ---- events and actions ---------------------------------------------------------------------

    def feed(self, event: Event) -> None:
        """One event to the core, after those that wait; all that follows from it is done when this returns, unless it
        comes of an action of another one."""
        self.pending.append(event)
        if self.steps or self.over:
            return
        self.steps = True
        try:
            while self.pending and not self.over:
                if self.founding is None or isinstance(self.pending[0], StorageBroken):
                    taken = self.pending.popleft()
                    for action in self.core.step(self.loop.now(), taken):
                        ACTION_HANDLERS[type(action)](self, action)
                    self.voted = self.voted or self._votes_now(taken)
                else:  # nothing is heard, and nothing promised, until it is known what this member is
                    self._turn_away(self.pending.popleft())
        except Exception as error:  # a fault of the program's: whatever asked must not end for it, but this part must
            self.steps = False
            self.end(MemberBroken(repr(error), traceback_location(error)))
        self.steps = False
        self.results.clear()
        self.known_at = max(self.known_at, self.core.quorum_heard_at)  # of one that led the core forgets it
        if self.machine.index != self.told_index and not self.over:
            self.told_index = self.machine.index
            self.applied()
        if not self.over and self._next_at() < (self.ticker.until or UNKNOWN_LAG):
            self.ticker.wake()

    def _votes_now(self, event: Event) -> bool:
        """Whether it is a voter for sure: its own log may be of a time before it was taken out."""
        core = self.core
        if self.me not in core.voters:
            return False
        if isinstance(event, MessageReceived) and isinstance(event.message, AppendEntries):
            return event.message.sender == core.leader and event.message.commit <= core.commit
        return self.leads()

    def _turn_away(self, event: Event) -> None:
        if isinstance(event, WriteRequest | ReadRequest | MembershipChange):
            self._answer(event.token, OutcomeCode.NOT_LEADER, 0, None)

    def _next_at(self) -> int:
        return min(self.core.next_at, self.keeper.next_at or UNKNOWN_LAG)

    def _tick(self) -> Coroutine[None]:
        while not self.over:
            at = self._next_at()
            if at > self.loop.now():
                yield Wait(None, 0, at if at < UNKNOWN_LAG else None)
                continue
            for act in self.keeper.due(self.loop.now()):
                self.write(encode(Command("", 0, act)), lambda *_: None)
            self.feed(Tick())
            yield Wait(None, 0, self.loop.now())  # one turn of the loop for the others

    def _read_disk(self) -> Coroutine[None]:
        while not self.over:
            yield Wait(self.disk, READABLE, None)
            for report in self.disk.taken():
                if isinstance(report, BatchSynced):
                    self._is_stable(report)
                else:
                    self.feed(report)
                    failure = self.disk.failure
                    assert failure is not None
                    self.end(failure)
                    return

    def _is_stable(self, report: BatchSynced) -> None:
        if self.founding is not None:
            self.core = Core(self.me, self.founding, self.timing, self.random, self.loop.now())
            self.founding = None
            self.feed(Tick())
            return
        self.stable = max(self.stable, report.batch)
        while self.held and self.held[0].after <= self.stable:
            self._send(self.held.popleft())
        self.feed(report)

    def _crashed(self, error: Exception) -> None:
        self.end(MemberBroken(repr(error), traceback_location(error)))

    def end(self, why: LoftweirError) -> None:
        """This member's part is over; the sidecar serves on. Whoever owns it is told in a turn of its own, and closes
        it: not in the middle of what was under way here."""
        if not self.over:
            self.over = True
            self.loop.after(0, self.ended, why)

    def close(self, within: float = 0.0) -> None:
        """Nothing more is said or heard; what was asked to be kept is, and the folder is free then, which is waited for
        `within` seconds of the loop's time. Not to be called by what this member itself runs."""
        self.over = True
        for link in self.links.values():
            link.close()
        self.links = {}
        for token in list(self.waiting):
            self._answer(token, OutcomeCode.LOST, 0, None)
        for task in (self.ticker, self.reader):
            task.cancel()
        self.loop.forget(self.disk.fileno())
        self.disk.close(within)

    def _keep(self, action: PersistBatch) -> None:
        self.begun = True
        self.disk.keep(action)

    def _say(self, action: SendMessage) -> None:
        if action.after <= self.stable:
            self._send(action)
        else:
            self.held.append(action)

    def _send(self, action: SendMessage) -> None:
        id = action.message.to
        link = self.links.get(id)
        if link is None:
            if len(self.links) >= MAX_LINKS:
                self._drop_link(min(self.links, key=lambda id: (self.member(id) is not None, self.links[id].said_at)))
            link = MemberLink(self.loop, id, self.hello, lambda: self.address_of(id), self._turned)
            self.links[id] = link
        link.put(action.message)

    def _drop_link(self, id: str) -> None:
        self.links.pop(id).close()

    def _apply(self, action: ApplyEntries) -> None:
        machine = self.machine
        for entry in action.entries:
            if entry.kind is EntryKind.WRITE:
                self.results[entry.index] = machine.apply(entry.index, entry.data)
                if machine.moved:
                    self.keeper.saw(self.loop.now(), machine.moved, machine.leases.get(machine.moved))
                continue
            machine.passed(entry.index)
            if entry.kind is EntryKind.NOOP and self.core.role is Role.LEADER and entry.term == self.core.term:
                self.keeper.led(self.loop.now(), machine.leases)

        core = self.core
        if core.role is Role.LEADER and core.commit == core.last_index and self.results:
            # The others learn what is committed by the next message, and their followers wait for it: a read sends one
            # to all at once.
            self.pending.append(ReadRequest(self._token(lambda *_: None)))

    def _restore(self, action: RestoreSnapshot) -> None:
        try:
            self.machine = Machine.load(action.snapshot.data)
        except LoftweirError as error:
            self.end(error)

    def _done(self, action: RequestCompleted) -> None:
        self._answer(action.token, OutcomeCode.DONE, action.index, self.results.get(action.index))

    def _refused(self, action: RequestRejected) -> None:
        self._answer(action.token, OUTCOME_CODES[action.why], 0, None)

    def _answer(self, token: int, how: OutcomeCode, index: int, result: AnyResult | None) -> None:
        answered = self.waiting.pop(token, None)
        if answered is not None:
            answered(how, index, result)

    def _stands(self, action: StatusChanged) -> None:
        if action.role is not Role.LEADER:
            self.keeper.lost()
        elif self.led[0] != action.term:
            self.led = action.term, self.loop.now()
        emit(
            REPLICATION_ROLE,
            role=action.role.value,
            term=action.term,
            leader=self.name_of(action.leader),
            members=[m.name if m.votes else f"{m.name} (learns)" for m in action.members],
            id=self.me,
        )
        known, now = {m.id for m in action.members}, self.loop.now()
        for id, link in list(self.links.items()):
            if id not in known and link.said_at < now - LINK_IDLE_TIMEOUT:
                self._drop_link(id)

    def _want_snapshot(self, action: TakeSnapshot) -> None:
        self.pending.append(CompactLog(self.machine.index, self.machine.dump()))

    def _turned(self, id: str, why: str) -> None:
        emit(REPLICATION_TURNED_AWAY, name=self.name_of(id) or id, why=why)

    # ---- what others ask of it ------------------------------------------------------------------

    def _token(self, answered: ResultCallback) -> int:
        self.tokens += 1
        self.waiting[self.tokens] = answered
        return self.tokens

    def write(self, order: bytes, answered: ResultCallback) -> None:
        self.feed(WriteRequest(self._token(answered), order))

    def read(self, answered: ResultCallback) -> None:
        self.feed(ReadRequest(self._token(answered)))

    def change(self, members: tuple[Member, ...], answered: ResultCallback) -> None:
        self.feed(MembershipChange(self._token(answered), members))

    def hand_over(self) -> None:
        self.feed(TransferLeadership())

    def found(self, members: tuple[Member, ...]) -> None:
        """Begins the cluster, where nothing was kept here yet: stable first, then in force."""
        if not self.begun and not self.lost:
            self.founding = founding_state(members)
            self._keep(PersistBatch(FOUNDING_BATCH, self.founding.hard, None, self.founding.entries))

    # ---- what it knows --------------------------------------------------------------------------

    def member(self, id: str) -> Member | None:
        return next((m for m in self.core.members if m.id == id), None)

    def name_of(self, id: str) -> str:
        """Empty: not known."""
        if id == self.me:
            return self.name
        found = self.member(id)
        return found.name if found else self.names.get(id, "")

    def address_of(self, id: str) -> str:
        """Where it is reached from here: by the operator's list, else as the members have it; empty: not known."""
        found = self.member(id)
        return self.seats.get(self.name_of(id), found.address if found else "")

    def leader(self) -> tuple[str, str]:
        """Name and address, as far as they are known."""
        id = self.core.leader
        return (self.name_of(id), self.address_of(id)) if id else ("", "")

    def leads(self) -> bool:
        """With a majority, and all that was promised before it led is applied here."""
        core = self.core
        return core.role is Role.LEADER and core.commit > 0 and core.term_at(core.commit) == core.term

    def age(self) -> int | None:
        """Since it last knew a leader with a majority, ns; None: never in the life of this process."""
        if self.core.role is Role.LEADER and self.core.voters == {self.me}:
            return 0  # alone it is the majority, and nothing makes the core's time go on
        known_at = max(self.known_at, self.core.quorum_heard_at)
        return max(0, self.loop.now() - known_at) if known_at else None

    def lately(self, id: str) -> bool:
        """Whether a member was heard from in the last election timeout, or may have been before this one led."""
        now, election = self.loop.now(), self.options.election
        return id == self.me or max(self.core.heard_from(id), self.led[1] + election) > now - election

    def near(self, id: str) -> bool:
        """Whether a leader heard from a member in the last election timeout."""
        return id == self.me or self.core.heard_from(id) > self.loop.now() - self.options.election

    def behind(self, id: str) -> int:
        """How many committed entries a member is not known to have."""
        match = self.core.match(id)
        return self.core.commit - match if match else UNKNOWN_LAG

    def am(self, names: tuple[str, ...]) -> StatusResponse:
        agrees = sorted(names) == sorted(self.seats)
        empty = agrees and not (self.begun or self.lost or self.over)
        return StatusResponse(
            empty, agrees, self.seats[self.name], *self.leader(), self.core.members, self.core.settled
        )

    def news(self, after: int, leads: bool = False) -> FollowResponse:
        """What a follower that has all up to `after` lacks. `leads`: a majority has just said so."""
        core, index = self.core, self.machine.index
        whole = after < core.first_index - 1
        entries: list[CommittedEntry] = []
        if not whole and after < index:
            size = 0
            for entry in core.entries(after + 1, min(index, after + MAX_FOLLOW_ENTRIES)):
                entries.append(CommittedEntry(entry.index, entry.data if entry.kind is EntryKind.WRITE else b""))
                size += len(entry.data)
                if size > MAX_FOLLOW_BYTES:
                    break
        told = entries[-1].index if entries else index
        members = tuple(m.id for m in core.members)
        return FollowResponse(after, told, self.age(), leads, self.leader()[0], members, tuple(entries), whole)


class Removed(LoftweirError):
    """This sidecar was a member of the copies, and was taken out; it follows the others from now on."""

    remedy = (
        "Nothing, if it was meant; else start it again while `replication.members` names it, and it is taken in anew."
    )


class MemberBroken(LoftweirError):
    """A fault of the program ended this sidecar's part as a member of the copies; it follows the others."""

    remedy = "Keep the log and report it; a new start takes the part up again."


ACTION_HANDLERS: dict[type, Callable[[Voter, Any], None]] = {
    PersistBatch: Voter._keep,
    SendMessage: Voter._say,
    ApplyEntries: Voter._apply,
    RestoreSnapshot: Voter._restore,
    RequestCompleted: Voter._done,
    RequestRejected: Voter._refused,
    StatusChanged: Voter._stands,
    TakeSnapshot: Voter._want_snapshot,
}
