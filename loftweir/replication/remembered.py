"""The words to the fleet as this sidecar last knew them, in a file of `$TMPDIR`: a start holds by them until it hears
more, so that one that is cut off, or a voter without a majority, does not send to who was taken out.

On disk it has the form of `state.sealed`, with JSON as its body. It is no promise, and so not synced.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

import msgspec

from loftweir.state.sealed import Damaged, seal, unseal

FILE_NAME, FILE_MAGIC, VERSION = "loftweir-fleet", b"loftweir-fleet", 1
MAX_FILE_SIZE = 4 * 1024 * 1024


class OverrideCache(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    cluster: str
    index: int
    known_at: int  # Unix time, ns: it was the latest then
    members: list[str]  # ids of the voters; where all are others, it counts for nothing
    words: dict[str, tuple[int, bool]]  # by provider: when it was said, and whether it is out


def save(folder: Path, what: OverrideCache) -> None:
    """Raises OSError; the file holds the one before then."""
    beside = folder / f"{FILE_NAME}.{os.getpid()}"
    try:
        beside.write_bytes(seal(FILE_MAGIC, VERSION, msgspec.json.encode(what)))
        os.replace(beside, folder / FILE_NAME)
    except OSError:
        with suppress(OSError):
            beside.unlink()
        raise


def load(folder: Path, cluster: str) -> OverrideCache | None:
    """None: nothing was kept, or of another cluster. Raises OSError and `Damaged`."""
    try:
        with open(folder / FILE_NAME, "rb") as file:
            data = file.read(MAX_FILE_SIZE + 1)
    except FileNotFoundError:
        return None
    try:
        found = msgspec.json.decode(unseal(FILE_MAGIC, VERSION, data), type=OverrideCache)
    except msgspec.MsgspecError as error:
        raise Damaged(f"not in its form: {error}") from None
    return found if found.cluster == cluster else None
