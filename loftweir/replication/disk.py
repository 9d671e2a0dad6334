"""The stable storage of one voter: a folder of its own, and a thread that writes and syncs.

The loop hands over batches (`Disk.keep`), the thread writes all that wait with one write and one sync, and reports
through a descriptor that the loop polls (`Disk.fileno`, `Disk.taken`). The files are those of `folder`, their form
that of `journal`; what a start makes of them is in `reading`.

Invariants:
1. `Stable` is told only after the sync of all that the batch asked for, and after the mark says so.
2. One failure ends it: one `Broken` is told, and nothing is written, synced or told after it. A sync that failed once
   may succeed when it is tried again and yet have lost the pages (Rebello and others, 2020): it never is.
3. The thread alone touches the files and the tape, the loop alone the rest; between them are two queues.

Room on the disk: the segments from the one with the first entry behind the snapshot on, each `SEGMENT_BYTES` and up to
one group of batches (`GROUP_BYTES` and the last batch) longer; one snapshot, and a second one while it is made; and
what was set aside.
"""

from __future__ import annotations

import os
import signal
import threading
from collections import deque
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from queue import Empty, SimpleQueue

from loftweir.replication import journal
from loftweir.replication.api import BatchSynced, PersistBatch, PersistentState, Snapshot, StorageBroken
from loftweir.replication.folder import (
    MARK,
    Folder,
    OpenReport,
    StorageDamaged,
    StorageFailed,
    as_storage_failed,
    segment_name,
    snapshot_name,
    write_whole,
)
from loftweir.replication.journal import InvalidRecord, Mark, SnapshotContent, SnapshotFile
from loftweir.replication.reading import RecoveredFolder, read_folder, remove_obsolete_files

SEGMENT_BYTES = 4 * 1024 * 1024
GROUP_BYTES = 1024 * 1024


def open_disk(path: Path, cluster: str, segment_bytes: int = SEGMENT_BYTES) -> tuple[Disk, PersistentState, OpenReport]:
    """The disk of the member whose folder this is, what it holds, and what there is to log. Where the files can't be
    trusted they are set aside and a new disk is begun, with a new id (`Report.damage`). The folder is made where it
    isn't there; what it is in must be. `FolderInUse`; `StorageFailed`: reading or writing failed, nothing is lost."""
    damage, before, aside = None, "", None
    with as_storage_failed(path, "the folder can't be used"):
        folder = Folder(path)
    try:
        with as_storage_failed(path, "the folder can't be read or begun"):
            begun = folder.begins()
            if not begun:
                try:
                    found = read_folder(folder, cluster)
                except StorageDamaged as error:
                    damage, before, aside, begun = error, folder.last_id(), folder.set_aside(), True
            if begun:
                folder.begin(cluster)
                found = read_folder(folder, cluster)
            disk = Disk(folder, found, segment_bytes)
    except BaseException:
        folder.close()
        raise
    return disk, found.kept, OpenReport(disk.member, begun, found.torn, damage, before, aside)


class Disk:
    """Called from the loop's thread only."""

    def __init__(self, folder: Folder, found: RecoveredFolder, segment_bytes: int) -> None:
        self.member = found.tape.identity.member
        self.lost = folder.lost()
        self.failure: StorageFailed | None = None  # set before its `Broken` is told
        self._folder = folder
        self._writer = _Writer(folder, found, segment_bytes)
        self._ends = False
        self._asked: SimpleQueue[PersistBatch | None] = SimpleQueue()
        self._told: deque[BatchSynced | StorageBroken] = deque()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._thread = threading.Thread(target=self._run, name="replication-disk", daemon=True)
        self._thread.start()

    def fileno(self) -> int:
        """Readable when `taken` has something."""
        return self._wake

    def keep(self, keep: PersistBatch) -> None:
        """Batches in their order; nothing comes of one asked for after a failure."""
        if self.failure is None:
            self._asked.put(keep)

    def taken(self) -> list[BatchSynced | StorageBroken]:
        with suppress(BlockingIOError):
            os.eventfd_read(self._wake)
        told = []
        with suppress(IndexError):
            while True:
                told.append(self._told.popleft())
        return told

    def close(self, within: float = 5.0) -> list[BatchSynced | StorageBroken]:
        """Keeps what was asked for, gives what was not taken yet, and lets the folder go, which the thread does: waited
        for `within` seconds. A disk that never answers keeps its files and the lock until the process ends."""
        self._asked.put(None)
        self._thread.join(within)
        told = self.taken()
        if not self._thread.is_alive():
            os.close(self._wake)
        return told

    # ---- the thread ----

    def _run(self) -> None:
        # Signals are the loop's: it blocks those that come in a burst, which this thread would go on taking.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        writer = self._writer
        try:
            while not self._ends:
                batch = None
                for keep in self._waiting():
                    writer.add(keep)
                    batch = keep.batch
                if batch is not None:
                    writer.sync()
                    self._tell(BatchSynced(batch))
                    writer.remove_obsolete()
        except Exception as error:  # whatever it was, nothing more may be promised
            self.failure = writer.failed(error)
            self._tell(StorageBroken(str(self.failure)))
            while self._asked.get() is not None:  # the folder is this one's until its owner has heard
                pass
        finally:
            writer.close()
            self._folder.close()

    def _waiting(self) -> Iterator[PersistBatch]:
        """One group: all that is asked for by now, and at least one batch, unless it is the end."""
        keep = self._asked.get()
        while keep is not None:
            yield keep
            if self._writer.waiting >= GROUP_BYTES:
                return
            try:
                keep = self._asked.get_nowait()
            except Empty:
                return
        self._ends = True

    def _tell(self, report: BatchSynced | StorageBroken) -> None:
        self._told.append(report)
        os.eventfd_write(self._wake, 1)


class _Writer:
    """The files, as the thread writes them."""

    def __init__(self, folder: Folder, found: RecoveredFolder, segment_bytes: int) -> None:
        self._folder, self._tape, self._size, self._limit = folder, found.tape, found.size, segment_bytes
        self._data = bytearray()  # to be written in one go
        self._fresh = False  # the segment is new
        self._copied = False  # a snapshot was taken
        self._number = self._tape.named.number if self._tape.named else 0
        self._log = self._opened(os.O_APPEND)
        self._mark = os.open(folder.path / MARK, os.O_WRONLY | os.O_CLOEXEC)
        self._write_mark()

    @property
    def waiting(self) -> int:
        """Bytes of the group so far."""
        return len(self._data)

    def add(self, keep: PersistBatch) -> None:
        """A batch to the group; a snapshot is written at once, for the log may only name one that is stable."""
        if not self._data and self._size >= self._limit:
            self._data += self._tape.begin()
            before, self._log = self._log, self._opened(os.O_CREAT | os.O_EXCL)
            os.close(before)
            self._size, self._fresh = 0, True
        named = self._copy(keep.snapshot) if keep.snapshot else None
        for record in self._tape.asked(keep, named):
            self._data += self._tape.write(record)

    def sync(self) -> None:
        """The group is stable when this returns."""
        if not self._data:
            return
        data, self._data = self._data, bytearray()
        write_whole(self._log, memoryview(data))
        # Enough: it writes the length too, where what was added could not be read without it (POSIX, fdatasync). The
        # files are not made long beforehand: that saved nothing where it was measured, and a length that only grows
        # by what was written needs no sign of where the log ends.
        os.fdatasync(self._log)
        if self._fresh:
            self._folder.sync()
            self._fresh = False
        self._size += len(data)
        self._write_mark()

    def _write_mark(self) -> None:
        tape = self._tape
        data = journal.encode_mark(Mark(tape.segment, self._size, tape.next - 1, tape.crc), tape.identity)
        if os.pwrite(self._mark, data, 0) != len(data):
            raise OSError("the mark was written in part only")

    def remove_obsolete(self) -> None:
        """Once a snapshot stands in the place of entries, what it replaced goes."""
        if self._copied:
            self._copied = False
            remove_obsolete_files(self._folder, self._tape)

    def _copy(self, snapshot: Snapshot) -> SnapshotFile:
        self._number += 1
        data, named = journal.encode_snapshot(SnapshotContent(self._tape.identity, self._number, snapshot))
        self._folder.put(snapshot_name(self._number), data)
        self._copied = True
        return named

    def _opened(self, how: int) -> int:
        path = self._folder.path / segment_name(self._tape.segment)
        return os.open(path, os.O_WRONLY | os.O_CLOEXEC | how, 0o600)

    def failed(self, error: Exception) -> StorageFailed:
        where = str(self._folder.path / segment_name(self._tape.segment))
        match error:
            case OSError():
                return StorageFailed(error.strerror or str(error), error.filename or where)
            case InvalidRecord():
                return StorageFailed(f"asked to keep what can't follow: {error}", where)
        return StorageFailed(f"unforeseen: {error!r}", where)

    def close(self) -> None:
        for descriptor in (self._log, self._mark):
            with suppress(OSError):
                os.close(descriptor)
