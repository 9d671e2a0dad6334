"""Whom a service's balancer may send to, and what of it changed. Pure.

In order: the own site's, in the own zone and beyond; then the partners', and these only where the own site has none
ready for the service, or the service lives there (none of its meshes is the own one). A balancer knows no terms, so
what it is given holds for all that it may send:

 1. A partner's providers are in a set only if its route has every class that the set admits (`classes`).
 2. Beside others, a partner's weights add up to its share of theirs at the most; alone, `part` says how much of the
    service's work may be sent at all, and whoever holds the balancer rejects the rest before it is asked.
 3. A partner's names, zones and cells are its own: qualified, so that they are never one of this site's.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from hashlib import blake2b
from typing import NamedTuple

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.partners.merge import UsedRoute

MS = 1_000_000
_STATUS = {"active": Lifecycle.READY, "leaving": Lifecycle.DRAINING}


class ProviderSet(NamedTuple):
    endpoints: dict[str, Endpoint] = {}  # by provider, the nearer first
    addresses: dict[str, str] = {}  # host:port, by provider
    classes: frozenset[str] = frozenset()  # that may be sent
    part: float = 1.0  # of the service's work that may be sent
    shares: dict[str, float] = {}  # of it, by partner; one that is not in it has said none
    rates: dict[str, float] = {}  # invocations a second, by partner


EMPTY = ProviderSet()


def _cell(partner: str, cell: int) -> int:
    """Out of the way of this site's, which are below 1 << 63, and of every other partner's."""
    return int.from_bytes(blake2b(f"{partner}/{cell}".encode(), digest_size=8).digest(), "big") | 1 << 64


def abroad(used: UsedRoute) -> tuple[dict[str, Endpoint], dict[str, str]]:
    """A partner's providers in this site's words, and their addresses."""
    endpoints, addresses = {}, {}
    for one in used.route.providers:
        name = f"{one.name}@{used.partner}"
        endpoints[name] = Endpoint(
            name,
            f"{one.zone}@{used.partner}",
            one.kind,
            _cell(used.partner, one.cell),
            _STATUS[one.status],
            one.weight,
            one.since_ms * MS,
        )
        addresses[name] = one.address
    return endpoints, addresses


def gathered(
    own: Iterable[tuple[Mapping[str, Endpoint], Mapping[str, str]]],
    used: Iterable[UsedRoute],
    lives_there: bool,
    zone: str,
    classes: frozenset[str],
) -> ProviderSet:
    """`own`: the own site's providers and addresses, `used`: the partners' routes, `classes`: of the contract."""
    home: dict[str, Endpoint] = {}
    addresses: dict[str, str] = {}
    for endpoints, at in own:
        home.update(endpoints)
        addresses.update(at)
    found = dict(sorted(home.items(), key=lambda item: (item[1].zone != zone, item[0])))
    ready = [one for one in found.values() if one.lifecycle is Lifecycle.READY]
    if ready and not lives_there:
        return ProviderSet(found, addresses, classes)
    admitted = classes if ready else None
    joined: list[tuple[UsedRoute, dict[str, Endpoint]]] = []
    for one in sorted(used, key=lambda one: (-(one.route.share or 1.0), one.partner, one.route.service)):
        offered = classes & frozenset(one.route.classes)
        if offered and (admitted is None or admitted <= offered):
            admitted = offered if admitted is None else admitted
            endpoints, at = abroad(one)
            joined.append((one, endpoints))
            addresses.update(at)
    part = _weighed(joined, sum(one.weight for one in ready))
    shares: dict[str, float] = {}
    rates: dict[str, float] = {}
    for one, endpoints in joined:
        for name, endpoint in endpoints.items():
            found.setdefault(name, endpoint)
        partner, route = one.partner, one.route
        if route.share is not None:
            shares[partner] = min(route.share, shares.get(partner, 1.0))
        if route.rate is not None:
            rates[partner] = min(route.rate, rates.get(partner, route.rate))
    return ProviderSet(found, addresses, admitted if admitted is not None else frozenset(), part, shares, rates)


def _weighed(joined: list[tuple[UsedRoute, dict[str, Endpoint]]], free: float) -> float:
    """Brings the partners' weights within their shares, `free` being the weight that has none; the part of the work
    that may be sent."""
    sums = [sum(endpoint.weight for endpoint in endpoints.values()) for _, endpoints in joined]
    free += sum(total for total, (one, _) in zip(sums, joined, strict=True) if one.route.share is None)
    bound = [(one.route.share, total, ends) for total, (one, ends) in zip(sums, joined, strict=True) if total > 0]
    bounded = [(share, total, ends) for share, total, ends in bound if share is not None]
    if not bounded:
        return 1.0
    whole = free or min(total / share for share, total, _ in bounded)
    for share, total, endpoints in bounded:
        scale = min(1.0, share * whole / total)
        for name, endpoint in endpoints.items():
            endpoints[name] = replace(endpoint, weight=endpoint.weight * scale)
    return 1.0 if free else min(1.0, sum(share for share, _, _ in bounded))


class Step(NamedTuple):
    update: MembershipUpdate
    addresses: dict[str, str]  # of those in the update that are not gone
    drains: tuple[str, ...]  # that drain from now on: they finish what they have, and get nothing new


class Follower:
    """What one balancer was told, and what it is to be told next. Invariant: every provider that it was told of and
    that is not in the set drains, for `grace` ns, and is then told to be gone."""

    def __init__(self, grace: int) -> None:
        self.grace = grace
        self.version = 0
        self.told: dict[str, Endpoint] = {}
        self.until: dict[str, int] = {}  # of those that drain since they have left the set
        self.addresses: dict[str, str] = {}

    @property
    def next_at(self) -> int | None:
        """When `step` has something to tell though the set is the same."""
        return min(self.until.values(), default=None)

    def step(self, now: int, wanted: ProviderSet) -> Step | None:
        """The increment, the whole at first; None: nothing is another."""
        changes: list[Endpoint] = []
        drains: list[str] = []
        for name, endpoint in wanted.endpoints.items():
            address = wanted.addresses[name]
            self.until.pop(name, None)
            if self.told.get(name) != endpoint or self.addresses.get(name) != address:
                if endpoint.lifecycle is Lifecycle.DRAINING and name in self.told:
                    drains.append(name)
                self.told[name], self.addresses[name] = endpoint, address
                changes.append(endpoint)
        for name in [name for name in self.told if name not in wanted.endpoints]:
            if name not in self.until:
                self.until[name] = now + self.grace
                self.told[name] = replace(self.told[name], lifecycle=Lifecycle.DRAINING)
                changes.append(self.told[name])
                drains.append(name)
            elif now >= self.until[name]:
                changes.append(replace(self.told.pop(name), lifecycle=Lifecycle.GONE))
                del self.until[name], self.addresses[name]
        if not changes and self.version:
            return None
        self.version += 1
        kind = UpdateKind.CHANGES if self.version > 1 else UpdateKind.FULL
        at = {one.address: self.addresses[one.address] for one in changes if one.address in self.addresses}
        return Step(MembershipUpdate(kind, tuple(changes), self.version), at, tuple(drains))
