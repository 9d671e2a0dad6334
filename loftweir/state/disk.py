"""The snapshot's file: written whole beside its place, synced, renamed and the folder synced; read back, and set
aside under another name where it can't be trusted, so that the next start does not meet it again."""

from __future__ import annotations

import os
from pathlib import Path

from loftweir.state.sealed import Damaged
from loftweir.state.snapshot import Snapshot, decode, encode

NAME = "loftweir-snapshot"
LARGEST = 16 * 1024 * 1024


class Disk:
    def __init__(self, folder: Path) -> None:
        self.path = folder / NAME

    def save(self, snapshot: Snapshot) -> None:
        """OSError: it was not kept, and the file holds the one before."""
        beside = self.path.with_name(f"{NAME}.{os.getpid()}")
        descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            data = memoryview(encode(snapshot))
            while data:
                data = data[os.write(descriptor, data) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(beside, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def load(self) -> Snapshot | None:
        """The snapshot, or None where there is none. `Damaged`: it was set aside as `.damaged`, with its place."""
        try:
            with open(self.path, "rb") as opened:
                data = opened.read(LARGEST + 1)
        except FileNotFoundError:
            return None
        try:
            if len(data) > LARGEST:
                raise Damaged("larger than a snapshot may be", LARGEST)
            return decode(data)
        except Damaged:
            os.replace(self.path, self.path.with_name(f"{NAME}.damaged"))
            raise
