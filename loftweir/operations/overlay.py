"""The operators' bans over discovery's list: what the balancer is told of each provider. No I/O, no clock.

A banned provider drains, whatever the list says of it, also where it leaves the list and comes back under another
address. One that was called back has been restarted meanwhile: it starts, at the earliest, at that moment.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.operations.record import Record, changed


class Overlay:
    """Invariant: the balancer has been told `effective` of each provider in `listed`, by `update` or by `hold`."""

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}  # as discovery has them, those that are gone left out
        self.addresses: dict[str, str] = {}
        self.record = Record()

    def knows(self, name: str) -> bool:
        return name in self.listed or self.record.banned(name)

    def effective(self, endpoint: Endpoint) -> Endpoint:
        word = self.record.bans.get(endpoint.address)
        if word is None or endpoint.lifecycle is Lifecycle.GONE:
            return endpoint
        if word.on:
            return replace(endpoint, lifecycle=Lifecycle.DRAINING)
        return replace(endpoint, started_at=max(endpoint.started_at, word.at), called_back=True)

    def update(
        self, update: MembershipUpdate, addresses: Mapping[str, str]
    ) -> tuple[MembershipUpdate, dict[str, str]]:
        """Discovery's word, as the balancer is to have it."""
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

    def hold(self, record: Record) -> tuple[MembershipUpdate, dict[str, str]] | None:
        """Another record holds from now on: what the balancer is to be told, if anything."""
        names = [name for name in changed(self.record, record) if name in self.listed]
        self.record = record
        if not names:
            return None
        endpoints = tuple(self.effective(self.listed[name]) for name in names)
        return MembershipUpdate(UpdateKind.CHANGES, endpoints), {name: self.addresses[name] for name in names}
