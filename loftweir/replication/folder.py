"""The folder of one voter: locked by one process, read completely at a start, and set aside if damaged.

    identity         the member's id; created last when a disk is initialized
    mark             up to where everything is stable: written after each sync, not synced itself
    segment-N        the log; only the last one is written to
    snapshot-N       the one that the log names; two while a new one is written
    damaged-N        what was set aside; the last three are kept

A log that is shorter than its mark, or differs from it there, has lost acknowledged data. The mark survives the
process, but may be outdated after a loss of power (by what the kernel had not written back yet, about half a minute).
The log may then be longer than the mark says, and everything in it that is complete is used.

Two kinds of damage can't be detected: a record that was changed on disk after an outdated mark looks like a torn write;
and a folder that was restored from an older copy looks valid, so this must never be done.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import shutil
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import NamedTuple

from loftweir.errors import LoftweirError
from loftweir.replication import journal
from loftweir.replication.journal import Identity, LogState, Mark
from loftweir.state.sealed import Damaged

# File names, and the beginnings of the numbered ones.
IDENTITY = "identity"
MARK = "mark"
SEGMENT = "segment-"
SNAPSHOT = "snapshot-"
DAMAGED = "damaged-"

NEW_SUFFIX = ".new"  # of a file that is being written

MAX_DAMAGED_FOLDERS = 3

# The files that an interrupted initialization may leave.
INITIAL_FILES = {IDENTITY + NEW_SUFFIX, MARK, MARK + NEW_SUFFIX, f"{SEGMENT}{1:010d}", f"{SEGMENT}{1:010d}{NEW_SUFFIX}"}


class StorageFailed(LoftweirError):
    """A read, write or sync of a voter's files failed. The voter has stopped and acknowledges nothing more."""

    remedy = (
        "Free space on the volume or replace the disk, then restart the member: what it acknowledged is read back. If "
        "the disk may be faulty, start it with an empty folder: it joins as a new member."
    )


class StorageDamaged(LoftweirError):
    """A voter's files are not what it wrote: changed, truncated, lost, or of another member, cluster or version."""

    remedy = (
        "The files were set aside in the folder, and the member started anew under another id. Check that it has "
        "joined, and remove the old id if not. Check the disk, or who changed the file."
    )

    def __init__(self, what: str, file: Path, at: int) -> None:
        super().__init__(f"{what}, at byte {at}", str(file))
        self.file, self.at = file, at


class FolderInUse(LoftweirError):
    """Another process uses this folder."""

    remedy = "Give each member a folder of its own, or stop the other process first."


class OpenReport(NamedTuple):
    """What a start found, for the log."""

    member: str
    begun: bool  # a new disk was initialized, with a new id
    torn: int = 0  # bytes of an unfinished write that were cut off; normal after a crash
    damage: StorageDamaged | None = None
    before: str = ""  # the id in the damaged files; empty: there were none, or it can't be read
    aside: Path | None = None


def segment_name(number: int) -> str:
    """The file name of a log segment."""
    return f"{SEGMENT}{number:010d}"


def snapshot_name(number: int) -> str:
    """The file name of a snapshot."""
    return f"{SNAPSHOT}{number:010d}"


@contextmanager
def as_storage_failed(where: Path, what: str) -> Iterator[None]:
    """Turns OSError into `StorageFailed`."""
    try:
        yield
    except OSError as error:
        raise StorageFailed(f"{what}: {error.strerror or error}", error.filename or str(where)) from error


def write_whole(descriptor: int, data: bytes | memoryview) -> None:
    """Writes all of the data, in several calls if needed."""
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


class Folder:
    """The files of one voter. Raises `FolderInUse` if another process uses it; the lock ends with the process, however
    that ends.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        with suppress(FileExistsError):
            os.mkdir(path, 0o700)
            self._sync_path(path.parent)  # otherwise a loss of power may remove the whole folder
        self.descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise FolderInUse("another process uses it", str(path)) from None

    def close(self) -> None:
        """Releases the lock on the folder."""
        os.close(self.descriptor)

    def sync(self) -> None:
        """Syncs the directory, which makes created, renamed and removed files stable."""
        os.fsync(self.descriptor)

    @staticmethod
    def _sync_path(path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def write_file(self, name: str, data: bytes) -> None:
        """Writes a file, which afterwards is complete and stable, or does not exist."""
        self.write_new(name, data)
        self.commit_new(name)

    def write_new(self, name: str, data: bytes) -> None:
        """Writes a file under a temporary name, synced."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(self.path / (name + NEW_SUFFIX), flags, 0o600)
        try:
            write_whole(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def commit_new(self, name: str) -> None:
        """Moves a file of `write_new` into its place, synced."""
        os.rename(self.path / (name + NEW_SUFFIX), self.path / name)
        self.sync()

    def remove(self, name: str) -> None:
        """Each removal is synced, so that a later file is never gone while an earlier one still exists."""
        os.unlink(self.path / name)
        self.sync()

    def member_files(self) -> list[str]:
        """The names of all files here that belong to a voter."""
        named, numbered = (IDENTITY, MARK), (SEGMENT, SNAPSHOT)
        return [
            name
            for name in os.listdir(self.path)
            if name.removesuffix(NEW_SUFFIX) in named or name.startswith(numbered)
        ]

    def numbers(self, kind: str) -> list[int]:
        """The numbers of the segments or snapshots, in order."""
        ends = (name.removeprefix(kind) for name in self.member_files() if name.startswith(kind))
        return sorted(int(end) for end in ends if end.isdecimal())

    # ---- initialization and setting aside ----

    def initialize(self, cluster: str) -> Identity:
        """Creates a new disk. The identity is written last: until then nobody has received the id, and after a crash
        there is nothing to preserve (`is_uninitialized`).
        """
        identity = Identity(cluster, secrets.token_hex(16))
        log_state = LogState(identity)
        self.write_new(IDENTITY, journal.encode_identity(identity))
        first = log_state.begin_segment()
        self.write_file(segment_name(log_state.segment), first)
        self.write_file(MARK, journal.encode_mark(Mark(log_state.segment, len(first), 0, log_state.crc), identity))
        self.commit_new(IDENTITY)
        return identity

    def is_uninitialized(self) -> bool:
        """Whether there is nothing to read: no file of a voter, or only those of an initialization that a crash
        interrupted.
        """
        names = set(self.member_files())
        return not names or (IDENTITY + NEW_SUFFIX in names and names <= INITIAL_FILES)

    def has_set_aside(self) -> bool:
        """Whether files were set aside here by any process; these may have contained acknowledged writes."""
        return any(name.startswith(DAMAGED) for name in os.listdir(self.path))

    def set_aside(self) -> Path:
        """Moves all files into a new subfolder. If a crash interrupts this, the next start sets the rest aside, as it
        notices that files are missing.
        """
        ends = (name.removeprefix(DAMAGED) for name in os.listdir(self.path) if name.startswith(DAMAGED))
        old = sorted(int(end) for end in ends if end.isdecimal())
        aside = self.path / f"{DAMAGED}{old[-1] + 1 if old else 1}"
        os.mkdir(aside, 0o700)
        for name in os.listdir(self.path):
            if not (self.path / name).is_dir():
                os.rename(self.path / name, aside / name)
        self._sync_path(aside)
        self.sync()
        for number in old[: -(MAX_DAMAGED_FOLDERS - 1)]:
            shutil.rmtree(self.path / f"{DAMAGED}{number}", ignore_errors=True)
        return aside

    def bytes_of(self, name: str) -> bytes:
        """The content of a file in the folder."""
        return (self.path / name).read_bytes()

    def last_id(self) -> str:
        """The id in files that are damaged, for the log; empty: it can't be read."""
        with suppress(Damaged, OSError):
            return journal.decode_identity(self.bytes_of(IDENTITY)).member
        for number in self.numbers(SEGMENT):
            with suppress(Damaged, OSError):
                for _, head, _, _ in journal.scan_records(self.bytes_of(segment_name(number))):
                    return head.identity.member if isinstance(head, journal.SegmentHeader) else ""
        return ""
