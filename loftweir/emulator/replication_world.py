"""The replicated state in virtual time: cores of `replication.core` with disks, a network, clocks and faults. The seed
determines the whole run.

The oracle checks each step against what happened in the simulation: what is on the disks, what was sent, what was
applied. An `InvariantViolation` names the guarantee that does not hold. Pure: no I/O, no wall clock, no global
randomness.
"""

from __future__ import annotations

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.emulator.replication_faults import Faults
from loftweir.emulator.replication_members import MakeCore
from loftweir.emulator.replication_plan import CONVERGENCE_TIMEOUT, MS, Plan
from loftweir.emulator.replication_seat import Slot
from loftweir.replication.core import Core

ADMINISTRATION_DELAY = 5 * MS  # from the start to the administrator's first step


class Simulation(Faults):
    """One run. `make` creates a core, so that a core with a deliberate defect can run too. With `same_id` a member that
    has lost its disk returns under its old id, which is also a deliberate defect."""

    def __init__(self, seed: int, plan: Plan | None = None, make: MakeCore = Core, same_id: bool = False) -> None:
        super().__init__(seed, plan, make, same_id)

    def run(self) -> Simulation:
        """Runs with faults and then without. All guarantees have to hold, and in the end the cluster has to converge
        and complete writes."""
        self._submit_requests()
        self.call_later(ADMINISTRATION_DELAY, self.administer)
        if self.plan.faults:
            self.call_later(self.plan.fault_interval, self._inject_fault)
        self.run_until(self.plan.fault_phase)
        self._end_faults()
        completed, until = self.completions, self.now + CONVERGENCE_TIMEOUT
        if not self.run_until(until, lambda: self.completions > completed and self.converged()):
            raise InvariantViolation(f"not converged in time: {[self.describe(s) for s in self.slots.values()]}")
        for slot in self.slots.values():
            if slot.core is not None:
                slot.core.check()
        return self

    def _end_faults(self) -> None:
        self.faults_enabled = False
        self.cuts.clear()
        for slot in self.slots.values():
            slot.stalled_until = min(slot.stalled_until, self.now)
            self.set_clock_rate(slot)
            self.start(slot)

    def converged(self) -> bool:
        """Whether there is a leader, all wanted slots vote, and all of them have applied the whole log."""
        leader = self.leader()
        if leader is None:
            return False
        if {m.id for m in leader.members if m.votes} != {self.slots[n].id for n in self.wanted_slots}:
            return False
        cores = [slot.core for name, slot in self.slots.items() if name in self.wanted_slots]
        return all(core is not None and core.applied == leader.last_index for core in cores)

    def describe(self, slot: Slot) -> str:
        """The state of a slot's process, for messages."""
        c = slot.core
        return f"{slot.id} {c.role.value} {c.term} {c.commit}/{c.last_index} {sorted(c.voters)}" if c else slot.id
