"""A slot of the cluster: its clock, its disk, and the process that runs there, if any."""

from __future__ import annotations

from collections import deque
from random import Random

from loftweir.emulator.replication_disk import Disk
from loftweir.emulator.replication_machine import ChecksumMachine
from loftweir.emulator.replication_plan import MS
from loftweir.replication.api import AnyMessage, Member, PersistentState
from loftweir.replication.core import NEVER, Core


class Slot:
    """Where a member runs. A member that has lost its disk gets another id in the same slot."""

    def __init__(self, name: str, random: Random) -> None:
        self.name = name
        self.disk_count = 0  # disks that it has had
        self._normal_rate = self.rate = random.randrange(970, 1031)  # thousandths of the true rate
        # A moment in virtual time, and what this clock shows then.
        self._reference_time, self._reference_clock = 0, random.randrange(1000 * MS)
        self.core: Core | None = None
        self.stalled_until = 0
        self.replace_disk(PersistentState())

    def replace_disk(self, stored: PersistentState, same_id: bool = False) -> None:
        """Stops the process and gives the slot another disk, and with it another id unless `same_id`."""
        self.disk_count += 1
        self.id = f"{self.name}.{1 if same_id else self.disk_count}"
        self.disk = Disk(stored)
        self.stop()

    def stop(self) -> None:
        """Ends the process with everything it had in memory."""
        self.core = None
        self.machine = ChecksumMachine()
        self.outgoing: deque[tuple[int, AnyMessage]] = deque()  # messages, and the batch that has to be synced first
        self.tick_at = NEVER
        self.stepped_at = 0

    def member(self, votes: bool = True) -> Member:
        """This slot's member as an entry of the configuration."""
        return Member(self.id, self.name, self.name, votes)

    def clock_at(self, time: int) -> int:
        """What this slot's clock shows at a virtual time."""
        return self._reference_clock + (time - self._reference_time) * self.rate // 1000

    def time_at(self, clock: int) -> int:
        """The virtual time at which this slot's clock shows a value."""
        return self._reference_time - (self._reference_clock - clock) * 1000 // self.rate

    def set_rate(self, time: int, factor: int = 1000) -> None:
        """From a virtual time on the clock runs this fast, in thousandths of its normal rate."""
        self._reference_time, self._reference_clock = time, self.clock_at(time)
        self.rate = self._normal_rate * factor // 1000
