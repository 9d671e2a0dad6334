"""The file of the snapshot.

It is written as a whole to a temporary file, synced and renamed over the old one, and the folder is synced. A file that
can't be trusted is renamed to `.damaged` when it is read, so that the next start does not meet it again.
"""

from __future__ import annotations

import os
from pathlib import Path

from loftweir.state.sealed import Damaged
from loftweir.state.snapshot import Snapshot, decode, encode

NAME = "loftweir-snapshot"
MAX_FILE_BYTES = 16 * 1024 * 1024


class Disk:
    """Reads and writes the snapshot's file in one folder."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / NAME

    def save(self, snapshot: Snapshot) -> None:
        """Replaces the file. After an OSError the file still holds the previous snapshot."""
        temporary = self.path.with_name(f"{NAME}.{os.getpid()}")
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            data = memoryview(encode(snapshot))
            while data:
                data = data[os.write(descriptor, data) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def load(self) -> Snapshot | None:
        """Returns the snapshot, or None if there is no file.

        Raises `Damaged`, with the byte of the fault, after renaming a file that can't be trusted to `.damaged`.
        """
        try:
            with open(self.path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return None
        try:
            if len(data) > MAX_FILE_BYTES:
                raise Damaged("larger than a snapshot may be", MAX_FILE_BYTES)
            return decode(data)
        except Damaged:
            os.replace(self.path, self.path.with_name(f"{NAME}.damaged"))
            raise
