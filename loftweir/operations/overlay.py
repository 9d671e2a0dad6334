"""The operators' bans over discovery's list: what the balancer is told of each provider. No I/O, no clock.

A ban is this sidecar's own or the whole fleet's: a provider is out while either says so. It drains then, whatever the
list says of it, also where it leaves the list and comes back under another address. One that was called back has been
restarted meanwhile: it starts, at the earliest, at that moment. A start more than an hour later is of its own.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.operations.record import HOUR, Override, OverrideRecord, changed_names


class Overlay:
    """Invariant: the balancer has been told `effective` of each provider in `listed`, by `update` or by `hold`."""

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}  # as discovery has them, those that are gone left out
        self.addresses: dict[str, str] = {}
        self.record = OverrideRecord()
        self.fleet: dict[str, Override] = {}

    def knows(self, name: str) -> bool:
        return name in self.listed or self.record.is_disabled(name) or name in self.fleet

    def effective(self, endpoint: Endpoint) -> Endpoint:
        name = endpoint.address
        commands = [bans[name] for bans in (self.record.overrides, self.fleet) if name in bans]
        if not commands or endpoint.lifecycle is Lifecycle.GONE:
            return endpoint
        if any(command.active for command in commands):
            return replace(endpoint, lifecycle=Lifecycle.DRAINING)
        at = max(command.at for command in commands)
        # The fleet's commands are kept for good: a start long after one is not the start that it spoke of.
        return replace(endpoint, started_at=max(endpoint.started_at, at), reenabled=endpoint.started_at <= at + HOUR)

    def update(self, update: MembershipUpdate, addresses: Mapping[str, str]) -> tuple[MembershipUpdate, dict[str, str]]:
        """Discovery's list, as the balancer is to have it."""
        if update.kind in (UpdateKind.FULL, UpdateKind.REMEMBERED):
            self.listed, self.addresses = {}, {}
        for endpoint in update.endpoints:
            if endpoint.lifecycle is Lifecycle.GONE:
                self.listed.pop(endpoint.address, None)
                self.addresses.pop(endpoint.address, None)
            else:
                self.listed[endpoint.address] = endpoint
                self.addresses[endpoint.address] = addresses[endpoint.address]
        return replace(update, endpoints=tuple(map(self.effective, update.endpoints))), dict(addresses)

    def apply_record(self, record: OverrideRecord) -> tuple[MembershipUpdate, dict[str, str]] | None:
        """Another record holds from now on: what the balancer is to be told, if anything."""
        names = changed_names(self.record, record)
        self.record = record
        return self._again(names)

    def apply_fleet(
        self, commands: Mapping[str, Override], whole: bool
    ) -> tuple[MembershipUpdate, dict[str, str]] | None:
        """Commands to the fleet hold from now on; `whole`: in place of all before, else beside them."""
        after = dict(commands) if whole else {**self.fleet, **commands}
        names = changed_names(OverrideRecord(self.fleet), OverrideRecord(after))
        self.fleet = after
        return self._again(names)

    def _again(self, changed: Iterable[str]) -> tuple[MembershipUpdate, dict[str, str]] | None:
        names = [name for name in changed if name in self.listed]
        if not names:
            return None
        endpoints = tuple(self.effective(self.listed[name]) for name in names)
        return MembershipUpdate(UpdateKind.CHANGES, endpoints), {name: self.addresses[name] for name in names}
