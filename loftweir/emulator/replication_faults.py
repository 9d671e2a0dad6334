"""The faults of a run: crashes, power failures, cuts, stalls, wrong clocks, lost disks, changes of members."""

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


class Faults(Clients):
    """Faults from the plan, one after the other; each method `_inject_KIND` causes one at a seat."""

    def _trouble(self) -> None:
        if not self.faults_enabled:
            return
        self.call_later(self.random.randrange(2 * self.plan.each), self._trouble)
        kind = self.random.choice(self.plan.troubles)
        slots = list(self.slots.values())
        if self.plan.quiet:  # one follower has them all, once a leader is well
            leader = self.leader()
            if leader is None or not self.quiet_term or leader.me == slots[-1].id:
                return
            slots = slots[-1:]
        slot = self.random.choice(slots)
        lasts = self.random.randrange(3 * self.plan.timing.election_timeout)
        if getattr(self, f"_inject_{kind}")(slot, lasts) is not False:
            self.fault_counts[kind] += 1

    # ---- processes and clocks -------------------------------------------------------------------

    def _stands(self, slot: Slot, core: Core, action: StatusChanged) -> None:
        super()._stands(slot, core, action)
        if action.role is Role.LEADER and self.faults_enabled and self.random.random() < self.plan.doomed:
            self.fault_counts["doomed"] += 1
            self.call_later(self.random.randrange(4 * MS), self._doom, slot, core)

    def crash(self, slot: Slot) -> None:
        slot.disk.cut_off(self.random)
        slot.stop()

    def _doom(self, slot: Slot, core: Core) -> None:
        if slot.core is core:
            self._inject_crash(slot, self.random.randrange(3 * self.plan.timing.election_timeout))

    def _inject_crash(self, slot: Slot, lasts: int) -> None:
        self.crash(slot)
        self.call_later(lasts, self.start, slot)

    def _inject_power(self, slot: Slot, lasts: int) -> None:
        for each in self.slots.values():
            self.crash(each)
            self.call_later(self.random.randrange(lasts // 3 + 1), self.start, each)

    def _inject_stall(self, slot: Slot, lasts: int) -> None:
        """No step for a while; what comes waits."""
        slot.stalled_until = max(slot.stalled_until, self.now + lasts)

    def _inject_clock(self, slot: Slot, lasts: int) -> None:
        """Its clock goes far too slow or too fast."""
        self.set_clock_rate(slot, self.random.choice((250, 3000)))
        self.call_later(lasts, self.set_clock_rate, slot)

    def set_clock_rate(self, slot: Slot, part: int = 1000) -> None:
        slot.set_rate(self.now, part)
        self.deliver(slot, slot.core, Tick())

    def _inject_hand(self, slot: Slot, lasts: int) -> None:
        for each in self.slots.values():
            if each.core is not None and each.core.role is Role.LEADER:
                self.deliver(each, each.core, TransferLeadership())

    def _inject_compact(self, slot: Slot, lasts: int) -> None:
        if slot.core is not None:
            self._snapshot(slot, slot.core)

    # ---- network --------------------------------------------------------------------------------

    def cut(self, pairs: list[tuple[str, str]], by: int) -> None:
        for pair in pairs:
            self.cuts[pair] = max(0, self.cuts[pair] + by)

    def _cut(self, pairs: list[tuple[str, str]], lasts: int) -> None:
        self.cut(pairs, 1)
        self.call_later(lasts, self.cut, pairs, -1)

    def _inject_cut(self, slot: Slot, lasts: int) -> None:
        """One way, between two."""
        pair = [slot.name, self.random.choice(list(self.slots))]
        self.random.shuffle(pair)
        self._cut([(pair[0], pair[1])], lasts)

    def _inject_deaf(self, slot: Slot, lasts: int) -> None:
        self._cut([(other, slot.name) for other in self.slots], lasts)

    def _inject_partition(self, slot: Slot, lasts: int) -> None:
        side = {slot.name}
        if not self.plan.quiet:
            side |= set(self.random.sample(list(self.slots), len(self.slots) // 2))
        pairs = [(a, b) for a in self.slots for b in self.slots if (a in side) != (b in side)]
        self._cut(pairs, lasts)

    def _inject_old(self, slot: Slot, lasts: int) -> None:
        """What was said long ago is heard again."""
        for m in self.random.sample(self.old, min(8, len(self.old))):
            self._arrive(m.sender.split(".")[0], m.to.split(".")[0], m)
        self.old.clear()

    # ---- disks ----------------------------------------------------------------------------------

    def may_lose(self, slot: Slot) -> bool:
        """Whether the copies are made to outlive the loss of this disk: a majority of those in force is left."""
        leader = self.leader()
        if leader is None or not leader.can_change_members:
            return False
        lost = {m.id for m in leader.members if m.votes and self.slots[m.name].id != m.id} | {slot.id}
        return len(lost) <= (len(leader.voters) - 1) // 2 and not (self.same_id and slot.disks > 1)

    def _inject_wipe(self, slot: Slot, lasts: int) -> bool:
        """Its disk is lost: it comes back with an empty one, and another id."""
        if not self.may_lose(slot):
            return False
        self.lost[slot.id] = slot.disk
        slot.renew(PersistentState(), self.same_id)
        self.call_later(lasts, self.start, slot)
        return True

    def _inject_broken(self, slot: Slot, lasts: int) -> bool:
        """Its storage fails: nothing more is said, until it has another disk, and another id."""
        if slot.core is None or not self.may_lose(slot):
            return False
        core = slot.core
        slot.held.clear()
        said = core.step(slot.clock_at(self.now), StorageBroken("no space"))
        said += core.step(slot.clock_at(self.now), MessageReceived(self.old[0])) if self.old else []
        if (
            any(isinstance(action, (SendMessage, PersistBatch, ApplyEntries, RequestCompleted)) for action in said)
            or core.role is not Role.OUT
        ):
            raise InvariantViolation("something was said or promised by a broken disk")
        for action in said:
            if isinstance(action, RequestRejected):
                self._act(slot, core, action)
        self.lost[slot.id] = slot.disk
        slot.renew(PersistentState(), self.same_id)
        self.call_later(lasts, self.start, slot)
        return True

    # ---- changes of members ---------------------------------------------------------------------

    def _inject_retire(self, slot: Slot, lasts: int) -> bool:
        """It is no member for a while."""
        if len(self.wanted_slots) < 2 or slot.name not in self.wanted_slots or not self.may_lose(slot):
            return False
        self.wanted_slots.discard(slot.name)
        self.call_later(2 * lasts, self.wanted_slots.add, slot.name)
        return True

    def _inject_demote(self, slot: Slot, lasts: int) -> bool:
        """It votes no more, until the next step of the administration."""
        leader = self.leader()
        if leader is None or slot.id not in leader.voters or not self.may_lose(slot):
            return False
        members = tuple(slot.member(votes=False) if m.id == slot.id else m for m in leader.members)
        self.submit(self.slots[leader.me.split(".")[0]], lambda token: MembershipChange(token, members))
        return True

    def _inject_two(self, slot: Slot, lasts: int) -> bool:
        """Two voters less at once, or two changes in one moment: the first is refused, and the second of the others."""
        leader = self.leader()
        if leader is None or len(leader.voters) < 4:
            return False
        at = self.slots[leader.me.split(".")[0]]
        self.submit(at, lambda token: MembershipChange(token, leader.members[2:]))
        if self.may_lose(slot):
            for members in (leader.members[1:], leader.members[2:]):
                self.submit(at, lambda token, members=members: MembershipChange(token, members))  # type: ignore[misc]
        return True
