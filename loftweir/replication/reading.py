"""What is in a voter's folder at a start: every byte of it is checked, and nothing that was promised may be missing.

Only the last segment may end in the middle of a record, and only behind the mark: it is the write that the crash met.
All else that is not as it was written is `StorageDamaged`, and nothing in the folder is changed then.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from loftweir.replication import journal
from loftweir.replication.api import Entry, PersistentState, Snapshot
from loftweir.replication.folder import (
    IDENTITY,
    MARK,
    NEW_SUFFIX,
    SEGMENT,
    SNAPSHOT,
    Folder,
    StorageDamaged,
    segment_name,
    snapshot_name,
)
from loftweir.replication.journal import Identity, LogState, Mark, Torn
from loftweir.state.sealed import Damaged


class RecoveredFolder(NamedTuple):
    """What is in a folder, and where to go on."""

    tape: LogState
    kept: PersistentState
    size: int  # of the last segment
    torn: int  # bytes cut off


@contextmanager
def naming_file(path: Path) -> Iterator[None]:
    """`Damaged` with its file."""
    try:
        yield
    except Damaged as damaged:
        raise StorageDamaged(damaged.why, path, damaged.at) from None
    except FileNotFoundError:
        raise StorageDamaged("it is missing", path, 0) from None


def read_folder(folder: Folder, cluster: str) -> RecoveredFolder:
    """All of it is on stable storage when this returns. `StorageDamaged`; OSError."""
    with naming_file(folder.path / IDENTITY):
        identity = journal.decode_identity(folder.bytes_of(IDENTITY))
        if identity.cluster != cluster:
            raise Damaged(f"of another cluster, {identity.cluster!r}")
    with naming_file(folder.path / MARK):
        mark = journal.decode_mark(folder.bytes_of(MARK), identity)
    log = _Log(folder, identity, mark)
    log.read()
    snapshot = _snapshot(folder, log.tape)
    log.settle()
    remove_obsolete_files(folder, log.tape)
    entries = tuple(log.entries[index] for index in range(log.tape.snapshot_index + 1, log.tape.next))
    return RecoveredFolder(log.tape, PersistentState(log.tape.hard, snapshot, entries), log.size, log.torn)


def remove_obsolete_files(folder: Folder, tape: LogState) -> None:
    """Removes what the log needs no more; call it only once all that `tape` says is stable."""
    while (spare := tape.spare()) is not None:
        folder.remove(segment_name(spare))
        del tape.tops[spare]
    named = snapshot_name(tape.named.number) if tape.named else ""
    for name in folder.own():
        if name.endswith(NEW_SUFFIX) or (name.startswith(SNAPSHOT) and name != named):
            folder.remove(name)


def _snapshot(folder: Folder, tape: LogState) -> Snapshot | None:
    if tape.named is None:
        return None
    name = snapshot_name(tape.named.number)
    with naming_file(folder.path / name):
        return journal.decode_snapshot(folder.bytes_of(name), tape.identity, tape.named)


class _Log:
    """The segments, read one after another."""

    def __init__(self, folder: Folder, identity: Identity, mark: Mark) -> None:
        self.folder, self.mark = folder, mark
        self.tape = LogState(identity)
        self.entries: dict[int, Entry] = {}  # the last that was written under each index
        self.size = 0
        self.torn = 0
        self._met = False  # a record that ends where the mark says
        self._behind: dict[int, bytes] = {}  # what is whole in each segment from the mark's on; empty: not its head

    def read(self) -> None:
        numbers = self.folder.numbers(SEGMENT)
        last = max(self.mark.segment, *numbers, 0)
        first = min(numbers, default=last)
        for number in range(first, last + 1):
            with naming_file(self.folder.path / segment_name(number)):
                data = self.folder.bytes_of(segment_name(number))
                try:
                    end = self._segment(number, data)
                except Torn as torn:
                    if number != last or (number, torn.at) < (self.mark.segment, self.mark.at):
                        raise
                    end = torn.at if self.tape.segment == number else 0
                    self.torn = len(data) - end
                if number >= self.mark.segment:
                    self._behind[number] = data[:end]
            self.size = end or self.size
        if not self._met and self.mark.segment >= first:
            raise StorageDamaged("no record ends where the mark says", self.folder.path / MARK, 0)
        if lacking := self.tape.lacking():
            raise StorageDamaged(lacking, self.folder.path / segment_name(first), 0)

    def _segment(self, number: int, data: bytes) -> int:
        """Its length, once all of it has been taken."""
        mark, end = self.mark, 0
        for end, record in self.tape.read(number, data):
            if isinstance(record, Entry):
                self.entries[record.index] = record
            if (number, end) == (mark.segment, mark.at):
                self._met = True
                if (self.tape.crc, self.tape.next - 1) != (mark.crc, mark.index):
                    raise Damaged("another record than the mark names", end)
        if number == mark.segment and end < mark.at:
            raise Damaged(f"cut short: {mark.at} bytes of it were stable", end)
        return end

    def settle(self) -> None:
        """Writes what is behind the mark anew, without what was torn. A process before this one may have had its sync
        fail: the pages are then in memory, look written, and a further sync of them says nothing (Rebello and others,
        "Can Applications Recover from fsync Failures?", 2020)."""
        lengths = {number: len(data) for number, data in self._behind.items()}
        if lengths == {self.mark.segment: self.mark.at} and not self.torn:
            return
        for number, data in self._behind.items():
            if data:
                self.folder.put(segment_name(number), data)
            else:
                self.folder.remove(segment_name(number))
