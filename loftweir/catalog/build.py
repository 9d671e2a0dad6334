"""The catalog: finds the service that a request's Host names.

Pure: no I/O and no clock.

A catalog is a function of its state alone (own services, the partners' routes used here, claims, pins), whatever the
order in which the state was received. `update` replaces a part of the state and resolves only the short names again
that the change affects.

Invariants:
 1. A Catalog that was updated equals a new one made from the same state.
 2. A global name always refers to the service of that mesh, whichever service has the short name.
 3. A service's contract is at least as strict as each that a mesh in it declares, and over several meshes no key's
    scope is wider than a zone: a request that one mesh declares as once is not retried at another.
 4. There is one balancer for each `key`, which lists the members of the service. Other members make another key, so
    that a request in flight never continues at a mesh that was not a member when it began.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from loftweir.catalog.claims import Claim, Declaration
from loftweir.catalog.collisions import NO_CLAIM, RULES, Collision, Contender, Rule, SiteView, resolve
from loftweir.catalog.contract import Clause, across_meshes, once_only, strictest
from loftweir.catalog.names import BadName, global_name, host_key, mesh_name, short_name, split_name
from loftweir.catalog.providers import ProviderSet, build_provider_set
from loftweir.interface import Endpoint
from loftweir.partners.merge import Reason, UnusedRoute, UsedRoute


class OwnService(msgspec.Struct, frozen=True):
    """A service that this site has providers for; usually a service of its own mesh."""

    endpoints: dict[str, Endpoint] = {}  # by provider
    addresses: dict[str, str] = {}
    declared: Declaration = Declaration()


class Service(msgspec.Struct, frozen=True, gc=False):
    """A service that a Host can name. Services with equal fields are the same."""

    key: str  # the global name, or those of all members joined with +
    members: tuple[str, ...]  # global names; the first one is the leader
    contract: dict[str, Clause]  # by class


class UnknownReason(Enum):
    """Why a name has no service to send to."""

    NAME = "no service has this name"
    UNHELD = "the short name is not claimed yet"
    EXCLUDED = "excluded by the terms of its routes"
    STALE = "its routes are stale or away"
    UNFIT = "its routes can't be used"


REMEDIES = {
    UnknownReason.NAME: "see the spelling, and whether the service's mesh is a partner that offers it",
    UnknownReason.UNHELD: "call it by its global name, until the copies have the claim",
    UnknownReason.EXCLUDED: "ask the mesh's operators to let this site use it",
    UnknownReason.STALE: "see the partner's session; the name stays with its service meanwhile",
    UnknownReason.UNFIT: "see why in the partners' status, and tell the partner's operators",
}


class UnknownService(NamedTuple):
    """The result of a lookup that found no usable service."""

    reason: UnknownReason
    name: str
    details: str = ""

    @property
    def text(self) -> str:
        """What happened, where, and what to do."""
        details = f" ({self.details})" if self.details else ""
        return f"{self.name[:80]!r}: {self.reason.value}{details}; {REMEDIES[self.reason]}"


# The reason that is reported for an unused route, by the reason of the merge; others are reported as UNFIT.
REASON_BY_UNUSED = {
    Reason.STALE: UnknownReason.STALE,
    Reason.EXPIRED: UnknownReason.STALE,
    Reason.AWAY: UnknownReason.STALE,
    Reason.EXCLUDED: UnknownReason.EXCLUDED,
}
FOREIGN_SITE = "its own site is not of the name's mesh"


class CatalogState(NamedTuple):
    """All that a catalog is made of. Names are in lower case. In an update, None removes the entry of the name."""

    own: Mapping[str, OwnService | None] = {}  # by global name
    used: Mapping[str, UsedRoute | None] = {}  # by global name, as in `MergeResult.used`
    left: Mapping[str, Mapping[str, UnusedRoute] | None] = {}  # by global name and partner, as in `MergeResult.left`
    claims: Mapping[str, Claim | None] = {}  # by global name, as in `Claims.table`
    pins: Mapping[str, str | None] = {}  # from short to global name


EMPTY_STATE = CatalogState()


class CatalogChanges(NamedTuple):
    """What an update of the catalog has changed."""

    keys: frozenset[str]  # services whose providers or contract may have changed
    ended: frozenset[str]  # services that no longer exist: all their providers drain (`NO_PROVIDERS`)
    moved: dict[str, tuple[str, str]]  # by short name: the former and the new service key; empty: none
    events: tuple[Collision, ...]  # new or changed collisions


class LocalSite(NamedTuple):
    """The configuration of this site that the catalog depends on."""

    mesh: str  # the own mesh
    zone: str
    meshes: Mapping[str, str] = {}  # mesh by site, as configured; a site that is not listed is a mesh of its own name


class Catalog:
    """Finds services by name, and the providers of a service."""

    def __init__(self, site: LocalSite, state: CatalogState = EMPTY_STATE, rules: tuple[Rule, ...] = RULES) -> None:
        """Raises `BadName` for invalid names of this site's services and of pins."""
        mesh_name(site.mesh, "mesh")
        self.site, self.rules = site, rules
        self.own: dict[str, OwnService] = {}
        self.used: dict[str, UsedRoute] = {}
        self.left: dict[str, Mapping[str, UnusedRoute]] = {}
        self.claims: dict[str, Claim] = {}
        self.pins: dict[str, str] = {}
        self.rejected_names: dict[str, BadName] = {}  # partners' routes with an invalid name, by that name
        self.entries: dict[str, Service | UnknownService] = {}  # by short and by global name
        self.names_by_short: dict[str, set[str]] = {}  # known global names by short name
        self.collisions: dict[str, Collision] = {}  # by short name
        self.update(state)

    # ---- lookup ----------------------------------------------------------------------------------

    def find(self, host: str) -> Service | UnknownService:
        """The service that a request's Host names: a short or global name, as `service@mesh` or `service.mesh`, with or
        without a port, in upper or lower case."""
        found = self.entries.get(host)
        if found is None:
            name = host_key(host)
            found = self.entries.get(name)
            if found is None and "@" not in name:
                found = self.entries.get(name.replace(".", "@", 1))
        return found if found is not None else UnknownService(UnknownReason.NAME, host)

    def providers(self, service: Service) -> ProviderSet:
        """The providers of a service. Computed on each call, so that unused services need no memory for it."""
        own = [
            (service_here.endpoints, service_here.addresses)
            for service_here in map(self.own.get, service.members)
            if service_here is not None
        ]
        used = [route for route in map(self._usable_route, service.members) if route is not None]
        is_remote = all(split_name(name)[1] != self.site.mesh for name in service.members)
        return build_provider_set(own, used, is_remote, self.site.zone, frozenset(service.contract))

    # ---- updates ---------------------------------------------------------------------------------

    def update(self, state: CatalogState) -> CatalogChanges:
        """Replaces a part of the state. An invalid name of this site raises `BadName` before anything changes; an
        invalid name of a partner's route only disables that route (`rejected_names`)."""
        self._validate(state)
        affected: dict[str, set[str]] = {short: set() for short in state.pins}
        parts: tuple[tuple[dict[str, Any], Mapping[str, Any]], ...] = (
            (self.own, state.own),
            (self.used, state.used),
            (self.left, state.left),
            (self.claims, state.claims),
        )
        for known, changes in parts:
            for name, value in changes.items():
                _set_or_remove(known, name, value)
                if self._validate_route_name(name):
                    affected.setdefault(split_name(name)[0], set()).add(name)
        for short, pin in state.pins.items():
            _set_or_remove(self.pins, short, pin)
        keys: set[str] = set()
        ended: set[str] = set()
        moved: dict[str, tuple[str, str]] = {}
        events: list[Collision] = []
        for short in sorted(affected):
            names = self.names_by_short.pop(short, set())
            old_entry, old_collision = self.entries.pop(short, None), self.collisions.pop(short, None)
            old_keys = {
                _key_of(old_entry),
                *(_key_of(self.entries.pop(name, None)) for name in names | affected[short]),
            }
            names = {name for name in names | affected[short] if self._is_known(name)}
            if names:
                self.names_by_short[short] = names
            self._resolve_short_name(short, names)
            entry, collision = self.entries.get(short), self.collisions.get(short)
            new_keys = {_key_of(entry), *(_key_of(self.entries[name]) for name in names)}
            keys |= new_keys
            ended |= old_keys - new_keys
            if _key_of(old_entry) != _key_of(entry):
                moved[short] = (_key_of(old_entry), _key_of(entry))
            if collision is not None and collision != old_collision:
                events.append(collision)
        return CatalogChanges(frozenset(keys - {""}), frozenset(ended - {""}), moved, tuple(events))

    def _validate(self, state: CatalogState) -> None:
        for name in state.own:
            if global_name(name, f"services.{name}") != name:
                raise BadName(f"{name} is not in lower case", f"services.{name}")
        for short, pin in state.pins.items():
            place = f"pins.{short}"
            is_lower_case = short_name(short, place) == short
            if not is_lower_case or (
                pin is not None and (global_name(pin, place) != pin or split_name(pin)[0] != short)
            ):
                raise BadName(f"{pin} is not a service of that name, in lower case", place)

    def _validate_route_name(self, name: str) -> bool:
        try:
            if global_name(name, f"routes.{name}") == name:
                return True
            raise BadName(f"{name} is not in lower case", f"routes.{name}")
        except BadName as error:
            self.rejected_names.pop(name, None)
            if self._is_known(name):
                self.rejected_names[name] = error
        return False

    def _is_known(self, name: str) -> bool:
        return name in self.own or name in self.used or name in self.left or name in self.claims

    # ---- one short name --------------------------------------------------------------------------

    def _resolve_short_name(self, short: str, names: set[str]) -> None:
        for name in names:
            self.entries[name] = self._entry((name,), name)
        pin = self.pins.get(short, "")
        contenders = []
        for name in {*names, pin} - {""}:
            claim, own = self.claims.get(name), self.own.get(name)
            if own is not None and split_name(name)[1] != self.site.mesh:
                own = None  # a copy at this site of another mesh's service gives that mesh no claim
            if claim is not None or own is not None or name == pin:
                declared = claim.declared if claim is not None else own.declared if own is not None else None
                contenders.append(Contender(name, claim.index if claim is not None else NO_CLAIM, declared))
        if not contenders:
            if names:
                details = f"it is one of {', '.join(sorted(names)[:3])}"
                self.entries[short] = UnknownService(UnknownReason.UNHELD, short, details)
            return
        decision = resolve(short, contenders, SiteView(self.site.mesh, pin), self.rules)
        if len(contenders) > 1:
            self.collisions[short] = decision
        if decision.joined:
            self.entries[short] = self._entry((decision.leader, *decision.joined), short)
        else:
            entry = self.entries.get(decision.leader)
            self.entries[short] = entry if isinstance(entry, Service) else self._entry((decision.leader,), short)

    def _entry(self, members: tuple[str, ...], name: str) -> Service | UnknownService:
        """The service with these members if any of them has providers or a route, else the reason why not."""
        if not any(self.own.get(member) is not None or self._usable_route(member) is not None for member in members):
            return self._unknown(members, name)
        contract = strictest(contract for member in members for contract in self._contracts(member))
        if len({split_name(member)[1] for member in members}) > 1:
            contract = across_meshes(contract)
        return Service(key_of(members), members, contract)

    def _contracts(self, name: str) -> list[Mapping[str, Clause]]:
        """All contracts that are declared for the name. While a declaration changes, the strictest source applies."""
        contracts: list[Mapping[str, Clause]] = []
        for source in (self.own.get(name), self.claims.get(name)):
            if source is not None and source.declared.contract:
                contracts.append(source.declared.contract)
        route = self._usable_route(name)
        # Another mesh declares its contract by its claim. Without a claim, a copy at this site must not declare it
        # instead.
        undeclared = name not in self.claims and split_name(name)[1] != self.site.mesh
        if route is not None and (undeclared or not contracts):
            contracts.append(once_only(route.route.classes))
        return contracts or [{}]

    def _usable_route(self, name: str) -> UsedRoute | None:
        """The used route, if its own site belongs to the mesh of the name: no other site may receive requests for that
        name."""
        used = self.used.get(name)
        if used is None or name in self.rejected_names:
            return None
        site = used.route.path[-1]
        return used if self.site.meshes.get(site, site) == split_name(name)[1] else None

    def _unknown(self, members: Iterable[str], name: str) -> UnknownService:
        reasons: dict[UnknownReason, str] = {}
        for member in members:
            if member in self.used:
                reasons.setdefault(UnknownReason.UNFIT, f"{member} from {self.used[member].partner}: {FOREIGN_SITE}")
            for partner, left in sorted(self.left.get(member, {}).items()):
                reasons.setdefault(
                    REASON_BY_UNUSED.get(left.reason, UnknownReason.UNFIT), f"{member} from {partner}: {left}"
                )
        for reason in (UnknownReason.STALE, UnknownReason.EXCLUDED, UnknownReason.UNFIT):
            if reason in reasons:
                return UnknownService(reason, name, reasons[reason])
        return UnknownService(
            UnknownReason.STALE, name, f"nobody offers {', '.join(members)} now, and the name is kept"
        )


def key_of(members: tuple[str, ...]) -> str:
    """The key of a service with these members."""
    return "+".join(members)


def _key_of(entry: Service | UnknownService | None) -> str:
    return entry.key if isinstance(entry, Service) else ""


def _set_or_remove(into: dict[str, Any], name: str, value: Any) -> None:
    if value is None:
        into.pop(name, None)
    else:
        into[name] = value
