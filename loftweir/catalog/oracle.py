"""The judge of the catalog's third and fourth invariants: nothing runs twice that a mesh where it ran calls once, or
outside the memory by which a mesh drops repeats. Pure.

It asks no merged contract, but what each mesh itself had declared when the request was begun; and it repeats whatever
the service's contract lets a balancer repeat, at every provider that the balancer then has.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from loftweir.catalog.build import Catalog, Service
from loftweir.catalog.contract import Clause
from loftweir.interface import Effect, Endpoint, Scope


class Begun(NamedTuple):
    """A request that may have run at a provider."""

    key: str  # of its service, whose balancer it stays with
    clause: Clause  # of its class as it was taken with
    provider: Endpoint
    words: Mapping[str, Clause]  # by mesh, what that had declared


def group(provider: Endpoint, scope: Scope) -> object:
    return provider.cell if scope is Scope.CELL else provider.zone if scope is Scope.ZONE else None


class Oracle:
    def __init__(self, home: Callable[[Endpoint], str]) -> None:
        """`home`: a provider's mesh."""
        self.home = home
        self.repeats = 0
        self.breaches: list[str] = []

    def judge(self, catalog: Catalog, begun: Iterable[Begun]) -> None:
        live = {one.key: one for one in catalog.entries.values() if isinstance(one, Service)}
        for one in begun:
            service = live.get(one.key)
            if service is None:  # its balancer has nobody left who is not draining
                continue
            for other in catalog.providers(service).endpoints.values():
                if self._may(one, other):
                    self.repeats += 1
                    self._hold(one, other)

    def _may(self, one: Begun, other: Endpoint) -> bool:
        effect, scope = one.clause.effect, one.clause.scope
        same = group(other, scope) == group(one.provider, scope)
        return effect is Effect.REPEATABLE or (effect is Effect.BY_KEY and same)

    def _hold(self, one: Begun, other: Endpoint) -> None:
        where = f"{one.key}: at {one.provider.address}, then {other.address}"
        words = [one.words[self.home(provider)] for provider in (one.provider, other)]
        if any(word.effect is Effect.ONCE for word in words):
            self.breaches.append(f"{where}: twice, where it is called once")
        elif any(word.effect is Effect.BY_KEY for word in words):
            if self.home(one.provider) != self.home(other):
                self.breaches.append(f"{where}: in a mesh that does not know its key")
            elif group(other, words[0].scope) != group(one.provider, words[0].scope):
                self.breaches.append(f"{where}: outside the scope that drops repeats")
