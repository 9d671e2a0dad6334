"""The form of every file that a sidecar keeps: a head line `<name> <version> <crc32 of the body>`, the body, a newline.
Pure. A file that is cut short, changed, or of another name or version is `Damaged`, with the byte where it was found
out; the last newline tells a file cut short from one changed in place."""

from __future__ import annotations

from zlib import crc32

from loftweir.errors import LoftweirError


class Damaged(LoftweirError, ValueError):
    """A file that the sidecar keeps can't be trusted, and nothing of it is taken over: why, and the byte where that
    was found."""

    remedy = (
        "Look at the disk of `$TMPDIR` if it comes again; the file is set aside or written anew by itself, and "
        "after `operator.record_damaged` say those bans again that `operator.record` does not name."
    )

    def __init__(self, why: str, at: int = 0) -> None:
        super().__init__(f"{why}, at byte {at}")
        self.why, self.at = why, at
        self.what, self.where = why, f"byte {at}"


def seal(name: bytes, version: int, body: bytes) -> bytes:
    return b"%s %d %08x\n%s\n" % (name, version, crc32(body), body)


def unseal(name: bytes, version: int, data: bytes) -> bytes:
    """The body of a file of this name and version; `Damaged` where it can't be trusted."""
    head, sign, rest = data.partition(b"\n")
    words = head.split(b" ")
    if not sign or len(words) != 3 or words[0] != name:
        raise Damaged(f"not a file of {name.decode()}")
    if words[1] != b"%d" % version:
        raise Damaged(f"of version {words[1].decode('ascii', 'replace')[:16]}, this one reads {version}", len(name) + 1)
    body = rest.removesuffix(b"\n")
    if words[2] != b"%08x" % crc32(body):
        if rest.endswith(b"\n"):
            raise Damaged("changed: its checksum is another", len(head) + 1)
        raise Damaged("cut short: its checksum is another and its end is missing", len(data))
    return body
