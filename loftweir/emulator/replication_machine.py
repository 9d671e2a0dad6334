"""The state machine of the emulated members."""

from __future__ import annotations

from zlib import crc32

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.replication.api import Entry


class Machine:
    """The least that tells two histories apart: a checksum over all that was applied."""

    def __init__(self) -> None:
        self.applied = 0
        self.sum = 0

    def apply(self, entry: Entry) -> None:
        self.applied = entry.index
        self.sum = crc32(b"%d %d " % (entry.index, entry.term) + entry.data, self.sum)

    def snapshot(self, name: str) -> bytes:
        """Of one size and with other bytes at each seat, so that pieces of two don't go together."""
        data = b"%d %d " % (self.applied, self.sum) + name[:2].encode() * (self.applied * 7 % 40)
        return data + b" %10d" % crc32(data)

    def restore(self, data: bytes) -> None:
        if crc32(data[:-11]) != int(data[-10:]):
            raise InvariantViolation("a snapshot put together from two")
        self.applied, self.sum = (int(word) for word in data.split(b" ")[:2])
