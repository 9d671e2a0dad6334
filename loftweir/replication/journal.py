"""The format of a voter's files: identity, log segments, snapshots and the mark, encoded and decoded. No I/O.

A segment is a line with a name and a version, followed by records: length and crc32 (both 32 bits, little-endian), one
letter for the kind of record, and its msgpack. The crc covers length and body and is seeded with the crc of the
previous record. Each record thus verifies all before it in the segment, and a record that was moved, removed or copied
from elsewhere is detected. The first record of a segment, its `SegmentHeader`, has the last crc of the previous segment
and the state before it except for the entries; this continues the chain from file to file, and lets earlier segments be
removed once none of their entries is needed.

Nothing is ever overwritten: a later record (`TruncateRecord`, `SnapshotRecord`) revokes earlier ones.
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

# The names at the beginning of the sealed files.
IDENTITY = b"loftweir-member"
SNAPSHOT = b"loftweir-copy"
MARK = b"loftweir-mark"

RECORD_HEADER = Layout("<II")  # length and crc32
Decoded = TypeVar("Decoded")


class Torn(Damaged):
    """A record that is incomplete: the end of an interrupted write, or damage, depending on its place."""


class Unfit(ValueError):
    """A record that is not allowed to come next, when written or when read."""


class Identity(StrictStruct, frozen=True):
    """The cluster and the member that a folder belongs to."""

    cluster: str
    member: str  # 128 random bits in hex


class Mark(StrictStruct, frozen=True):
    """The position up to which everything is on stable storage."""

    segment: int
    at: int  # byte of the segment
    index: int  # of the last entry
    crc: int  # of the last record


class SnapshotFile(StrictStruct, frozen=True):
    """A snapshot's file, as the log names it."""

    number: int  # in the file's name; increases
    index: int
    term: int
    size: int  # of the whole file, in bytes
    crc: int  # crc32 of the whole file


class SnapshotContent(StrictStruct, frozen=True):
    """The content of a snapshot's file."""

    identity: Identity
    number: int
    snapshot: Snapshot


class SegmentHeader(StrictStruct, frozen=True):
    """The first record of a segment: its member, and the state before it."""

    identity: Identity
    segment: int  # from 1, without gaps
    before: int  # the last crc of the previous segment
    next: int  # the index of the next entry
    hard: HardState
    named: SnapshotFile | None


class TruncateRecord(StrictStruct, frozen=True):
    """Removes the entries from this index on."""

    index: int


class SnapshotRecord(StrictStruct, frozen=True):
    """A snapshot, whose file is stable, replaces the entries up to its index, or all of them."""

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
    """The records of a segment, each with its first byte, its crc, and the byte after it. Raises `Torn` if a record is
    incomplete, and `Damaged` if a complete one is malformed.
    """
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
            raise Torn("cut short in a record's header", at)
        length, expected_crc = RECORD_HEADER.unpack_from(data, at)
        end = at + RECORD_HEADER.size + length
        if not length or end > len(data):
            raise Torn(f"a record of {length} bytes, of which {len(data) - at - RECORD_HEADER.size} are there", at)
        body = memoryview(data)[at + RECORD_HEADER.size : end]
        if _crc(body, crc) != expected_crc:
            raise Torn("a record has a wrong checksum", at)
        try:
            yield at, RECORD_DECODERS[body[0]].decode(body[1:]), expected_crc, end
        except (KeyError, msgspec.MsgspecError) as error:
            raise Damaged(f"a malformed record: {error!r}", at) from None
        at, crc = end, expected_crc


class LogState:
    """The state that results from the records of one member. The same rules apply to writing and to reading.

    Invariants: the next entry has the index `next_index`; every entry after the snapshot and from `first_index` on was
    seen; the term never decreases, and the vote in a term never changes; entries that a snapshot includes are never
    truncated.
    """

    def __init__(self, identity: Identity) -> None:
        self.identity = identity
        self.segment = 0
        self.crc = 0
        self.hard_state = HardState()
        self.snapshot_file: SnapshotFile | None = None
        self.next_index = 1
        self.first_index = 1
        # By segment: the index after its last entry that is still valid.
        self.segment_ends: dict[int, int] = {}

    @property
    def snapshot_index(self) -> int:
        """The index of the snapshot; 0: there is none."""
        return self.snapshot_file.index if self.snapshot_file else 0

    # ---- writing ----

    def begin_segment(self) -> bytes:
        """The first bytes of the next segment."""
        header = SegmentHeader(
            self.identity, self.segment + 1, self.crc, self.next_index, self.hard_state, self.snapshot_file
        )
        self.crc = 0
        return FIRST_LINE + self.write(header)

    def write(self, record: Record) -> bytes:
        """The bytes of the next record. Raises `Unfit` if it is not allowed to come next."""
        self._apply(record)
        data, self.crc = encode_record(record, self.crc)
        return data

    def records_of(self, batch: PersistBatch, snapshot_file: SnapshotFile | None) -> Iterator[Record]:
        """The records of a batch, which must be written in this order; `snapshot_file` is its snapshot's file. After a
        crash only the first few may be there, which is safe: the vote comes first, and truncated entries were never
        committed.
        """
        if batch.hard is not None:
            yield batch.hard
        if batch.cut is not None and batch.cut < self.next_index:
            yield TruncateRecord(batch.cut)
        if snapshot_file is not None:
            yield SnapshotRecord(snapshot_file, batch.all_gone)
        yield from batch.entries

    # ---- reading ----

    def read_segment(self, number: int, data: bytes) -> Iterator[tuple[int, Record]]:
        """The records of the segment with this number, each with the byte after it, once it has been applied. Raises
        `Damaged`, and its subclass `Torn`: see `scan_records`.
        """
        previous_crc = self.crc
        for start, record, crc, end in scan_records(data):
            try:
                if isinstance(record, SegmentHeader) != (start == len(FIRST_LINE)):
                    raise Unfit("a segment must begin with a header, and have no other one")
                if isinstance(record, SegmentHeader):
                    self._check(record, number, previous_crc)
                self._apply(record)
            except Unfit as error:
                raise Damaged(str(error), start) from None
            self.crc = crc
            yield end, record
        if number != self.segment:
            raise Torn("cut short before its first record", len(FIRST_LINE))

    def _check(self, header: SegmentHeader, number: int, previous_crc: int) -> None:
        """Checks that a segment is this member's, has this number, and continues the previous one."""
        if header.identity.cluster != self.identity.cluster:
            raise Unfit(f"of another cluster, {header.identity.cluster!r}")
        if header.identity != self.identity:
            raise Unfit(f"of another member, {header.identity.member!r}")
        if header.segment != number:
            raise Unfit(f"segment {header.segment} in the place of {number}")
        if not self.segment:  # the first one that is left: its header is relied on for everything before it
            self.hard_state, self.snapshot_file, self.next_index, self.first_index = (
                header.hard,
                header.named,
                header.next,
                header.next,
            )
        elif (header.before, header.next, header.hard, header.named) != (
            previous_crc,
            self.next_index,
            self.hard_state,
            self.snapshot_file,
        ):
            raise Unfit("it does not continue the previous segment")

    # ---- rules ----

    def _apply(self, record: Record) -> None:
        match record:
            case Entry():
                if record.index != self.next_index:
                    raise Unfit(f"entry {record.index} where {self.next_index} is next")
                self.next_index += 1
                self.segment_ends[self.segment] = self.next_index
            case HardState():
                changed = record.term == self.hard_state.term and self.hard_state.vote not in ("", record.vote)
                if record.term < self.hard_state.term or changed:
                    raise Unfit(f"term {record.term} with vote {record.vote!r} after {self.hard_state}")
                self.hard_state = record
            case TruncateRecord():
                if not self.snapshot_index < record.index <= self.next_index:
                    raise Unfit(
                        f"cut at {record.index}, with a snapshot at {self.snapshot_index}, {self.next_index} is next"
                    )
                self._truncate(record.index)
            case SnapshotRecord():
                index = record.named.index
                if index < self.snapshot_index or (
                    self.snapshot_file and record.named.number <= self.snapshot_file.number
                ):
                    raise Unfit(f"a snapshot at {index} after {self.snapshot_file}")
                self.snapshot_file = record.named
                if record.all_gone or index >= self.next_index:
                    self._truncate(index + 1)
            case SegmentHeader():
                self.segment = record.segment
                self.segment_ends[self.segment] = 0

    def _truncate(self, index: int) -> None:
        self.next_index = index
        self.first_index = min(self.first_index, index)
        self.segment_ends = {segment: min(top, index) for segment, top in self.segment_ends.items()}

    def missing_entries(self) -> str:
        """What is missing between the snapshot and the first entry, as text; empty: nothing."""
        first = self.snapshot_index + 1
        return f"entries {first} to {self.first_index - 1} are missing" if self.first_index > first else ""

    def obsolete_segment(self) -> int | None:
        """The first segment, if nothing in it is needed any more."""
        first = next(iter(self.segment_ends))
        return first if first != self.segment and self.segment_ends[first] <= self.snapshot_index + 1 else None


# ---- other files ----------------------------------------------------------------------------


def encode_identity(identity: Identity) -> bytes:
    """The content of the identity file."""
    return seal(IDENTITY, VERSION, ENCODER.encode(identity))


def decode_identity(data: bytes) -> Identity:
    """Raises `Damaged` if it is none."""
    return _decode_sealed(IDENTITY, data, Identity)


def encode_snapshot(content: SnapshotContent) -> tuple[bytes, SnapshotFile]:
    """The content of a snapshot file, and the file as the log names it."""
    data = seal(SNAPSHOT, VERSION, ENCODER.encode(content))
    snapshot = content.snapshot
    return data, SnapshotFile(content.number, snapshot.index, snapshot.term, len(data), crc32(data))


def decode_snapshot(data: bytes, identity: Identity, snapshot_file: SnapshotFile) -> Snapshot:
    """The snapshot that the log names. Raises `Damaged` if this file does not contain it."""
    content = _decode_sealed(SNAPSHOT, data, SnapshotContent)
    if content.identity != identity:
        raise Damaged(f"of another member or cluster: {content.identity}")
    if snapshot_file != SnapshotFile(
        content.number, content.snapshot.index, content.snapshot.term, len(data), crc32(data)
    ):
        raise Damaged("not the snapshot that the log names")
    return content.snapshot


def encode_mark(mark: Mark, identity: Identity) -> bytes:
    """The mark, always of the same length, as it is written over the previous one."""
    body = b"%020d %020d %020d %08x %s" % (mark.segment, mark.at, mark.index, mark.crc, identity.member.encode())
    return seal(MARK, VERSION, body)


def decode_mark(data: bytes, identity: Identity) -> Mark:
    """Raises `Damaged` if it is none of this member's."""
    fields = unseal(MARK, VERSION, data).split(b" ")
    try:
        mark = Mark(int(fields[0]), int(fields[1]), int(fields[2]), int(fields[3], 16))
    except (ValueError, IndexError) as error:
        raise Damaged(f"malformed: {error!r}") from None
    if data != encode_mark(mark, identity):
        raise Damaged("of another member, or malformed")
    return mark


def _decode_sealed(name: bytes, data: bytes, kind: type[Decoded]) -> Decoded:
    body = unseal(name, VERSION, data)
    if data != seal(name, VERSION, body):  # the last newline may be missing
        raise Damaged("cut short: its end is missing", len(data))
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise Damaged(f"malformed: {error!r}") from None
