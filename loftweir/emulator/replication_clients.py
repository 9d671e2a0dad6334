"""The clients of the cluster: writes, reads, and the administrator, who adds and removes members."""

from __future__ import annotations

from collections.abc import Callable

from loftweir.emulator.replication_members import MakeCore, Members
from loftweir.emulator.replication_plan import MS, Plan
from loftweir.emulator.replication_seat import Slot
from loftweir.replication.api import Event, Member, MembershipChange, ReadRequest, Role, WriteRequest
from loftweir.replication.core import Core

ADMINISTRATION_INTERVAL = 10 * MS
FAULT_FREE_WRITE_INTERVAL = 10 * MS  # longest time between two writes or reads once the faults have ended
MAX_LEARNER_LAG = 2  # entries that a learner may lack when it gets a vote


class Clients(Members):
    """Clients that submit requests to the members."""

    def __init__(self, seed: int, plan: Plan | None, make: MakeCore, same_id: bool) -> None:
        self._last_token = 0
        super().__init__(seed, plan, make, same_id)

    def submit(self, slot: Slot, make_event: Callable[[int], Event]) -> int:
        """Submits a request with a new token at a slot, and returns the token. It may never be answered."""
        self._last_token += 1
        event = make_event(self._last_token)
        if isinstance(event, MembershipChange) and self.now < slot.stalled_until:
            # Not submitted: a disk that is lost while the slot is stalled could make the change unsafe.
            return self._last_token
        latest_term = max(self.oracle.terms, default=0)
        self.requests[self._last_token] = (event, self.oracle.completed_index, latest_term)
        self.deliver(slot, None, event)
        return self._last_token

    def write(self, slot: Slot) -> int:
        """Submits a write of new data at a slot, and returns its token."""
        return self.submit(slot, lambda token: WriteRequest(token, b"w%d" % token))

    def read(self, slot: Slot) -> int:
        """Submits a read at a slot, and returns its token."""
        return self.submit(slot, ReadRequest)

    def _submit_requests(self) -> None:
        """Submits a write or a read at each member that considers itself the leader, and sometimes a read at any."""
        up = [slot for slot in self.slots.values() if slot.core is not None]
        leaders = [slot for slot in up if slot.core is not None and slot.core.role is Role.LEADER]
        for slot in leaders or up[:1]:
            (self.write if self.random.random() < 0.5 else self.read)(slot)
        if up and self.random.random() < 0.1:
            self.read(self.random.choice(up))
        longest = 2 * self.plan.write_interval if self.faults_enabled else FAULT_FREE_WRITE_INTERVAL
        self.call_later(self.random.randrange(longest), self._submit_requests)

    def administer(self) -> None:
        """Takes one step towards the wanted members, at a member that considers itself the leader. A member that has
        lost its disk is removed first. A new one is added as a learner, and gets a vote once it has nearly the whole
        log."""
        self.call_later(ADMINISTRATION_INTERVAL, self.administer)
        leaders = [s for s in self.slots.values() if s.core is not None and s.core.role is Role.LEADER]
        if not leaders:
            return
        slot = self.random.choice(leaders)
        core = slot.core
        if core is None or not core.can_change_members:
            return
        if not self.protected_term and self.plan.spare_leader:
            self.protected_term = core.term
        members = self._next_members(core)
        if members is not None:
            self.submit(slot, lambda token: MembershipChange(token, members))

    def _next_members(self, core: Core) -> tuple[Member, ...] | None:
        """The members after the next step, or None if there is nothing to do."""
        members = core.members
        lost = [m for m in members if self.slots[m.name].id != m.id]
        to_remove = lost or [m for m in members if m.name not in self.wanted_slots]
        if to_remove and len(core.voters - {to_remove[0].id}) > 0:
            return tuple(m for m in members if m != to_remove[0])
        for m in members:
            if not m.votes and m.name in self.wanted_slots and core.match(m.id) >= core.commit - MAX_LEARNER_LAG:
                return tuple(self.slots[n.name].member() if n == m else n for n in members)
        present = {m.name for m in members}
        for name in sorted(self.wanted_slots - present):
            if self.slots[name].core is not None:
                return (*members, self.slots[name].member(votes=False))
        return None
