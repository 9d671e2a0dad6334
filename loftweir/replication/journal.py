"""The form of what a voter keeps in files, as bytes and back: identity, segments of the log, snapshots, the mark. Pure.

A segment is a line with name and version, then records: length and crc32 (both 32 bit, little-endian), then a letter
for the kind and its msgpack. The crc is over length and body and is seeded with that of the record before: so each
vouches for all before it in its segment, and one that was moved, left out or taken from elsewhere is found out. The
first record of a segment, its `Head`, names the last crc of the segment before and all that held there except the
entries; so the chain goes on from file to file, and the segments before it can go once no entry of theirs is needed.

Nothing is ever overwritten: what an earlier record said is taken back by a later one (`Cut`, `Take`).
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct as Layout
from typing import Any, TypeVar
from zlib import crc32

import msgspec

from loftweir.replication.api import Entry, HardState, PersistBatch, Snapshot, StrictStruct
from loftweir.state.sealed import Damaged, seal, unseal

VERSION = 1
FIRST_LINE = b"loftweir-log %d\n" % VERSION
IDENTITY, SNAPSHOT, MARK = b"loftweir-member", b"loftweir-copy", b"loftweir-mark"
RECORD_HEADER = Layout("<II")
Decoded = TypeVar("Decoded")


class Torn(Damaged):
    """A record that is not whole: the end of a write that never finished, or damage; its place tells which."""


class InvalidRecord(ValueError):
    """A record that can't come next, as asked of the disk or as found in it."""


class Identity(StrictStruct, frozen=True):
    cluster: str
    member: str  # 128 random bits in hex


class Mark(StrictStruct, frozen=True):
    """How far everything is on stable storage."""

    segment: int
    at: int  # byte of the segment
    index: int  # of the last entry
    crc: int  # of the last record


class SnapshotFile(StrictStruct, frozen=True):
    """A snapshot's file."""

    number: int  # in the file's name; grows
    index: int
    term: int
    size: int  # of the whole file, bytes
    crc: int  # crc32 of the whole file


class SnapshotContent(StrictStruct, frozen=True):
    """What a snapshot's file holds."""

    identity: Identity
    number: int
    snapshot: Snapshot


class SegmentHeader(StrictStruct, frozen=True):
    """First in each segment: whose it is, and what held before it."""

    identity: Identity
    segment: int  # from 1 on, without gap
    before: int  # the last crc of the segment before
    next: int  # the index that the next entry has
    hard: HardState
    named: SnapshotFile | None


class TruncateRecord(StrictStruct, frozen=True):
    """Entries from this index on are none."""

    index: int


class SnapshotRecord(StrictStruct, frozen=True):
    """A snapshot whose file is on stable storage is in place of the entries up to its index, or of all."""

    named: SnapshotFile
    all_gone: bool


Record = Entry | HardState | TruncateRecord | SnapshotRecord | SegmentHeader
RECORD_LETTERS: dict[type, bytes] = {
    Entry: b"E",
    HardState: b"H",
    TruncateRecord: b"C",
    SnapshotRecord: b"S",
    SegmentHeader: b"B",
}
RECORD_DECODERS: dict[int, msgspec.msgpack.Decoder[Any]] = {
    letter[0]: msgspec.msgpack.Decoder(kind) for kind, letter in RECORD_LETTERS.items()
}
ENCODER = msgspec.msgpack.Encoder()


def encode_record(value: Record, seed: int) -> tuple[bytes, int]:
    """A record's bytes, and the crc that seeds the next one."""
    body = RECORD_LETTERS[type(value)] + ENCODER.encode(value)
    crc = _crc(body, seed)
    return RECORD_HEADER.pack(len(body), crc) + body, crc


def _crc(body: bytes | memoryview, seed: int) -> int:
    return crc32(body, crc32(len(body).to_bytes(4, "little"), seed))


def scan_records(data: bytes) -> Iterator[tuple[int, Record, int, int]]:
    """Each record of a segment: the byte where it starts, itself, its crc, and the byte behind it. `Torn` where one is
    not whole, `Damaged` where what is whole is not in this form."""
    if not data.startswith(FIRST_LINE):
        if FIRST_LINE.startswith(data):
            raise Torn("cut short in its first line", len(data))
        name, _, rest = data[:64].partition(b" ")
        if name != FIRST_LINE.split()[0]:
            raise Damaged("not a segment of a log", 0)
        version = rest.partition(b"\n")[0].decode("ascii", "replace")[:16]
        raise Damaged(f"of version {version}, this one reads {VERSION}", len(name) + 1)
    at, crc = len(FIRST_LINE), 0
    while at < len(data):
        if at + RECORD_HEADER.size > len(data):
            raise Torn("cut short in a record's frame", at)
        length, told = RECORD_HEADER.unpack_from(data, at)
        end = at + RECORD_HEADER.size + length
        if not length or end > len(data):
            raise Torn(f"a record of {length} bytes, and {len(data) - at - RECORD_HEADER.size} are there", at)
        body = memoryview(data)[at + RECORD_HEADER.size : end]
        if _crc(body, crc) != told:
            raise Torn("a record's checksum is another", at)
        try:
            yield at, RECORD_DECODERS[body[0]].decode(body[1:]), told, end
        except (KeyError, msgspec.MsgspecError) as error:
            raise Damaged(f"a record that is not in its form: {error!r}", at) from None
        at, crc = end, told


class LogState:
    """What the records of one member come to, in order; the same rules when they are written and when they are read.

    Invariants: the next entry has the index `next`; every entry behind the snapshot and from `floor` on has been seen;
    a term never falls, and a vote in it never changes; nothing that a snapshot stands for is cut.
    """

    def __init__(self, identity: Identity) -> None:
        self.identity = identity
        self.segment = 0
        self.crc = 0
        self.hard = HardState()
        self.named: SnapshotFile | None = None
        self.next = 1
        self.floor = 1
        self.tops: dict[int, int] = {}  # for each segment, the index behind the last entry in it that still holds

    @property
    def snapshot_index(self) -> int:
        return self.named.index if self.named else 0

    # ---- writing ----

    def begin(self) -> bytes:
        """The next segment's first bytes."""
        head = SegmentHeader(self.identity, self.segment + 1, self.crc, self.next, self.hard, self.named)
        self.crc = 0
        return FIRST_LINE + self.write(head)

    def write(self, value: Record) -> bytes:
        """`Unfit` where it can't come next."""
        self._take(value)
        data, self.crc = encode_record(value, self.crc)
        return data

    def asked(self, keep: PersistBatch, named: SnapshotFile | None) -> Iterator[Record]:
        """The records of a batch, to be written one after another; `named` is its snapshot's file. A crash may leave
        the first few only, and that is sound: the vote comes first, and what is cut was never committed."""
        if keep.hard is not None:
            yield keep.hard
        if keep.cut is not None and keep.cut < self.next:
            yield TruncateRecord(keep.cut)
        if named is not None:
            yield SnapshotRecord(named, keep.all_gone)
        yield from keep.entries

    # ---- reading ----

    def read(self, number: int, data: bytes) -> Iterator[tuple[int, Record]]:
        """Each record of the segment of that number with the byte behind it, once it has been taken. `Damaged`, and
        its kind `Torn`: see `scanned`."""
        before = self.crc
        for start, value, crc, end in scan_records(data):
            try:
                if isinstance(value, SegmentHeader) != (start == len(FIRST_LINE)):
                    raise InvalidRecord("a head is the first record of a segment, and nothing else is")
                if isinstance(value, SegmentHeader):
                    self._check(value, number, before)
                self._take(value)
            except InvalidRecord as unfit:
                raise Damaged(str(unfit), start) from None
            self.crc = crc
            yield end, value
        if number != self.segment:
            raise Torn("cut short before its first record", len(FIRST_LINE))

    def _check(self, head: SegmentHeader, number: int, before: int) -> None:
        """That a segment is this member's, of that number, and follows on the one before."""
        if head.identity.cluster != self.identity.cluster:
            raise InvalidRecord(f"of another cluster, {head.identity.cluster!r}")
        if head.identity != self.identity:
            raise InvalidRecord(f"of another member, {head.identity.member!r}")
        if head.segment != number:
            raise InvalidRecord(f"segment {head.segment} in the place of {number}")
        if not self.segment:  # the first that is left: all before it are taken at its word
            self.hard, self.named, self.next, self.floor = head.hard, head.named, head.next, head.next
        elif (head.before, head.next, head.hard, head.named) != (before, self.next, self.hard, self.named):
            raise InvalidRecord("it does not follow on the segment before")

    # ---- the rules ----

    def _take(self, value: Record) -> None:
        match value:
            case Entry():
                if value.index != self.next:
                    raise InvalidRecord(f"entry {value.index} where {self.next} is next")
                self.next += 1
                self.tops[self.segment] = self.next
            case HardState():
                changed = value.term == self.hard.term and self.hard.vote not in ("", value.vote)
                if value.term < self.hard.term or changed:
                    raise InvalidRecord(f"term {value.term} with vote {value.vote!r} after {self.hard}")
                self.hard = value
            case TruncateRecord():
                if not self.snapshot_index < value.index <= self.next:
                    raise InvalidRecord(
                        f"cut at {value.index}, with a snapshot at {self.snapshot_index}, {self.next} is next"
                    )
                self._end(value.index)
            case SnapshotRecord():
                index = value.named.index
                if index < self.snapshot_index or (self.named and value.named.number <= self.named.number):
                    raise InvalidRecord(f"a snapshot at {index} after {self.named}")
                self.named = value.named
                if value.all_gone or index >= self.next:
                    self._end(index + 1)
            case SegmentHeader():
                self.segment = value.segment
                self.tops[self.segment] = 0

    def _end(self, index: int) -> None:
        self.next = index
        self.floor = min(self.floor, index)
        self.tops = {segment: min(top, index) for segment, top in self.tops.items()}

    def lacking(self) -> str:
        """What is missing between the snapshot and the first entry; empty: nothing."""
        first = self.snapshot_index + 1
        return f"entries {first} to {self.floor - 1} are missing" if self.floor > first else ""

    def spare(self) -> int | None:
        """The first segment, where nothing in it is needed any more."""
        first = next(iter(self.tops))
        return first if first != self.segment and self.tops[first] <= self.snapshot_index + 1 else None


# ---- the other files ----------------------------------------------------------------------------


def encode_identity(identity: Identity) -> bytes:
    return seal(IDENTITY, VERSION, ENCODER.encode(identity))


def decode_identity(data: bytes) -> Identity:
    """`Damaged` where it is not one."""
    return _decode_sealed(IDENTITY, data, Identity)


def encode_snapshot(copy: SnapshotContent) -> tuple[bytes, SnapshotFile]:
    data = seal(SNAPSHOT, VERSION, ENCODER.encode(copy))
    snapshot = copy.snapshot
    return data, SnapshotFile(copy.number, snapshot.index, snapshot.term, len(data), crc32(data))


def decode_snapshot(data: bytes, identity: Identity, named: SnapshotFile) -> Snapshot:
    """The snapshot that the log names; `Damaged` where this file is not the one."""
    copy = _decode_sealed(SNAPSHOT, data, SnapshotContent)
    if copy.identity != identity:
        raise Damaged(f"of another member or cluster: {copy.identity}")
    if named != SnapshotFile(copy.number, copy.snapshot.index, copy.snapshot.term, len(data), crc32(data)):
        raise Damaged("not the snapshot that the log names")
    return copy.snapshot


def encode_mark(mark: Mark, identity: Identity) -> bytes:
    """Of the same length always: it is written over the one before."""
    body = b"%020d %020d %020d %08x %s" % (mark.segment, mark.at, mark.index, mark.crc, identity.member.encode())
    return seal(MARK, VERSION, body)


def decode_mark(data: bytes, identity: Identity) -> Mark:
    """`Damaged` where it is not one of this member's."""
    words = unseal(MARK, VERSION, data).split(b" ")
    try:
        mark = Mark(int(words[0]), int(words[1]), int(words[2]), int(words[3], 16))
    except (ValueError, IndexError) as error:
        raise Damaged(f"not in its form: {error!r}") from None
    if data != encode_mark(mark, identity):
        raise Damaged("of another member, or not in its form")
    return mark


def _decode_sealed(name: bytes, data: bytes, kind: type[Decoded]) -> Decoded:
    body = unseal(name, VERSION, data)
    if data != seal(name, VERSION, body):  # its last newline
        raise Damaged("cut short: its end is missing", len(data))
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise Damaged(f"not in its form: {error!r}") from None
