"""A seat in the cluster: its clock, its disk, and the process that runs there, if any."""

from __future__ import annotations

from collections import deque
from random import Random

from loftweir.emulator.replication_disk import Disk
from loftweir.emulator.replication_machine import Machine
from loftweir.emulator.replication_plan import MS
from loftweir.replication.api import AnyMessage, Member, PersistentState
from loftweir.replication.core import NEVER, Core


class Slot:
    """Where a member runs. Who loses the disk has another id and sits in the same seat."""

    def __init__(self, name: str, random: Random) -> None:
        self.name = name
        self.disks = 0  # that it had
        self._rate = self.rate = random.randrange(970, 1031)  # thousandths of the world's
        self._since, self._then = 0, random.randrange(1000 * MS)  # a moment of the world and of this clock
        self.core: Core | None = None
        self.stalled_until = 0
        self.renew(PersistentState())

    def renew(self, kept: PersistentState, same_id: bool = False) -> None:
        self.disks += 1
        self.id = f"{self.name}.{1 if same_id else self.disks}"
        self.disk = Disk(kept)
        self.stop()

    def stop(self) -> None:
        """The process is gone, with what it had in memory."""
        self.core = None
        self.machine = Machine()
        self.held: deque[tuple[int, AnyMessage]] = deque()  # what waits for a batch to be stable
        self.tick_at = NEVER
        self.stepped_at = 0

    def member(self, votes: bool = True) -> Member:
        return Member(self.id, self.name, self.name, votes)

    def clock_at(self, at: int) -> int:
        return self._then + (at - self._since) * self.rate // 1000

    def time_at(self, now: int) -> int:
        """The world's time at which this clock shows that."""
        return self._since - (self._then - now) * 1000 // self.rate

    def set_rate(self, at: int, part: int = 1000) -> None:
        """From now on so much as fast as it should, in thousandths."""
        self._since, self._then = at, self.clock_at(at)
        self.rate = self._rate * part // 1000
