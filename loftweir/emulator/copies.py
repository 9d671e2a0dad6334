"""Copies in virtual time: cores of `replication.core` with disks, a network, clocks and troubles; a seed decides all.

The oracle judges after each step by what happened in the model: what is on the disks, what was said, what was applied.
A `Breach` names what was broken. Pure: no I/O, no wall clock, no global randomness.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple
from zlib import crc32

import msgspec

from loftweir.replication.api import (
    Action,
    AnyMessage,
    Appended,
    Apply,
    Broken,
    Change,
    Compact,
    Done,
    Entry,
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
from loftweir.replication.core import NEVER, Core, begun

MS = 1_000_000
# Small, so that a short run meets snapshots in pieces, appends in parts and elections.
TIMING = Timing(10 * MS, 50 * MS, log_entries=10, keep_behind=3, append_bytes=200, piece_bytes=16, under_way=40)
END = 8000 * MS  # from the end of all troubles until all must be well, at most

Make = Callable[[str, Kept, Timing, Random, int], Core]


class Breach(AssertionError):
    """What was promised and didn't hold."""


class Plan(NamedTuple):
    """What a run is like. Times are ns of virtual time, parts from 0 to 1."""

    seats: int = 3
    length: int = 1200 * MS  # with troubles
    loss: float = 0.0
    duplicate: float = 0.0
    late: float = 0.0  # part of messages that take up to a whole election instead of up to 1 ms
    sync: int = 1 * MS  # of a disk, at most
    slow_sync: float = 0.0  # part of syncs that take up to an election
    troubles: tuple[str, ...] = ()
    each: int = 60 * MS  # between two troubles, on the average
    writes: int = 8 * MS  # between two writes, on the average; as many reads
    quiet: bool = False  # only one follower has troubles: no leader may fall
    doomed: float = 0.0  # part of leaders that crash within the first few ms
    timing: Timing = TIMING
    check: int = 8  # steps from one look at a core's own invariants to the next

    @classmethod
    def of(cls, seed: int) -> Plan:
        """A seed's: most have all troubles, some few, some only a follower's."""
        random = Random(f"plan {seed}")
        kind = seed % 8
        if kind == 0:
            writes = random.choice((30, 1000)) * MS
            return cls(random.choice((3, 3, 5)), 700 * MS, troubles=QUIET, each=40 * MS, writes=writes, quiet=True)
        seats = random.choice((1, 2, 3, 3, 3, 3, 4, 5, 5))
        if kind == 1:  # a good network, power that fails often
            return cls(seats, 900 * MS, sync=12 * MS, slow_sync=0.1, troubles=("crash", "power"), each=25 * MS)
        if kind == 2:  # members come and go
            return cls(seats + 1, 1200 * MS, 0.02, troubles=CHANGES + ("crash", "cut"), each=40 * MS, sync=3 * MS)
        if kind == 3:  # no leader lasts, and each append has one entry
            timing = msgspec.structs.replace(TIMING, beat=4 * MS, election=12 * MS, append_bytes=1)
            return cls(random.choice((3, 3, 5)), 1000 * MS, writes=4 * MS, doomed=0.9, late=0.1, timing=timing)
        loss, duplicate, late = (random.choice((0, 0.01, 0.1, 0.25)) for _ in range(3))
        troubles = tuple(t for t in ALL if random.random() < 0.6) or ALL
        each = random.choice((20, 40, 80)) * MS
        return cls(
            seats, 1000 * MS, loss, duplicate, late, random.choice((1, 5, 20)) * MS, late / 2, troubles, each=each
        )


CHANGES = ("wipe", "broken", "retire", "demote", "two")
QUIET = ("cut", "deaf", "partition", "stall", "crash", "retire")
ALL = ("crash", "power", "cut", "deaf", "partition", "stall", "clock", "hand", "compact", "old") + CHANGES


class Disk:
    """What is on it, and what is asked for and not synced yet. Batches of one sync go together."""

    def __init__(self, kept: Kept) -> None:
        self.hard, self.snapshot = kept.hard, kept.snapshot
        self.entries = list(kept.entries)
        self.asked: deque[Keep] = deque()
        self.syncing = 0  # the last batch of the sync under way; 0: none

    @property
    def last_index(self) -> int:
        return self.entries[-1].index if self.entries else self.snapshot.index if self.snapshot else 0

    def kept(self) -> Kept:
        return Kept(self.hard, self.snapshot, tuple(self.entries))

    def synced(self, batch: int) -> None:
        while self.asked and self.asked[0].batch <= batch:
            self._write(self.asked.popleft(), NEVER)

    def cut_off(self, random: Random) -> None:
        """Power fails: of what was not synced there is some beginning, the last batch of it in part."""
        while self.asked and random.random() < 0.5:
            self._write(self.asked.popleft(), NEVER)
        if self.asked:
            self._write(self.asked[0], random.randrange(4))
        self.asked.clear()
        self.syncing = 0

    def _write(self, keep: Keep, parts: int) -> None:
        """In order: term and vote, cut, each entry, snapshot; only the first `parts` of them."""
        if keep.hard is not None:
            if parts <= 0:
                return
            self.hard, parts = keep.hard, parts - 1
        if keep.cut is not None:
            if parts <= 0:
                return
            self.entries, parts = [e for e in self.entries if e.index < keep.cut], parts - 1
        self.entries += keep.entries[: max(0, parts)]
        if keep.snapshot is not None and parts > len(keep.entries):
            behind = [] if keep.all_gone else [e for e in self.entries if e.index > keep.snapshot.index]
            self.snapshot, self.entries = keep.snapshot, behind

    def holds(self, entry: Entry) -> bool:
        if self.snapshot is not None and entry.index <= self.snapshot.index:
            return True
        at = entry.index - (self.snapshot.index if self.snapshot else 0) - 1
        return at < len(self.entries) and self.entries[at] == entry


class Machine:
    """The least that tells two histories apart: a checksum over all that was applied."""

    def __init__(self) -> None:
        self.applied = 0
        self.sum = 0

    def apply(self, entry: Entry) -> None:
        self.applied = entry.index
        self.sum = crc32(b"%d %d " % (entry.index, entry.term) + entry.data, self.sum)

    def snapshot(self, name: str) -> bytes:
        """Of one size and with other bytes at each seat, so that pieces of two don't go together."""
        data = b"%d %d " % (self.applied, self.sum) + name[:2].encode() * (self.applied * 7 % 40)
        return data + b" %10d" % crc32(data)

    def restore(self, data: bytes) -> None:
        if crc32(data[:-11]) != int(data[-10:]):
            raise Breach("a snapshot put together from two")
        self.applied, self.sum = (int(word) for word in data.split(b" ")[:2])


class Seat:
    def __init__(self, name: str, random: Random) -> None:
        self.name = name
        self.disks = 0  # that it had
        self._rate = self.rate = random.randrange(970, 1031)  # thousandths of the world's
        self._since, self._then = 0, random.randrange(1000 * MS)  # a moment of the world and of this clock
        self.core: Core | None = None
        self.stalled_until = 0
        self.renew(Kept())

    def renew(self, kept: Kept, same_id: bool = False) -> None:
        self.disks += 1
        self.id = f"{self.name}.{1 if same_id else self.disks}"
        self.disk = Disk(kept)
        self.stop()

    def stop(self) -> None:
        """The process is gone, with what it had in memory."""
        self.core = None
        self.machine = Machine()
        self.held: deque[tuple[int, AnyMessage]] = deque()  # what waits for a batch to be stable
        self.tick_at = NEVER
        self.stepped_at = 0

    def member(self, votes: bool = True) -> Member:
        return Member(self.id, self.name, self.name, votes)

    def clock(self, at: int) -> int:
        return self._then + (at - self._since) * self.rate // 1000

    def when(self, now: int) -> int:
        """The world's time at which this clock shows that."""
        return self._since - (self._then - now) * 1000 // self.rate

    def goes(self, at: int, part: int = 1000) -> None:
        """From now on so much as fast as it should, in thousandths."""
        self._since, self._then = at, self.clock(at)
        self.rate = self._rate * part // 1000


class Oracle:
    """What was seen to hold, over all members and their whole lives."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}  # term: id
        self.entries: dict[tuple[int, int], tuple[Entry, int]] = {}  # (index, term): the entry, the term before it
        self.committed: list[Entry] = []  # from index 1 on
        self.sums = [0]  # of the machine after each
        self.done = 0  # the last promised index
        self.nothing: set[bytes] = set()  # data of writes that were refused as never in the log
        self.terms: list[int] = []  # of who committed each
        self.voters: frozenset[str] = frozenset()

    def kept(self, core: Core, keep: Keep) -> None:
        """Log matching (paper, 5.3): an index and term name one entry, behind one entry; so on by induction."""
        for entry in keep.entries:
            before = core.term_at(entry.index - 1) if entry.index >= core.first_index else -1
            known = self.entries.setdefault((entry.index, entry.term), (entry, before))
            if known != (entry, before) and before >= 0:
                raise Breach(f"log matching: {known} and {entry} behind {before}")

    def applied(self, core: Core, machine: Machine, entry: Entry) -> None:
        if entry.index != machine.applied + 1:
            raise Breach(f"applied {entry.index} behind {machine.applied}")
        machine.apply(entry)
        if entry.index <= len(self.committed):
            if self.committed[entry.index - 1] != entry:
                raise Breach(f"committed twice: {self.committed[entry.index - 1]} and {entry}")
            return
        if entry.data in self.nothing:
            raise Breach(f"a write that was refused came true: {entry}")
        self.committed.append(entry)
        self.sums.append(machine.sum)
        self.terms.append(core.term)
        if entry.kind is Kind.MEMBERS:
            members = msgspec.msgpack.decode(entry.data, type=tuple[Member, ...])
            voters = frozenset(m.id for m in members if m.votes)
            if self.voters and len(voters ^ self.voters) > 1:
                raise Breach(f"two voters changed at once: {self.voters} and {voters}")
            self.voters = voters

    def restored(self, machine: Machine, snapshot: Snapshot) -> None:
        machine.restore(snapshot.data)
        at = snapshot.index
        if at != machine.applied or at > len(self.committed) or self.sums[at] != machine.sum:
            raise Breach(f"a snapshot of {at} that isn't what was committed")
        if self.committed[at - 1].term != snapshot.term:
            raise Breach(f"a snapshot of {at} with another term")

    def leads(self, core: Core) -> None:
        """Election safety and leader completeness (paper, 5.2 and 5.4.3)."""
        if self.leaders.setdefault(core.term, core.me) != core.me:
            raise Breach(f"two leaders in term {core.term}: {self.leaders[core.term]} and {core.me}")
        for entry, term in zip(self.committed, self.terms, strict=True):
            # Who wins an older term late, by votes long on their way, need not have what a later one committed.
            at = entry.index
            if term < core.term and at >= core.first_index and core.entries(at, at) != [entry]:
                raise Breach(f"the leader of term {core.term} lacks {entry}, which was committed")


class World:
    """One run. `make` begins a core, so that one broken on purpose plays the same; `same_id`: who loses a disk comes
    back under the old id, which is a fault on purpose too."""

    def __init__(self, seed: int, plan: Plan | None = None, make: Make = Core, same_id: bool = False) -> None:
        self.seed, self.make, self.same_id = seed, make, same_id
        self.plan = plan if plan is not None else Plan.of(seed)
        self.random = Random(seed)
        self.at = 0
        self.oracle = Oracle()
        self.steps = 0
        self.promises = 0  # writes answered by Done
        self.reads = 0  # reads answered
        self.faults: Counter[str] = Counter()
        self.troubled = True  # network, disks and troubles as planned; False: all is well
        self.cuts: Counter[tuple[str, str]] = Counter()  # from, to: nothing gets through
        self.lost: dict[str, Disk] = {}  # by id, as they were: each may be what an answer still on its way rests on
        self.old: list[AnyMessage] = []  # said once, to be heard again
        self.tokens: dict[int, tuple[Event, int, int]] = {}  # the event, and what was promised and committed then
        self.outcomes: dict[int, Done | Refused] = {}
        self._token = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0
        self.seats = {f"n{i}": Seat(f"n{i}", self.random) for i in range(self.plan.seats)}
        self.wanted = set(self.seats)  # seats that are to be members
        self.quiet_term = 0  # of a quiet run: the term in which all has to stay
        founding = [seat.member() for seat in self.seats.values()]
        first = next(iter(self.seats.values()))
        first.disk = Disk(begun(founding))
        for seat in self.seats.values():
            self.start(seat)

    # ---- time -----------------------------------------------------------------------------------

    def later(self, after: int, call: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heappush(self._queue, (self.at + after, self._order, call, args))

    def play(self, until: int, over: Callable[[], bool] = lambda: False) -> bool:
        """Goes on until that time, or until it is `over`: whether it was."""
        while not over():
            if not self._queue or self._queue[0][0] > until:
                self.at = until
                return over()
            self.at, _, call, args = heappop(self._queue)
            call(*args)
        return True

    def run(self) -> World:
        """Troubles, then all is well again: what was promised must hold, and the copies must go on."""
        self._calls()
        self.later(5 * MS, self.administer)
        if self.plan.troubles:
            self.later(self.plan.each, self._trouble)
        self.play(self.plan.length)
        self.troubled = False
        self.cuts.clear()
        for seat in self.seats.values():
            seat.stalled_until = min(seat.stalled_until, self.at)
            self.clock(seat)
            self.start(seat)
        promised, until = self.promises, self.at + END
        if not self.play(until, lambda: self.promises > promised and self.well()):
            raise Breach(f"not well in time: {[self.tell(s) for s in self.seats.values()]}")
        for seat in self.seats.values():
            if seat.core is not None:
                seat.core.check()
        return self

    def well(self) -> bool:
        """One leads, all that are wanted vote, and all have all."""
        leader = self.leader()
        if leader is None or {m.id for m in leader.members if m.votes} != {self.seats[n].id for n in self.wanted}:
            return False
        cores = [seat.core for name, seat in self.seats.items() if name in self.wanted]
        return all(core is not None and core.applied == leader.last_index for core in cores)

    def leader(self) -> Core | None:
        """Of the latest term in which there was one, if it still leads."""
        term = max(self.oracle.leaders, default=0)
        cores = (seat.core for seat in self.seats.values())
        return next((c for c in cores if c is not None and c.role is Role.LEADER and c.term == term), None)

    def tell(self, seat: Seat) -> str:
        c = seat.core
        return f"{seat.id} {c.role.value} {c.term} {c.commit}/{c.last_index} {sorted(c.voters)}" if c else seat.id

    # ---- a member -------------------------------------------------------------------------------

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
        stalled = now - seat.stepped_at >= self.plan.timing.election
        seat.stepped_at = now
        actions = core.step(now, event)
        self.steps += 1
        if led and stalled:
            self._says_nothing(core, led, actions)
        if self.steps % self.plan.check == 0 or isinstance(event, (Change, Compact)):
            core.check()
        for action in actions:
            self._act(seat, core, action)
        if core.next_at < seat.tick_at and seat.core is core:
            seat.tick_at = core.next_at
            self.later(max(0, seat.when(core.next_at) - self.at), self.event, seat, core, Tick())

    def _says_nothing(self, core: Core, term: int, actions: list[Action]) -> None:
        """A leader that was stalled so long is none before anything else."""
        if core.role is Role.LEADER and core.term == term or any(isinstance(a, Done) for a in actions):
            raise Breach("a leader that was stalled went on")

    def _act(self, seat: Seat, core: Core, action: Action) -> None:
        if isinstance(action, Say):
            seat.held.append((action.after, action.message))
            if len(seat.held) == 1 or action.after == 0:
                self._leave(seat)
        elif isinstance(action, Keep):
            self.oracle.kept(core, action)
            seat.disk.asked.append(action)
            self._sync(seat)
        elif isinstance(action, Apply):
            for entry in action.entries:
                self.oracle.applied(core, seat.machine, entry)
        elif isinstance(action, Restore):
            self.oracle.restored(seat.machine, action.snapshot)
        elif isinstance(action, Stands):
            self._stands(seat, core, action)
        elif isinstance(action, Done):
            self._done(seat, core, action)
        elif isinstance(action, Refused):
            self.outcomes[action.token] = action
            event, *_ = self.tokens.pop(action.token)
            if action.why is not Refusal.LOST and isinstance(event, Write):
                self.oracle.nothing.add(event.data)
        elif isinstance(action, WantSnapshot):
            self.later(self.random.randrange(4 * MS), self._snapshot, seat, core)

    def _snapshot(self, seat: Seat, core: Core) -> None:
        self.event(seat, core, Compact(seat.machine.applied, seat.machine.snapshot(seat.name)))

    def _stands(self, seat: Seat, core: Core, action: Stands) -> None:
        if action.role is Role.LEADER:
            self.oracle.leads(core)
            if self.troubled and self.random.random() < self.plan.doomed:
                self.faults["doomed"] += 1
                self.later(self.random.randrange(4 * MS), self._doom, seat, core)
        if self.plan.quiet and self.troubled and self.quiet_term and action.term > self.quiet_term:
            raise Breach(f"a leader that was well was deposed: {seat.name} in term {action.term}")

    def _done(self, seat: Seat, core: Core, done: Done) -> None:
        self.outcomes[done.token] = done
        event, promised, terms = self.tokens.pop(done.token)
        if seat.machine.applied < done.index:
            raise Breach("answered before it was applied")
        if isinstance(event, Read):
            self.reads += 1
            if seat.machine.applied < promised or core.term < terms:
                raise Breach(f"a stale read: {seat.name} at {seat.machine.applied} of {promised}, term {core.term}")
            return
        entry = self.oracle.committed[done.index - 1]
        if isinstance(event, Write) and entry.data != event.data:
            raise Breach(f"answered for another: {entry}")
        disks = self.lost | {s.id: s.disk for s in self.seats.values()}
        holders = sum(disks[id].holds(entry) for id in core.voters)
        if holders <= len(core.voters) // 2:
            raise Breach(f"answered with {holders} of {len(core.voters)} that hold it: {entry}")
        self.oracle.done = max(self.oracle.done, done.index)
        self.promises += 1

    # ---- disks and network ----------------------------------------------------------------------

    def _sync(self, seat: Seat) -> None:
        disk = seat.disk
        if disk.syncing or not disk.asked:
            return
        disk.syncing = disk.asked[-1].batch
        takes = self.random.randrange(self.plan.sync)
        if self.troubled and self.random.random() < self.plan.slow_sync:
            takes = self.random.randrange(self.plan.timing.election)
            self.faults["slow sync"] += 1
        self.later(takes, self._synced, seat, seat.core, disk.syncing)

    def _synced(self, seat: Seat, core: Core, batch: int) -> None:
        if seat.core is core and seat.disk.syncing == batch and not core.broken:
            seat.disk.synced(batch)
            seat.disk.syncing = 0
            self._sync(seat)
            self._stable(seat, core, batch)

    def _stable(self, seat: Seat, core: Core, batch: int) -> None:
        """The process learns of it, if it isn't stalled; what waited leaves."""
        if seat.core is not core:
            return
        if self.at < seat.stalled_until:
            self.later(seat.stalled_until - self.at, self._stable, seat, core, batch)
            return
        seat.held = deque((0 if after <= batch else after, message) for after, message in seat.held)
        self._leave(seat)
        self.step(seat, Stable(batch))

    def _leave(self, seat: Seat) -> None:
        waiting: deque[tuple[int, AnyMessage]] = deque()
        for after, message in seat.held:
            if after:
                waiting.append((after, message))
            else:
                self._honest(seat, message)
                self._send(seat.name, message)
        seat.held = waiting

    def _honest(self, seat: Seat, m: AnyMessage) -> None:
        """What leaves is on the disk: the term, the vote, the entries that it answers for."""
        disk, asked_only = seat.disk, isinstance(m, Vote) and m.pre or getattr(m, "pre", False)
        if not asked_only and disk.hard.term < m.term:
            raise Breach(f"said before its term was stable: {m}")
        if disk.hard.term != m.term:
            return
        if isinstance(m, Vote) and m.granted and not m.pre and disk.hard.vote != m.to:
            raise Breach(f"a vote that isn't stable: {m}")
        if (isinstance(m, Appended) and m.ok and m.match > disk.last_index) or (
            isinstance(m, Taken) and m.index > disk.last_index and seat.core and seat.core.commit >= m.index == m.upto
        ):
            raise Breach(f"said before it was stable: {m}")

    def _send(self, source: str, m: AnyMessage) -> None:
        target = m.to.split(".")[0]  # the seat; whoever sits there decides whether it is meant
        if self.cuts[source, target]:
            return
        copies = 1
        if self.troubled:
            if self.random.random() < self.plan.loss:
                self.faults["loss"] += 1
                return
            if self.random.random() < self.plan.duplicate:
                self.faults["duplicate"] += 1
                copies = 2
        for _ in range(copies):
            takes = 100_000 + self.random.randrange(MS)
            if self.troubled and self.random.random() < self.plan.late:
                self.faults["late"] += 1
                takes = self.random.randrange(self.plan.timing.election)
            self.later(takes, self._arrive, source, target, m)
        if len(self.old) < 200 and not self.plan.quiet:
            self.old.append(m)

    def _arrive(self, source: str, target: str, m: AnyMessage) -> None:
        if not self.cuts[source, target]:
            self.event(self.seats[target], None, Heard(m))

    # ---- who calls ------------------------------------------------------------------------------

    def ask(self, seat: Seat, event: Callable[[int], Event]) -> int:
        """An event with a token, from a caller at this seat; it may never be answered."""
        self._token += 1
        made = event(self._token)
        if isinstance(made, Change) and self.at < seat.stalled_until:
            return self._token  # who calls can't wait: what is lost meanwhile might make it a wrong one
        self.tokens[self._token] = (made, self.oracle.done, max(self.oracle.terms, default=0))
        self.event(seat, None, made)
        return self._token

    def write(self, seat: Seat) -> int:
        return self.ask(seat, lambda token: Write(token, b"w%d" % token))

    def read(self, seat: Seat) -> int:
        return self.ask(seat, Read)

    def _calls(self) -> None:
        """Writes and reads, at those who say that they lead and sometimes at others."""
        up = [seat for seat in self.seats.values() if seat.core is not None]
        lead = [seat for seat in up if seat.core is not None and seat.core.role is Role.LEADER]
        for seat in lead or up[:1]:
            (self.write if self.random.random() < 0.5 else self.read)(seat)
        if up and self.random.random() < 0.1:
            self.read(self.random.choice(up))
        self.later(self.random.randrange(2 * self.plan.writes if self.troubled else 10 * MS), self._calls)

    def administer(self) -> None:
        """One step towards the members that are wanted, at whoever says that it leads: who lost a disk is removed
        first, another comes in as a learner, and votes once it has nearly all."""
        self.later(10 * MS, self.administer)
        lead = [s for s in self.seats.values() if s.core is not None and s.core.role is Role.LEADER]
        if not lead:
            return
        seat = self.random.choice(lead)
        core = seat.core
        if core is None or not core.settled:
            return
        if not self.quiet_term and self.plan.quiet:
            self.quiet_term = core.term
        members = self._next_members(core)
        if members is not None:
            self.ask(seat, lambda token: Change(token, members))

    def _next_members(self, core: Core) -> tuple[Member, ...] | None:
        members = core.members
        lost = [m for m in members if self.seats[m.name].id != m.id]
        away = lost or [m for m in members if m.name not in self.wanted]
        if away and len(core.voters - {away[0].id}) > 0:
            return tuple(m for m in members if m != away[0])
        for m in members:
            if not m.votes and m.name in self.wanted and core.match(m.id) >= core.commit - 2:
                return tuple(self.seats[n.name].member() if n == m else n for n in members)
        there = {m.name for m in members}
        for name in sorted(self.wanted - there):
            if self.seats[name].core is not None:
                return (*members, self.seats[name].member(votes=False))
        return None

    # ---- troubles -------------------------------------------------------------------------------

    def _trouble(self) -> None:
        if not self.troubled:
            return
        self.later(self.random.randrange(2 * self.plan.each), self._trouble)
        kind = self.random.choice(self.plan.troubles)
        seats = list(self.seats.values())
        if self.plan.quiet:  # one follower has them all, once a leader is well
            leader = self.leader()
            if leader is None or not self.quiet_term or leader.me == seats[-1].id:
                return
            seats = seats[-1:]
        seat = self.random.choice(seats)
        lasts = self.random.randrange(3 * self.plan.timing.election)
        if getattr(self, f"_{kind}_trouble")(seat, lasts) is not False:
            self.faults[kind] += 1

    def crash(self, seat: Seat) -> None:
        seat.disk.cut_off(self.random)
        seat.stop()

    def _doom(self, seat: Seat, core: Core) -> None:
        if seat.core is core:
            self._crash_trouble(seat, self.random.randrange(3 * self.plan.timing.election))

    def _crash_trouble(self, seat: Seat, lasts: int) -> None:
        self.crash(seat)
        self.later(lasts, self.start, seat)

    def _power_trouble(self, seat: Seat, lasts: int) -> None:
        for each in self.seats.values():
            self.crash(each)
            self.later(self.random.randrange(lasts // 3 + 1), self.start, each)

    def cut(self, pairs: list[tuple[str, str]], by: int) -> None:
        for pair in pairs:
            self.cuts[pair] = max(0, self.cuts[pair] + by)

    def _cut(self, pairs: list[tuple[str, str]], lasts: int) -> None:
        self.cut(pairs, 1)
        self.later(lasts, self.cut, pairs, -1)

    def _cut_trouble(self, seat: Seat, lasts: int) -> None:
        """One way, between two."""
        pair = [seat.name, self.random.choice(list(self.seats))]
        self.random.shuffle(pair)
        self._cut([(pair[0], pair[1])], lasts)

    def _deaf_trouble(self, seat: Seat, lasts: int) -> None:
        self._cut([(other, seat.name) for other in self.seats], lasts)

    def _partition_trouble(self, seat: Seat, lasts: int) -> None:
        side = {seat.name}
        if not self.plan.quiet:
            side |= set(self.random.sample(list(self.seats), len(self.seats) // 2))
        pairs = [(a, b) for a in self.seats for b in self.seats if (a in side) != (b in side)]
        self._cut(pairs, lasts)

    def _stall_trouble(self, seat: Seat, lasts: int) -> None:
        """No step for a while; what comes waits."""
        seat.stalled_until = max(seat.stalled_until, self.at + lasts)

    def _clock_trouble(self, seat: Seat, lasts: int) -> None:
        """Its clock goes far too slow or too fast."""
        self.clock(seat, self.random.choice((250, 3000)))
        self.later(lasts, self.clock, seat)

    def clock(self, seat: Seat, part: int = 1000) -> None:
        seat.goes(self.at, part)
        self.event(seat, seat.core, Tick())

    def _hand_trouble(self, seat: Seat, lasts: int) -> None:
        for each in self.seats.values():
            if each.core is not None and each.core.role is Role.LEADER:
                self.event(each, each.core, HandOver())

    def _compact_trouble(self, seat: Seat, lasts: int) -> None:
        if seat.core is not None:
            self._snapshot(seat, seat.core)

    def _old_trouble(self, seat: Seat, lasts: int) -> None:
        """What was said long ago is heard again."""
        for m in self.random.sample(self.old, min(8, len(self.old))):
            self._arrive(m.sender.split(".")[0], m.to.split(".")[0], m)
        self.old.clear()

    def may_lose(self, seat: Seat) -> bool:
        """Whether the copies are made to outlive the loss of this disk: a majority of those in force is left."""
        leader = self.leader()
        if leader is None or not leader.settled:
            return False
        lost = {m.id for m in leader.members if m.votes and self.seats[m.name].id != m.id} | {seat.id}
        return len(lost) <= (len(leader.voters) - 1) // 2 and not (self.same_id and seat.disks > 1)

    def _wipe_trouble(self, seat: Seat, lasts: int) -> bool:
        """Its disk is lost: it comes back with an empty one, and another id."""
        if not self.may_lose(seat):
            return False
        self.lost[seat.id] = seat.disk
        seat.renew(Kept(), self.same_id)
        self.later(lasts, self.start, seat)
        return True

    def _broken_trouble(self, seat: Seat, lasts: int) -> bool:
        """Its storage fails: nothing more is said, until it has another disk, and another id."""
        if seat.core is None or not self.may_lose(seat):
            return False
        core = seat.core
        seat.held.clear()
        said = core.step(seat.clock(self.at), Broken("no space"))
        said += core.step(seat.clock(self.at), Heard(self.old[0])) if self.old else []
        if any(isinstance(action, (Say, Keep, Apply, Done)) for action in said) or core.role is not Role.OUT:
            raise Breach("something was said or promised by a broken disk")
        for action in said:
            if isinstance(action, Refused):
                self._act(seat, core, action)
        self.lost[seat.id] = seat.disk
        seat.renew(Kept(), self.same_id)
        self.later(lasts, self.start, seat)
        return True

    def _retire_trouble(self, seat: Seat, lasts: int) -> bool:
        """It is no member for a while."""
        if len(self.wanted) < 2 or seat.name not in self.wanted or not self.may_lose(seat):
            return False
        self.wanted.discard(seat.name)
        self.later(2 * lasts, self.wanted.add, seat.name)
        return True

    def _demote_trouble(self, seat: Seat, lasts: int) -> bool:
        """It votes no more, until the next step of the administration."""
        leader = self.leader()
        if leader is None or seat.id not in leader.voters or not self.may_lose(seat):
            return False
        members = tuple(seat.member(votes=False) if m.id == seat.id else m for m in leader.members)
        self.ask(self.seats[leader.me.split(".")[0]], lambda token: Change(token, members))
        return True

    def _two_trouble(self, seat: Seat, lasts: int) -> bool:
        """Two voters less at once, or two changes in one moment: the first is refused, and the second of the others."""
        leader = self.leader()
        if leader is None or len(leader.voters) < 4:
            return False
        at = self.seats[leader.me.split(".")[0]]
        self.ask(at, lambda token: Change(token, leader.members[2:]))
        if self.may_lose(seat):
            for members in (leader.members[1:], leader.members[2:]):
                self.ask(at, lambda token, members=members: Change(token, members))  # type: ignore[misc]
        return True
