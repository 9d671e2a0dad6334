"""The catalog: from what a sidecar holds to the service that a request's Host names. Pure.

A function of the state alone (own services, partners' routes used here, claims, pins), whatever the order in which it
came; `change` takes a part of it that is another, and lays anew only the short names that it touches.

Invariants:
 1. A Catalog equals one made anew from the same state.
 2. A global name stands for that mesh's service alone, whoever has the short name.
 3. A service's contract is no softer than any that a mesh in it declares, and over several meshes no key's scope is
    wider than a zone: nothing that one mesh calls once is repeated at another.
 4. One balancer is one `key`: the meshes in it. With another membership it is another key; so that what is under way
    never goes on to a mesh that it was not begun for.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from loftweir.catalog.claims import Claim, Declaration
from loftweir.catalog.collisions import NEVER, RULES, Collision, Contender, Rule, View, resolve
from loftweir.catalog.contract import Clause, apart, once, strictest
from loftweir.catalog.names import BadName, global_name, mesh_name, of_host, parts, short_name
from loftweir.catalog.providers import ProviderSet, gathered
from loftweir.interface import Endpoint
from loftweir.partners.merge import Reason, UnusedRoute, UsedRoute


class Own(msgspec.Struct, frozen=True):
    """A service that this site has providers for; most are of the own mesh."""

    endpoints: dict[str, Endpoint] = {}  # by provider
    addresses: dict[str, str] = {}
    declared: Declaration = Declaration()


class Service(msgspec.Struct, frozen=True, gc=False):
    """What a Host names. Equal ones say the same."""

    key: str  # its global name, or those of its meshes with + between
    members: tuple[str, ...]  # global names; the first one leads
    contract: dict[str, Clause]  # by class


class Why(Enum):
    NAME = "no service has this name"
    UNHELD = "the short name is not claimed yet"
    EXCLUDED = "excluded by the terms of its routes"
    STALE = "its routes are stale or away"
    UNFIT = "its routes can't be used"


REMEDY = {
    Why.NAME: "see the spelling, and whether the service's mesh is a partner that offers it",
    Why.UNHELD: "call it by its global name, until the copies have the claim",
    Why.EXCLUDED: "ask the mesh's operators to let this site use it",
    Why.STALE: "see the partner's session; the name stays with its service meanwhile",
    Why.UNFIT: "see why in the partners' status, and tell the partner's operators",
}


class Unknown(NamedTuple):
    reason: Why
    name: str
    more: str = ""

    @property
    def text(self) -> str:
        """What happened, where, and what to do."""
        more = f" ({self.more})" if self.more else ""
        return f"{self.name[:80]!r}: {self.reason.value}{more}; {REMEDY[self.reason]}"


# Of a route left out, the reason that is told; the first that is there goes before the others.
LEFT = {
    Reason.STALE: Why.STALE,
    Reason.EXPIRED: Why.STALE,
    Reason.AWAY: Why.STALE,
    Reason.EXCLUDED: Why.EXCLUDED,
}
FOREIGN = "its own site is not of the name's mesh"


class State(NamedTuple):
    """All that a catalog is made of. Names are small; of a change, None takes away what was under the name."""

    own: Mapping[str, Own | None] = {}  # by global name
    used: Mapping[str, UsedRoute | None] = {}  # by global name, as `Merged.used`
    left: Mapping[str, Mapping[str, UnusedRoute] | None] = {}  # by global name and partner, as `Merged.left`
    claims: Mapping[str, Claim | None] = {}  # by global name, as `Claims.table`
    pins: Mapping[str, str | None] = {}  # short name to global


NOTHING = State()


class Changed(NamedTuple):
    keys: frozenset[str]  # services whose providers or contract may be others
    ended: frozenset[str]  # that are no more: all their providers drain (`EMPTY`)
    moved: dict[str, tuple[str, str]]  # short name: the key that it stood for, and the one it does; empty: none
    events: tuple[Collision, ...]  # that are new or others


class Site(NamedTuple):
    mesh: str  # the own one
    zone: str
    meshes: Mapping[str, str] = {}  # by site, its mesh, as the operators have it; one not named is of its own name's


class Catalog:
    def __init__(self, site: Site, state: State = NOTHING, rules: tuple[Rule, ...] = RULES) -> None:
        """Raises `BadName` for names of the own site, and of pins."""
        mesh_name(site.mesh, "mesh")
        self.site, self.rules = site, rules
        self.own: dict[str, Own] = {}
        self.used: dict[str, UsedRoute] = {}
        self.left: dict[str, Mapping[str, UnusedRoute]] = {}
        self.claims: dict[str, Claim] = {}
        self.pins: dict[str, str] = {}
        self.refused: dict[str, BadName] = {}  # routes of partners, by the name that is none
        self.entries: dict[str, Service | Unknown] = {}  # by short and by global name
        self.by_short: dict[str, set[str]] = {}  # global names, of which anything is held
        self.collisions: dict[str, Collision] = {}  # by short name
        self.change(state)

    # ---- lookup ----

    def find(self, host: str) -> Service | Unknown:
        """The service that a request's Host names: short or global, `service@mesh` or `service.mesh`, with or without
        a port, in any case."""
        found = self.entries.get(host)
        if found is None:
            name = of_host(host)
            found = self.entries.get(name)
            if found is None and "@" not in name:
                found = self.entries.get(name.replace(".", "@", 1))
        return found if found is not None else Unknown(Why.NAME, host)

    def providers(self, service: Service) -> ProviderSet:
        """Made when it is asked for: of services that nobody calls, nothing is kept."""
        own = [(one.endpoints, one.addresses) for one in map(self.own.get, service.members) if one is not None]
        used = [one for one in map(self._route, service.members) if one is not None]
        lives_there = all(parts(name)[1] != self.site.mesh for name in service.members)
        return gathered(own, used, lives_there, self.site.zone, frozenset(service.contract))

    # ---- changes ----

    def change(self, state: State) -> Changed:
        """Takes what is another. A `BadName` of the own site's part is raised before anything is taken; a bad name of
        a partner's costs it that route alone (`refused`)."""
        self._check(state)
        touched: dict[str, set[str]] = {short: set() for short in state.pins}
        held: tuple[tuple[dict[str, Any], Mapping[str, Any]], ...] = (
            (self.own, state.own),
            (self.used, state.used),
            (self.left, state.left),
            (self.claims, state.claims),
        )
        for into, part in held:
            for name, value in part.items():
                _put(into, name, value)
                if self._fit(name):
                    touched.setdefault(parts(name)[0], set()).add(name)
        for short, pin in state.pins.items():
            _put(self.pins, short, pin)
        keys: set[str] = set()
        ended: set[str] = set()
        moved: dict[str, tuple[str, str]] = {}
        events: list[Collision] = []
        for short in sorted(touched):
            names = self.by_short.pop(short, set())
            was, before = self.entries.pop(short, None), self.collisions.pop(short, None)
            gone = {_key(was), *(_key(self.entries.pop(name, None)) for name in names | touched[short])}
            names = {name for name in names | touched[short] if self._held(name)}
            if names:
                self.by_short[short] = names
            self._lay(short, names)
            now, after = self.entries.get(short), self.collisions.get(short)
            there = {_key(now), *(_key(self.entries[name]) for name in names)}
            keys |= there
            ended |= gone - there
            if _key(was) != _key(now):
                moved[short] = (_key(was), _key(now))
            if after is not None and after != before:
                events.append(after)
        return Changed(frozenset(keys - {""}), frozenset(ended - {""}), moved, tuple(events))

    def _check(self, state: State) -> None:
        for name in state.own:
            if global_name(name, f"services.{name}") != name:
                raise BadName(f"{name} is not in small letters", f"services.{name}")
        for short, pin in state.pins.items():
            place = f"pins.{short}"
            small = short_name(short, place) == short
            if not small or (pin is not None and (global_name(pin, place) != pin or parts(pin)[0] != short)):
                raise BadName(f"{pin} is not a service of that name, in small letters", place)

    def _fit(self, name: str) -> bool:
        try:
            if global_name(name, f"routes.{name}") == name:
                return True
            raise BadName(f"{name} is not in small letters", f"routes.{name}")
        except BadName as error:
            self.refused.pop(name, None)
            if self._held(name):
                self.refused[name] = error
        return False

    def _held(self, name: str) -> bool:
        return name in self.own or name in self.used or name in self.left or name in self.claims

    # ---- one short name ----

    def _lay(self, short: str, names: set[str]) -> None:
        for name in names:
            self.entries[name] = self._entry((name,), name)
        pin = self.pins.get(short, "")
        contenders = []
        for name in {*names, pin} - {""}:
            claim, own = self.claims.get(name), self.own.get(name)
            if own is not None and parts(name)[1] != self.site.mesh:
                own = None  # a copy here of another mesh's service claims nothing for it
            if claim is not None or own is not None or name == pin:
                declared = claim.declared if claim is not None else own.declared if own is not None else None
                contenders.append(Contender(name, claim.index if claim is not None else NEVER, declared))
        if not contenders:
            if names:
                more = f"it is one of {', '.join(sorted(names)[:3])}"
                self.entries[short] = Unknown(Why.UNHELD, short, more)
            return
        found = resolve(short, contenders, View(self.site.mesh, pin), self.rules)
        if len(contenders) > 1:
            self.collisions[short] = found
        if found.joined:
            self.entries[short] = self._entry((found.leader, *found.joined), short)
        else:
            known = self.entries.get(found.leader)
            self.entries[short] = known if isinstance(known, Service) else self._entry((found.leader,), short)

    def _entry(self, members: tuple[str, ...], name: str) -> Service | Unknown:
        """The service of these, where any of them has providers or a route; else why not."""
        if not any(self.own.get(one) is not None or self._route(one) is not None for one in members):
            return self._missing(members, name)
        contract = strictest(contract for one in members for contract in self._contracts(one))
        if len({parts(one)[1] for one in members}) > 1:
            contract = apart(contract)
        return Service(key_of(members), members, contract)

    def _contracts(self, name: str) -> list[Mapping[str, Clause]]:
        """All that is declared of it: while one of them is being told anew, the strictest holds."""
        said: list[Mapping[str, Clause]] = []
        for one in (self.own.get(name), self.claims.get(name)):
            if one is not None and one.declared.contract:
                said.append(one.declared.contract)
        route = self._route(name)
        # Another mesh's own word is its claim: until there is one, a copy that this site has does not speak for it.
        silent = name not in self.claims and parts(name)[1] != self.site.mesh
        if route is not None and (silent or not said):
            said.append(once(route.route.classes))
        return said or [{}]

    def _route(self, name: str) -> UsedRoute | None:
        """A route counts only from a site of the name's own mesh: no other can take work for that name."""
        used = self.used.get(name)
        if used is None or name in self.refused:
            return None
        site = used.route.path[-1]
        return used if self.site.meshes.get(site, site) == parts(name)[1] else None

    def _missing(self, members: Iterable[str], name: str) -> Unknown:
        whys: dict[Why, str] = {}
        for one in members:
            if one in self.used:
                whys.setdefault(Why.UNFIT, f"{one} from {self.used[one].partner}: {FOREIGN}")
            for partner, left in sorted(self.left.get(one, {}).items()):
                whys.setdefault(LEFT.get(left.reason, Why.UNFIT), f"{one} from {partner}: {left}")
        for why in (Why.STALE, Why.EXCLUDED, Why.UNFIT):
            if why in whys:
                return Unknown(why, name, whys[why])
        return Unknown(Why.STALE, name, f"nobody offers {', '.join(members)} now, and the name is kept")


def key_of(members: tuple[str, ...]) -> str:
    return "+".join(members)


def _key(entry: Service | Unknown | None) -> str:
    return entry.key if isinstance(entry, Service) else ""


def _put(into: dict[str, Any], name: str, value: Any) -> None:
    if value is None:
        into.pop(name, None)
    else:
        into[name] = value
