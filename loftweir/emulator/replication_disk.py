"""A disk of a member in virtual time: what is on it, and what a power failure leaves."""

from __future__ import annotations

from collections import deque
from random import Random

from loftweir.replication.api import Entry, PersistBatch, PersistentState
from loftweir.replication.core import NEVER


class Disk:
    """What is on it, and what is asked for and not synced yet. Batches of one sync go together."""

    def __init__(self, kept: PersistentState) -> None:
        self.hard, self.snapshot = kept.hard, kept.snapshot
        self.entries = list(kept.entries)
        self.asked: deque[PersistBatch] = deque()
        self.syncing = 0  # the last batch of the sync under way; 0: none

    @property
    def last_index(self) -> int:
        return self.entries[-1].index if self.entries else self.snapshot.index if self.snapshot else 0

    def kept(self) -> PersistentState:
        return PersistentState(self.hard, self.snapshot, tuple(self.entries))

    def synced(self, batch: int) -> None:
        while self.asked and self.asked[0].batch <= batch:
            self._write(self.asked.popleft(), NEVER)

    def cut_off(self, random: Random) -> None:
        """Power fails: of what was not synced there is some beginning, the last batch of it in part."""
        while self.asked and random.random() < 0.5:
            self._write(self.asked.popleft(), NEVER)
        if self.asked:
            self._write(self.asked[0], random.randrange(4))
        self.asked.clear()
        self.syncing = 0

    def _write(self, keep: PersistBatch, parts: int) -> None:
        """In order: term and vote, cut, each entry, snapshot; only the first `parts` of them."""
        if keep.hard is not None:
            if parts <= 0:
                return
            self.hard, parts = keep.hard, parts - 1
        if keep.cut is not None:
            if parts <= 0:
                return
            self.entries, parts = [e for e in self.entries if e.index < keep.cut], parts - 1
        self.entries += keep.entries[: max(0, parts)]
        if keep.snapshot is not None and parts > len(keep.entries):
            behind = [] if keep.all_gone else [e for e in self.entries if e.index > keep.snapshot.index]
            self.snapshot, self.entries = keep.snapshot, behind

    def holds(self, entry: Entry) -> bool:
        if self.snapshot is not None and entry.index <= self.snapshot.index:
            return True
        at = entry.index - (self.snapshot.index if self.snapshot else 0) - 1
        return at < len(self.entries) and self.entries[at] == entry
