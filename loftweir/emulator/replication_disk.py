"""The disk of a member in virtual time: what is stored on it, and what a power failure leaves."""

from __future__ import annotations

from collections import deque
from random import Random

from loftweir.replication.api import Entry, PersistBatch, PersistentState
from loftweir.replication.core import NEVER

MAX_PARTS_OF_TORN_BATCH = 4  # exclusive


class Disk:
    """The stored state, and batches that are requested but not synced yet. One sync can cover several batches."""

    def __init__(self, stored: PersistentState) -> None:
        self.hard, self.snapshot = stored.hard, stored.snapshot
        self.entries = list(stored.entries)
        self.unsynced: deque[PersistBatch] = deque()
        self.syncing = 0  # the last batch of the current sync; 0: none

    @property
    def last_index(self) -> int:
        """The index of the last stored entry; 0: none."""
        return self.entries[-1].index if self.entries else self.snapshot.index if self.snapshot else 0

    def stored(self) -> PersistentState:
        """The state with which a process starts from this disk."""
        return PersistentState(self.hard, self.snapshot, tuple(self.entries))

    def sync(self, batch: int) -> None:
        """Stores all batches up to this one."""
        while self.unsynced and self.unsynced[0].batch <= batch:
            self._write(self.unsynced.popleft(), NEVER)

    def fail_power(self, random: Random) -> None:
        """Of the unsynced batches a random number of the first ones is stored, and the next one in part."""
        while self.unsynced and random.random() < 0.5:
            self._write(self.unsynced.popleft(), NEVER)
        if self.unsynced:
            self._write(self.unsynced[0], random.randrange(MAX_PARTS_OF_TORN_BATCH))
        self.unsynced.clear()
        self.syncing = 0

    def _write(self, batch: PersistBatch, parts: int) -> None:
        """Writes the first `parts` of a batch: term and vote, truncation, each entry, snapshot, in this order."""
        if batch.hard is not None:
            if parts <= 0:
                return
            self.hard, parts = batch.hard, parts - 1
        if batch.cut is not None:
            if parts <= 0:
                return
            self.entries, parts = [e for e in self.entries if e.index < batch.cut], parts - 1
        self.entries += batch.entries[: max(0, parts)]
        if batch.snapshot is not None and parts > len(batch.entries):
            remaining = [] if batch.all_gone else [e for e in self.entries if e.index > batch.snapshot.index]
            self.snapshot, self.entries = batch.snapshot, remaining

    def contains(self, entry: Entry) -> bool:
        """Whether an entry is stored, in the log or as part of the snapshot."""
        if self.snapshot is not None and entry.index <= self.snapshot.index:
            return True
        at = entry.index - (self.snapshot.index if self.snapshot else 0) - 1
        return at < len(self.entries) and self.entries[at] == entry
