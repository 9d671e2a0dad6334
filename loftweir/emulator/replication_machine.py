"""The state machine of the simulated members."""

from __future__ import annotations

from zlib import crc32

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.replication.api import Entry


class ChecksumMachine:
    """A minimal state machine: a checksum of everything applied, which differs between different histories."""

    def __init__(self) -> None:
        self.applied = 0
        self.checksum = 0

    def apply(self, entry: Entry) -> None:
        """Applies an entry of the log."""
        self.applied = entry.index
        self.checksum = crc32(b"%d %d " % (entry.index, entry.term) + entry.data, self.checksum)

    def snapshot(self, name: str) -> bytes:
        """A snapshot. For one index it has the same size and different bytes in each slot, so that chunks of two
        members' snapshots do not fit together."""
        data = b"%d %d " % (self.applied, self.checksum) + name[:2].encode() * (self.applied * 7 % 40)
        return data + b" %10d" % crc32(data)

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        if crc32(data[:-11]) != int(data[-10:]):
            raise InvariantViolation("a snapshot was assembled from chunks of two")
        self.applied, self.checksum = (int(word) for word in data.split(b" ")[:2])
