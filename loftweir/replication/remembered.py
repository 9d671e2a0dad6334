"""A cache of the overrides as last known to this sidecar, in a file of `$TMPDIR`. A new process starts with it, so that
a sidecar that is cut off, or a voter without a majority, sends no requests to disabled providers.

The file has the format of `state.sealed`, with JSON as its body. It is not synced, as nothing relies on it.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

import msgspec

from loftweir.state.sealed import Damaged, seal, unseal

FILE_NAME = "loftweir-fleet"
FILE_MAGIC = b"loftweir-fleet"
VERSION = 1
MAX_FILE_SIZE = 4 * 1024 * 1024  # bytes


class OverrideCache(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the file."""

    cluster: str
    index: int
    known_at: int  # Unix time in ns at which the overrides were current
    members: list[str]  # ids of the voters; if all of the current ones differ, the cache is ignored
    words: dict[str, tuple[int, bool]]  # by provider: when the command was given, and whether the provider is disabled


def save(folder: Path, cache: OverrideCache) -> None:
    """Replaces the file; after an OSError the previous one is unchanged."""
    temporary = folder / f"{FILE_NAME}.{os.getpid()}"
    try:
        temporary.write_bytes(seal(FILE_MAGIC, VERSION, msgspec.json.encode(cache)))
        os.replace(temporary, folder / FILE_NAME)
    except OSError:
        with suppress(OSError):
            temporary.unlink()
        raise


def load(folder: Path, cluster: str) -> OverrideCache | None:
    """None: there is no file, or it is of another cluster. Raises OSError and `Damaged`."""
    try:
        with open(folder / FILE_NAME, "rb") as file:
            data = file.read(MAX_FILE_SIZE + 1)
    except FileNotFoundError:
        return None
    try:
        cache = msgspec.json.decode(unseal(FILE_MAGIC, VERSION, data), type=OverrideCache)
    except msgspec.MsgspecError as error:
        raise Damaged(f"malformed: {error}") from None
    return cache if cache.cluster == cluster else None
