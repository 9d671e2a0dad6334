"""From the partners' tables to what is used here, what is shown to each neighbour, and why the rest is left out. Pure.

`merge` is a function of what is held of each partner, of the policy and of the time. What is held is a map from partner
to the later of its tables (`joined`), so that neither order nor number of arrivals matters. `Merger` takes one change
at a time; it decides anew only the services that the change touches.

Invariants:
 1. No route is used here unless its terms name this site (`may_use`), and none is shown to a neighbour unless its terms
    name that neighbour (`may_show`); the latter is also asked of what comes in, for each step of its path, so that a
    partner that does not keep to the terms is found out by the first site that does (`Reason.LEAKED`).
 2. Only what a partner confirmed within its hold time is shown on: what is stale is used here at most, and as the last
    choice (RFC 4724, section 4.2, keeps stale routes for a time; RFC 9494, section 4.3, makes them the last choice).
 3. A Merger holds at every time what `merge` gives for the same policy, helds and time.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from loftweir.partners.table import LIMITS, Limits, Provider, Route, Table, later
from loftweir.partners.terms import FOREVER, Terms, leaked


class Standing(Enum):
    """Of a partner's session, as far as its routes are concerned."""

    FRESH = "fresh"
    STALE = "stale"  # silent for longer than its hold time
    GONE = "gone"  # ... or for much longer, damped, or not asked yet


class Held(msgspec.Struct, frozen=True):
    """What is held of a partner."""

    table: Table | None = None
    standing: Standing = Standing.GONE
    since: int = 0  # Unix time, ns, of the standing
    confirmed_at: int = 0  # Unix time, ns, of its last good answer
    back_at: int = 0  # Unix time, ns, of when it last came back from being away; 0: never


class Role(Enum):
    """What a neighbour is to this site (RFC 9234, section 3). NONE: the terms alone say what may be passed on."""

    NONE = "none"
    UPSTREAM = "upstream"  # its provider of transit
    PEER = "peer"
    DOWNSTREAM = "downstream"  # its customer


ABOVE = (Role.UPSTREAM, Role.PEER)
BESIDE_OR_BELOW = (Role.PEER, Role.DOWNSTREAM)
ORDER = {Role.DOWNSTREAM: 0, Role.NONE: 1, Role.PEER: 2, Role.UPSTREAM: 3}


class Candidate(msgspec.Struct, frozen=True, gc=False):
    partner: str
    route: Route
    held: Held


class Rule(NamedTuple):
    """One rule of the decision; the smaller key is the better route."""

    name: str
    key: Callable[[Candidate, Policy], Any]


# In order: the first that tells two routes apart decides (RFC 4271, section 9.1.2).
RULES = (
    Rule("confirmed before stale", lambda one, policy: one.held.standing is not Standing.FRESH),
    Rule("preference", lambda one, policy: -policy.preference.get(one.partner, 0)),  # 9.1.1
    Rule("role", lambda one, policy: ORDER[policy.roles.get(one.partner, Role.NONE)]),
    Rule("shorter path", lambda one, policy: len(one.route.path)),  # 9.1.2.2 a
    Rule("greater share", lambda one, policy: -(one.route.share or 1.0)),
    Rule("name", lambda one, policy: one.partner),  # 9.1.2.2 f; it has to be last: no two are alike
)


class Policy(msgspec.Struct, frozen=True):
    """This site's own side. Names are in small letters."""

    site: str
    roles: Mapping[str, Role] = {}  # of each neighbour that is shown a table
    preference: Mapping[str, int] = {}  # by partner; greater is better
    offers: Mapping[str, Route] = {}  # this site's own, with the path (site,)
    words: Mapping[str, Terms] = {}  # by service: what this site adds to the terms of what it passes on
    border: tuple[Provider, ...] = ()  # in place of a passed route's providers; empty: these stay
    gone_after: int = 30_000_000_000  # ns of being stale after which nothing of a partner is used
    limits: Limits = LIMITS
    rules: tuple[Rule, ...] = RULES


class Reason(Enum):
    AWAY = "the partner is away"
    STALE = "stale past hold"
    UNKNOWN = "unknown term"
    EXPIRED = "expired"
    LOOP = "loop: this site is in its path"
    LEAKED = "leaked by"
    LIMIT = "over limit"
    EXCLUDED = "excluded by its terms"
    WORSE = "worse than"


class Left(NamedTuple):
    """Why a route is not used here."""

    reason: Reason
    who: str = ""  # the partner that is better, the site that leaked it, the term that is not known, the limit
    how: str = ""  # the rule that decided

    def __str__(self) -> str:
        return " ".join(filter(None, (self.reason.value, self.who, f"({self.how})" if self.how else "")))


class Used(NamedTuple):
    partner: str
    route: Route


class Decision(NamedTuple):
    """All about one service."""

    used: Used | None
    left: dict[str, Left]  # by partner
    shown: dict[str, Route]  # by neighbour
    until: int  # the next time at which it may be another


class Merged(NamedTuple):
    used: dict[str, Used]
    left: dict[str, dict[str, Left]]  # by service, by partner
    shown: dict[str, dict[str, Route]]  # by neighbour, by service; every neighbour has one


def joined(one: Mapping[str, Table], other: Mapping[str, Table]) -> dict[str, Table]:
    """What is held after both. Commutative, associative, idempotent."""
    found = dict(one)
    for partner, table in other.items():
        held = later(found.get(partner), table)
        if held is not None:
            found[partner] = held
    return found


def ends(one: Candidate, policy: Policy) -> tuple[int, Reason]:
    """When this route ends as things stand, Unix time in ns, and why."""
    held, route = one.held, one.route
    until, told = held.confirmed_at + route.valid_for, route.terms.until
    if told < until:
        until = told
    if held.standing is Standing.STALE and held.since + policy.gone_after < until:
        return held.since + policy.gone_after, Reason.STALE
    return until, Reason.EXPIRED


def refused(one: Candidate, policy: Policy, now: int) -> Left | None:
    """Why nothing is done with this route here, whatever the others are; None: it may be used or passed on. What does
    not go with time comes first, and of the ends the earliest: so a reason stays until something is told."""
    route, terms = one.route, one.route.terms
    if one.held.standing is Standing.GONE:
        return Left(Reason.AWAY)
    if terms.unknown:
        return Left(Reason.UNKNOWN, ", ".join(sorted(terms.unknown)))
    if policy.site in route.path:  # RFC 4271, section 9.1.2
        return Left(Reason.LOOP)
    by = leaked(terms, route.path, policy.site) or (_past_role(one, policy) if route.marked else "")
    if by:
        return Left(Reason.LEAKED, by)
    if len(route.path) > policy.limits.path:
        return Left(Reason.LIMIT, "path")
    until, why = ends(one, policy)
    return Left(why) if now >= until else None


def _past_role(one: Candidate, policy: Policy) -> str:
    """RFC 9234, section 5, on the way in: marked by somebody, and yet shown upwards or sidewards."""
    role = policy.roles.get(one.partner, Role.NONE)
    if role is Role.DOWNSTREAM or (role is Role.PEER and one.route.marked != one.partner):
        return one.partner
    return ""


def decide(service: str, candidates: Iterable[Candidate], policy: Policy, now: int) -> Decision:
    """One service's routes, at most one of each partner."""
    left: dict[str, Left] = {}
    fit: list[Candidate] = []
    until = FOREVER
    for one in candidates:
        why = refused(one, policy, now)
        if why is None:
            fit.append(one)
            end = ends(one, policy)[0]
            until = end if end < until else until
        else:
            left[one.partner] = why
    keys: dict[str, list[Any]] = {}
    if len(fit) > 1:
        keys = {one.partner: [rule.key(one, policy) for rule in policy.rules] for one in fit}
        fit.sort(key=lambda one: keys[one.partner])
    best: Candidate | None = None
    for one in fit:
        if not one.route.terms.may_use(policy.site, now):
            left[one.partner] = Left(Reason.EXCLUDED)
        elif best is None:
            best = one
        else:
            two = zip(policy.rules, keys[best.partner], keys[one.partner], strict=True)
            left[one.partner] = Left(Reason.WORSE, best.partner, next(rule.name for rule, a, b in two if a != b))
    own = policy.offers.get(service)
    shown: dict[str, Route] = {}
    if own is not None:
        _show(own, 0, own.terms, own.marked, own.providers, policy, now, shown)
        if now < own.terms.until:
            until = min(until, own.terms.until)
    else:
        for one in fit:
            until = min(until, _pass(one, policy, now, shown))
    return Decision(Used(best.partner, best.route) if best else None, left, shown, until)


def _pass(one: Candidate, policy: Policy, now: int, shown: dict[str, Route]) -> int:
    """Passes a route on to each neighbour that has no better one yet; until when that holds, at the longest."""
    route, passed = one.route, len(one.route.path)
    if one.held.standing is not Standing.FRESH or passed > route.terms.passes or passed >= policy.limits.path:
        return FOREVER
    marked = route.marked or (one.partner if policy.roles.get(one.partner) in ABOVE else "")
    terms = route.terms.passed(policy.site, policy.words.get(route.service), route.path)
    _show(route, passed, terms, marked, policy.border or route.providers, policy, now, shown)
    return terms.until if now < terms.until else FOREVER


def _show(
    route: Route,
    passed: int,
    terms: Terms,
    marked: str,
    providers: tuple[Provider, ...],
    policy: Policy,
    now: int,
    shown: dict[str, Route],
) -> None:
    """Adds the route for each neighbour that may be shown it and has none yet. RFC 9234, section 5, on the way out:
    what is marked goes to nobody above or beside, and what goes beside or below is marked."""
    forms: dict[str, Route] = {}
    for to in terms.shown_to(policy.roles, now, passed):
        role = policy.roles[to]
        if to in shown or (marked and role in ABOVE) or (passed and to in route.path):
            continue
        mark = marked or (policy.site if role in BESIDE_OR_BELOW else "")
        if mark not in forms:
            path = (policy.site, *route.path) if passed else route.path
            forms[mark] = msgspec.structs.replace(route, path=path, providers=providers, terms=terms, marked=mark)
        shown[to] = forms[mark]


def merge(helds: Mapping[str, Held], policy: Policy, now: int) -> Merged:
    """The whole, from nothing. `now` is Unix time, ns, as are all times of terms and helds."""
    merged = Merged({}, {}, {to: {} for to in policy.roles})
    by_service: dict[str, list[Candidate]] = {service: [] for service in policy.offers}
    for partner, held in helds.items():
        if held.table is not None:
            for service, route in held.table.routes.items():
                by_service.setdefault(service, []).append(Candidate(partner, route, held))
    for service, candidates in by_service.items():
        _lay(merged, service, decide(service, candidates, policy, now))
    return merged


def _lay(merged: Merged, service: str, decision: Decision) -> None:
    if decision.used is not None:
        merged.used[service] = decision.used
    if decision.left:
        merged.left[service] = decision.left
    for to, route in decision.shown.items():
        merged.shown[to][service] = route


class Changed(NamedTuple):
    """What is another after a step."""

    used: set[str]  # services
    shown: set[str]  # neighbours


class Merger:
    """`merged` is what `merge` would give for `helds` at the time of the last call. Times never go back."""

    def __init__(self, policy: Policy, now: int = 0, helds: Mapping[str, Held] | None = None) -> None:
        """Another policy is another Merger, made with the `helds` of the one before."""
        self.policy = policy
        self.helds: dict[str, Held] = {}
        self.merged = Merged({}, {}, {to: {} for to in policy.roles})
        self.by_service: dict[str, dict[str, Route]] = {service: {} for service in policy.offers}
        self.shown_to: dict[str, set[str]] = {}  # by service, neighbours
        self.lapsed: dict[str, set[str]] = {}  # by partner, services whose route was not confirmed in time
        self.due: list[tuple[int, str]] = []
        self.due_at: dict[str, int] = {}  # by service, the entry of `due` that counts
        for partner, held in (helds or {}).items():
            self.helds[partner] = held
            for service, route in (held.table.routes if held.table is not None else {}).items():
                self.by_service.setdefault(service, {})[partner] = route
        self._again(self.by_service, now, Changed(set(), set()))

    @property
    def next_at(self) -> int:
        """When `advance` has something to do, at the earliest; Unix time, ns."""
        return self.due[0][0] if self.due else FOREVER

    def hold(self, partner: str, held: Held, now: int) -> Changed:
        """This is held of a partner from now on."""
        changed = self.advance(now)
        before = self.helds.get(partner, Held())
        self.helds[partner] = held
        old, new = (one.table.routes if one.table is not None else {} for one in (before, held))
        services: set[str]
        stands = (held.standing, held.since) != (before.standing, before.since)
        if stands or held.confirmed_at < before.confirmed_at:
            services = {*old, *new}
        elif old is new:
            services = set()
        else:
            services = {name for name, route in new.items() if old.get(name) is not route}
            services.update(name for name in old if name not in new)
        if held.confirmed_at > before.confirmed_at:
            services |= self.lapsed.get(partner, set())
        if old is not new:
            for name in services:
                if name in new:
                    self.by_service.setdefault(name, {})[partner] = new[name]
                elif name in self.by_service:
                    self.by_service[name].pop(partner, None)
        return self._again(services, now, changed)

    def drop(self, partner: str, now: int) -> Changed:
        """Nothing is held of a partner any more: it was taken out of the configuration."""
        changed = self.hold(partner, Held(), now)
        del self.helds[partner]
        self.lapsed.pop(partner, None)
        return changed

    def advance(self, now: int) -> Changed:
        """Time has gone on: what has come to its end goes."""
        changed = Changed(set(), set())
        services = set()
        while self.due and self.due[0][0] <= now:
            at, service = heapq.heappop(self.due)
            if self.due_at.get(service) == at:
                del self.due_at[service]
                services.add(service)
        return self._again(services, now, changed)

    def _again(self, services: Iterable[str], now: int, changed: Changed) -> Changed:
        merged, helds = self.merged, self.helds
        for service in list(services):
            routes = self.by_service.get(service, {})
            found = decide(service, [Candidate(p, route, helds[p]) for p, route in routes.items()], self.policy, now)
            if merged.used.pop(service, None) != found.used:
                changed.used.add(service)
            for partner in merged.left.pop(service, {}):
                self.lapsed.get(partner, set()).discard(service)
            for partner, why in found.left.items():
                if why.reason is Reason.EXPIRED:
                    self.lapsed.setdefault(partner, set()).add(service)
            for to in self.shown_to.pop(service, set()) - found.shown.keys():
                del merged.shown[to][service]
                changed.shown.add(to)
            for to, route in found.shown.items():
                if merged.shown[to].get(service) != route:
                    changed.shown.add(to)
            if found.shown:
                self.shown_to[service] = set(found.shown)
            _lay(merged, service, found)
            if not routes and service not in self.policy.offers:
                self.by_service.pop(service, None)
            if found.until < FOREVER and found.until < self.due_at.get(service, FOREVER):
                self.due_at[service] = found.until
                heapq.heappush(self.due, (found.until, service))
        return changed
