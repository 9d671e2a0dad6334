"""The terms of a route: which sites may use it, which may be shown it, how often it may be passed on, and until when.

Pure functions and values, without I/O or a clock.

Terms form a semilattice under `meet`, with OPEN as its greatest value. A site that passes a route on takes the meet of
the route's terms with its own restriction, so that terms only become tighter along the way, whatever the order or
number of restrictions (RFC 1997's communities travel with a route in the same way; RFC 9234, section 5, keeps its mark
on the route so that the *next* site can detect a leak). No counter is decremented: `passes` is compared with the length
of the path, so that a site that receives a route which was passed on too often can detect it and name the site that did
so.

A term that a site does not understand closes the route for that site: it neither uses nor shows it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

FOREVER = (1 << 63) - 1  # Unix time in ns that stands for no end
MAX_PASSES = 255
MAX_SITE_NAMES = 256  # site names in one set
FIELDS = ("use", "show", "passes", "until")


class SiteSet(msgspec.Struct, frozen=True, gc=False):
    """The sites that are named, or with `but` all sites except those. `meet` stays within this form: either is finite
    to write."""

    names: frozenset[str] = frozenset()
    but: bool = False

    def contains(self, site: str) -> bool:
        """Whether the site is in the set."""
        return (site in self.names) is not self.but

    def meet(self, other: SiteSet) -> SiteSet:
        """The intersection of both sets."""
        if self.but and other.but:
            return SiteSet(self.names | other.names, True)
        if self.but or other.but:
            named, excepted = (other, self) if self.but else (self, other)
            return SiteSet(named.names - excepted.names)
        return SiteSet(self.names & other.names)

    def union_with(self, sites: Iterable[str]) -> SiteSet:
        """The union of this set with the given sites."""
        return SiteSet(self.names - frozenset(sites), True) if self.but else SiteSet(self.names | frozenset(sites))


ALL_SITES = SiteSet(but=True)
NO_SITES = SiteSet()


class Terms(msgspec.Struct, frozen=True, gc=False):
    """What the owner of a route and the sites that passed it on allow."""

    use: SiteSet  # sites that may send requests to the route's providers
    show: SiteSet  # sites that may be shown the route
    passes: int  # number of sites that may pass it on, one after another; 0: none
    until: int  # Unix time in ns, after which no site uses or shows the route
    unknown: frozenset[str] = frozenset()  # names of the terms that this version does not understand

    def meet(self, other: Terms) -> Terms:
        """Both terms at once: whatever either of them forbids is forbidden. Commutative, associative, idempotent."""
        return Terms(
            self.use.meet(other.use),
            self.show.meet(other.show),
            min(self.passes, other.passes),
            min(self.until, other.until),
            self.unknown | other.unknown,
        )

    def may_use(self, site: str, now: int) -> bool:
        """Whether the site may send requests to the route's providers now."""
        return not self.unknown and now < self.until and self.use.contains(site)

    def may_show(self, to: str, now: int, pass_count: int = 0) -> bool:
        """Whether the route may be shown to the site. `pass_count`: how many sites will have passed it on by then; 0 if
        its own site shows it."""
        return bool(self.allowed_recipients((to,), now, pass_count))

    def allowed_recipients(self, sites: Iterable[str], now: int, pass_count: int = 0) -> list[str]:
        """Those of the sites to which `may_show` allows the route to be shown."""
        if self.unknown or now >= self.until or pass_count > self.passes:
            return []
        names, but = self.show.names, self.show.but
        return [site for site in sites if (site in names) is not but]

    def passed_on(self, by: str, restriction: Terms | None = None, path: Iterable[str] = ()) -> Terms:
        """The terms with which `by` passes the route on, tightened by its own `restriction` on the sites that come
        next.

        The sites that the route came by (`path` and `by` itself) already have it. They stay in `show`, because
        otherwise the next site would take an honest path for a leak. If `by` itself should not have been shown the
        route, the result is closed.
        """
        if not self.show.contains(by):
            return self.meet(CLOSED)
        if restriction is None:
            return self
        return self.meet(msgspec.structs.replace(restriction, show=restriction.show.union_with((by, *path))))


OPEN = Terms(ALL_SITES, ALL_SITES, MAX_PASSES, FOREVER)
CLOSED = Terms(NO_SITES, NO_SITES, 0, 0)


def find_leaker(terms: Terms, path: tuple[str, ...], to: str) -> str:
    """The site that broke the terms of a route that `to` received with this path (nearest site first, the route's own
    site last), or an empty string.

    Source: RFC 9234, section 5, the check on the receiving side, with the route's own terms in place of the roles.
    """
    way = (*reversed(path), to)  # the way of the route, starting at its own site
    for step in range(1, len(way)):
        if step - 1 > terms.passes or not terms.show.contains(way[step]):
            return way[step - 1]
    return ""


def parse_terms(value: Any) -> Terms:
    """Reads terms from their JSON form. Terms that are missing, are not known, or have a form that this version does
    not know are listed in `unknown`, which closes the route. No error is raised, because a partner that runs a newer
    version must not lose the routes whose terms are understood."""
    if not isinstance(value, dict):
        return msgspec.structs.replace(CLOSED, unknown=frozenset(("terms",)))
    unknown = {str(name)[:63] for name in value if name not in FIELDS}
    parsed: dict[str, Any] = {}
    for name, parse in (
        ("use", _parse_sites),
        ("show", _parse_sites),
        ("passes", _parse_passes),
        ("until", _parse_until),
    ):
        parsed[name] = parse(value.get(name))
        if parsed[name] is None:
            unknown.add(name)
            parsed[name] = getattr(CLOSED, name)
    return Terms(**parsed, unknown=frozenset(unknown))


def terms_to_json(terms: Terms) -> dict[str, Any]:
    """The JSON form of the terms. Unknown terms can't be written again, so the terms are then written as closed."""
    if terms.unknown:
        terms = terms.meet(CLOSED)
    until: int | str = "forever" if terms.until >= FOREVER else terms.until
    return {
        "use": _sites_to_json(terms.use),
        "show": _sites_to_json(terms.show),
        "passes": terms.passes,
        "until": until,
    }


def _sites_to_json(sites: SiteSet) -> Any:
    if not sites.names:
        return "all" if sites.but else "nobody"
    return {"but" if sites.but else "only": sorted(sites.names)}


def _parse_sites(value: Any) -> SiteSet | None:
    if value == "all":
        return ALL_SITES
    if value == "nobody":
        return NO_SITES
    if isinstance(value, dict) and len(value) == 1:
        ((kind, names),) = value.items()
        valid = (
            isinstance(names, list) and len(names) <= MAX_SITE_NAMES and all(isinstance(name, str) for name in names)
        )
        if kind in ("only", "but") and valid:
            return SiteSet(frozenset(name.lower() for name in names), kind == "but")
    return None


def _parse_passes(value: Any) -> int | None:
    return value if type(value) is int and 0 <= value <= MAX_PASSES else None


def _parse_until(value: Any) -> int | None:
    return FOREVER if value == "forever" else value if type(value) is int and 0 <= value < FOREVER else None
