"""A table in the copies: chunks, each under a key made of its content, and one small head that names them. Pure.

The head is written last and its chunks before it, and a chunk goes only once a later head does not name it. So at every
index of the log the head's chunks are all there: a table is visible whole or not at all, whoever was killed in between.
What a holder that was killed left behind is a chunk that no head names; the next holder uses it, as the same content
has the same key, or takes it away.

Routes are cut in the order of a hash of their names, behind each name whose hash ends in `ENDS`, or where a chunk is
full: what changes is so one chunk, wherever in the table a route is told or withdrawn (Muthitacharoen, Chen and
Mazieres, "A Low-bandwidth Network File System", 2001, section 3.1, cut files by their content for the same reason).

Time runs on without news. What the copies say of a partner is when it last answered (`confirmed_at`); whether that is
fresh, stale or away follows from it on each sidecar's own clock (`Shelf.held`), also on one that is cut off.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from zlib import crc32

import msgspec

from loftweir.errors import LoftweirError
from loftweir.partners.merge import Held, Standing
from loftweir.partners.session import Timing, aged
from loftweir.partners.table import MASK, Route, Table
from loftweir.partners.terms import FOREVER
from loftweir.replication.machine import FencedValue

VERSION = 1  # of head and chunks
HEAD, NOTE, CHUNK = "head", "note", "c:"
ENDS = 31  # a mask: one name in 32 is the last of its chunk
FULL = 256 * 1024  # bytes of a chunk, behind which it is cut wherever that is

Facts = Mapping[tuple[str, str], FencedValue]


class NotReadable(LoftweirError):
    """What the copies hold of a partner is not in this version's form, or not whole: nothing of it is used here."""

    remedy = "Run one version of the program in the site; the sidecar that asks the partner writes it anew."


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A route in a chunk."""

    service: str
    sum: int  # of the bytes in which the partner told it
    route: Route


class Head(msgspec.Struct, frozen=True):
    """What is held of a partner, or offered to a neighbour."""

    version: int = VERSION
    chunks: tuple[str, ...] = ()
    routes: int = 0
    table: tuple[str, int, int] | None = None  # of a partner: its site, epoch and index; None: nothing is held
    confirmed_at: int = 0  # Unix time, ns; the note has it as well, and the later one holds
    back_at: int = 0
    damped: bool = False
    penalty: float = 0.0
    penalty_at: int = 0


class _Version(msgspec.Struct):
    version: int


_encode = msgspec.msgpack.Encoder(order="deterministic").encode
_heads, _rows = msgspec.msgpack.Decoder(Head), msgspec.msgpack.Decoder(list[Row])
_versions, _times = msgspec.msgpack.Decoder(_Version), msgspec.msgpack.Decoder(int)


def written(head: Head) -> bytes:
    return _encode(head)


def note(confirmed_at: int) -> bytes:
    return _encode(confirmed_at)


class Cutter:
    """Routes to chunks. What was encoded once is not encoded again: a route that is the same object is the same."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[Route, int, bytes]] = {}

    def cut(self, routes: Mapping[str, Route], sums: Mapping[str, int]) -> dict[str, bytes]:
        """By key, in the order of the head."""
        before, self.rows = self.rows, {}
        for service, route in routes.items():
            known, total = before.get(service), sums.get(service, 0)
            if known is None or known[0] is not route or known[1] != total:
                known = route, total, _encode(Row(service, total, route))
            self.rows[service] = known
        chunks: dict[str, bytes] = {}
        part: list[bytes] = []
        size = 0
        for place, service in sorted((crc32(name.encode()), name) for name in self.rows):
            row = self.rows[service][2]
            part.append(row)
            size += len(row)
            if place & ENDS == ENDS or size >= FULL:
                _close(part, chunks)
                part, size = [], 0
        if part:
            _close(part, chunks)
        return chunks


def _close(part: list[bytes], chunks: dict[str, bytes]) -> None:
    data = b"\xdd" + len(part).to_bytes(4, "big") + b"".join(part)  # msgpack's array of 32 bits
    chunks[CHUNK + blake2b(data, digest_size=16).hexdigest()] = data


class Shelf:
    """What one sidecar reads of one table in the copies. `read` after each change of the facts.

    Invariant: `routes`, `sums` and `table` are those of `head` whole, and empty where that can't be read. Routes of
    a chunk that stays are the same objects."""

    def __init__(self, duty: str, prefix: str = "") -> None:
        self.duty, self.prefix = duty, prefix
        self.facts: tuple[FencedValue | None, FencedValue | None] = (None, None)  # of head and note, as read last
        self.head: Head | None = None
        self.index = 0  # in the log, of the head
        self.chunks: dict[str, list[Row]] = {}
        self.routes: dict[str, Route] = {}
        self.sums: dict[str, int] = {}
        self.table: Table | None = None
        self.stated_at = 0  # when the partner answered last, by the clock of who asked it
        self.confirmed_at = 0  # ... and here: no later than when it was heard of

    def read(self, facts: Facts, now: int) -> bool:
        """Whether anything is another than before. Raises `NotReadable`; nothing is held then."""
        found = facts.get((self.duty, self.prefix + HEAD)), facts.get((self.duty, self.prefix + NOTE))
        if found == self.facts:
            return False
        before, self.facts = self.facts, found
        head, noted = found
        try:
            if head != before[0]:
                self._take(head, facts)
            stated_at = max(self.head.confirmed_at if self.head else 0, _times.decode(noted.value) if noted else 0)
        except (msgspec.MsgspecError, ValueError, RecursionError, KeyError) as error:
            self._take(None, facts)
            raise NotReadable(f"{type(error).__name__}: {error}", self.duty) from None
        if stated_at != self.stated_at:
            self.stated_at, self.confirmed_at = stated_at, min(stated_at, now)
        return True

    def _take(self, fact: FencedValue | None, facts: Facts) -> None:
        self.head, self.routes, self.sums, self.table = None, {}, {}, None
        if fact is None:
            self.index, self.chunks = 0, {}
            return
        version = _versions.decode(fact.value).version
        if version != VERSION:
            raise ValueError(f"version {version}, where this build reads {VERSION}")
        head = _heads.decode(fact.value)
        chunks = {}
        for key in head.chunks:
            kept = self.chunks.get(key)
            chunks[key] = _rows.decode(facts[self.duty, self.prefix + key].value) if kept is None else kept
        rows = [row for chunk in chunks.values() for row in chunk]
        if len(rows) != head.routes:
            raise ValueError(f"{len(rows)} routes, where the head has {head.routes}")
        self.head, self.index, self.chunks = head, fact.order, chunks
        self.routes = {row.service: row.route for row in rows}
        self.sums = {row.service: row.sum for row in rows}
        if head.table is not None:
            site, epoch, index = head.table
            self.table = Table(site, epoch, index, self.routes, self.sums, sum(self.sums.values()) & MASK)

    def held(self, now: int, timing: Timing) -> Held:
        """What that is worth now, whether news come or not."""
        if self.head is None or self.table is None:
            return Held()
        standing, back_at = Standing.GONE if self.head.damped else Standing.FRESH, self.head.back_at
        return aged(Held(self.table, standing, back_at, self.confirmed_at, back_at), now, timing)

    def changes_at(self, now: int, timing: Timing) -> int:
        """When `held` is another next, if nothing is heard."""
        if self.table is None:
            return FOREVER
        stale_at = self.confirmed_at + timing.hold
        return min((at for at in (stale_at, stale_at + timing.gone) if at > now), default=FOREVER)


def litter(keys: Iterable[str], chunks: Iterable[str]) -> set[str]:
    """Of the keys that are there, those that no head names."""
    return {key for key in keys if key.startswith(CHUNK)} - set(chunks)
