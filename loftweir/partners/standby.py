"""Uses a partner's providers in place of this site's own while none of these is ready. Pure: no I/O and no clock.

The balancer is notified of them as of any other provider, with a zone of the partner's own. The balancer can't restrict
classes or shares by zone, so a route is used only if its terms allow everything that this sidecar may send
(`unusable_reason`).

The rule on retries holds across sites by names: a keyed request whose duplicates are dropped within a zone or a cell is
retried only there, and no zone or cell of a partner has the name of one here. If all servers of a site drop duplicates,
a request might run here and, retried, at the partner too. So the partner's providers are used only if there is no class
of that kind, or if the operators declare that both sites drop each other's duplicates (`shares_keys`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import NamedTuple

from loftweir.interface import Effect, Endpoint, Lifecycle, MembershipUpdate, Scope, Settings, UpdateKind
from loftweir.partners.merge import UsedRoute

MS = 1_000_000  # ns
AddressedUpdate = tuple[MembershipUpdate, dict[str, str]]  # an update, and host:port of its providers by name


class BorderProvider(NamedTuple):
    """A partner's border provider, in the form that the balancer is notified of."""

    endpoint: Endpoint
    address: str


def unusable_reason(used: UsedRoute, settings: Settings, shares_keys: bool) -> str:
    """The reason why this sidecar can't use a route although its terms allow its site to; empty if it can."""
    route = used.route
    missing = sorted(name for name in settings.classes if name.lower() not in route.classes)
    if missing:
        return f"it is not for {', '.join(missing)}"
    if route.share is not None and route.share < 1:
        return f"its share is {route.share:g}, and a part can't be held to"
    if route.rate is not None:
        return f"its rate is {route.rate:g} a second, and a rate can't be held to"
    keyed = sorted(c.name for c in settings.classes.values() if c.effect is Effect.BY_KEY and c.scope is Scope.ALL)
    if keyed and not shares_keys:
        return f"repeats of {', '.join(keyed)} are dropped by this site's servers, and it is not said that theirs do"
    return ""


def border_providers(used: UsedRoute, back_at: int) -> dict[str, BorderProvider]:
    """The route's providers, each with a name, zone and cell that this site does not have.

    Two of them are in one zone or cell only if the partner's table says so: keys are deduplicated within these.
    None counts as warmer than the way to its site: a partner that has returned is treated like a provider that has just
    started.
    """
    cell_base = int.from_bytes(used.partner.encode(), "big") << 64
    providers = {}
    for provider in used.route.providers:
        name = f"{provider.name}@{used.partner}"
        zone = f"partner:{used.partner}:{provider.zone}"  # no label has a colon
        lifecycle = Lifecycle.READY if provider.status == "active" else Lifecycle.DRAINING
        started_at = max(provider.since_ms * MS, back_at)
        providers[name] = BorderProvider(
            Endpoint(name, zone, provider.kind, -1 - cell_base - provider.cell, lifecycle, provider.weight, started_at),
            provider.address,
        )
    return providers


class Standby:
    """Adds a partner's providers to the updates between discovery's list, with the operators' overrides, and the
    balancer.

    Invariants: the balancer has been notified of `announced` in addition to this site's own providers. While an own
    provider is ready, those of a partner only drain. A provider that is no longer wanted drains first and is removed by
    `end_drain`.
    """

    def __init__(self) -> None:
        self.known = False  # whether an endpoint list of this site was received
        self.own: dict[str, bool] = {}  # this site's providers, and whether each is ready
        self.offered: dict[str, BorderProvider] = {}  # the providers of the used route
        self.announced: dict[str, BorderProvider] = {}

    @property
    def needed(self) -> bool:
        """Whether this site has no ready provider."""
        return self.known and not any(self.own.values())

    def update(self, update: MembershipUpdate, addresses: Mapping[str, str]) -> AddressedUpdate:
        """An update of this site's own providers, together with the resulting changes of the partner's."""
        if update.kind is UpdateKind.FAILED:
            return update, dict(addresses)
        replaces_all = update.kind is not UpdateKind.CHANGES
        if replaces_all:
            self.own = {}
        # A start without a remembered list knows nothing yet; discovery's list arrives soon.
        self.known = self.known or update.kind is not UpdateKind.REMEMBERED or bool(update.endpoints)
        for endpoint in update.endpoints:
            # The name now belongs to the site's own provider, or is free and can be announced again.
            self.announced.pop(endpoint.address, None)
            if endpoint.lifecycle is Lifecycle.GONE:
                self.own.pop(endpoint.address, None)
            else:
                self.own[endpoint.address] = endpoint.lifecycle is Lifecycle.READY
        changed = self._announce()
        return self._added(update, addresses, self.announced if replaces_all else changed)

    def use(self, offered: Mapping[str, BorderProvider]) -> AddressedUpdate | None:
        """Sets the providers of the used route; empty if there is none."""
        self.offered = dict(offered)
        return self._changes(self._announce())

    def end_drain(self) -> AddressedUpdate | None:
        """Removes the providers whose time to drain is over."""
        gone = {
            name: BorderProvider(replace(provider.endpoint, lifecycle=Lifecycle.GONE), provider.address)
            for name, provider in self.announced.items()
            if name not in self._wanted()
        }
        for name in gone:
            del self.announced[name]
        return self._changes(gone)

    def _wanted(self) -> dict[str, BorderProvider]:
        """The partner's providers that should serve now."""
        return (
            {name: provider for name, provider in self.offered.items() if name not in self.own} if self.needed else {}
        )

    def _announce(self) -> dict[str, BorderProvider]:
        """Updates `announced` and returns what changed."""
        wanted = self._wanted()
        after = dict(wanted)
        for name, provider in self.announced.items():
            if name not in wanted and name not in self.own:
                after[name] = BorderProvider(replace(provider.endpoint, lifecycle=Lifecycle.DRAINING), provider.address)
        changed = {name: provider for name, provider in after.items() if self.announced.get(name) != provider}
        self.announced = after
        return changed

    @property
    def draining(self) -> bool:
        """Whether a provider drains."""
        return len(self.announced) > len(self._wanted())

    @staticmethod
    def _added(
        update: MembershipUpdate, addresses: Mapping[str, str], changes: Mapping[str, BorderProvider]
    ) -> AddressedUpdate:
        """The update with these providers added."""
        endpoints = (*update.endpoints, *(provider.endpoint for provider in changes.values()))
        return replace(update, endpoints=endpoints), {
            **addresses,
            **{n: provider.address for n, provider in changes.items()},
        }

    def _changes(self, changes: Mapping[str, BorderProvider]) -> AddressedUpdate | None:
        """An update of these providers alone; None if there are none."""
        return self._added(MembershipUpdate(UpdateKind.CHANGES), {}, changes) if changes else None


def format_counts(names: Iterable[str]) -> str:
    """Counts names in the form `a:2,b:1`, for a status line."""
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return ",".join(f"{name}:{counts[name]}" for name in sorted(counts)) or "-"
