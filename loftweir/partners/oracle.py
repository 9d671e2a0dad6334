"""Checks that terms are kept: a route is never used by, or shown to, a site that its terms exclude.

This has to hold over any path, order of messages, restart or partition, within a stated bound after the terms were
declared. Pure: no I/O and no clock.

The oracle reads only what happened: which terms were declared at which site and when, which routes were used and shown.
The bound is `hop` for each site on the path: a site stores what its partner last sent for at most its hold time and the
time in the stale state, and passes on only what is fresh. So an action is correct if, for each site on the route's
path, some terms that were valid there within as many hops before the action allow it. `until` is checked at the time of
the action, without a bound.

A site that ignores terms is not checked itself. What came by way of such a site can be arbitrarily old, since no site
after it can detect that: then the action has to be allowed by some terms that were ever declared.
"""

from __future__ import annotations

from typing import NamedTuple

from loftweir.partners.terms import OPEN, Terms

UNBOUNDED = 1 << 80


class Breach(NamedTuple):
    """An action that the terms of a site on the path exclude."""

    at: int  # ns
    act: str  # "used" or "shown"
    site: str  # the site that used or showed the route
    to: str  # the site that was shown the route; the same as `site` if it was used
    service: str
    path: tuple[str, ...]
    by: str  # the site whose terms exclude the action

    def __str__(self) -> str:
        path = " ".join(self.path)
        return (
            f"at {self.at}: {self.service} with path {path}: {self.act} by {self.site} ({self.to}), "
            f"excluded by {self.by}"
        )


class Oracle:
    """Collects declared terms and checks each use and each showing of a route against them."""

    def __init__(self, hop: int, dishonest: frozenset[str] = frozenset()) -> None:
        """`hop`: the bound for each site on the path, in ns."""
        self.hop, self.dishonest = hop, dishonest
        self.declared: dict[tuple[str, str], list[tuple[int, Terms]]] = {}  # by site and service, in the order of time
        self.breaches: list[Breach] = []
        self.acts = 0

    def declare(self, at: int, site: str, service: str, terms: Terms) -> None:
        """Records terms that are valid from now on: those of the service at its own site, or the restriction of a site
        that passes it on. A withdrawn service has closed terms."""
        self.declared.setdefault((site, service), []).append((at, terms))

    def used(self, at: int, site: str, service: str, path: tuple[str, ...]) -> None:
        """Checks the use of a route. `path`: as `site` received it, the route's own site last."""
        self._check(Breach(at, "used", site, site, service, path, ""), path)

    def shown(self, at: int, by: str, to: str, service: str, path: tuple[str, ...]) -> None:
        """Checks the showing of a route. `path`: as `by` shows it, with `by` first and the route's own site last."""
        self._check(Breach(at, "shown", by, to, service, path, ""), path)

    def _check(self, act: Breach, path: tuple[str, ...]) -> None:
        if act.site in self.dishonest:
            return
        self.acts += 1
        hops = 0 if act.act == "shown" else 1
        bound = 0
        for number, site in enumerate(path):
            if site in self.dishonest:
                bound = UNBOUNDED
            own = number == len(path) - 1
            valid = self._valid_terms(act, site, own, bound + hops * self.hop)
            if not any(self._allows(terms, act, own) for terms in valid):
                self.breaches.append(act._replace(by=site))
                return
            hops += 1

    def _valid_terms(self, act: Breach, site: str, own: bool, bound: int) -> list[Terms]:
        """The terms that were valid at a site at some time within the bound before the action."""
        declared = self.declared.get((site, act.service), [])
        valid = [] if own else [OPEN]  # a site without a restriction passes on everything
        for at, terms in declared:
            if at <= act.at - bound:
                valid = []
            if at <= act.at:
                valid.append(terms)
        return valid

    def _allows(self, terms: Terms, act: Breach, own: bool) -> bool:
        if terms.unknown or act.at >= terms.until:
            return False
        sites = terms.use if act.act == "used" else terms.show
        if not sites.contains(act.to):
            return False
        # The number of sites that passed the route on so far.
        return not own or len(act.path) - 1 <= terms.passes
