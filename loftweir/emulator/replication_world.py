"""The replicated state in virtual time: cores of `replication.core` with disks, a network, clocks and faults; a seed
decides all.

The oracle judges after each step by what happened in the model: what is on the disks, what was said, what was applied.
A `Breach` names what was broken. Pure: no I/O, no wall clock, no global randomness.
"""

from __future__ import annotations

from loftweir.emulator.replication_breach import Breach
from loftweir.emulator.replication_faults import Faults
from loftweir.emulator.replication_members import Make
from loftweir.emulator.replication_plan import END, MS, Plan
from loftweir.emulator.replication_seat import Seat
from loftweir.replication.core import Core


class World(Faults):
    """One run. `make` begins a core, so that one broken on purpose plays the same; `same_id`: who loses a disk comes
    back under the old id, which is a fault on purpose too."""

    def __init__(self, seed: int, plan: Plan | None = None, make: Make = Core, same_id: bool = False) -> None:
        super().__init__(seed, plan, make, same_id)

    def run(self) -> World:
        """Faults, then all is well again: what was promised must hold, and the copies must go on."""
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

    def tell(self, seat: Seat) -> str:
        c = seat.core
        return f"{seat.id} {c.role.value} {c.term} {c.commit}/{c.last_index} {sorted(c.voters)}" if c else seat.id
