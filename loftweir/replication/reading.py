"""Recovers a voter's folder at a start. Every byte is checked, and nothing acknowledged may be missing.

Only the last segment may end within a record, and only after the mark: that is a write which a crash interrupted.
Anything else that is not as it was written is a `StorageDamaged`, and then nothing in the folder is changed.
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
    """The content of a folder, and where to continue."""

    log_state: LogState
    state: PersistentState
    size: int  # of the last segment, in bytes
    torn: int  # bytes that were cut off


@contextmanager
def naming_file(path: Path) -> Iterator[None]:
    """Adds the file's path to a `Damaged`."""
    try:
        yield
    except Damaged as error:
        raise StorageDamaged(error.why, path, error.at) from None
    except FileNotFoundError:
        raise StorageDamaged("it is missing", path, 0) from None


def read_folder(folder: Folder, cluster: str) -> RecoveredFolder:
    """The content of the folder, all of which is on stable storage when this returns. Raises `StorageDamaged` and
    OSError.
    """
    with naming_file(folder.path / IDENTITY):
        identity = journal.decode_identity(folder.bytes_of(IDENTITY))
        if identity.cluster != cluster:
            raise Damaged(f"of another cluster, {identity.cluster!r}")
    with naming_file(folder.path / MARK):
        mark = journal.decode_mark(folder.bytes_of(MARK), identity)
    log = _LogReader(folder, identity, mark)
    log.read()
    snapshot = _snapshot(folder, log.log_state)
    log.rewrite_tail()
    remove_obsolete_files(folder, log.log_state)
    entries = tuple(log.entries[index] for index in range(log.log_state.snapshot_index + 1, log.log_state.next_index))
    return RecoveredFolder(
        log.log_state, PersistentState(log.log_state.hard_state, snapshot, entries), log.size, log.torn
    )


def remove_obsolete_files(folder: Folder, log_state: LogState) -> None:
    """Removes the files that the log no longer needs. Everything in `log_state` must be stable."""
    while (spare := log_state.obsolete_segment()) is not None:
        folder.remove(segment_name(spare))
        del log_state.segment_ends[spare]
    current = snapshot_name(log_state.snapshot_file.number) if log_state.snapshot_file else ""
    for name in folder.member_files():
        if name.endswith(NEW_SUFFIX) or (name.startswith(SNAPSHOT) and name != current):
            folder.remove(name)


def _snapshot(folder: Folder, log_state: LogState) -> Snapshot | None:
    if log_state.snapshot_file is None:
        return None
    name = snapshot_name(log_state.snapshot_file.number)
    with naming_file(folder.path / name):
        return journal.decode_snapshot(folder.bytes_of(name), log_state.identity, log_state.snapshot_file)


class _LogReader:
    """Reads one segment after another."""

    def __init__(self, folder: Folder, identity: Identity, mark: Mark) -> None:
        self.folder, self.mark = folder, mark
        self.log_state = LogState(identity)
        self.entries: dict[int, Entry] = {}  # by index, the last one written
        self.size = 0
        self.torn = 0
        self._mark_found = False  # a record ends where the mark says
        # By segment from the mark's on: its complete records; empty if not even the header is complete.
        self._tails: dict[int, bytes] = {}

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
                    end = torn.at if self.log_state.segment == number else 0
                    self.torn = len(data) - end
                if number >= self.mark.segment:
                    self._tails[number] = data[:end]
            self.size = end or self.size
        if not self._mark_found and self.mark.segment >= first:
            raise StorageDamaged("no record ends where the mark says", self.folder.path / MARK, 0)
        if missing := self.log_state.missing_entries():
            raise StorageDamaged(missing, self.folder.path / segment_name(first), 0)

    def _segment(self, number: int, data: bytes) -> int:
        """The length of the segment's records, once all of them are applied."""
        mark, end = self.mark, 0
        for end, record in self.log_state.read_segment(number, data):
            if isinstance(record, Entry):
                self.entries[record.index] = record
            if (number, end) == (mark.segment, mark.at):
                self._mark_found = True
                if (self.log_state.crc, self.log_state.next_index - 1) != (mark.crc, mark.index):
                    raise Damaged("another record than the mark names", end)
        if number == mark.segment and end < mark.at:
            raise Damaged(f"cut short: {mark.at} bytes of it were stable", end)
        return end

    def rewrite_tail(self) -> None:
        """Rewrites the segments since the mark, without a torn record. A sync of the previous process may have failed:
        the pages are then in memory and seem written, and another sync of them proves nothing (Rebello and others, "Can
        Applications Recover from fsync Failures?", 2020).
        """
        lengths = {number: len(data) for number, data in self._tails.items()}
        if lengths == {self.mark.segment: self.mark.at} and not self.torn:
            return
        for number, data in self._tails.items():
            if data:
                self.folder.write_file(segment_name(number), data)
            else:
                self.folder.remove(segment_name(number))
