"""Who calls the members: writes, reads, and the administrator, who brings in and removes members."""

from __future__ import annotations

from collections.abc import Callable

from loftweir.emulator.replication_members import Make, Members
from loftweir.emulator.replication_plan import MS, Plan
from loftweir.emulator.replication_seat import Slot
from loftweir.replication.api import Event, Member, MembershipChange, ReadRequest, Role, WriteRequest
from loftweir.replication.core import Core


class Clients(Members):
    """Callers at the seats."""

    def __init__(self, seed: int, plan: Plan | None, make: Make, same_id: bool) -> None:
        self._token = 0
        super().__init__(seed, plan, make, same_id)

    def submit(self, slot: Slot, event: Callable[[int], Event]) -> int:
        """An event with a token, from a caller at this seat; it may never be answered."""
        self._token += 1
        made = event(self._token)
        if isinstance(made, MembershipChange) and self.now < slot.stalled_until:
            return self._token  # who calls can't wait: what is lost meanwhile might make it a wrong one
        self.tokens[self._token] = (made, self.oracle.done, max(self.oracle.terms, default=0))
        self.deliver(slot, None, made)
        return self._token

    def write(self, slot: Slot) -> int:
        return self.submit(slot, lambda token: WriteRequest(token, b"w%d" % token))

    def read(self, slot: Slot) -> int:
        return self.submit(slot, ReadRequest)

    def _calls(self) -> None:
        """Writes and reads, at those who say that they lead and sometimes at others."""
        up = [slot for slot in self.slots.values() if slot.core is not None]
        lead = [slot for slot in up if slot.core is not None and slot.core.role is Role.LEADER]
        for slot in lead or up[:1]:
            (self.write if self.random.random() < 0.5 else self.read)(slot)
        if up and self.random.random() < 0.1:
            self.read(self.random.choice(up))
        self.call_later(self.random.randrange(2 * self.plan.writes if self.faults_enabled else 10 * MS), self._calls)

    def administer(self) -> None:
        """One step towards the members that are wanted, at whoever says that it leads: who lost a disk is removed
        first, another comes in as a learner, and votes once it has nearly all."""
        self.call_later(10 * MS, self.administer)
        lead = [s for s in self.slots.values() if s.core is not None and s.core.role is Role.LEADER]
        if not lead:
            return
        slot = self.random.choice(lead)
        core = slot.core
        if core is None or not core.can_change_members:
            return
        if not self.quiet_term and self.plan.quiet:
            self.quiet_term = core.term
        members = self._next_members(core)
        if members is not None:
            self.submit(slot, lambda token: MembershipChange(token, members))

    def _next_members(self, core: Core) -> tuple[Member, ...] | None:
        members = core.members
        lost = [m for m in members if self.slots[m.name].id != m.id]
        away = lost or [m for m in members if m.name not in self.wanted_slots]
        if away and len(core.voters - {away[0].id}) > 0:
            return tuple(m for m in members if m != away[0])
        for m in members:
            if not m.votes and m.name in self.wanted_slots and core.match(m.id) >= core.commit - 2:
                return tuple(self.slots[n.name].member() if n == m else n for n in members)
        there = {m.name for m in members}
        for name in sorted(self.wanted_slots - there):
            if self.slots[name].core is not None:
                return (*members, self.slots[name].member(votes=False))
        return None
