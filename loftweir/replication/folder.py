"""The folder of one voter: held by one process, read whole at a start, set aside where it can't be trusted.

    identity         whose it is; the last file that is made when a disk is begun
    mark             how far all is stable: written after each sync, not synced itself
    segment-N        the log, of which only the last is written to
    snapshot-N       the one that the log names; two while a new one is made
    damaged-N        what was set aside, the last three

A log that is shorter than its mark, or another there, has lost what was promised. The mark outlives the process but
may fall behind when the machine loses its power (to the last that the kernel wrote of its own, half a minute or so):
the log may then go further than it, and all of it that is whole is taken.

What can't be told: a record changed on the disk in the stretch behind a mark that fell behind, from a torn write; and a
whole folder put back from an older copy, which must never be done.
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

IDENTITY, MARK, NEW_SUFFIX = "identity", "mark", ".new"
SEGMENT, SNAPSHOT, DAMAGED = "segment-", "snapshot-", "damaged-"
MAX_DAMAGED_FOLDERS = 3
INITIAL_FILES = {IDENTITY + NEW_SUFFIX, MARK, MARK + NEW_SUFFIX, f"{SEGMENT}{1:010d}", f"{SEGMENT}{1:010d}{NEW_SUFFIX}"}


class StorageFailed(LoftweirError):
    """A read, write or sync of a voter's files failed; the voter ends its part and promises nothing more."""

    remedy = (
        "Make room on the volume, or replace the disk, then start the member again; what it promised is read back. "
        "When in doubt about the disk, start it with an empty folder: it joins as a new member."
    )


class StorageDamaged(LoftweirError):
    """A voter's files are not what it wrote: changed, cut short, lost, or of another member, cluster or version."""

    remedy = (
        "The files were set aside in the folder, and the member began anew under another id: look whether it was taken "
        "in, and remove the old id if not. Check the disk, or who put the file there."
    )

    def __init__(self, what: str, file: Path, at: int) -> None:
        super().__init__(f"{what}, at byte {at}", str(file))
        self.file, self.at = file, at


class FolderInUse(LoftweirError):
    """Another process holds this folder."""

    remedy = "Give each member a folder of its own, or end the other process first."


class OpenReport(NamedTuple):
    """What a start met, for the log."""

    member: str
    begun: bool  # anew, with a new id
    torn: int = 0  # bytes of a write that never finished, cut off: normal after a crash
    damage: StorageDamaged | None = None
    before: str = ""  # the id that the damaged files had; empty: there were none, or it can't be read
    aside: Path | None = None


def segment_name(number: int) -> str:
    return f"{SEGMENT}{number:010d}"


def snapshot_name(number: int) -> str:
    return f"{SNAPSHOT}{number:010d}"


@contextmanager
def as_storage_failed(where: Path, what: str) -> Iterator[None]:
    """OSError as `StorageFailed`."""
    try:
        yield
    except OSError as error:
        raise StorageFailed(f"{what}: {error.strerror or error}", error.filename or str(where)) from error


def write_whole(descriptor: int, data: bytes | memoryview) -> None:
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


class Folder:
    """`FolderInUse` where another process holds it. The lock goes with the process, however that ends."""

    def __init__(self, path: Path) -> None:
        self.path = path
        with suppress(FileExistsError):
            os.mkdir(path, 0o700)
            self._sync_path(path.parent)  # else a loss of power may take the whole folder
        self.descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise FolderInUse("another process holds it", str(path)) from None

    def close(self) -> None:
        os.close(self.descriptor)

    def sync(self) -> None:
        os.fsync(self.descriptor)

    @staticmethod
    def _sync_path(path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def put(self, name: str, data: bytes) -> None:
        """A file whole and stable in its place, or not there."""
        self.put_beside(name, data)
        self.settle(name)

    def put_beside(self, name: str, data: bytes) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(self.path / (name + NEW_SUFFIX), flags, 0o600)
        try:
            write_whole(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def settle(self, name: str) -> None:
        os.rename(self.path / (name + NEW_SUFFIX), self.path / name)
        self.sync()

    def remove(self, name: str) -> None:
        """Synced each: so no later file is ever gone while an earlier one is still there."""
        os.unlink(self.path / name)
        self.sync()

    def own(self) -> list[str]:
        """The names of all the files here that are of a voter."""
        named, numbered = (IDENTITY, MARK), (SEGMENT, SNAPSHOT)
        return [n for n in os.listdir(self.path) if n.removesuffix(NEW_SUFFIX) in named or n.startswith(numbered)]

    def numbers(self, kind: str) -> list[int]:
        """Of the segments or snapshots, in order."""
        ends = (name.removeprefix(kind) for name in self.own() if name.startswith(kind))
        return sorted(int(end) for end in ends if end.isdecimal())

    # ---- beginning and setting aside ----

    def begin(self, cluster: str) -> Identity:
        """A new disk. The identity comes last: until then nobody has heard the id, and a crash leaves nothing to keep
        (`begins`)."""
        identity = Identity(cluster, secrets.token_hex(16))
        tape = LogState(identity)
        self.put_beside(IDENTITY, journal.encode_identity(identity))
        first = tape.begin()
        self.put(segment_name(tape.segment), first)
        self.put(MARK, journal.encode_mark(Mark(tape.segment, len(first), 0, tape.crc), identity))
        self.settle(IDENTITY)
        return identity

    def begins(self) -> bool:
        """Whether there is nothing to read: no file of a voter, or only those of a beginning that a crash ended."""
        names = set(self.own())
        return not names or (IDENTITY + NEW_SUFFIX in names and names <= INITIAL_FILES)

    def lost(self) -> bool:
        """Whether files were set aside here, by any process: something may have been promised by them."""
        return any(name.startswith(DAMAGED) for name in os.listdir(self.path))

    def set_aside(self) -> Path:
        """All files into a folder beside them. Where a crash ends that midway, the rest is set aside at the next start,
        for each of the files is missed when it is gone."""
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
        return (self.path / name).read_bytes()

    def last_id(self) -> str:
        """The id in files that can't be trusted, for the log; empty: it can't be read."""
        with suppress(Damaged, OSError):
            return journal.decode_identity(self.bytes_of(IDENTITY)).member
        for number in self.numbers(SEGMENT):
            with suppress(Damaged, OSError):
                for _, head, _, _ in journal.scan_records(self.bytes_of(segment_name(number))):
                    return head.identity.member if isinstance(head, journal.SegmentHeader) else ""
        return ""
