"""The faults of a run: crashes, power failures, network cuts, stalls, wrong clocks, lost disks, membership changes."""

from __future__ import annotations

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.emulator.replication_clients import Clients
from loftweir.emulator.replication_plan import MS
from loftweir.emulator.replication_seat import Slot
from loftweir.replication.api import (
    ApplyEntries,
    MembershipChange,
    MessageReceived,
    PersistBatch,
    PersistentState,
    RequestCompleted,
    RequestRejected,
    Role,
    SendMessage,
    StatusChanged,
    StorageBroken,
    Tick,
    TransferLeadership,
)
from loftweir.replication.core import Core

MAX_LEADER_LIFE = 4 * MS  # of a leader that crashes soon after its election
SLOW_CLOCK = 250  # thousandths of the normal rate
FAST_CLOCK = 3000  # thousandths of the normal rate
MAX_REPLAYED = 8  # messages


class Faults(Clients):
    """Injects the faults of the plan. The method `_inject_KIND` injects a fault of kind KIND at a slot; it returns
    False if that is not possible now."""

    def _inject_fault(self) -> None:
        """Injects a random fault and schedules the next one."""
        if not self.faults_enabled:
            return
        self.call_later(self.random.randrange(2 * self.plan.fault_interval), self._inject_fault)
        kind = self.random.choice(self.plan.faults)
        slots = list(self.slots.values())
        if self.plan.spare_leader:  # the last slot has all faults, once another one leads
            leader = self.leader()
            if leader is None or not self.protected_term or leader.me == slots[-1].id:
                return
            slots = slots[-1:]
        slot = self.random.choice(slots)
        duration = self.random.randrange(3 * self.plan.timing.election_timeout)
        if getattr(self, f"_inject_{kind}")(slot, duration) is not False:
            self.fault_counts[kind] += 1

    # ---- processes and clocks -------------------------------------------------------------------

    def _status_changed(self, slot: Slot, core: Core, action: StatusChanged) -> None:
        super()._status_changed(slot, core, action)
        if action.role is Role.LEADER and self.faults_enabled and self.random.random() < self.plan.leader_crash:
            self.fault_counts["doomed"] += 1
            self.call_later(self.random.randrange(MAX_LEADER_LIFE), self._crash_process, slot, core)

    def crash(self, slot: Slot) -> None:
        """Ends a process; unsynced data is stored in part."""
        slot.disk.fail_power(self.random)
        slot.stop()

    def _crash_process(self, slot: Slot, core: Core) -> None:
        if slot.core is core:
            self._inject_crash(slot, self.random.randrange(3 * self.plan.timing.election_timeout))

    def _inject_crash(self, slot: Slot, duration: int) -> None:
        self.crash(slot)
        self.call_later(duration, self.start, slot)

    def _inject_power(self, slot: Slot, duration: int) -> None:
        """A power failure of all members, which restart one after the other."""
        for each in self.slots.values():
            self.crash(each)
            self.call_later(self.random.randrange(duration // 3 + 1), self.start, each)

    def _inject_stall(self, slot: Slot, duration: int) -> None:
        """The process makes no step for a while; its events wait."""
        slot.stalled_until = max(slot.stalled_until, self.now + duration)

    def _inject_clock(self, slot: Slot, duration: int) -> None:
        """Its clock runs far too slow or too fast."""
        self.set_clock_rate(slot, self.random.choice((SLOW_CLOCK, FAST_CLOCK)))
        self.call_later(duration, self.set_clock_rate, slot)

    def set_clock_rate(self, slot: Slot, factor: int = 1000) -> None:
        """Sets the rate of a slot's clock, in thousandths of its normal rate."""
        slot.set_rate(self.now, factor)
        self.deliver(slot, slot.core, Tick())

    def _inject_hand(self, slot: Slot, duration: int) -> None:
        """Every leader transfers its leadership."""
        for each in self.slots.values():
            if each.core is not None and each.core.role is Role.LEADER:
                self.deliver(each, each.core, TransferLeadership())

    def _inject_compact(self, slot: Slot, duration: int) -> None:
        """It compacts its log now."""
        if slot.core is not None:
            self._compact(slot, slot.core)

    # ---- network --------------------------------------------------------------------------------

    def cut(self, pairs: list[tuple[str, str]], by: int) -> None:
        """Changes the number of active cuts from a sender to a receiver, for each pair."""
        for pair in pairs:
            self.cuts[pair] = max(0, self.cuts[pair] + by)

    def _cut_for(self, pairs: list[tuple[str, str]], duration: int) -> None:
        self.cut(pairs, 1)
        self.call_later(duration, self.cut, pairs, -1)

    def _inject_cut(self, slot: Slot, duration: int) -> None:
        """One direction between two slots is cut."""
        pair = [slot.name, self.random.choice(list(self.slots))]
        self.random.shuffle(pair)
        self._cut_for([(pair[0], pair[1])], duration)

    def _inject_deaf(self, slot: Slot, duration: int) -> None:
        """It receives nothing, and can still send."""
        self._cut_for([(other, slot.name) for other in self.slots], duration)

    def _inject_partition(self, slot: Slot, duration: int) -> None:
        """The slots are split into two sides."""
        side = {slot.name}
        if not self.plan.spare_leader:
            side |= set(self.random.sample(list(self.slots), len(self.slots) // 2))
        pairs = [(a, b) for a in self.slots for b in self.slots if (a in side) != (b in side)]
        self._cut_for(pairs, duration)

    def _inject_old(self, slot: Slot, duration: int) -> None:
        """Messages from long ago arrive again."""
        for m in self.random.sample(self.replayable, min(MAX_REPLAYED, len(self.replayable))):
            self._arrive(m.sender.split(".")[0], m.to.split(".")[0], m)
        self.replayable.clear()

    # ---- disks ----------------------------------------------------------------------------------

    def can_lose_disk(self, slot: Slot) -> bool:
        """Whether the cluster is meant to survive the loss of this disk: a majority of the voters keeps theirs."""
        leader = self.leader()
        if leader is None or not leader.can_change_members:
            return False
        lost = {m.id for m in leader.members if m.votes and self.slots[m.name].id != m.id} | {slot.id}
        return len(lost) <= (len(leader.voters) - 1) // 2 and not (self.same_id and slot.disk_count > 1)

    def _inject_wipe(self, slot: Slot, duration: int) -> bool:
        """Its disk is lost; it returns with an empty one and another id."""
        if not self.can_lose_disk(slot):
            return False
        self._replace_disk(slot, duration)
        return True

    def _inject_broken(self, slot: Slot, duration: int) -> bool:
        """Its storage fails; it stays silent until it has another disk and another id."""
        if slot.core is None or not self.can_lose_disk(slot):
            return False
        core = slot.core
        slot.outgoing.clear()
        actions = core.step(slot.clock_at(self.now), StorageBroken("no space"))
        if self.replayable:
            actions += core.step(slot.clock_at(self.now), MessageReceived(self.replayable[0]))
        forbidden = (SendMessage, PersistBatch, ApplyEntries, RequestCompleted)
        if any(isinstance(action, forbidden) for action in actions) or core.role is not Role.OUT:
            raise InvariantViolation("a member with broken storage sent, stored or completed something")
        for action in actions:
            if isinstance(action, RequestRejected):
                self._execute(slot, core, action)
        self._replace_disk(slot, duration)
        return True

    def _replace_disk(self, slot: Slot, duration: int) -> None:
        self.lost_disks[slot.id] = slot.disk
        slot.replace_disk(PersistentState(), self.same_id)
        self.call_later(duration, self.start, slot)

    # ---- membership changes ---------------------------------------------------------------------

    def _inject_retire(self, slot: Slot, duration: int) -> bool:
        """It is not a member for a while."""
        if len(self.wanted_slots) < 2 or slot.name not in self.wanted_slots or not self.can_lose_disk(slot):
            return False
        self.wanted_slots.discard(slot.name)
        self.call_later(2 * duration, self.wanted_slots.add, slot.name)
        return True

    def _inject_demote(self, slot: Slot, duration: int) -> bool:
        """It loses its vote until the administrator's next step."""
        leader = self.leader()
        if leader is None or slot.id not in leader.voters or not self.can_lose_disk(slot):
            return False
        members = tuple(slot.member(votes=False) if m.id == slot.id else m for m in leader.members)
        self.submit(self.slots[leader.me.split(".")[0]], lambda token: MembershipChange(token, members))
        return True

    def _inject_two(self, slot: Slot, duration: int) -> bool:
        """Submits a change that removes two voters, and then two changes at the same moment. The first has to be
        rejected, and of the others the second."""
        leader = self.leader()
        if leader is None or len(leader.voters) < 4:
            return False
        leader_slot = self.slots[leader.me.split(".")[0]]
        self.submit(leader_slot, lambda token: MembershipChange(token, leader.members[2:]))
        if self.can_lose_disk(slot):
            for members in (leader.members[1:], leader.members[2:]):
                self.submit(leader_slot, lambda token, members=members: MembershipChange(token, members))  # type: ignore[misc]
        return True
