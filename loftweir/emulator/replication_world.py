"""The replicated state in virtual time: cores of `replication.core` with disks, a network, clocks and faults; a seed
decides all.

The oracle judges after each step by what happened in the model: what is on the disks, what was said, what was applied.
A `Breach` names what was broken. Pure: no I/O, no wall clock, no global randomness.
"""

from __future__ import annotations

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.emulator.replication_faults import Faults
from loftweir.emulator.replication_members import Make
from loftweir.emulator.replication_plan import END, MS, Plan
from loftweir.emulator.replication_seat import Slot
from loftweir.replication.core import Core


class Simulation(Faults):
    """One run. `make` begins a core, so that one broken on purpose plays the same; `same_id`: who loses a disk comes
    back under the old id, which is a fault on purpose too."""

    def __init__(self, seed: int, plan: Plan | None = None, make: Make = Core, same_id: bool = False) -> None:
        super().__init__(seed, plan, make, same_id)

    def run(self) -> Simulation:
        """Faults, then all is well again: what was promised must hold, and the copies must go on."""
        self._calls()
        self.call_later(5 * MS, self.administer)
        if self.plan.troubles:
            self.call_later(self.plan.each, self._trouble)
        self.run_until(self.plan.length)
        self.faults_enabled = False
        self.cuts.clear()
        for slot in self.slots.values():
            slot.stalled_until = min(slot.stalled_until, self.now)
            self.set_clock_rate(slot)
            self.start(slot)
        promised, until = self.completions, self.now + END
        if not self.run_until(until, lambda: self.completions > promised and self.converged()):
            raise InvariantViolation(f"not well in time: {[self.describe(s) for s in self.slots.values()]}")
        for slot in self.slots.values():
            if slot.core is not None:
                slot.core.check()
        return self

    def converged(self) -> bool:
        """One leads, all that are wanted vote, and all have all."""
        leader = self.leader()
        if leader is None or {m.id for m in leader.members if m.votes} != {self.slots[n].id for n in self.wanted_slots}:
            return False
        cores = [slot.core for name, slot in self.slots.items() if name in self.wanted_slots]
        return all(core is not None and core.applied == leader.last_index for core in cores)

    def describe(self, slot: Slot) -> str:
        c = slot.core
        return f"{slot.id} {c.role.value} {c.term} {c.commit}/{c.last_index} {sorted(c.voters)}" if c else slot.id
