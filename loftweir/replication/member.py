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
from loftweir.lease.keeper import Keeper
from loftweir.net.loop import READABLE, SECOND, Coroutine, Loop, Task, Wait
from loftweir.replication.api import (
    Append,
    Apply,
    Broken,
    Change,
    Compact,
    Done,
    Event,
    HandOver,
    Heard,
    Keep,
    Kept,
    Kind,
    Member,
    Read,
    Refusal,
    Refused,
    Restore,
    Role,
    Say,
    Stable,
    Stands,
    Tick,
    Timing,
    WantSnapshot,
    Write,
)
from loftweir.replication.core import Core, begun
from loftweir.replication.disk import Disk
from loftweir.replication.links import Link
from loftweir.replication.machine import AnyResult, Machine, Order, written
from loftweir.replication.wire import VERSION, Am, Hello, How, News, Told
from loftweir.replication.wire import Kind as Who
from loftweir.telemetry.catalogue import REPLICATION_ROLE, REPLICATION_TURNED
from loftweir.telemetry.log import say, where

FOUNDS = 0  # the batch that founds; the core counts its own from 1 on
NEWS_ENTRIES, NEWS_BYTES = 256, 256 * 1024  # of one answer to a follower; the rest comes with the next
LINK_UNUSED = 10 * SECOND  # of a link to one that is no member
LINKS = 32  # at most; twice the members that there may be
NEVER_MET = 1 << 62

Answered = Callable[[How, int, AnyResult | None], None]
HOWS = {
    Refusal.NOT_LEADER: How.NOT_LEADER,
    Refusal.LOST: How.LOST,
    Refusal.BUSY: How.BUSY,
    Refusal.UNFIT: How.UNFIT,
}


class Voter:
    """`applied` is called after each step that changed the machine, `ended` once, with why this part is over."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        options: Replication,
        seats: dict[str, str],
        opened: tuple[Disk, Kept],
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
        self.keeper = Keeper()
        self.begun = kept != Kept()  # something was kept, or is asked to be, ever
        self.lost = self.disk.lost  # ... or may have been, by files that were set aside
        self.founding: Kept | None = None  # asked to be kept, and not yet stable
        self.over = False
        self.stable = 0  # the last batch that is
        self.held: deque[Say] = deque()  # until their batch is; in order of batches
        self.links: dict[str, Link] = {}
        self.names: dict[str, str] = {}  # by id, of others that have connected
        self.pending: deque[Event] = deque()
        self.steps = False
        self.tokens = 0
        self.waiting: dict[int, Answered] = {}
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
                if self.founding is None or isinstance(self.pending[0], Broken):
                    taken = self.pending.popleft()
                    for action in self.core.step(self.loop.now(), taken):
                        ACTIONS[type(action)](self, action)
                    self.voted = self.voted or self._votes_now(taken)
                else:  # nothing is heard, and nothing promised, until it is known what this member is
                    self._turn_away(self.pending.popleft())
        except Exception as error:  # a fault of the program's: whatever asked must not end for it, but this part must
            self.steps = False
            self.end(MemberBroken(repr(error), where(error)))
        self.steps = False
        self.results.clear()
        self.known_at = max(self.known_at, self.core.quorum_heard_at)  # of one that led the core forgets it
        if self.machine.index != self.told_index and not self.over:
            self.told_index = self.machine.index
            self.applied()
        if not self.over and self._next_at() < (self.ticker.until or NEVER_MET):
            self.ticker.wake()

    def _votes_now(self, event: Event) -> bool:
        """Whether it is a voter for sure: its own log may be of a time before it was taken out."""
        core = self.core
        if self.me not in core.voters:
            return False
        if isinstance(event, Heard) and isinstance(event.message, Append):
            return event.message.sender == core.leader and event.message.commit <= core.commit
        return self.leads()

    def _turn_away(self, event: Event) -> None:
        if isinstance(event, Write | Read | Change):
            self._answer(event.token, How.NOT_LEADER, 0, None)

    def _next_at(self) -> int:
        return min(self.core.next_at, self.keeper.next_at or NEVER_MET)

    def _tick(self) -> Coroutine[None]:
        while not self.over:
            at = self._next_at()
            if at > self.loop.now():
                yield Wait(None, 0, at if at < NEVER_MET else None)
                continue
            for act in self.keeper.due(self.loop.now()):
                self.write(written(Order("", 0, act)), lambda *_: None)
            self.feed(Tick())
            yield Wait(None, 0, self.loop.now())  # one turn of the loop for the others

    def _read_disk(self) -> Coroutine[None]:
        while not self.over:
            yield Wait(self.disk, READABLE, None)
            for report in self.disk.taken():
                if isinstance(report, Stable):
                    self._is_stable(report)
                else:
                    self.feed(report)
                    failure = self.disk.failure
                    assert failure is not None
                    self.end(failure)
                    return

    def _is_stable(self, report: Stable) -> None:
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
        self.end(MemberBroken(repr(error), where(error)))

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
            self._answer(token, How.LOST, 0, None)
        for task in (self.ticker, self.reader):
            task.cancel()
        self.loop.unregister(self.disk.fileno())
        self.disk.close(within)

    def _keep(self, action: Keep) -> None:
        self.begun = True
        self.disk.keep(action)

    def _say(self, action: Say) -> None:
        if action.after <= self.stable:
            self._send(action)
        else:
            self.held.append(action)

    def _send(self, action: Say) -> None:
        id = action.message.to
        link = self.links.get(id)
        if link is None:
            if len(self.links) >= LINKS:
                self._drop_link(min(self.links, key=lambda id: (self.member(id) is not None, self.links[id].said_at)))
            link = Link(self.loop, id, self.hello, lambda: self.address_of(id), self._turned)
            self.links[id] = link
        link.put(action.message)

    def _drop_link(self, id: str) -> None:
        self.links.pop(id).close()

    def _apply(self, action: Apply) -> None:
        machine = self.machine
        for entry in action.entries:
            if entry.kind is Kind.WRITE:
                self.results[entry.index] = machine.apply(entry.index, entry.data)
                if machine.moved:
                    self.keeper.saw(self.loop.now(), machine.moved, machine.leases.get(machine.moved))
                continue
            machine.passed(entry.index)
            if entry.kind is Kind.NOOP and self.core.role is Role.LEADER and entry.term == self.core.term:
                self.keeper.led(self.loop.now(), machine.leases)

        core = self.core
        if core.role is Role.LEADER and core.commit == core.last_index and self.results:
            # The others learn what is committed by the next message, and their followers wait for it: a read sends one
            # to all at once.
            self.pending.append(Read(self._token(lambda *_: None)))

    def _restore(self, action: Restore) -> None:
        try:
            self.machine = Machine.load(action.snapshot.data)
        except LoftweirError as error:
            self.end(error)

    def _done(self, action: Done) -> None:
        self._answer(action.token, How.DONE, action.index, self.results.get(action.index))

    def _refused(self, action: Refused) -> None:
        self._answer(action.token, HOWS[action.why], 0, None)

    def _answer(self, token: int, how: How, index: int, result: AnyResult | None) -> None:
        answered = self.waiting.pop(token, None)
        if answered is not None:
            answered(how, index, result)

    def _stands(self, action: Stands) -> None:
        if action.role is not Role.LEADER:
            self.keeper.lost()
        elif self.led[0] != action.term:
            self.led = action.term, self.loop.now()
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
            if id not in known and link.said_at < now - LINK_UNUSED:
                self._drop_link(id)

    def _want_snapshot(self, action: WantSnapshot) -> None:
        self.pending.append(Compact(self.machine.index, self.machine.dump()))

    def _turned(self, id: str, why: str) -> None:
        say(REPLICATION_TURNED, name=self.name_of(id) or id, why=why)

    # ---- what others ask of it ------------------------------------------------------------------

    def _token(self, answered: Answered) -> int:
        self.tokens += 1
        self.waiting[self.tokens] = answered
        return self.tokens

    def write(self, order: bytes, answered: Answered) -> None:
        self.feed(Write(self._token(answered), order))

    def read(self, answered: Answered) -> None:
        self.feed(Read(self._token(answered)))

    def change(self, members: tuple[Member, ...], answered: Answered) -> None:
        self.feed(Change(self._token(answered), members))

    def hand_over(self) -> None:
        self.feed(HandOver())

    def found(self, members: tuple[Member, ...]) -> None:
        """Begins the cluster, where nothing was kept here yet: stable first, then in force."""
        if not self.begun and not self.lost:
            self.founding = begun(members)
            self._keep(Keep(FOUNDS, self.founding.hard, None, self.founding.entries))

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
        return self.core.commit - match if match else NEVER_MET

    def am(self, names: tuple[str, ...]) -> Am:
        agrees = sorted(names) == sorted(self.seats)
        empty = agrees and not (self.begun or self.lost or self.over)
        return Am(empty, agrees, self.seats[self.name], *self.leader(), self.core.members, self.core.settled)

    def news(self, after: int, leads: bool = False) -> News:
        """What a follower that has all up to `after` lacks. `leads`: a majority has just said so."""
        core, index = self.core, self.machine.index
        whole = after < core.first_index - 1
        entries: list[Told] = []
        if not whole and after < index:
            size = 0
            for entry in core.entries(after + 1, min(index, after + NEWS_ENTRIES)):
                entries.append(Told(entry.index, entry.data if entry.kind is Kind.WRITE else b""))
                size += len(entry.data)
                if size > NEWS_BYTES:
                    break
        told = entries[-1].index if entries else index
        members = tuple(m.id for m in core.members)
        return News(after, told, self.age(), leads, self.leader()[0], members, tuple(entries), whole)


class Removed(LoftweirError):
    """This sidecar was a member of the copies, and was taken out; it follows the others from now on."""

    remedy = (
        "Nothing, if it was meant; else start it again while `replication.members` names it, and it is taken in anew."
    )


class MemberBroken(LoftweirError):
    """A fault of the program ended this sidecar's part as a member of the copies; it follows the others."""

    remedy = "Keep the log and report it; a new start takes the part up again."


ACTIONS: dict[type, Callable[[Voter, Any], None]] = {
    Keep: Voter._keep,
    Say: Voter._say,
    Apply: Voter._apply,
    Restore: Voter._restore,
    Done: Voter._done,
    Refused: Voter._refused,
    Stands: Voter._stands,
    WantSnapshot: Voter._want_snapshot,
}
