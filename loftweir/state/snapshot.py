"""The snapshot of a sidecar's list: its form on disk, how it is found out when it can't be trusted, and which list a
start takes. Pure: no I/O, no clock; times come in as arguments.

The form is one head line, `loftweir-snapshot <version> <epoch> <crc32 of the body> <length of the body>`, then the
body in JSON. A file that is torn (short of its length), foreign (another head or version) or altered (another
checksum) is `Damaged`, with the byte where that was found.

Invariants: an epoch only grows from one snapshot of a sidecar to its next; a start never takes a snapshot older than
the list it was given, nor one older than `trust_for`; a provider that was leaving stays leaving.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from zlib import crc32

import msgspec

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind

HEAD = b"loftweir-snapshot"
VERSION = 1
LONGEST_HEAD = 128


class Damaged(ValueError):
    """A snapshot that can't be trusted. `at` is the byte where that was found."""

    def __init__(self, at: int, why: str) -> None:
        super().__init__(f"byte {at}: {why}")
        self.at, self.why = at, why


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    address: str  # where this sidecar connects to it
    zone: str
    kind: str
    cell: int
    lifecycle: str
    weight: float
    started_at: int


class Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    index: int  # discovery's version of the list
    taken_at: int  # wall time, in ns since the epoch of Unix
    entries: list[Entry]


@dataclass(slots=True)
class Snapshot:
    epoch: int
    body: Body

    def update(self) -> tuple[MembershipUpdate, dict[str, str]]:
        """The list as it was held, and where each provider on it listens."""
        endpoints = tuple(
            Endpoint(e.name, e.zone, e.kind, e.cell, Lifecycle(e.lifecycle), e.weight, e.started_at)
            for e in self.body.entries
        )
        addresses = {e.name: e.address for e in self.body.entries}
        return MembershipUpdate(UpdateKind.REMEMBERED, endpoints, self.body.index), addresses


def written(snapshot: Snapshot) -> bytes:
    body = msgspec.json.encode(snapshot.body)
    return b"%s %d %d %08x %d\n" % (HEAD, VERSION, snapshot.epoch, crc32(body), len(body)) + body


def read(data: bytes) -> Snapshot:
    """The snapshot in `data`; `Damaged` where it can't be trusted."""
    end = data.find(b"\n", 0, LONGEST_HEAD)
    if end < 0:
        raise Damaged(min(len(data), LONGEST_HEAD), "no head line")
    words = data[:end].split(b" ")
    if len(words) != 5 or words[0] != HEAD:
        raise Damaged(0, "not a snapshot of loftweir")
    if words[1] != b"%d" % VERSION:
        raise Damaged(len(HEAD) + 1, f"version {words[1].decode(errors='replace')}, not {VERSION}")
    try:
        epoch, checksum, length = int(words[2]), int(words[3], 16), int(words[4])
    except ValueError:
        raise Damaged(0, "a head line that is not numbers") from None
    body = data[end + 1 :]
    if len(body) != length:
        raise Damaged(end + 1 + min(len(body), length), f"a body of {len(body)} bytes, not {length}: torn")
    if crc32(body) != checksum:
        raise Damaged(end + 1, "the checksum does not match the body")
    try:
        found = msgspec.json.decode(body, type=Body)
        for entry in found.entries:
            Lifecycle(entry.lifecycle)
    except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as error:
        raise Damaged(end + 1, f"a body that is not a list: {error}") from None
    return Snapshot(epoch, found)


class Choice(Enum):
    GIVEN = "given"  # no snapshot, or the given list is as new
    SNAPSHOT = "snapshot"
    STALE = "stale"  # older than the list that was given
    OLD = "old"  # older than it may be trusted


def choose(given: MembershipUpdate, snapshot: Snapshot | None, now: int, trust_for: int) -> Choice:
    """Which list a start takes: the one the platform gave, or the snapshot where it is newer and young enough."""
    if snapshot is None:
        return Choice.GIVEN
    if given.endpoints and snapshot.body.index < given.version:
        return Choice.STALE
    if now - snapshot.body.taken_at > trust_for:
        return Choice.OLD
    if given.endpoints and snapshot.body.index == given.version:
        return Choice.GIVEN
    return Choice.SNAPSHOT


class Holding:
    """The whole list as this sidecar holds it, from the lists and changes that it is told; one owner: the sidecar."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch  # of the last snapshot written or read
        self.index = 0
        self.entries: dict[str, Entry] = {}
        self.changed = False

    def told(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        if update.kind is UpdateKind.FAILED:
            return
        if update.kind is not UpdateKind.CHANGES:
            self.entries = {}
        for e in update.endpoints:
            if e.lifecycle is Lifecycle.GONE:
                self.entries.pop(e.address, None)
                continue
            where = addresses.get(e.address, self.entries[e.address].address if e.address in self.entries else "")
            entry = Entry(e.address, where, e.zone, e.kind, e.cell, e.lifecycle.value, e.weight, e.started_at)
            self.entries[e.address] = entry
        self.index, self.changed = max(self.index, update.version), True

    def snapshot(self, now: int) -> Snapshot:
        self.epoch, self.changed = self.epoch + 1, False
        return Snapshot(self.epoch, Body(self.index, now, sorted(self.entries.values(), key=lambda e: e.name)))
