"""Disks that sync late, and a network that loses, repeats and delays."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter, deque

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.emulator.replication_plan import MS, Plan
from loftweir.emulator.replication_schedule import Schedule
from loftweir.emulator.replication_seat import Slot
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
        self.fault_counts: Counter[str] = Counter()
        self.faults_enabled = True  # network, disks and faults as planned; False: all is well
        self.cuts: Counter[tuple[str, str]] = Counter()  # from, to: nothing gets through
        self.old: list[AnyMessage] = []  # said once, to be heard again
        self.slots: dict[str, Slot] = {}

    @abstractmethod
    def deliver(self, slot: Slot, core: Core | None, event: Event) -> None:
        """Tells the process in a seat of an event, once it is not stalled."""

    @abstractmethod
    def step(self, slot: Slot, event: Event) -> None:
        """Lets the process in a seat take an event now."""

    # ---- disks ----------------------------------------------------------------------------------

    def _sync(self, slot: Slot) -> None:
        disk = slot.disk
        if disk.syncing or not disk.asked:
            return
        disk.syncing = disk.asked[-1].batch
        takes = self.random.randrange(self.plan.sync)
        if self.faults_enabled and self.random.random() < self.plan.slow_sync:
            takes = self.random.randrange(self.plan.timing.election_timeout)
            self.fault_counts["slow sync"] += 1
        self.call_later(takes, self._synced, slot, slot.core, disk.syncing)

    def _synced(self, slot: Slot, core: Core, batch: int) -> None:
        if slot.core is core and slot.disk.syncing == batch and not core.broken:
            slot.disk.synced(batch)
            slot.disk.syncing = 0
            self._sync(slot)
            self._stable(slot, core, batch)

    def _stable(self, slot: Slot, core: Core, batch: int) -> None:
        """The process learns of it, if it isn't stalled; what waited leaves."""
        if slot.core is not core:
            return
        if self.now < slot.stalled_until:
            self.call_later(slot.stalled_until - self.now, self._stable, slot, core, batch)
            return
        slot.held = deque((0 if after <= batch else after, message) for after, message in slot.held)
        self._leave(slot)
        self.step(slot, BatchSynced(batch))

    # ---- network --------------------------------------------------------------------------------

    def _leave(self, slot: Slot) -> None:
        waiting: deque[tuple[int, AnyMessage]] = deque()
        for after, message in slot.held:
            if after:
                waiting.append((after, message))
            else:
                self._honest(slot, message)
                self._send(slot.name, message)
        slot.held = waiting

    def _honest(self, slot: Slot, m: AnyMessage) -> None:
        """What leaves is on the disk: the term, the vote, the entries that it answers for."""
        disk, asked_only = slot.disk, isinstance(m, RequestVoteResponse) and m.pre or getattr(m, "pre", False)
        if not asked_only and disk.hard.term < m.term:
            raise InvariantViolation(f"said before its term was stable: {m}")
        if disk.hard.term != m.term:
            return
        if isinstance(m, RequestVoteResponse) and m.granted and not m.pre and disk.hard.vote != m.to:
            raise InvariantViolation(f"a vote that isn't stable: {m}")
        if (isinstance(m, AppendEntriesResponse) and m.ok and m.match > disk.last_index) or (
            isinstance(m, InstallSnapshotResponse)
            and m.index > disk.last_index
            and slot.core
            and slot.core.commit >= m.index == m.upto
        ):
            raise InvariantViolation(f"said before it was stable: {m}")

    def _send(self, source: str, m: AnyMessage) -> None:
        target = m.to.split(".")[0]  # the seat; whoever sits there decides whether it is meant
        if self.cuts[source, target]:
            return
        copies = 1
        if self.faults_enabled:
            if self.random.random() < self.plan.loss:
                self.fault_counts["loss"] += 1
                return
            if self.random.random() < self.plan.duplicate:
                self.fault_counts["duplicate"] += 1
                copies = 2
        for _ in range(copies):
            takes = 100_000 + self.random.randrange(MS)
            if self.faults_enabled and self.random.random() < self.plan.late:
                self.fault_counts["late"] += 1
                takes = self.random.randrange(self.plan.timing.election_timeout)
            self.call_later(takes, self._arrive, source, target, m)
        if len(self.old) < 200 and not self.plan.quiet:
            self.old.append(m)

    def _arrive(self, source: str, target: str, m: AnyMessage) -> None:
        if not self.cuts[source, target]:
            self.deliver(self.slots[target], None, MessageReceived(m))
