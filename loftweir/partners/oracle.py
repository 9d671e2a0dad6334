"""The judge of the fifth rule: a route is never used by, or shown to, a site that its terms exclude, over any path,
order, restart or partition, beyond a stated bound after the terms were told. Pure.

It reads only what happened: which terms were told at which site and when, what was used and what was shown. The bound
is `hop` for each site on the way: a site holds what its partner last said for its hold time and the time of being stale
at the most, and passes on only what is fresh. So an act is right if, for each site on the route's path, some terms that
held there within so many hops before the act allow it; `until` is judged at the moment of the act, with no bound.

A site that does not keep to the terms is not judged itself. What came by way of one may be as old as it likes, since no
one beyond it can tell: there the act must be right by some terms that were ever told.
"""

from __future__ import annotations

from typing import NamedTuple

from loftweir.partners.terms import OPEN, Terms

ALWAYS = 1 << 80


class Breach(NamedTuple):
    at: int
    act: str  # used, shown
    site: str  # who did it
    to: str  # whom it was shown; used: itself
    service: str
    path: tuple[str, ...]
    by: str  # the site whose terms exclude it

    def __str__(self) -> str:
        way = " ".join(self.path)
        return f"at {self.at}: {self.service} by {way}: {self.act} by {self.site} ({self.to}), excluded by {self.by}"


class Oracle:
    def __init__(self, hop: int, dishonest: frozenset[str] = frozenset()) -> None:
        """`hop`: the bound for each site on the way, ns."""
        self.hop, self.dishonest = hop, dishonest
        self.words: dict[tuple[str, str], list[tuple[int, Terms]]] = {}  # by site and service, in order of time
        self.breaches: list[Breach] = []
        self.acts = 0

    def told(self, at: int, site: str, service: str, terms: Terms) -> None:
        """From now on these are the terms of the service at its own site, or this site's word on passing it on. What
        is withdrawn has closed terms."""
        self.words.setdefault((site, service), []).append((at, terms))

    def used(self, at: int, site: str, service: str, path: tuple[str, ...]) -> None:
        """`path`: as `site` holds the route, its own site last."""
        self._judge(Breach(at, "used", site, site, service, path, ""), path)

    def shown(self, at: int, by: str, to: str, service: str, path: tuple[str, ...]) -> None:
        """`path`: as `by` shows the route: `by` first, its own site last."""
        self._judge(Breach(at, "shown", by, to, service, path, ""), path)

    def _judge(self, act: Breach, path: tuple[str, ...]) -> None:
        if act.site in self.dishonest:
            return
        self.acts += 1
        hops = 0 if act.act == "shown" else 1
        bound = 0
        for number, site in enumerate(path):
            if site in self.dishonest:
                bound = ALWAYS
            own = number == len(path) - 1
            held = self._within(act, site, own, bound + hops * self.hop)
            if not any(self._allows(terms, act, own) for terms in held):
                self.breaches.append(act._replace(by=site))
                return
            hops += 1

    def _within(self, act: Breach, site: str, own: bool, bound: int) -> list[Terms]:
        """The terms that held at a site at some time of the bound before the act."""
        words = self.words.get((site, act.service), [])
        found = [] if own else [OPEN]  # a passer that has said nothing
        for at, terms in words:
            if at <= act.at - bound:
                found = []
            if at <= act.at:
                found.append(terms)
        return found

    def _allows(self, terms: Terms, act: Breach, own: bool) -> bool:
        if terms.unknown or act.at >= terms.until:
            return False
        sites = terms.use if act.act == "used" else terms.show
        if not sites.has(act.to):
            return False
        # How often it has been passed on, to be where it is.
        return not own or len(act.path) - 1 <= terms.passes
