"""The terms of a route: who may use it, to whom it may be shown, how often it may be passed on, until when. Pure.

Terms form a semilattice under `meet`, with OPEN as its greatest value: passing on takes the meet with the passer's own
word, so that on its way a route's terms only tighten, whatever the order or number of the words (RFC 1997's
communities travel the same way; RFC 9234, section 5, keeps its mark on the route so that the *next* site can tell a
leak). Nothing in them counts down: `passes` is held against the length of the path, so that who is shown a route that
was passed on too often can tell, and who did it.

What is not understood is closed: neither used nor shown, by whoever does not understand it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

FOREVER = (1 << 63) - 1
MOST_PASSES = 255
MOST_NAMES = 256  # of sites in one term
FIELDS = ("use", "show", "passes", "until")


class Sites(msgspec.Struct, frozen=True, gc=False):
    """Those that are named, or all `but` those. Closed under `meet`, both being finite to write down."""

    names: frozenset[str] = frozenset()
    but: bool = False

    def has(self, site: str) -> bool:
        return (site in self.names) is not self.but

    def meet(self, other: Sites) -> Sites:
        if self.but and other.but:
            return Sites(self.names | other.names, True)
        if self.but or other.but:
            only, but = (other, self) if self.but else (self, other)
            return Sites(only.names - but.names)
        return Sites(self.names & other.names)

    def along(self, sites: Iterable[str]) -> Sites:
        """With these besides."""
        return Sites(self.names - frozenset(sites), True) if self.but else Sites(self.names | frozenset(sites))


ALL, NOBODY = Sites(but=True), Sites()


class Terms(msgspec.Struct, frozen=True, gc=False):
    use: Sites  # who may send to its providers
    show: Sites  # who may be told of it
    passes: int  # how many sites may pass it on, one after another; 0: nobody does
    until: int  # Unix time, ns; then neither used nor shown, wherever it has got to
    unknown: frozenset[str] = frozenset()  # terms that this version does not understand

    def meet(self, other: Terms) -> Terms:
        """Both words kept: what either closes is closed. Commutative, associative, idempotent."""
        return Terms(
            self.use.meet(other.use),
            self.show.meet(other.show),
            min(self.passes, other.passes),
            min(self.until, other.until),
            self.unknown | other.unknown,
        )

    def may_use(self, site: str, now: int) -> bool:
        return not self.unknown and now < self.until and self.use.has(site)

    def may_show(self, to: str, now: int, passed: int = 0) -> bool:
        """`passed`: by how many sites it would then have been passed on; 0: its own site shows it."""
        return bool(self.shown_to((to,), now, passed))

    def shown_to(self, sites: Iterable[str], now: int, passed: int = 0) -> list[str]:
        """Those of the sites to which it may be shown, as `may_show` has it."""
        if self.unknown or now >= self.until or passed > self.passes:
            return []
        names, but = self.show.names, self.show.but
        return [site for site in sites if (site in names) is not but]

    def passed(self, by: str, word: Terms | None = None, path: Iterable[str] = ()) -> Terms:
        """As `by` shows it on: tightened by its own `word` about whoever comes next. Those it came by, `path` and `by`
        itself, had it already: they stay in `show`, or the next site would take an honest path for a leak. From who
        may not have been shown it comes nothing that is open."""
        if not self.show.has(by):
            return self.meet(CLOSED)
        if word is None:
            return self
        return self.meet(msgspec.structs.replace(word, show=word.show.along((by, *path))))


OPEN = Terms(ALL, ALL, MOST_PASSES, FOREVER)
CLOSED = Terms(NOBODY, NOBODY, 0, 0)


def leaked(terms: Terms, path: tuple[str, ...], to: str) -> str:
    """Who broke the terms by which `to` holds a route with this path (nearest first, its own site last); empty: nobody.

    Source: RFC 9234, section 5, the receiving side's check, with the route's own terms in place of the roles."""
    went = (*reversed(path), to)  # from its own site on
    for step in range(1, len(went)):
        if step - 1 > terms.passes or not terms.show.has(went[step]):
            return went[step - 1]
    return ""


def read_terms(value: Any) -> Terms:
    """Terms in their JSON form. What is missing, is not known, or has another form than this version knows is listed
    in `unknown`, so that it closes the route: no error is raised, since one partner's newer version must not cost it
    the routes whose terms are understood."""
    if not isinstance(value, dict):
        return msgspec.structs.replace(CLOSED, unknown=frozenset(("terms",)))
    unknown = {str(name)[:63] for name in value if name not in FIELDS}
    found: dict[str, Any] = {}
    for name, read in (("use", _sites), ("show", _sites), ("passes", _passes), ("until", _until)):
        found[name] = read(value.get(name))
        if found[name] is None:
            unknown.add(name)
            found[name] = getattr(CLOSED, name)
    return Terms(**found, unknown=frozenset(unknown))


def plain(terms: Terms) -> dict[str, Any]:
    """The JSON form. What was not understood can't be written again: it is written as closed."""
    if terms.unknown:
        terms = terms.meet(CLOSED)
    until: int | str = "forever" if terms.until >= FOREVER else terms.until
    return {"use": _written(terms.use), "show": _written(terms.show), "passes": terms.passes, "until": until}


def _written(sites: Sites) -> Any:
    if not sites.names:
        return "all" if sites.but else "nobody"
    return {"but" if sites.but else "only": sorted(sites.names)}


def _sites(value: Any) -> Sites | None:
    if value == "all":
        return ALL
    if value == "nobody":
        return NOBODY
    if isinstance(value, dict) and len(value) == 1:
        ((kind, names),) = value.items()
        fit = isinstance(names, list) and len(names) <= MOST_NAMES and all(isinstance(name, str) for name in names)
        if kind in ("only", "but") and fit:
            return Sites(frozenset(name.lower() for name in names), kind == "but")
    return None


def _passes(value: Any) -> int | None:
    return value if type(value) is int and 0 <= value <= MOST_PASSES else None


def _until(value: Any) -> int | None:
    return FOREVER if value == "forever" else value if type(value) is int and 0 <= value < FOREVER else None
