"""The snapshot of a sidecar's list: what it holds, how it is found out when it can't be trusted, and which list a
start takes. Pure: no I/O, no clock; times come in as arguments.

On disk it has the form of `sealed`, with the snapshot in JSON as its body.

Invariants: an epoch only grows from one snapshot of a sidecar to its next; a start never takes a snapshot older than
the list it was given, nor one older than `trust_for`; a provider that was draining stays draining.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.state.sealed import Damaged, seal, unseal

FILE_NAME = b"loftweir-snapshot"
VERSION = 1


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    address: str  # where this sidecar connects to it
    zone: str
    kind: str
    cell: int
    lifecycle: str
    weight: float
    started_at: int


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    epoch: int
    index: int  # discovery's version of the list
    taken_at: int  # wall time, in ns since the epoch of Unix
    entries: list[Entry]

    def update(self) -> tuple[MembershipUpdate, dict[str, str]]:
        """The list as it was held, and where each provider on it listens."""
        endpoints = tuple(
            Endpoint(e.name, e.zone, e.kind, e.cell, Lifecycle(e.lifecycle), e.weight, e.started_at)
            for e in self.entries
        )
        return MembershipUpdate(UpdateKind.REMEMBERED, endpoints, self.index), {e.name: e.address for e in self.entries}


def encode(snapshot: Snapshot) -> bytes:
    return seal(FILE_NAME, VERSION, msgspec.json.encode(snapshot))


def decode(data: bytes) -> Snapshot:
    """The snapshot in `data`; `Damaged` where it can't be trusted."""
    body = unseal(FILE_NAME, VERSION, data)
    try:
        found = msgspec.json.decode(body, type=Snapshot)
        for entry in found.entries:
            Lifecycle(entry.lifecycle)
    except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as error:
        raise Damaged(f"not in its form: {error}", len(data) - len(body) - 1) from None
    return found


class ListSource(Enum):
    GIVEN = "given"  # no snapshot, or the given list is as new
    SNAPSHOT = "snapshot"
    STALE = "stale"  # older than the list that was given
    OLD = "old"  # older than it may be trusted, or of a clock that was put back since


def choose_list(given: MembershipUpdate, snapshot: Snapshot | None, now: int, trust_for: int) -> ListSource:
    """Which list a start takes: the one the platform gave, or the snapshot where it is newer and young enough."""
    if snapshot is None:
        return ListSource.GIVEN
    if given.endpoints and snapshot.index < given.version:
        return ListSource.STALE
    if not 0 <= now - snapshot.taken_at <= trust_for:
        return ListSource.OLD
    if given.endpoints and snapshot.index == given.version:
        return ListSource.GIVEN
    return ListSource.SNAPSHOT


class ListTracker:
    """The whole list as this sidecar holds it, from the lists and changes that it is told; one owner: the sidecar."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch  # of the last snapshot written or read
        self.index = 0
        self.entries: dict[str, Entry] = {}

    def apply(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
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
        self.index = max(self.index, update.version)

    def snapshot(self, now: int) -> Snapshot:
        self.epoch += 1
        return Snapshot(self.epoch, self.index, now, sorted(self.entries.values(), key=lambda e: e.name))
