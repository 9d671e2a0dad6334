"""The file of the record, shared by the processes of one sidecar, and the lock that shows whether another one serves.

The folder belongs to the sidecar. The record is written as a whole to a temporary file and renamed, under a lock; a
process that finds less in the file than it knows writes it again. A second file is used only for locks: each serving
process locks one byte of it.
"""

from __future__ import annotations

import fcntl
import os
import struct
from contextlib import suppress
from pathlib import Path

from loftweir.operations.record import OverrideRecord, decode, encode
from loftweir.state.sealed import Damaged

NAME = "loftweir-operators"
LOCK = "loftweir-operators.lock"
SERVING = "loftweir-serving.lock"
MAX_FILE_BYTES = 1024 * 1024
FLOCK = "hhqqi"  # struct flock: type, whence, start, length, process


class Store:
    """Reads and writes the record's file, and holds this process's locks."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError if the folder can't be used."""
        self.path = folder / NAME
        self.lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.serving = os.open(folder / SERVING, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.last_stamp: tuple[int, int, int] | None = None  # inode, time and size of the file last read or written

    def has_changed(self) -> bool:
        """Whether the file differs from the one last read or written."""
        return self._stamp() != self.last_stamp

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns, status.st_size

    def load(self) -> OverrideRecord:
        """Returns the record in the file, an empty one if there is no file; raises `Damaged` if it can't be trusted."""
        self.last_stamp = self._stamp()
        try:
            with open(self.path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return OverrideRecord()
        except OSError as error:
            raise Damaged(error.strerror or str(error)) from None
        return decode(data)

    def save(self, record: OverrideRecord) -> OverrideRecord:
        """Merges a record into the file and returns the result.

        Raises OSError if it was not stored; BlockingIOError if another process holds the lock and the caller can retry.
        """
        fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        try:
            with suppress(Damaged):  # a damaged file is lost, but not what this process knows
                record = record.merged(self.load())
            temporary = self.path.with_suffix(f".{os.getpid()}")
            try:
                temporary.write_bytes(encode(record))
                os.rename(temporary, self.path)
            except OSError:
                temporary.unlink(missing_ok=True)
                raise
            self.last_stamp = self._stamp()
        finally:
            fcntl.flock(self.lock, fcntl.LOCK_UN)
        return record

    # ---- serving processes ----------------------------------------------------------------------

    def announce_serving(self) -> None:
        """Shows other processes that this one serves. The kernel drops the lock however the process ends."""
        fcntl.lockf(self.serving, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, os.getpid())

    def is_alone(self) -> bool:
        """Whether no other process serves. Each one has locked a byte of its own, and the query takes no lock."""
        query = struct.pack(FLOCK, fcntl.F_WRLCK, os.SEEK_SET, 0, 0, 0)
        kind, *_ = struct.unpack(FLOCK, fcntl.fcntl(self.serving, fcntl.F_GETLK, query))
        return bool(kind == fcntl.F_UNLCK)
