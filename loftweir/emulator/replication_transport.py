"""Disks that sync late, and a network that loses, repeats and delays."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter, deque

from loftweir.emulator.replication_breach import Breach
from loftweir.emulator.replication_plan import MS, Plan
from loftweir.emulator.replication_schedule import Schedule
from loftweir.emulator.replication_seat import Seat
from loftweir.replication.api import (
    AnyMessage,
    AppendEntriesResponse,
    BatchSynced,
    Event,
    InstallSnapshotResponse,
    MessageReceived,
    RequestVoteResponse,
)
from loftweir.replication.core import Core


class Transport(Schedule, ABC):
    """Carries out what members ask of their disks and of the network."""

    def __init__(self, seed: int, plan: Plan | None) -> None:
        super().__init__(seed, plan)
        self.faults: Counter[str] = Counter()
        self.troubled = True  # network, disks and faults as planned; False: all is well
        self.cuts: Counter[tuple[str, str]] = Counter()  # from, to: nothing gets through
        self.old: list[AnyMessage] = []  # said once, to be heard again
        self.seats: dict[str, Seat] = {}

    @abstractmethod
    def event(self, seat: Seat, core: Core | None, event: Event) -> None:
        """Tells the process in a seat of an event, once it is not stalled."""

    @abstractmethod
    def step(self, seat: Seat, event: Event) -> None:
        """Lets the process in a seat take an event now."""

    # ---- disks ----------------------------------------------------------------------------------

    def _sync(self, seat: Seat) -> None:
        disk = seat.disk
        if disk.syncing or not disk.asked:
            return
        disk.syncing = disk.asked[-1].batch
        takes = self.random.randrange(self.plan.sync)
        if self.troubled and self.random.random() < self.plan.slow_sync:
            takes = self.random.randrange(self.plan.timing.election_timeout)
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
        self.step(seat, BatchSynced(batch))

    # ---- network --------------------------------------------------------------------------------

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
        disk, asked_only = seat.disk, isinstance(m, RequestVoteResponse) and m.pre or getattr(m, "pre", False)
        if not asked_only and disk.hard.term < m.term:
            raise Breach(f"said before its term was stable: {m}")
        if disk.hard.term != m.term:
            return
        if isinstance(m, RequestVoteResponse) and m.granted and not m.pre and disk.hard.vote != m.to:
            raise Breach(f"a vote that isn't stable: {m}")
        if (isinstance(m, AppendEntriesResponse) and m.ok and m.match > disk.last_index) or (
            isinstance(m, InstallSnapshotResponse)
            and m.index > disk.last_index
            and seat.core
            and seat.core.commit >= m.index == m.upto
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
                takes = self.random.randrange(self.plan.timing.election_timeout)
            self.later(takes, self._arrive, source, target, m)
        if len(self.old) < 200 and not self.plan.quiet:
            self.old.append(m)

    def _arrive(self, source: str, target: str, m: AnyMessage) -> None:
        if not self.cuts[source, target]:
            self.event(self.seats[target], None, MessageReceived(m))
