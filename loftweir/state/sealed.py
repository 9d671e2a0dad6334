"""The format of every file that a sidecar stores: a checksummed body behind a header line. No I/O.

The header line is `<name> <version> <crc32 of the body>`; the body follows, then a newline. A file that is cut short,
changed, or of another name or version raises `Damaged` with the byte at which that was detected. The last newline tells
a file cut short from one that was changed in place.
"""

from __future__ import annotations

from zlib import crc32

from loftweir.errors import LoftweirError


class Damaged(LoftweirError, ValueError):
    """A stored file can't be trusted and nothing of it is used; the text gives the reason and the byte at which it was
    detected."""

    remedy = (
        "If it happens again, check the disk of `$TMPDIR`. The file is set aside or rewritten without your help. After "
        "`operator.record_damaged`, repeat the disable commands for providers that `operator.record` does not list."
    )

    def __init__(self, why: str, at: int = 0) -> None:
        super().__init__(f"{why}, at byte {at}")
        self.why, self.at = why, at
        self.what, self.where = why, f"byte {at}"


def seal(name: bytes, version: int, body: bytes) -> bytes:
    """Returns the contents of a file with this body."""
    return b"%s %d %08x\n%s\n" % (name, version, crc32(body), body)


def unseal(name: bytes, version: int, data: bytes) -> bytes:
    """Returns the body of a file of this name and version; raises `Damaged` if the file can't be trusted."""
    header, newline, rest = data.partition(b"\n")
    fields = header.split(b" ")
    if not newline or len(fields) != 3 or fields[0] != name:
        raise Damaged(f"not a file of {name.decode()}")
    if fields[1] != b"%d" % version:
        found_version = fields[1].decode("ascii", "replace")[:16]
        raise Damaged(f"of version {found_version}, this one reads {version}", len(name) + 1)
    body = rest.removesuffix(b"\n")
    if fields[2] != b"%08x" % crc32(body):
        if rest.endswith(b"\n"):
            raise Damaged("changed: the checksum does not match", len(header) + 1)
        raise Damaged("cut short: the checksum does not match and the end is missing", len(data))
    return body
