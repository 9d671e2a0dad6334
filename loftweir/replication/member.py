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
from loftweir.telemetry.catalogue import REPLICATION_ROLE, REPLICATION_TURNED
from loftweir.telemetry.log import say, where

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
        self.timing = Timing(heartbeat_interval=options.beat, election_timeout=options.election)
        self.random = Random(f"{self.me} {loop.now()}")
        self.core = Core(self.me, kept, self.timing, self.random, loop.now())
        self.machine = Machine()
        self.lease_expirer = LeaseExpirer()
        self.has_state = kept != PersistentState()  # something was kept, or is asked to be, ever
        self.state_may_be_lost = self.disk.state_may_be_lost  # ... or may have been, by files that were set aside
        self.founding: PersistentState | None = None  # asked to be kept, and not yet stable
        self.closed = False
        self.synced_batch = 0  # the last batch that is
        self.unsent_messages: deque[SendMessage] = deque()  # until their batch is; in order of batches
        self.links: dict[str, MemberLink] = {}
        self.connected_names: dict[str, str] = {}  # by id, of others that have connected
        self.pending: deque[Event] = deque()
        self.stepping = False
        self.tokens = 0
        self.callbacks: dict[int, ResultCallback] = {}
        self.step_results: dict[int, AnyResult] = {}  # of writes applied in this step, by index
        self.notified_index = 0
        self.leader_known_at = 0  # when it last knew a leader with a majority, itself or another; 0: never
        self.leadership = (0, 0)  # the term that it led last, and when it began to
        # in the life of this process it was a voter, by a log that had all that was committed then
        self.is_confirmed_voter = False
        self.hello = Hello(VERSION, options.cluster, self.me, name, Who.MEMBER)
        self.ticker: Task = loop.spawn(self._tick(), self._crashed, urgent=True)
        self.disk_task: Task = loop.spawn(self._read_disk(), self._crashed, urgent=True)

    def start(self) -> None:
        self.process(Tick())

    # ---- events and actions ---------------------------------------------------------------------

    def process(self, event: Event) -> None:
        """One event to the core, after those that wait; all that follows from it is done when this returns, unless it
        comes of an action of another one."""
        self.pending.append(event)
        if self.stepping or self.closed:
            return
        self.stepping = True
        try:
            while self.pending and not self.closed:
                if self.founding is None or isinstance(self.pending[0], StorageBroken):
                    taken = self.pending.popleft()
                    for action in self.core.step(self.loop.now(), taken):
                        ACTION_HANDLERS[type(action)](self, action)
                    self.is_confirmed_voter = self.is_confirmed_voter or self._confirms_voter(taken)
                else:  # nothing is heard, and nothing promised, until it is known what this member is
                    self._reject(self.pending.popleft())
        except Exception as error:  # a fault of the program's: whatever asked must not end for it, but this part must
            self.stepping = False
            self.end(MemberBroken(repr(error), where(error)))
        self.stepping = False
        self.step_results.clear()
        self.leader_known_at = max(
            self.leader_known_at, self.core.quorum_confirmed_at
        )  # of one that led the core forgets it
        if self.machine.index != self.notified_index and not self.closed:
            self.notified_index = self.machine.index
            self.applied()
        if not self.closed and self._next_tick_at() < (self.ticker.until or UNKNOWN_LAG):
            self.ticker.wake()

    def _confirms_voter(self, event: Event) -> bool:
        """Whether it is a voter for sure: its own log may be of a time before it was taken out."""
        core = self.core
        if self.me not in core.voters:
            return False
        if isinstance(event, MessageReceived) and isinstance(event.message, AppendEntries):
            return event.message.sender == core.leader and event.message.commit <= core.commit
        return self.leads()

    def _reject(self, event: Event) -> None:
        if isinstance(event, WriteRequest | ReadRequest | MembershipChange):
            self._respond(event.token, OutcomeCode.NOT_LEADER, 0, None)

    def _next_tick_at(self) -> int:
        return min(self.core.next_at, self.lease_expirer.next_at or UNKNOWN_LAG)

    def _tick(self) -> Coroutine[None]:
        while not self.closed:
            at = self._next_tick_at()
            if at > self.loop.now():
                yield Wait(None, 0, at if at < UNKNOWN_LAG else None)
                continue
            for act in self.lease_expirer.due_expirations(self.loop.now()):
                self.write(encode(Command("", 0, act)), lambda *_: None)
            self.process(Tick())
            yield Wait(None, 0, self.loop.now())  # one turn of the loop for the others

    def _read_disk(self) -> Coroutine[None]:
        while not self.closed:
            yield Wait(self.disk, READABLE, None)
            for report in self.disk.take_reports():
                if isinstance(report, BatchSynced):
                    self._on_batch_synced(report)
                else:
                    self.process(report)
                    failure = self.disk.failure
                    assert failure is not None
                    self.end(failure)
                    return

    def _on_batch_synced(self, report: BatchSynced) -> None:
        if self.founding is not None:
            self.core = Core(self.me, self.founding, self.timing, self.random, self.loop.now())
            self.founding = None
            self.process(Tick())
            return
        self.synced_batch = max(self.synced_batch, report.batch)
        while self.unsent_messages and self.unsent_messages[0].after <= self.synced_batch:
            self._send(self.unsent_messages.popleft())
        self.process(report)

    def _crashed(self, error: Exception) -> None:
        self.end(MemberBroken(repr(error), where(error)))

    def end(self, why: LoftweirError) -> None:
        """This member's part is over; the sidecar serves on. Whoever owns it is told in a turn of its own, and closes
        it: not in the middle of what was under way here."""
        if not self.closed:
            self.closed = True
            self.loop.after(0, self.ended, why)

    def close(self, within: float = 0.0) -> None:
        """Nothing more is said or heard; what was asked to be kept is, and the folder is free then, which is waited for
        `within` seconds of the loop's time. Not to be called by what this member itself runs."""
        self.closed = True
        for link in self.links.values():
            link.close()
        self.links = {}
        for token in list(self.callbacks):
            self._respond(token, OutcomeCode.LOST, 0, None)
        for task in (self.ticker, self.disk_task):
            task.cancel()
        self.loop.forget(self.disk.fileno())
        self.disk.close(within)

    def _persist(self, action: PersistBatch) -> None:
        self.has_state = True
        self.disk.persist(action)

    def _send_when_synced(self, action: SendMessage) -> None:
        if action.after <= self.synced_batch:
            self._send(action)
        else:
            self.unsent_messages.append(action)

    def _send(self, action: SendMessage) -> None:
        id = action.message.to
        link = self.links.get(id)
        if link is None:
            if len(self.links) >= MAX_LINKS:
                self._drop_link(
                    min(self.links, key=lambda id: (self.member(id) is not None, self.links[id].last_used_at))
                )
            link = MemberLink(self.loop, id, self.hello, lambda: self.address_of(id), self._on_connection_rejected)
            self.links[id] = link
        link.put(action.message)

    def _drop_link(self, id: str) -> None:
        self.links.pop(id).close()

    def _apply_entries(self, action: ApplyEntries) -> None:
        machine = self.machine
        for entry in action.entries:
            if entry.kind is EntryKind.WRITE:
                self.step_results[entry.index] = machine.apply(entry.index, entry.data)
                if machine.changed_lease:
                    self.lease_expirer.lease_changed(
                        self.loop.now(), machine.changed_lease, machine.leases.get(machine.changed_lease)
                    )
                continue
            machine.skip(entry.index)
            if entry.kind is EntryKind.NOOP and self.core.role is Role.LEADER and entry.term == self.core.term:
                self.lease_expirer.became_leader(self.loop.now(), machine.leases)

        core = self.core
        if core.role is Role.LEADER and core.commit == core.last_index and self.step_results:
            # The others learn what is committed by the next message, and their followers wait for it: a read sends one
            # to all at once.
            self.pending.append(ReadRequest(self._register_callback(lambda *_: None)))

    def _restore_snapshot(self, action: RestoreSnapshot) -> None:
        try:
            self.machine = Machine.load(action.snapshot.data)
        except LoftweirError as error:
            self.end(error)

    def _complete(self, action: RequestCompleted) -> None:
        self._respond(action.token, OutcomeCode.DONE, action.index, self.step_results.get(action.index))

    def _reject_request(self, action: RequestRejected) -> None:
        self._respond(action.token, OUTCOME_CODES[action.why], 0, None)

    def _respond(self, token: int, how: OutcomeCode, index: int, result: AnyResult | None) -> None:
        answered = self.callbacks.pop(token, None)
        if answered is not None:
            answered(how, index, result)

    def _on_status_changed(self, action: StatusChanged) -> None:
        if action.role is not Role.LEADER:
            self.lease_expirer.lost_leadership()
        elif self.leadership[0] != action.term:
            self.leadership = action.term, self.loop.now()
        say(
            REPLICATION_ROLE,
            role=action.role.value,
            term=action.term,
            leader=self.name_of(action.leader),
            members=[m.name if m.votes else f"{m.name} (learns)" for m in action.members],
            id=self.me,
        )
        known, now = {m.id for m in action.members}, self.loop.now()
        for id, link in list(self.links.items()):
            if id not in known and link.last_used_at < now - LINK_IDLE_TIMEOUT:
                self._drop_link(id)

    def _take_snapshot(self, action: TakeSnapshot) -> None:
        self.pending.append(CompactLog(self.machine.index, self.machine.dump()))

    def _on_connection_rejected(self, id: str, why: str) -> None:
        say(REPLICATION_TURNED, name=self.name_of(id) or id, why=why)

    # ---- what others ask of it ------------------------------------------------------------------

    def _register_callback(self, answered: ResultCallback) -> int:
        self.tokens += 1
        self.callbacks[self.tokens] = answered
        return self.tokens

    def write(self, order: bytes, answered: ResultCallback) -> None:
        self.process(WriteRequest(self._register_callback(answered), order))

    def read(self, answered: ResultCallback) -> None:
        self.process(ReadRequest(self._register_callback(answered)))

    def change(self, members: tuple[Member, ...], answered: ResultCallback) -> None:
        self.process(MembershipChange(self._register_callback(answered), members))

    def transfer_leadership(self) -> None:
        self.process(TransferLeadership())

    def found(self, members: tuple[Member, ...]) -> None:
        """Begins the cluster, where nothing was kept here yet: stable first, then in force."""
        if not self.has_state and not self.state_may_be_lost:
            self.founding = founding_state(members)
            self._persist(PersistBatch(FOUNDING_BATCH, self.founding.hard, None, self.founding.entries))

    # ---- what it knows --------------------------------------------------------------------------

    def member(self, id: str) -> Member | None:
        return next((m for m in self.core.members if m.id == id), None)

    def name_of(self, id: str) -> str:
        """Empty: not known."""
        if id == self.me:
            return self.name
        found = self.member(id)
        return found.name if found else self.connected_names.get(id, "")

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
        known_at = max(self.leader_known_at, self.core.quorum_confirmed_at)
        return max(0, self.loop.now() - known_at) if known_at else None

    def recently_heard(self, id: str) -> bool:
        """Whether a member was heard from in the last election timeout, or may have been before this one led."""
        now, election = self.loop.now(), self.options.election
        return id == self.me or max(self.core.last_response_at(id), self.leadership[1] + election) > now - election

    def is_reachable(self, id: str) -> bool:
        """Whether a leader heard from a member in the last election timeout."""
        return id == self.me or self.core.last_response_at(id) > self.loop.now() - self.options.election

    def replication_lag(self, id: str) -> int:
        """How many committed entries a member is not known to have."""
        match = self.core.match(id)
        return self.core.commit - match if match else UNKNOWN_LAG

    def status(self, names: tuple[str, ...]) -> StatusResponse:
        agrees = sorted(names) == sorted(self.seats)
        empty = agrees and not (self.has_state or self.state_may_be_lost or self.closed)
        return StatusResponse(
            empty, agrees, self.seats[self.name], *self.leader(), self.core.members, self.core.can_change_members
        )

    def follow_response(self, after: int, leads: bool = False) -> FollowResponse:
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
    PersistBatch: Voter._persist,
    SendMessage: Voter._send_when_synced,
    ApplyEntries: Voter._apply_entries,
    RestoreSnapshot: Voter._restore_snapshot,
    RequestCompleted: Voter._complete,
    RequestRejected: Voter._reject_request,
    StatusChanged: Voter._on_status_changed,
    TakeSnapshot: Voter._take_snapshot,
}
