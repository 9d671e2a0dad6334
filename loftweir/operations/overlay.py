"""The operators' overrides applied to discovery's list: the endpoints that the balancer gets. No I/O, no clock.

A provider is disabled while this sidecar's own override or the fleet's is active. It then drains, whatever the list
says, even if it leaves the list and returns under another address. A provider that was enabled again has usually been
restarted in between, so that its start counts as no earlier than that command. A start more than an hour after the
command is a separate one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.operations.record import HOUR, Override, OverrideRecord, changed_names


class Overlay:
    """Invariant: the results of these methods have given the balancer `effective` of each provider in `listed`."""

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}  # as discovery has them, without those that are gone
        self.addresses: dict[str, str] = {}
        self.record = OverrideRecord()
        self.fleet: dict[str, Override] = {}

    def knows(self, name: str) -> bool:
        """Whether a provider is listed, disabled here, or has an override of the fleet."""
        return name in self.listed or self.record.is_disabled(name) or name in self.fleet

    def effective(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint as the balancer is to have it."""
        name = endpoint.address
        overrides = [known[name] for known in (self.record.overrides, self.fleet) if name in known]
        if not overrides or endpoint.lifecycle is Lifecycle.GONE:
            return endpoint
        if any(override.active for override in overrides):
            return replace(endpoint, lifecycle=Lifecycle.DRAINING)
        at = max(override.at for override in overrides)
        # The fleet's overrides are never deleted: a start long after one is not the restart that it was about.
        return replace(endpoint, started_at=max(endpoint.started_at, at), reenabled=endpoint.started_at <= at + HOUR)

    def update(self, update: MembershipUpdate, addresses: Mapping[str, str]) -> tuple[MembershipUpdate, dict[str, str]]:
        """Takes discovery's list, or changes to it, and returns it as the balancer is to have it."""
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
        """Replaces this sidecar's record; returns the update for the balancer, None if nothing changed."""
        names = changed_names(self.record, record)
        self.record = record
        return self._update_of(names)

    def apply_fleet(
        self, overrides: Mapping[str, Override], replace_all: bool
    ) -> tuple[MembershipUpdate, dict[str, str]] | None:
        """Adds overrides of the fleet, or replaces all of them; returns the update for the balancer, if any."""
        after = dict(overrides) if replace_all else {**self.fleet, **overrides}
        names = changed_names(OverrideRecord(self.fleet), OverrideRecord(after))
        self.fleet = after
        return self._update_of(names)

    def _update_of(self, changed: Iterable[str]) -> tuple[MembershipUpdate, dict[str, str]] | None:
        names = [name for name in changed if name in self.listed]
        if not names:
            return None
        endpoints = tuple(self.effective(self.listed[name]) for name in names)
        return MembershipUpdate(UpdateKind.CHANGES, endpoints), {name: self.addresses[name] for name in names}
