"""Checks the third and fourth invariant of the catalog: a request is never executed twice at meshes of which one
declares its class as once, nor outside the scope in which a mesh drops duplicates.

Pure: no I/O and no clock.

The oracle does not use the merged contract, but what each mesh itself had declared when the request began. It retries
whatever the service's contract lets a balancer retry, at every provider that the balancer then has.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from loftweir.catalog.build import Catalog, Service
from loftweir.catalog.contract import Clause
from loftweir.interface import Effect, Endpoint, Scope


class StartedRequest(NamedTuple):
    """A request that may have been executed at a provider."""

    key: str  # of its service, whose balancer it stays with
    clause: Clause  # of its class when it was accepted
    provider: Endpoint
    declared: Mapping[str, Clause]  # by mesh: the clause that the mesh had declared


def dedup_group(provider: Endpoint, scope: Scope) -> object:
    """The group of providers that share the memory of keys for this scope."""
    return provider.cell if scope is Scope.CELL else provider.zone if scope is Scope.ZONE else None


class Oracle:
    """Retries requests in every way that the contract allows, and records breaches."""

    def __init__(self, mesh_of: Callable[[Endpoint], str]) -> None:
        """`mesh_of`: the mesh of a provider."""
        self.mesh_of = mesh_of
        self.retries = 0
        self.breaches: list[str] = []

    def check(self, catalog: Catalog, begun: Iterable[StartedRequest]) -> None:
        """Retries each request at every provider that its service has in this catalog."""
        live = {entry.key: entry for entry in catalog.entries.values() if isinstance(entry, Service)}
        for request in begun:
            service = live.get(request.key)
            if service is None:  # all providers of its balancer are draining
                continue
            for other in catalog.providers(service).endpoints.values():
                if self._may_retry(request, other):
                    self.retries += 1
                    self._check_retry(request, other)

    def _may_retry(self, request: StartedRequest, other: Endpoint) -> bool:
        effect, scope = request.clause.effect, request.clause.scope
        same = dedup_group(other, scope) == dedup_group(request.provider, scope)
        return effect is Effect.REPEATABLE or (effect is Effect.BY_KEY and same)

    def _check_retry(self, request: StartedRequest, other: Endpoint) -> None:
        where = f"{request.key}: at {request.provider.address}, then {other.address}"
        declared = [request.declared[self.mesh_of(provider)] for provider in (request.provider, other)]
        if any(clause.effect is Effect.ONCE for clause in declared):
            self.breaches.append(f"{where}: executed twice, although a mesh declares it as once")
        elif any(clause.effect is Effect.BY_KEY for clause in declared):
            if self.mesh_of(request.provider) != self.mesh_of(other):
                self.breaches.append(f"{where}: in a mesh that does not know its key")
            elif dedup_group(other, declared[0].scope) != dedup_group(request.provider, declared[0].scope):
                self.breaches.append(f"{where}: outside the scope in which duplicates are dropped")
