"""Decides from the partners' tables which routes this site uses, which it shows to each neighbour, and why others are
unused.

Pure functions and values, without I/O or a clock.

`merge` is a function of the state of each partner, the policy and the time. The state has the newest table of each
partner (`newest_tables`), so that neither the order nor the number of arrivals matters. `Merger` processes one change
at a time and decides only the services again that the change affects.

Invariants:
 1. A route is used here only if its terms name this site (`may_use`), and is shown to a neighbour only if its terms
    name that neighbour (`may_show`). The latter is also checked for each step of the path of a received route, so that
    the first honest site detects a partner that ignores the terms (`Reason.LEAKED`).
 2. Only a route that the partner confirmed within its hold time is passed on. A stale route is at most used here, and
    as the last choice (RFC 4724, section 4.2, keeps stale routes for a time; RFC 9494, section 4.3, prefers others).
 3. The result in a Merger always equals that of `merge` for the same policy, partner states and time.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from loftweir.partners.table import DEFAULT_LIMITS, Limits, Provider, Route, Table, newer_table
from loftweir.partners.terms import FOREVER, Terms, find_leaker


class Freshness(Enum):
    """How recently a partner confirmed its table."""

    FRESH = "fresh"
    STALE = "stale"  # no valid response for longer than the hold time
    GONE = "gone"  # stale for longer than `gone`, damped, or not asked yet: its routes are not used


class PartnerState(msgspec.Struct, frozen=True):
    """What is known of one partner: its last valid table and how fresh it is."""

    table: Table | None = None
    freshness: Freshness = msgspec.field(default=Freshness.GONE, name="standing")
    since: int = 0  # Unix time in ns of the last change of `freshness`
    confirmed_at: int = 0  # Unix time in ns of the last valid response
    back_at: int = 0  # Unix time in ns of the last return from GONE; 0: never


class Role(Enum):
    """The relation of a neighbour to this site (RFC 9234, section 3). NONE: only the terms decide what may be passed
    on."""

    NONE = "none"
    UPSTREAM = "upstream"  # provides transit to this site
    PEER = "peer"
    DOWNSTREAM = "downstream"  # gets transit from this site


UPSTREAM_OR_PEER = (Role.UPSTREAM, Role.PEER)
PEER_OR_DOWNSTREAM = (Role.PEER, Role.DOWNSTREAM)
ROLE_RANK = {Role.DOWNSTREAM: 0, Role.NONE: 1, Role.PEER: 2, Role.UPSTREAM: 3}


class Candidate(msgspec.Struct, frozen=True, gc=False):
    """One partner's route to a service, with the state of that partner."""

    partner: str
    route: Route
    state: PartnerState = msgspec.field(name="held")


class Rule(NamedTuple):
    """One rule of the route decision. The smaller key is the better route."""

    name: str
    key: Callable[[Candidate, Policy], Any]


# The first rule whose keys differ decides between two routes (RFC 4271, section 9.1.2).
RULES = (
    Rule("confirmed before stale", lambda candidate, policy: candidate.state.freshness is not Freshness.FRESH),
    Rule(
        "preference", lambda candidate, policy: -policy.preference.get(candidate.partner, 0)
    ),  # RFC 4271, section 9.1.1
    Rule("role", lambda candidate, policy: ROLE_RANK[policy.roles.get(candidate.partner, Role.NONE)]),
    Rule("shorter path", lambda candidate, policy: len(candidate.route.path)),  # section 9.1.2.2 a
    Rule("greater share", lambda candidate, policy: -(candidate.route.share or 1.0)),
    Rule(
        "name", lambda candidate, policy: candidate.partner
    ),  # section 9.1.2.2 f; has to be the last rule: names are unique
)


class Policy(msgspec.Struct, frozen=True):
    """The configuration of this site that decides about routes. All names are in lower case."""

    site: str
    roles: Mapping[str, Role] = {}  # of each neighbour that is shown a table
    preference: Mapping[str, int] = {}  # by partner; the greater is preferred
    offers: Mapping[str, Route] = {}  # this site's own routes, each with the path (site,)
    # By service: restrictions that this site adds to the terms of a route that it passes on.
    restrictions: Mapping[str, Terms] = msgspec.field(default_factory=dict, name="words")
    border: tuple[Provider, ...] = ()  # replace the providers of a route that is passed on; empty: its providers stay
    gone_after: int = 30_000_000_000  # ns in the stale state after which no route of the partner is used
    limits: Limits = DEFAULT_LIMITS
    rules: tuple[Rule, ...] = RULES


class Reason(Enum):
    """Why a route is not used."""

    AWAY = "the partner is away"
    STALE = "stale past hold"
    UNKNOWN = "unknown term"
    EXPIRED = "expired"
    LOOP = "loop: this site is in its path"
    LEAKED = "leaked by"
    LIMIT = "over limit"
    EXCLUDED = "excluded by its terms"
    WORSE = "worse than"


class UnusedRoute(NamedTuple):
    """A route that is not used here, and the reason."""

    reason: Reason
    who: str = ""  # the better partner, the leaking site, the unknown term or the exceeded limit
    how: str = ""  # the rule that decided

    def __str__(self) -> str:
        return " ".join(filter(None, (self.reason.value, self.who, f"({self.how})" if self.how else "")))


class UsedRoute(NamedTuple):
    """The route that is used for a service, and the partner that offers it."""

    partner: str
    route: Route


class Decision(NamedTuple):
    """The decision about one service."""

    used: UsedRoute | None
    left: dict[str, UnusedRoute]  # by partner
    shown: dict[str, Route]  # by neighbour
    until: int  # Unix time in ns of the next possible change of the decision


class MergeResult(NamedTuple):
    """The decisions about all services."""

    used: dict[str, UsedRoute]
    left: dict[str, dict[str, UnusedRoute]]  # by service, then by partner
    shown: dict[str, dict[str, Route]]  # by neighbour, then by service; has an entry for every neighbour


def newest_tables(first: Mapping[str, Table], second: Mapping[str, Table]) -> dict[str, Table]:
    """The newest table of each partner in both maps. Commutative, associative, idempotent."""
    newest_by_partner = dict(first)
    for partner, table in second.items():
        newest = newer_table(newest_by_partner.get(partner), table)
        if newest is not None:
            newest_by_partner[partner] = newest
    return newest_by_partner


def expiry(candidate: Candidate, policy: Policy) -> tuple[int, Reason]:
    """The Unix time in ns at which the route expires unless the partner confirms it again, and the reason."""
    state, route = candidate.state, candidate.route
    until, terms_until = state.confirmed_at + route.valid_for, route.terms.until
    if terms_until < until:
        until = terms_until
    if state.freshness is Freshness.STALE and state.since + policy.gone_after < until:
        return state.since + policy.gone_after, Reason.STALE
    return until, Reason.EXPIRED


def rejection(candidate: Candidate, policy: Policy, now: int) -> UnusedRoute | None:
    """The reason why this route is neither used nor passed on here, independently of other routes; None if it may be.
    Reasons that do not depend on time come first, then the earliest expiry, so that a reason stays until something new
    is received."""
    route, terms = candidate.route, candidate.route.terms
    if candidate.state.freshness is Freshness.GONE:
        return UnusedRoute(Reason.AWAY)
    if terms.unknown:
        return UnusedRoute(Reason.UNKNOWN, ", ".join(sorted(terms.unknown)))
    if policy.site in route.path:  # RFC 4271, section 9.1.2
        return UnusedRoute(Reason.LOOP)
    by = find_leaker(terms, route.path, policy.site) or (_role_violator(candidate, policy) if route.marked else "")
    if by:
        return UnusedRoute(Reason.LEAKED, by)
    if len(route.path) > policy.limits.path:
        return UnusedRoute(Reason.LIMIT, "path")
    until, reason = expiry(candidate, policy)
    return UnusedRoute(reason) if now >= until else None


def _role_violator(candidate: Candidate, policy: Policy) -> str:
    """The partner, if it offers a route against its role; else empty. RFC 9234, section 5, the check on receipt: the
    route is marked for downstream sites, and yet was shown to an upstream site or a peer."""
    role = policy.roles.get(candidate.partner, Role.NONE)
    if role is Role.DOWNSTREAM or (role is Role.PEER and candidate.route.marked != candidate.partner):
        return candidate.partner
    return ""


def decide(service: str, candidates: Iterable[Candidate], policy: Policy, now: int) -> Decision:
    """Decides about one service, from at most one route of each partner."""
    left: dict[str, UnusedRoute] = {}
    usable: list[Candidate] = []
    until = FOREVER
    for candidate in candidates:
        rejected = rejection(candidate, policy, now)
        if rejected is None:
            usable.append(candidate)
            expires_at = expiry(candidate, policy)[0]
            until = expires_at if expires_at < until else until
        else:
            left[candidate.partner] = rejected
    keys: dict[str, list[Any]] = {}
    if len(usable) > 1:
        keys = {candidate.partner: [rule.key(candidate, policy) for rule in policy.rules] for candidate in usable}
        usable.sort(key=lambda candidate: keys[candidate.partner])
    best: Candidate | None = None
    for candidate in usable:
        if not candidate.route.terms.may_use(policy.site, now):
            left[candidate.partner] = UnusedRoute(Reason.EXCLUDED)
        elif best is None:
            best = candidate
        else:
            keyed_rules = zip(policy.rules, keys[best.partner], keys[candidate.partner], strict=True)
            rule = next(rule for rule, best_key, key in keyed_rules if best_key != key)
            left[candidate.partner] = UnusedRoute(Reason.WORSE, best.partner, rule.name)
    own = policy.offers.get(service)
    shown: dict[str, Route] = {}
    if own is not None:
        _offer(own, 0, own.terms, own.marked, own.providers, policy, now, shown)
        if now < own.terms.until:
            until = min(until, own.terms.until)
    else:
        for candidate in usable:
            until = min(until, _pass_on(candidate, policy, now, shown))
    return Decision(UsedRoute(best.partner, best.route) if best else None, left, shown, until)


def _pass_on(candidate: Candidate, policy: Policy, now: int, shown: dict[str, Route]) -> int:
    """Offers a route to each neighbour that has no better one yet. Returns until when this decision holds at most."""
    route, pass_count = candidate.route, len(candidate.route.path)
    if (
        candidate.state.freshness is not Freshness.FRESH
        or pass_count > route.terms.passes
        or pass_count >= policy.limits.path
    ):
        return FOREVER
    marked = route.marked or (candidate.partner if policy.roles.get(candidate.partner) in UPSTREAM_OR_PEER else "")
    terms = route.terms.passed_on(policy.site, policy.restrictions.get(route.service), route.path)
    _offer(route, pass_count, terms, marked, policy.border or route.providers, policy, now, shown)
    return terms.until if now < terms.until else FOREVER


def _offer(
    route: Route,
    pass_count: int,
    terms: Terms,
    marked: str,
    providers: tuple[Provider, ...],
    policy: Policy,
    now: int,
    shown: dict[str, Route],
) -> None:
    """Adds the route for each neighbour that may be shown it and has none yet. RFC 9234, section 5, the check on
    sending: a marked route goes to no upstream site or peer, and a route that goes to a peer or downstream is marked.
    """
    by_mark: dict[str, Route] = {}
    for to in terms.allowed_recipients(policy.roles, now, pass_count):
        role = policy.roles[to]
        if to in shown or (marked and role in UPSTREAM_OR_PEER) or (pass_count and to in route.path):
            continue
        mark = marked or (policy.site if role in PEER_OR_DOWNSTREAM else "")
        if mark not in by_mark:
            path = (policy.site, *route.path) if pass_count else route.path
            by_mark[mark] = msgspec.structs.replace(route, path=path, providers=providers, terms=terms, marked=mark)
        shown[to] = by_mark[mark]


def merge(partner_states: Mapping[str, PartnerState], policy: Policy, now: int) -> MergeResult:
    """Decides about all services at once. `now` is Unix time in ns, like all times in terms and partner states."""
    merged = MergeResult({}, {}, {to: {} for to in policy.roles})
    by_service: dict[str, list[Candidate]] = {service: [] for service in policy.offers}
    for partner, state in partner_states.items():
        if state.table is not None:
            for service, route in state.table.routes.items():
                by_service.setdefault(service, []).append(Candidate(partner, route, state))
    for service, candidates in by_service.items():
        _store_decision(merged, service, decide(service, candidates, policy, now))
    return merged


def _store_decision(merged: MergeResult, service: str, decision: Decision) -> None:
    if decision.used is not None:
        merged.used[service] = decision.used
    if decision.left:
        merged.left[service] = decision.left
    for to, route in decision.shown.items():
        merged.shown[to][service] = route


class MergeChanges(NamedTuple):
    """What a step has changed."""

    used: set[str]  # services whose used route changed
    shown: set[str]  # neighbours whose offered routes changed


class Merger:
    """Keeps the decisions up to date, one change at a time. `merged` equals `merge` for `partner_states` at the time of
    the last call. Times must not decrease."""

    def __init__(self, policy: Policy, now: int = 0, partner_states: Mapping[str, PartnerState] | None = None) -> None:
        """A change of the policy needs a new Merger, made with the `partner_states` of the previous one."""
        self.policy = policy
        self.partner_states: dict[str, PartnerState] = {}
        self.merged = MergeResult({}, {}, {to: {} for to in policy.roles})
        self.by_service: dict[str, dict[str, Route]] = {service: {} for service in policy.offers}
        self.recipients: dict[str, set[str]] = {}  # neighbours that are shown the service, by service
        self.unconfirmed: dict[str, set[str]] = {}  # services whose route was not confirmed in time, by partner
        self.due: list[tuple[int, str]] = []
        self.due_at: dict[str, int] = {}  # by service: the entry of `due` that is valid
        for partner, state in (partner_states or {}).items():
            self.partner_states[partner] = state
            for service, route in (state.table.routes if state.table is not None else {}).items():
                self.by_service.setdefault(service, {})[partner] = route
        self._redecide(self.by_service, now, MergeChanges(set(), set()))

    @property
    def next_at(self) -> int:
        """The earliest Unix time in ns at which `advance` has something to do."""
        return self.due[0][0] if self.due else FOREVER

    def update_partner(self, partner: str, state: PartnerState, now: int) -> MergeChanges:
        """Replaces the state of a partner."""
        changed = self.advance(now)
        before = self.partner_states.get(partner, PartnerState())
        self.partner_states[partner] = state
        old, new = (known.table.routes if known.table is not None else {} for known in (before, state))
        services: set[str]
        freshness_changed = (state.freshness, state.since) != (before.freshness, before.since)
        if freshness_changed or state.confirmed_at < before.confirmed_at:
            services = {*old, *new}
        elif old is new:
            services = set()
        else:
            services = {name for name, route in new.items() if old.get(name) is not route}
            services.update(name for name in old if name not in new)
        if state.confirmed_at > before.confirmed_at:
            services |= self.unconfirmed.get(partner, set())
        if old is not new:
            for name in services:
                if name in new:
                    self.by_service.setdefault(name, {})[partner] = new[name]
                elif name in self.by_service:
                    self.by_service[name].pop(partner, None)
        return self._redecide(services, now, changed)

    def remove_partner(self, partner: str, now: int) -> MergeChanges:
        """Removes a partner that is no longer configured."""
        changed = self.update_partner(partner, PartnerState(), now)
        del self.partner_states[partner]
        self.unconfirmed.pop(partner, None)
        return changed

    def advance(self, now: int) -> MergeChanges:
        """Decides again about the services whose time has come."""
        changed = MergeChanges(set(), set())
        services = set()
        while self.due and self.due[0][0] <= now:
            at, service = heapq.heappop(self.due)
            if self.due_at.get(service) == at:
                del self.due_at[service]
                services.add(service)
        return self._redecide(services, now, changed)

    def _redecide(self, services: Iterable[str], now: int, changed: MergeChanges) -> MergeChanges:
        merged, partner_states = self.merged, self.partner_states
        for service in list(services):
            routes = self.by_service.get(service, {})
            decision = decide(
                service, [Candidate(p, route, partner_states[p]) for p, route in routes.items()], self.policy, now
            )
            if merged.used.pop(service, None) != decision.used:
                changed.used.add(service)
            for partner in merged.left.pop(service, {}):
                self.unconfirmed.get(partner, set()).discard(service)
            for partner, rejected in decision.left.items():
                if rejected.reason is Reason.EXPIRED:
                    self.unconfirmed.setdefault(partner, set()).add(service)
            for to in self.recipients.pop(service, set()) - decision.shown.keys():
                del merged.shown[to][service]
                changed.shown.add(to)
            for to, route in decision.shown.items():
                if merged.shown[to].get(service) != route:
                    changed.shown.add(to)
            if decision.shown:
                self.recipients[service] = set(decision.shown)
            _store_decision(merged, service, decision)
            if not routes and service not in self.policy.offers:
                self.by_service.pop(service, None)
            if decision.until < FOREVER and decision.until < self.due_at.get(service, FOREVER):
                self.due_at[service] = decision.until
                heapq.heappush(self.due, (decision.until, service))
        return changed
