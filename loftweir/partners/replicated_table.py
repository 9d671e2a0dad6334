"""The form of a route table in the replicated state: chunks under content-addressed keys, and one small head naming
them.

Pure: no I/O and no clock.

The chunks are written before the head, and a chunk is deleted only when a later head no longer names it. So all chunks
of the head exist at every index of the log: a table is visible as a whole or not at all, whichever sidecar was killed
in between. A lease holder that was killed may leave chunks behind that no head names. The next holder reuses them,
because the same content has the same key, or deletes them.

Routes are ordered by a hash of their names. A chunk ends after each name whose hash ends in `BOUNDARY_MASK`, or where
it is full. So a change concerns one chunk, wherever in the table a route is added or withdrawn (Muthitacharoen, Chen
and Mazieres, "A Low-bandwidth Network File System", 2001, section 3.1, split files by content for the same reason).

The replicated state has the time of a partner's last valid response (`confirmed_at`). Each sidecar derives from it by
its own clock whether the table is fresh, stale or gone (`TableReader.partner_state`), also while it is cut off.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from zlib import crc32

import msgspec

from loftweir.errors import LoftweirError
from loftweir.partners.merge import Freshness, PartnerState
from loftweir.partners.session import Timing, aged_state
from loftweir.partners.table import CHECKSUM_MASK, Route, Table
from loftweir.partners.terms import FOREVER
from loftweir.replication.machine import FencedValue

VERSION = 1  # format of the head and of chunks
HEAD = "head"
NOTE = "note"
CHUNK = "c:"  # prefix of the keys of chunks
BOUNDARY_MASK = 31  # a chunk ends at names whose hash has all of these bits set: one in 32
MAX_CHUNK_BYTES = 256 * 1024  # a chunk of at least this many bytes ends, whatever the hash

FencedValues = Mapping[tuple[str, str], FencedValue]  # by the lease's name and the key


class NotReadable(LoftweirError):
    """The replicated table of a partner is not in the format of this version, or not complete: nothing of it is used
    here."""

    remedy = "Run one version of the program in the site; the sidecar that asks the partner writes the table again."


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A route in a chunk."""

    service: str
    sum: int  # checksum of the bytes in which the partner sent the route
    route: Route


class Head(msgspec.Struct, frozen=True):
    """Describes the stored table of a partner, or the table offered to a neighbour."""

    version: int = VERSION
    chunks: tuple[str, ...] = ()  # keys
    routes: int = 0  # number of routes in all chunks
    table: tuple[str, int, int] | None = None  # of a partner: its site, epoch and index; None: no table is stored
    confirmed_at: int = 0  # Unix time in ns; also in the note, and the later one counts
    back_at: int = 0  # Unix time in ns of the partner's last return
    damped: bool = False
    penalty: float = 0.0  # of route flap damping, as of `penalty_at`
    penalty_at: int = 0  # Unix time in ns


class _Version(msgspec.Struct):
    version: int


_encode = msgspec.msgpack.Encoder(order="deterministic").encode
_head_decoder = msgspec.msgpack.Decoder(Head)
_rows_decoder = msgspec.msgpack.Decoder(list[Row])
_version_decoder = msgspec.msgpack.Decoder(_Version)
_time_decoder = msgspec.msgpack.Decoder(int)


def encode_head(head: Head) -> bytes:
    """The msgpack form of a head."""
    return _encode(head)


def encode_note(confirmed_at: int) -> bytes:
    """The msgpack form of a note: the Unix time in ns of the partner's last valid response."""
    return _encode(confirmed_at)


class Chunker:
    """Splits routes into chunks. Routes that are the same object as before are not encoded again."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[Route, int, bytes]] = {}

    def split(self, routes: Mapping[str, Route], sums: Mapping[str, int]) -> dict[str, bytes]:
        """The chunks by key, in the order of the head."""
        before, self.rows = self.rows, {}
        for service, route in routes.items():
            encoded, checksum = before.get(service), sums.get(service, 0)
            if encoded is None or encoded[0] is not route or encoded[1] != checksum:
                encoded = route, checksum, _encode(Row(service, checksum, route))
            self.rows[service] = encoded
        chunks: dict[str, bytes] = {}
        chunk: list[bytes] = []
        size = 0
        for name_hash, service in sorted((crc32(name.encode()), name) for name in self.rows):
            row = self.rows[service][2]
            chunk.append(row)
            size += len(row)
            if name_hash & BOUNDARY_MASK == BOUNDARY_MASK or size >= MAX_CHUNK_BYTES:
                _add_chunk(chunk, chunks)
                chunk, size = [], 0
        if chunk:
            _add_chunk(chunk, chunks)
        return chunks


def _add_chunk(chunk: list[bytes], chunks: dict[str, bytes]) -> None:
    data = b"\xdd" + len(chunk).to_bytes(4, "big") + b"".join(chunk)  # msgpack's array32
    chunks[CHUNK + blake2b(data, digest_size=16).hexdigest()] = data


class TableReader:
    """The view that one sidecar has of one table in the replicated state. `read` has to be called after each change of
    the replicated state.

    Invariant: `routes`, `sums` and `table` are those of the whole `head`, and empty if it can't be read. The routes of
    an unchanged chunk stay the same objects.
    """

    def __init__(self, lease_name: str, prefix: str = "") -> None:
        self.lease_name, self.prefix = lease_name, prefix
        # Of head and note, as last read.
        self.head_and_note: tuple[FencedValue | None, FencedValue | None] = (None, None)
        self.head: Head | None = None
        self.index = 0  # of the head in the log
        self.chunks: dict[str, list[Row]] = {}
        self.routes: dict[str, Route] = {}
        self.sums: dict[str, int] = {}
        self.table: Table | None = None
        self.responded_at = 0  # the partner's last valid response, by the clock of the sidecar that asked it
        self.confirmed_at = 0  # the same, but not later than the time at which it was first read here

    def read(self, fenced_values: FencedValues, now: int) -> bool:
        """Returns whether anything changed. Raises `NotReadable`; then no table is available."""
        latest = (
            fenced_values.get((self.lease_name, self.prefix + HEAD)),
            fenced_values.get((self.lease_name, self.prefix + NOTE)),
        )
        if latest == self.head_and_note:
            return False
        before, self.head_and_note = self.head_and_note, latest
        head, note = latest
        try:
            if head != before[0]:
                self._load(head, fenced_values)
            responded_at = max(
                self.head.confirmed_at if self.head else 0, _time_decoder.decode(note.value) if note else 0
            )
        except (msgspec.MsgspecError, ValueError, RecursionError, KeyError) as error:
            self._load(None, fenced_values)
            raise NotReadable(f"{type(error).__name__}: {error}", self.lease_name) from None
        if responded_at != self.responded_at:
            self.responded_at, self.confirmed_at = responded_at, min(responded_at, now)
        return True

    def _load(self, stored_head: FencedValue | None, fenced_values: FencedValues) -> None:
        self.head, self.routes, self.sums, self.table = None, {}, {}, None
        if stored_head is None:
            self.index, self.chunks = 0, {}
            return
        version = _version_decoder.decode(stored_head.value).version
        if version != VERSION:
            raise ValueError(f"version {version}, but this build reads version {VERSION}")
        head = _head_decoder.decode(stored_head.value)
        chunks = {}
        for key in head.chunks:
            rows = self.chunks.get(key)
            chunks[key] = (
                _rows_decoder.decode(fenced_values[self.lease_name, self.prefix + key].value) if rows is None else rows
            )
        all_rows = [row for chunk in chunks.values() for row in chunk]
        if len(all_rows) != head.routes:
            raise ValueError(f"{len(all_rows)} routes, but the head has {head.routes}")
        self.head, self.index, self.chunks = head, stored_head.order, chunks
        self.routes = {row.service: row.route for row in all_rows}
        self.sums = {row.service: row.sum for row in all_rows}
        if head.table is not None:
            site, epoch, index = head.table
            self.table = Table(site, epoch, index, self.routes, self.sums, sum(self.sums.values()) & CHECKSUM_MASK)

    def partner_state(self, now: int, timing: Timing) -> PartnerState:
        """The state of the partner at `now`, also if nothing new was read."""
        if self.head is None or self.table is None:
            return PartnerState()
        freshness, back_at = Freshness.GONE if self.head.damped else Freshness.FRESH, self.head.back_at
        return aged_state(PartnerState(self.table, freshness, back_at, self.confirmed_at, back_at), now, timing)

    def next_change_at(self, now: int, timing: Timing) -> int:
        """The Unix time in ns at which `partner_state` changes next if nothing new is read."""
        if self.table is None:
            return FOREVER
        stale_at = self.confirmed_at + timing.hold
        return min((at for at in (stale_at, stale_at + timing.gone) if at > now), default=FOREVER)


def unreferenced_chunks(keys: Iterable[str], chunks: Iterable[str]) -> set[str]:
    """The chunk keys that no head names."""
    return {key for key in keys if key.startswith(CHUNK)} - set(chunks)
