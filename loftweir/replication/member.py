"""A voter on the event loop: owns the disk, the core, the state machine and the lease expiry, and executes the actions.

Invariants: the core gets one event after another, and all actions of one are executed before the next. A message is
sent only once the batch that it depends on is stable. Each write, read or membership change is answered once.
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
from loftweir.replication.wire import (
    VERSION,
    CommittedEntry,
    ConnectionKind,
    FollowResponse,
    Hello,
    OutcomeCode,
    StatusResponse,
)
from loftweir.telemetry.catalogue import REPLICATION_ROLE, REPLICATION_TURNED_AWAY
from loftweir.telemetry.log import emit, traceback_location

FOUNDING_BATCH = 0  # the batch that founds a cluster; the core numbers its own from 1

# Limits of one FollowResponse; the rest comes with the next one.
MAX_FOLLOW_ENTRIES = 256
MAX_FOLLOW_BYTES = 256 * 1024

LINK_IDLE_TIMEOUT = 10 * SECOND  # of a link to an id that is not a member
MAX_LINKS = 32  # twice the number of members that there may be
# After a removal, the time for which a request to join may still be on its way that was sent before it: a process asks
# all members for their status, and then the leader, with a timeout for each.
REMOVED_JOIN_DELAY = 5 * SECOND
UNKNOWN_LAG = 1 << 62  # entries; also a time that is never reached

ResultCallback = Callable[[OutcomeCode, int, AnyResult | None], None]
OUTCOME_CODES = {
    RejectionReason.NOT_LEADER: OutcomeCode.NOT_LEADER,
    RejectionReason.LOST: OutcomeCode.LOST,
    RejectionReason.BUSY: OutcomeCode.BUSY,
    RejectionReason.UNFIT: OutcomeCode.UNFIT,
}


class Voter:
    """This sidecar as a voting member. `applied` is called after each step that changed the state machine, and `ended`
    once, with the reason, when this member stops.
    """

    def __init__(
        self,
        loop: Loop,
        name: str,
        options: Replication,
        slots: dict[str, str],
        opened: tuple[Disk, PersistentState],
        applied: Callable[[], None],
        ended: Callable[[LoftweirError], None],
    ) -> None:
        self.loop = loop
        self.name = name
        self.options = options
        self.slots = slots  # by name: the members' addresses in this sidecar's configuration
        self.disk, stored_state = opened
        self.me = self.disk.member
        self.applied = applied
        self.ended = ended
        self.timing = Timing(heartbeat_interval=options.beat, election_timeout=options.election)
        self.random = Random(f"{self.me} {loop.now()}")
        self.core = Core(self.me, stored_state, self.timing, self.random, loop.now())
        self.machine = Machine()
        self.lease_expirer = LeaseExpirer()
        # its storage was ever written to, or is being written to for the first time
        self.has_state = stored_state != PersistentState()
        # files were set aside, which may have contained acknowledged writes
        self.state_may_be_lost = self.disk.state_may_be_lost
        self.founding: PersistentState | None = None  # the founding state while it is not stable yet
        self.closed = False
        self.synced_batch = 0  # the last batch that is stable
        self.unsent_messages: deque[SendMessage] = deque()  # until their batch is stable; in the order of batches
        self.links: dict[str, MemberLink] = {}
        self.connected_names: dict[str, str] = {}  # by id; of other members that are connected
        self.pending: deque[Event] = deque()
        self.stepping = False
        self.tokens = 0
        self.callbacks: dict[int, ResultCallback] = {}
        self.step_results: dict[int, AnyResult] = {}  # by index; of the writes applied in this step
        self.notified_index = 0
        self.leader_known_at = 0  # ns; when it last knew of a leader with a majority, itself included; 0: never
        self.leadership = (0, 0)  # the last term that it led, and when it began to
        # During the life of this process it was a voter by a log that included everything committed at the time.
        self.is_confirmed_voter = False
        self.removed_at: dict[str, int] = {}  # by id, ns; of the members that left within `REMOVED_JOIN_DELAY`
        self.known_ids: frozenset[str] = frozenset(member.id for member in self.core.members)
        self.hello = Hello(VERSION, options.cluster, self.me, name, ConnectionKind.MEMBER)
        self.ticker: Task = loop.spawn(self._tick(), self._crashed, urgent=True)
        self.disk_task: Task = loop.spawn(self._read_disk(), self._crashed, urgent=True)

    def start(self) -> None:
        """Starts the election timer."""
        self.process(Tick())

    # ---- events and actions ---------------------------------------------------------------------

    def process(self, event: Event) -> None:
        """Passes an event to the core after those that are queued. When this returns all its actions are executed,
        unless it is called from an action of another event.
        """
        self.pending.append(event)
        if self.stepping or self.closed:
            return
        self.stepping = True
        try:
            while self.pending and not self.closed:
                if self.founding is None or isinstance(self.pending[0], StorageBroken):
                    current = self.pending.popleft()
                    for action in self.core.step(self.loop.now(), current):
                        ACTION_HANDLERS[type(action)](self, action)
                    self.is_confirmed_voter = self.is_confirmed_voter or self._confirms_voter(current)
                # until the founding state is stable it is not known which member this is: nothing is handled or
                # acknowledged
                else:
                    self._reject(self.pending.popleft())
        except Exception as error:  # a bug: the caller must not fail for it, but this member has to stop
            self.stepping = False
            self.end(MemberBroken(repr(error), traceback_location(error)))
        self.stepping = False
        self.step_results.clear()
        self.leader_known_at = max(
            self.leader_known_at, self.core.quorum_confirmed_at
        )  # a former leader's core forgets it
        if self.machine.index != self.notified_index and not self.closed:
            self.notified_index = self.machine.index
            self.applied()
        if not self.closed and self._next_tick_at() < (self.ticker.until or UNKNOWN_LAG):
            self.ticker.wake()

    def _confirms_voter(self, event: Event) -> bool:
        """Whether this event proves that it is a voter. Its own log may be from a time before it was removed."""
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
            yield Wait(None, 0, self.loop.now())  # lets other tasks run

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
        self.end(MemberBroken(repr(error), traceback_location(error)))

    def end(self, why: LoftweirError) -> None:
        """Stops this member; the sidecar continues to serve. `ended` is called in a separate loop turn, as its owner
        then closes this object, which must not happen in the middle of a step.
        """
        if not self.closed:
            self.closed = True
            self.loop.after(0, self.ended, why)

    def close(self, within: float = 0.0) -> None:
        """Sends and handles nothing more. Pending batches are still written; `within` is how long to wait, in seconds
        of the loop's time, until they are and the folder is free. Must not be called from a task of this member.
        """
        self.closed = True
        for link in self.links.values():
            link.close()
        self.links = {}
        for token in list(self.callbacks):
            self._respond(token, OutcomeCode.LOST, 0, None)
        for task in (self.ticker, self.disk_task):
            task.cancel()
        self.loop.unregister(self.disk.fileno())
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
            # The others learn the commit index from the next message, and their observers wait for it. A read sends one
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
        on_result = self.callbacks.pop(token, None)
        if on_result is not None:
            on_result(how, index, result)

    def _on_status_changed(self, action: StatusChanged) -> None:
        if action.role is not Role.LEADER:
            self.lease_expirer.lost_leadership()
        elif self.leadership[0] != action.term:
            self.leadership = action.term, self.loop.now()
        emit(
            REPLICATION_ROLE,
            role=action.role.value,
            term=action.term,
            leader=self.name_of(action.leader),
            members=[m.name if m.votes else f"{m.name} (learns)" for m in action.members],
            id=self.me,
        )
        known, now = frozenset(m.id for m in action.members), self.loop.now()
        self._note_removals(known)
        for id, link in list(self.links.items()):
            if id not in known and link.last_used_at < now - LINK_IDLE_TIMEOUT:
                self._drop_link(id)

    def _note_removals(self, ids: frozenset[str]) -> None:
        """Notes when the members left that are not among `ids` any more."""
        now = self.loop.now()
        recent = {id: at for id, at in self.removed_at.items() if at > now - REMOVED_JOIN_DELAY and id not in ids}
        self.removed_at = recent | dict.fromkeys(self.known_ids - ids, now)
        self.known_ids = ids

    def _take_snapshot(self, action: TakeSnapshot) -> None:
        self.pending.append(CompactLog(self.machine.index, self.machine.dump()))

    def _on_connection_rejected(self, id: str, why: str) -> None:
        emit(REPLICATION_TURNED_AWAY, name=self.name_of(id) or id, why=why)

    # ---- requests -------------------------------------------------------------------------------

    def _register_callback(self, on_result: ResultCallback) -> int:
        self.tokens += 1
        self.callbacks[self.tokens] = on_result
        return self.tokens

    def write(self, command: bytes, on_result: ResultCallback) -> None:
        """Submits a command; `on_result` gets the outcome, the log index and the result."""
        self.process(WriteRequest(self._register_callback(on_result), command))

    def read(self, on_result: ResultCallback) -> None:
        """Confirms the leadership for a linearizable read."""
        self.process(ReadRequest(self._register_callback(on_result)))

    def change(self, members: tuple[Member, ...], on_result: ResultCallback) -> None:
        """Changes the members."""
        self.process(MembershipChange(self._register_callback(on_result), members))

    def transfer_leadership(self) -> None:
        """Lets another member lead, as this process is about to stop."""
        self.process(TransferLeadership())

    def found(self, members: tuple[Member, ...]) -> None:
        """Founds a cluster if the storage was never used: the state takes effect once it is stable."""
        if not self.has_state and not self.state_may_be_lost:
            self.founding = founding_state(members)
            self._persist(PersistBatch(FOUNDING_BATCH, self.founding.hard, None, self.founding.entries))

    # ---- state ----------------------------------------------------------------------------------

    def member(self, id: str) -> Member | None:
        """The member with this id; None: there is none."""
        return next((m for m in self.core.members if m.id == id), None)

    def name_of(self, id: str) -> str:
        """Empty: not known."""
        if id == self.me:
            return self.name
        found = self.member(id)
        return found.name if found else self.connected_names.get(id, "")

    def address_of(self, id: str) -> str:
        """The address from the operator's list, else the one in the members; empty: not known."""
        found = self.member(id)
        return self.slots.get(self.name_of(id), found.address if found else "")

    def leader(self) -> tuple[str, str]:
        """Name and address, as far as known."""
        id = self.core.leader
        return (self.name_of(id), self.address_of(id)) if id else ("", "")

    def leads(self) -> bool:
        """Whether it leads with a majority, and everything acknowledged before its term is applied here."""
        core = self.core
        return core.role is Role.LEADER and core.commit > 0 and core.term_at(core.commit) == core.term

    def age(self) -> int | None:
        """Time since it last knew of a leader with a majority, ns; None: never in the life of this process."""
        if self.core.role is Role.LEADER and self.core.voters == {self.me}:
            return 0  # alone it is the majority, and the core has no events that advance its time
        known_at = max(self.leader_known_at, self.core.quorum_confirmed_at)
        return max(0, self.loop.now() - known_at) if known_at else None

    def recently_heard(self, id: str) -> bool:
        """Whether a member responded within the last election timeout, or may have done so before this one led."""
        now, election = self.loop.now(), self.options.election
        return id == self.me or max(self.core.last_response_at(id), self.leadership[1] + election) > now - election

    def recently_removed(self, id: str) -> bool:
        """Whether a member left within `REMOVED_JOIN_DELAY`, as far as this process saw."""
        removed_at = self.removed_at.get(id)
        return removed_at is not None and removed_at > self.loop.now() - REMOVED_JOIN_DELAY

    def is_reachable(self, id: str) -> bool:
        """Whether a member responded to this leader within the last election timeout."""
        return id == self.me or self.core.last_response_at(id) > self.loop.now() - self.options.election

    def replication_lag(self, id: str) -> int:
        """The number of committed entries that a member is not known to have."""
        match = self.core.match(id)
        return self.core.commit - match if match else UNKNOWN_LAG

    def status(self, names: tuple[str, ...]) -> StatusResponse:
        """The answer to a `StatusRequest` with these member names."""
        agrees = sorted(names) == sorted(self.slots)
        empty = agrees and not (self.has_state or self.state_may_be_lost or self.closed)
        return StatusResponse(
            empty, agrees, self.slots[self.name], *self.leader(), self.core.members, self.core.can_change_members
        )

    def follow_response(self, after: int, leads: bool = False) -> FollowResponse:
        """The response to an observer that has everything up to `after`. `leads`: a majority has just confirmed this
        leader.
        """
        core, index = self.core, self.machine.index
        snapshot_needed = after < core.first_index - 1
        entries: list[CommittedEntry] = []
        if not snapshot_needed and after < index:
            size = 0
            for entry in core.entries(after + 1, min(index, after + MAX_FOLLOW_ENTRIES)):
                entries.append(CommittedEntry(entry.index, entry.data if entry.kind is EntryKind.WRITE else b""))
                size += len(entry.data)
                if size > MAX_FOLLOW_BYTES:
                    break
        last_index = entries[-1].index if entries else index
        members = tuple(m.id for m in core.members)
        return FollowResponse(
            after, last_index, self.age(), leads, self.leader()[0], members, tuple(entries), snapshot_needed
        )


class Removed(LoftweirError):
    """This sidecar was a member of the cluster and was removed; it is an observer now."""

    remedy = "Nothing, if this was intended; else restart it while `replication.members` names it, and it joins again."


class MemberBroken(LoftweirError):
    """An internal error stopped this sidecar's member; it is an observer now."""

    remedy = "Keep the log and report the bug; after a restart it is a member again."


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
