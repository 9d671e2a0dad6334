"""The providers that a service's balancer may send to, and the updates that it has to be notified of.

Pure: no I/O and no clock.

This site's providers come first, those of the own zone before others. The partners' providers are added only if this
site has none ready for the service, or if the service is remote (none of its meshes is the own one). A balancer does
not know terms, so that its set of providers must be allowed for everything that it may send:

 1. A partner's providers are in a set only if its route has every class that the set admits (`classes`).
 2. Beside other providers, the weights of a partner add up to at most its share of all weights. Without others,
    `fraction` limits the part of the service's requests that may be sent at all; the owner of the balancer rejects the
    rest.
 3. The names, zones and cells of a partner are qualified with its name, so that they never equal those of this site.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from hashlib import blake2b
from typing import NamedTuple

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.partners.merge import UsedRoute

MS = 1_000_000  # ns
_LIFECYCLES = {"active": Lifecycle.READY, "leaving": Lifecycle.DRAINING}


class ProviderSet(NamedTuple):
    """The providers of a service, and the limits on what may be sent to them."""

    endpoints: dict[str, Endpoint] = {}  # by provider, the nearer ones first
    addresses: dict[str, str] = {}  # host:port, by provider
    classes: frozenset[str] = frozenset()  # classes that may be sent
    fraction: float = 1.0  # part of the service's requests that may be sent
    shares: dict[str, float] = {}  # part of them by partner; partners without a stated share are left out
    rates: dict[str, float] = {}  # invocations per second, by partner


NO_PROVIDERS = ProviderSet()


def _cell(partner: str, cell: int) -> int:
    """A cell number that differs from this site's, which are below 1 << 63, and from those of other partners."""
    return int.from_bytes(blake2b(f"{partner}/{cell}".encode(), digest_size=8).digest(), "big") | 1 << 64


def partner_endpoints(used: UsedRoute) -> tuple[dict[str, Endpoint], dict[str, str]]:
    """A partner's providers in the form of this site's endpoints, and their addresses."""
    endpoints, addresses = {}, {}
    for provider in used.route.providers:
        name = f"{provider.name}@{used.partner}"
        endpoints[name] = Endpoint(
            name,
            f"{provider.zone}@{used.partner}",
            provider.kind,
            _cell(used.partner, provider.cell),
            _LIFECYCLES[provider.status],
            provider.weight,
            provider.since_ms * MS,
        )
        addresses[name] = provider.address
    return endpoints, addresses


def build_provider_set(
    own: Iterable[tuple[Mapping[str, Endpoint], Mapping[str, str]]],
    used: Iterable[UsedRoute],
    is_remote: bool,
    zone: str,
    classes: frozenset[str],
) -> ProviderSet:
    """`own`: this site's providers and their addresses. `used`: partners' routes. `classes`: those of the contract."""
    own_endpoints: dict[str, Endpoint] = {}
    addresses: dict[str, str] = {}
    for endpoints, at in own:
        own_endpoints.update(endpoints)
        addresses.update(at)
    endpoints_by_name = dict(sorted(own_endpoints.items(), key=lambda item: (item[1].zone != zone, item[0])))
    ready = [endpoint for endpoint in endpoints_by_name.values() if endpoint.lifecycle is Lifecycle.READY]
    if ready and not is_remote:
        return ProviderSet(endpoints_by_name, addresses, classes)
    admitted = classes if ready else None
    partner_routes: list[tuple[UsedRoute, dict[str, Endpoint]]] = []
    for used_route in sorted(used, key=lambda u: (-(u.route.share or 1.0), u.partner, u.route.service)):
        offered = classes & frozenset(used_route.route.classes)
        if offered and (admitted is None or admitted <= offered):
            admitted = offered if admitted is None else admitted
            endpoints, at = partner_endpoints(used_route)
            partner_routes.append((used_route, endpoints))
            addresses.update(at)
    fraction = _scale_weights(partner_routes, sum(endpoint.weight for endpoint in ready))
    shares: dict[str, float] = {}
    rates: dict[str, float] = {}
    for used_route, endpoints in partner_routes:
        for name, endpoint in endpoints.items():
            endpoints_by_name.setdefault(name, endpoint)
        partner, route = used_route.partner, used_route.route
        if route.share is not None:
            shares[partner] = min(route.share, shares.get(partner, 1.0))
        if route.rate is not None:
            rates[partner] = min(route.rate, rates.get(partner, route.rate))
    return ProviderSet(
        endpoints_by_name, addresses, admitted if admitted is not None else frozenset(), fraction, shares, rates
    )


def _scale_weights(partner_routes: list[tuple[UsedRoute, dict[str, Endpoint]]], unlimited_weight: float) -> float:
    """Scales the partners' weights to their shares and returns the part of the requests that may be sent.
    `unlimited_weight`: the total weight of this site's providers."""
    sums = [sum(endpoint.weight for endpoint in endpoints.values()) for _, endpoints in partner_routes]
    unlimited_weight += sum(
        total for total, (used_route, _) in zip(sums, partner_routes, strict=True) if used_route.route.share is None
    )
    with_weight = [
        (used_route.route.share, total, endpoints)
        for total, (used_route, endpoints) in zip(sums, partner_routes, strict=True)
        if total > 0
    ]
    limited = [(share, total, endpoints) for share, total, endpoints in with_weight if share is not None]
    if not limited:
        return 1.0
    total_weight = unlimited_weight or min(total / share for share, total, _ in limited)
    for share, total, endpoints in limited:
        scale = min(1.0, share * total_weight / total)
        for name, endpoint in endpoints.items():
            endpoints[name] = replace(endpoint, weight=endpoint.weight * scale)
    return 1.0 if unlimited_weight else min(1.0, sum(share for share, _, _ in limited))


class ProviderUpdate(NamedTuple):
    """An update for a balancer."""

    update: MembershipUpdate
    addresses: dict[str, str]  # of the providers in the update that are not gone
    draining: tuple[str, ...]  # providers that drain from now on: they finish their requests and get no new ones


class ProviderFeed:
    """Tracks what one balancer was notified of, and makes the next update.

    Invariant: every announced provider that is no longer in the set drains for `grace` ns and is then announced as
    gone.
    """

    def __init__(self, grace: int) -> None:
        self.grace = grace
        self.version = 0
        self.announced: dict[str, Endpoint] = {}
        self.drain_until: dict[str, int] = {}  # of providers that drain because they left the set: when this ends
        self.addresses: dict[str, str] = {}

    @property
    def next_at(self) -> int | None:
        """The time at which `step` has an update although the set stays the same."""
        return min(self.drain_until.values(), default=None)

    def step(self, now: int, wanted: ProviderSet) -> ProviderUpdate | None:
        """The changes since the last update, or all providers in the first one; None if nothing changed."""
        changes: list[Endpoint] = []
        draining: list[str] = []
        for name, endpoint in wanted.endpoints.items():
            address = wanted.addresses[name]
            self.drain_until.pop(name, None)
            if self.announced.get(name) != endpoint or self.addresses.get(name) != address:
                if endpoint.lifecycle is Lifecycle.DRAINING and name in self.announced:
                    draining.append(name)
                self.announced[name], self.addresses[name] = endpoint, address
                changes.append(endpoint)
        for name in [name for name in self.announced if name not in wanted.endpoints]:
            if name not in self.drain_until:
                self.drain_until[name] = now + self.grace
                self.announced[name] = replace(self.announced[name], lifecycle=Lifecycle.DRAINING)
                changes.append(self.announced[name])
                draining.append(name)
            elif now >= self.drain_until[name]:
                changes.append(replace(self.announced.pop(name), lifecycle=Lifecycle.GONE))
                del self.drain_until[name], self.addresses[name]
        if not changes and self.version:
            return None
        self.version += 1
        kind = UpdateKind.CHANGES if self.version > 1 else UpdateKind.FULL
        at = {e.address: self.addresses[e.address] for e in changes if e.address in self.addresses}
        return ProviderUpdate(MembershipUpdate(kind, tuple(changes), self.version), at, tuple(draining))
