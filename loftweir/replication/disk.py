"""The stable storage of one voter: a folder, and a thread that writes and syncs.

The event loop hands over batches (`Disk.persist`). The thread writes all waiting batches with one write and one sync,
and reports through a descriptor that the loop polls (`Disk.fileno`, `Disk.take_reports`). `folder` has the files and
`journal` their format; `reading` recovers them at a start.

Invariants:

1. `BatchSynced` is reported only after the sync of everything in the batch, and after the mark includes it.
2. A failure is final: one `StorageBroken` is reported, and nothing is written, synced or reported after it. A failed
   sync is never retried: the retry may succeed although the pages were lost (Rebello and others, 2020).
3. Only the thread uses the files and the log state, and only the loop uses the rest; two queues connect them.

Disk space: the segments since the one with the first entry after the snapshot, each of `SEGMENT_BYTES` plus at most one
group of batches (`GROUP_BYTES` and the last batch); one snapshot, and a second one while it is written; and the files
that were set aside.
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
from loftweir.replication.journal import Mark, SnapshotContent, SnapshotFile, Unfit
from loftweir.replication.reading import RecoveredFolder, read_folder, remove_obsolete_files

SEGMENT_BYTES = 4 * 1024 * 1024  # after which the next segment begins
GROUP_BYTES = 1024 * 1024  # after which a group of batches is written


def open_disk(path: Path, cluster: str, segment_bytes: int = SEGMENT_BYTES) -> tuple[Disk, PersistentState, OpenReport]:
    """The disk of the member in this folder, its recovered content, and what to log about it. Damaged files are set
    aside, and a new disk is initialized with a new id (`OpenReport.damage`). The folder is created if it does not
    exist; its parent must exist. Raises `FolderInUse`, and `StorageFailed` if reading or writing failed, in which case
    nothing is lost.
    """
    damage, old_id, set_aside_path = None, "", None
    with as_storage_failed(path, "the folder can't be used"):
        folder = Folder(path)
    try:
        with as_storage_failed(path, "the folder can't be read or initialized"):
            initialized = folder.is_uninitialized()
            if not initialized:
                try:
                    recovered = read_folder(folder, cluster)
                except StorageDamaged as error:
                    damage, old_id, set_aside_path, initialized = error, folder.last_id(), folder.set_aside(), True
            if initialized:
                folder.initialize(cluster)
                recovered = read_folder(folder, cluster)
            disk = Disk(folder, recovered, segment_bytes)
    except BaseException:
        folder.close()
        raise
    return disk, recovered.state, OpenReport(disk.member, initialized, recovered.torn, damage, old_id, set_aside_path)


class Disk:
    """One voter's storage; called from the loop's thread only."""

    def __init__(self, folder: Folder, recovered: RecoveredFolder, segment_bytes: int) -> None:
        self.member = recovered.log_state.identity.member
        self.state_may_be_lost = folder.has_set_aside()
        self.failure: StorageFailed | None = None  # set before its `StorageBroken` is reported
        self._folder = folder
        self._writer = _Writer(folder, recovered, segment_bytes)
        self._closing = False
        self._batches: SimpleQueue[PersistBatch | None] = SimpleQueue()
        self._reports: deque[BatchSynced | StorageBroken] = deque()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._thread = threading.Thread(target=self._run, name="replication-disk", daemon=True)
        self._thread.start()

    def fileno(self) -> int:
        """A descriptor that is readable when `take_reports` returns something."""
        return self._wake

    def persist(self, batch: PersistBatch) -> None:
        """Hands over a batch, in order. After a failure nothing is reported for it."""
        if self.failure is None:
            self._batches.put(batch)

    def take_reports(self) -> list[BatchSynced | StorageBroken]:
        """The reports since the last call: which batches are stable, or that the storage broke."""
        with suppress(BlockingIOError):
            os.eventfd_read(self._wake)
        reports = []
        with suppress(IndexError):
            while True:
                reports.append(self._reports.popleft())
        return reports

    def close(self, within: float = 5.0) -> list[BatchSynced | StorageBroken]:
        """Writes the pending batches, returns the remaining reports, and releases the folder. The thread does this;
        `within` is how many seconds to wait for it. If the disk never answers, its files and the lock remain until the
        process ends.
        """
        self._batches.put(None)
        self._thread.join(within)
        reports = self.take_reports()
        if not self._thread.is_alive():
            os.close(self._wake)
        return reports

    # ---- the thread ----

    def _run(self) -> None:
        # Signals are handled by the loop, which blocks those that arrive in bursts; this thread would still receive
        # them.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        writer = self._writer
        try:
            while not self._closing:
                number = None
                for batch in self._waiting():
                    writer.add(batch)
                    number = batch.batch
                if number is not None:
                    writer.sync()
                    self._report(BatchSynced(number))
                    writer.remove_obsolete()
        except Exception as error:  # whatever it was, nothing more may be acknowledged
            self.failure = writer.failed(error)
            self._report(StorageBroken(str(self.failure)))
            while self._batches.get() is not None:  # the folder stays locked until the owner has handled the failure
                pass
        finally:
            writer.close()
            self._folder.close()

    def _waiting(self) -> Iterator[PersistBatch]:
        """The batches of one group: all that are waiting, and at least one unless the disk is being closed."""
        batch = self._batches.get()
        while batch is not None:
            yield batch
            if self._writer.buffered >= GROUP_BYTES:
                return
            try:
                batch = self._batches.get_nowait()
            except Empty:
                return
        self._closing = True

    def _report(self, report: BatchSynced | StorageBroken) -> None:
        self._reports.append(report)
        os.eventfd_write(self._wake, 1)


class _Writer:
    """The files, as used by the thread."""

    def __init__(self, folder: Folder, recovered: RecoveredFolder, segment_bytes: int) -> None:
        self._folder, self._log_state, self._size, self._segment_bytes = (
            folder,
            recovered.log_state,
            recovered.size,
            segment_bytes,
        )
        self._buffer = bytearray()  # for the next write
        self._new_segment = False  # the segment has no synced directory entry yet
        self._snapshot_written = False  # a snapshot was written since the last clean-up
        self._snapshot_number = self._log_state.snapshot_file.number if self._log_state.snapshot_file else 0
        self._log = self._open_segment(os.O_APPEND)
        self._mark = os.open(folder.path / MARK, os.O_WRONLY | os.O_CLOEXEC)
        self._write_mark()

    @property
    def buffered(self) -> int:
        """Bytes of the current group."""
        return len(self._buffer)

    def add(self, batch: PersistBatch) -> None:
        """Adds a batch to the group. A snapshot is written at once, as the log may only name one that is stable."""
        if not self._buffer and self._size >= self._segment_bytes:
            self._buffer += self._log_state.begin_segment()
            previous, self._log = self._log, self._open_segment(os.O_CREAT | os.O_EXCL)
            os.close(previous)
            self._size, self._new_segment = 0, True
        snapshot_file = self._write_snapshot(batch.snapshot) if batch.snapshot else None
        for record in self._log_state.records_of(batch, snapshot_file):
            self._buffer += self._log_state.write(record)

    def sync(self) -> None:
        """Writes the group; it is stable when this returns."""
        if not self._buffer:
            return
        data, self._buffer = self._buffer, bytearray()
        write_whole(self._log, memoryview(data))
        # `fdatasync` is sufficient: it also writes the file's length, without which the appended data could not be read
        # (POSIX). The files are not preallocated: that was no faster in measurements, and a length that only grows by
        # written data makes a marker for the end of the log unnecessary.
        os.fdatasync(self._log)
        if self._new_segment:
            self._folder.sync()
            self._new_segment = False
        self._size += len(data)
        self._write_mark()

    def _write_mark(self) -> None:
        log_state = self._log_state
        data = journal.encode_mark(
            Mark(log_state.segment, self._size, log_state.next_index - 1, log_state.crc), log_state.identity
        )
        if os.pwrite(self._mark, data, 0) != len(data):
            raise OSError("the mark was written only in part")

    def remove_obsolete(self) -> None:
        """Removes the files that a new snapshot has replaced."""
        if self._snapshot_written:
            self._snapshot_written = False
            remove_obsolete_files(self._folder, self._log_state)

    def _write_snapshot(self, snapshot: Snapshot) -> SnapshotFile:
        self._snapshot_number += 1
        data, snapshot_file = journal.encode_snapshot(
            SnapshotContent(self._log_state.identity, self._snapshot_number, snapshot)
        )
        self._folder.write_file(snapshot_name(self._snapshot_number), data)
        self._snapshot_written = True
        return snapshot_file

    def _open_segment(self, how: int) -> int:
        path = self._folder.path / segment_name(self._log_state.segment)
        return os.open(path, os.O_WRONLY | os.O_CLOEXEC | how, 0o600)

    def failed(self, error: Exception) -> StorageFailed:
        where = str(self._folder.path / segment_name(self._log_state.segment))
        match error:
            case OSError():
                return StorageFailed(error.strerror or str(error), error.filename or where)
            case Unfit():
                return StorageFailed(f"a batch that can't follow: {error}", where)
        return StorageFailed(f"unexpected: {error!r}", where)

    def close(self) -> None:
        for descriptor in (self._log, self._mark):
            with suppress(OSError):
                os.close(descriptor)
