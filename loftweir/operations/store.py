"""The record in a file that two processes of one sidecar share, and whether another of them serves.

The folder is the sidecar's own. The record is written whole beside its place and renamed, under a lock; who finds less
in it than it knows writes it again. A second file is only for its locks: each process that serves holds a byte of it.
"""

from __future__ import annotations

import fcntl
import os
import struct
from contextlib import suppress
from pathlib import Path

from loftweir.operations.record import OverrideRecord, decode, encode
from loftweir.state.sealed import Damaged

NAME, LOCK, SERVING = "loftweir-operators", "loftweir-operators.lock", "loftweir-serving.lock"
LARGEST = 1024 * 1024
FLOCK = "hhqqi"  # struct flock: type, whence, start, length, process


class Store:
    def __init__(self, folder: Path) -> None:
        """Raises OSError where the folder can't be used."""
        self.path = folder / NAME
        self.lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.serving = os.open(folder / SERVING, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.seen: tuple[int, int, int] | None = None  # the file that was read or written last

    def has_changed(self) -> bool:
        """Whether the file is another than the one seen last."""
        return self._stamp() != self.seen

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size

    def load(self) -> OverrideRecord:
        """What is in the file; `Damaged` where that can't be trusted. No file: nothing was ever said."""
        self.seen = self._stamp()
        try:
            with open(self.path, "rb") as opened:
                data = opened.read(LARGEST + 1)
        except FileNotFoundError:
            return OverrideRecord()
        except OSError as error:
            raise Damaged(error.strerror or str(error)) from None
        return decode(data)

    def save(self, record: OverrideRecord) -> OverrideRecord:
        """Merges a record into the file, and gives what is in it then. OSError: it is not kept, also where another
        process holds the lock (BlockingIOError: to be tried again)."""
        fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        try:
            with suppress(Damaged):  # what was in it is lost, not what this process knows
                record = record.merged(self.load())
            beside = self.path.with_suffix(f".{os.getpid()}")
            try:
                beside.write_bytes(encode(record))
                os.rename(beside, self.path)
            except OSError:
                beside.unlink(missing_ok=True)
                raise
            self.seen = self._stamp()
        finally:
            fcntl.flock(self.lock, fcntl.LOCK_UN)
        return record

    # ---- who else is there ----------------------------------------------------------------------

    def announce_serving(self) -> None:
        """Tells other processes that this one serves, until it ends, whatever its end."""
        fcntl.lockf(self.serving, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, os.getpid())

    def is_alone(self) -> bool:
        """Whether no other process serves: each has a byte of its own locked, and asking takes no lock."""
        asked = struct.pack(FLOCK, fcntl.F_WRLCK, os.SEEK_SET, 0, 0, 0)
        kind, *_ = struct.unpack(FLOCK, fcntl.fcntl(self.serving, fcntl.F_GETLK, asked))
        return bool(kind == fcntl.F_UNLCK)
