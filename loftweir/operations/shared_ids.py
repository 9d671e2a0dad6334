"""Ids of sent requests in files that the processes of one sidecar share, so that an upgrade runs no request twice.

Each process writes a file of its own, a table of hashes and times, and reads those of the others. A process writes an
id before it looks for it elsewhere: of two that do so at the same time, at least one finds the other's entry. The times
are of the kernel's monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

import mmap
import os
import struct
import time
from binascii import crc32
from contextlib import suppress
from pathlib import Path

from loftweir.core.sent_ids import KEPT_FOR

MS = 1_000_000  # nanoseconds

PREFIX = "loftweir-ids."  # of the files' names, which end with the process's id
ENTRY = struct.Struct("=QQ")  # an id's hash, and when it was claimed, in ns
BUCKETS = 1024
BUCKET_ENTRIES = 4  # an id is in any entry of its bucket; a further one replaces the oldest
FOLDER_SETTLES = 100 * MS
BUCKET_SIZE = BUCKET_ENTRIES * ENTRY.size  # bytes
FILE_SIZE = BUCKETS * BUCKET_SIZE  # bytes


def _hash(request_id: str) -> int:
    """Return 64 bits of an id; hashlib would take 3 MB of memory."""
    data = request_id.encode()
    return crc32(data) << 32 | crc32(data[::-1])


def _is_recent(at: int, now: int) -> bool:
    """Whether an entry was written within `KEPT_FOR`; one of before the machine's start may be later than now."""
    return now - KEPT_FOR <= at <= now


class IdTable:
    """One file, mapped into memory."""

    def __init__(self, path: Path, writable: bool) -> None:
        """Raises OSError or ValueError if the file can't be used."""
        flags = os.O_RDWR | os.O_CREAT if writable else os.O_RDONLY
        descriptor = os.open(path, flags | os.O_CLOEXEC, 0o600)
        try:
            if writable:
                os.posix_fallocate(descriptor, 0, FILE_SIZE)  # else a full volume ends the process at a write
            access = mmap.ACCESS_WRITE if writable else mmap.ACCESS_READ
            self.memory = mmap.mmap(descriptor, FILE_SIZE, access=access)
        finally:
            os.close(descriptor)

    def _entries(self, number: int) -> list[tuple[int, int, int]]:
        """Return the entries of a hash's bucket: time, offset and hash."""
        start = number % BUCKETS * BUCKET_SIZE
        offsets = range(start, start + BUCKET_SIZE, ENTRY.size)
        read = [(ENTRY.unpack_from(self.memory, offset), offset) for offset in offsets]
        return [(at, offset, entry) for (entry, at), offset in read]

    def has(self, number: int, now: int) -> bool:
        """Whether a hash was written within `KEPT_FOR`."""
        return any(entry == number and _is_recent(at, now) for at, _, entry in self._entries(number))

    def is_recent(self, now: int) -> bool:
        """Whether any hash was written within `KEPT_FOR`."""
        return any(_is_recent(at, now) for _, at in ENTRY.iter_unpack(self.memory))

    def write(self, number: int, now: int) -> None:
        """Write a hash."""
        _, offset, _ = min(self._entries(number))
        ENTRY.pack_into(self.memory, offset, number, now)

    def erase(self, number: int) -> None:
        """Remove a hash."""
        for _, offset, entry in self._entries(number):
            if entry == number:
                ENTRY.pack_into(self.memory, offset, 0, 0)


class SharedIds:
    """This process's table, and those of the other processes in the folder."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError if the folder can't be used."""
        self.folder = folder
        self.name = f"{PREFIX}{os.getpid()}"
        with suppress(OSError):  # of an ended process with the same id
            (folder / self.name).unlink()
        self.own = IdTable(folder / self.name, writable=True)
        self.others: dict[str, IdTable] = {}
        self.folder_time = 0  # when the folder had changed as it was last read
        self._remove_old()

    def claim(self, request_id: str) -> bool:
        """Show an id to the other processes; return whether none of them has shown it within `KEPT_FOR`."""
        number, now = _hash(request_id), time.monotonic_ns()
        self.own.write(number, now)
        self._find_others()
        if any(table.has(number, now) for table in self.others.values()):
            self.own.erase(number)
            return False
        return True

    def discard(self, request_id: str) -> None:
        """Withdraw an id that was claimed."""
        self.own.erase(_hash(request_id))

    def _find_others(self) -> None:
        """Map the tables of processes that have started, and drop those whose files are gone."""
        try:
            changed_at = os.stat(self.folder).st_mtime_ns
            if changed_at == self.folder_time:
                return
            names = [name for name in os.listdir(self.folder) if name.startswith(PREFIX) and name != self.name]
        except OSError:  # the folder is gone: what is mapped stays readable
            return
        # The kernel's time of a change is coarse: another file may be created under the same one.
        settled = abs(time.time_ns() - changed_at) > FOLDER_SETTLES
        self.folder_time = changed_at if settled else 0
        self.others = {name: table for name, table in self.others.items() if name in names}
        for name in set(names) - self.others.keys():
            with suppress(OSError, ValueError):  # it has just been created, or removed
                self.others[name] = IdTable(self.folder / name, writable=False)
        if len(self.others) < len(names):
            self.folder_time = 0  # look again

    def _remove_old(self) -> None:
        """Remove the files of processes that have ended and sent nothing lately."""
        self._find_others()
        now = time.monotonic_ns()
        for name, table in self.others.items():
            if not Path("/proc", name[len(PREFIX) :]).exists() and not table.is_recent(now):
                with suppress(OSError):
                    (self.folder / name).unlink()
