"""Disks that sync after a delay, and a network that loses, duplicates and delays messages."""

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

MIN_MESSAGE_TIME = 100_000  # ns
MAX_REPLAYABLE = 200  # messages that are stored to be delivered again


class Transport(Schedule, ABC):
    """Executes what members ask of their disks and of the network."""

    def __init__(self, seed: int, plan: Plan | None) -> None:
        super().__init__(seed, plan)
        self.fault_counts: Counter[str] = Counter()
        self.faults_enabled = True  # whether network, disks and faults follow the plan; False: there are no faults
        self.cuts: Counter[tuple[str, str]] = Counter()  # by sender and receiver: active faults that drop messages
        self.replayable: list[AnyMessage] = []  # messages that were sent once and can be delivered again
        self.slots: dict[str, Slot] = {}

    @abstractmethod
    def deliver(self, slot: Slot, core: Core | None, event: Event) -> None:
        """Delivers an event to the process of a slot, once it is not stalled."""

    @abstractmethod
    def step(self, slot: Slot, event: Event) -> None:
        """Lets the process of a slot handle an event now."""

    # ---- disks ----------------------------------------------------------------------------------

    def _start_sync(self, slot: Slot) -> None:
        disk = slot.disk
        if disk.syncing or not disk.unsynced:
            return
        disk.syncing = disk.unsynced[-1].batch
        duration = self.random.randrange(self.plan.max_sync_time)
        if self.faults_enabled and self.random.random() < self.plan.slow_sync:
            duration = self.random.randrange(self.plan.timing.election_timeout)
            self.fault_counts["slow sync"] += 1
        self.call_later(duration, self._finish_sync, slot, slot.core, disk.syncing)

    def _finish_sync(self, slot: Slot, core: Core, batch: int) -> None:
        if slot.core is core and slot.disk.syncing == batch and not core.broken:
            slot.disk.sync(batch)
            slot.disk.syncing = 0
            self._start_sync(slot)
            self._notify_synced(slot, core, batch)

    def _notify_synced(self, slot: Slot, core: Core, batch: int) -> None:
        """Sends the messages that waited for a batch and notifies the process, once it is not stalled."""
        if slot.core is not core:
            return
        if self.now < slot.stalled_until:
            self.call_later(slot.stalled_until - self.now, self._notify_synced, slot, core, batch)
            return
        slot.outgoing = deque((0 if after <= batch else after, message) for after, message in slot.outgoing)
        self._send_outgoing(slot)
        self.step(slot, BatchSynced(batch))

    # ---- network --------------------------------------------------------------------------------

    def _send_outgoing(self, slot: Slot) -> None:
        """Sends all messages that do not wait for a batch."""
        waiting: deque[tuple[int, AnyMessage]] = deque()
        for after, message in slot.outgoing:
            if after:
                waiting.append((after, message))
            else:
                self._check_persisted(slot, message)
                self._send(slot.name, message)
        slot.outgoing = waiting

    def _check_persisted(self, slot: Slot, m: AnyMessage) -> None:
        """Checks that what a message promises is on the disk: the term, the vote, the entries it acknowledges."""
        disk = slot.disk
        is_pre_vote = isinstance(m, RequestVoteResponse) and m.pre or getattr(m, "pre", False)
        if not is_pre_vote and disk.hard.term < m.term:
            raise InvariantViolation(f"sent before its term was synced: {m}")
        if disk.hard.term != m.term:
            return
        if isinstance(m, RequestVoteResponse) and m.granted and not m.pre and disk.hard.vote != m.to:
            raise InvariantViolation(f"a vote that is not synced: {m}")
        if (isinstance(m, AppendEntriesResponse) and m.ok and m.match > disk.last_index) or (
            isinstance(m, InstallSnapshotResponse)
            and m.index > disk.last_index
            and slot.core
            and slot.core.commit >= m.index == m.upto
        ):
            raise InvariantViolation(f"sent before it was synced: {m}")

    def _send(self, source: str, m: AnyMessage) -> None:
        target = m.to.split(".")[0]  # the slot; its current member drops a message to another id
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
            delay = MIN_MESSAGE_TIME + self.random.randrange(MS)
            if self.faults_enabled and self.random.random() < self.plan.late:
                self.fault_counts["late"] += 1
                delay = self.random.randrange(self.plan.timing.election_timeout)
            self.call_later(delay, self._arrive, source, target, m)
        if len(self.replayable) < MAX_REPLAYABLE and not self.plan.spare_leader:
            self.replayable.append(m)

    def _arrive(self, source: str, target: str, m: AnyMessage) -> None:
        if not self.cuts[source, target]:
            self.deliver(self.slots[target], None, MessageReceived(m))
