"""The snapshot of a sidecar's list of providers, and the choice of the list that a start uses. No I/O, no clock.

The file has the format of `sealed`, with the snapshot as JSON in its body.

Invariants: the epoch grows with every snapshot of a sidecar; a start never uses a snapshot that is older than the list
it was given, or older than `trust_for`, but for one thing: a provider that the snapshot has as draining, or has not any
more, is not used again because of an older list.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum

import msgspec

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.state.sealed import Damaged, seal, unseal

FILE_NAME = b"loftweir-snapshot"
VERSION = 1


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One provider in a snapshot: its endpoint, and the address at which this sidecar connects to it."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    lifecycle: str
    weight: float
    started_at: int


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A sidecar's list of providers at one moment, as it is stored."""

    epoch: int
    index: int  # discovery's version of the list
    taken_at: int  # Unix time, ns
    entries: list[Entry]

    def update(self) -> tuple[MembershipUpdate, dict[str, str]]:
        """The list as an update, and the address of each provider."""
        endpoints = tuple(
            Endpoint(e.name, e.zone, e.kind, e.cell, Lifecycle(e.lifecycle), e.weight, e.started_at)
            for e in self.entries
        )
        return MembershipUpdate(UpdateKind.REMEMBERED, endpoints, self.index), {e.name: e.address for e in self.entries}


def encode(snapshot: Snapshot) -> bytes:
    """Returns the contents of the file for a snapshot."""
    return seal(FILE_NAME, VERSION, msgspec.json.encode(snapshot))


def decode(data: bytes) -> Snapshot:
    """Returns the snapshot in a file's contents; raises `Damaged` if they can't be trusted."""
    body = unseal(FILE_NAME, VERSION, data)
    try:
        snapshot = msgspec.json.decode(body, type=Snapshot)
        for entry in snapshot.entries:
            Lifecycle(entry.lifecycle)
    except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as error:
        raise Damaged(f"not in its form: {error}", len(data) - len(body) - 1) from None
    return snapshot


class ListSource(Enum):
    """Which list a start uses, and why; the values appear in the log event `state.taken`."""

    GIVEN = "given"  # the platform's: there is no snapshot, or it is no newer
    SNAPSHOT = "snapshot"
    STALE = "stale"  # the platform's: the snapshot is older than it
    OLD = "old"  # the platform's: the snapshot is older than `trust_for`, or written before the clock was set back


def choose_list(platform_list: MembershipUpdate, snapshot: Snapshot | None, now: int, trust_for: int) -> ListSource:
    """Chooses the snapshot if it is newer than the platform's list and at most `trust_for` old, else that list."""
    if snapshot is None:
        return ListSource.GIVEN
    if platform_list.endpoints and snapshot.index < platform_list.version:
        return ListSource.STALE
    if not 0 <= now - snapshot.taken_at <= trust_for:
        return ListSource.OLD
    if platform_list.endpoints and snapshot.index == platform_list.version:
        return ListSource.GIVEN
    return ListSource.SNAPSHOT


def without_removed(platform_list: MembershipUpdate, snapshot: Snapshot) -> MembershipUpdate:
    """The platform's list without what a newer snapshot knows to be leaving or gone, however old that snapshot is.

    The list is returned as it is if the snapshot is not newer, or of another history: none of its providers is known.
    """
    known = {entry.name: Lifecycle(entry.lifecycle) for entry in snapshot.entries}
    endpoints = [
        replace(endpoint, lifecycle=Lifecycle.DRAINING) if known[endpoint.address] is Lifecycle.DRAINING else endpoint
        for endpoint in platform_list.endpoints
        if endpoint.address in known
    ]
    if snapshot.index <= platform_list.version or not endpoints:
        return platform_list
    return replace(platform_list, endpoints=tuple(endpoints))


class ListTracker:
    """The whole list as this sidecar knows it, built from the lists and changes it receives. Owned by the sidecar."""

    def __init__(self, epoch: int) -> None:
        """`epoch`: that of the last snapshot written or read."""
        self.epoch = epoch
        self.index = 0
        self.entries: dict[str, Entry] = {}

    def apply(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Applies a whole list, or changes to the list."""
        if update.kind is UpdateKind.FAILED:
            return
        if update.kind is not UpdateKind.CHANGES:
            self.entries = {}
        for e in update.endpoints:
            if e.lifecycle is Lifecycle.GONE:
                self.entries.pop(e.address, None)
                continue
            known = self.entries[e.address].address if e.address in self.entries else ""
            address = addresses.get(e.address, known)
            entry = Entry(e.address, address, e.zone, e.kind, e.cell, e.lifecycle.value, e.weight, e.started_at)
            self.entries[e.address] = entry
        self.index = max(self.index, update.version)

    def snapshot(self, now: int) -> Snapshot:
        """Returns the list as a snapshot of the next epoch."""
        self.epoch += 1
        return Snapshot(self.epoch, self.index, now, sorted(self.entries.values(), key=lambda e: e.name))
