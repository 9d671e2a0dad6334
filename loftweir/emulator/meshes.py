"""The sidecars of one site and several meshes in virtual time, for the catalog.

Each sidecar applies the same replicated log and is cut off at times. Meshes come and go and change the declarations of
their services; a pin is set and removed. Pure; all randomness comes from the seed.

`acknowledged` has the index of each acknowledged claim until its release is in the log. The oracle of the catalog
checks which requests could be retried after a change.
"""

from __future__ import annotations

import random

from loftweir.catalog.build import Catalog, CatalogState, LocalSite, OwnService, UnknownService
from loftweir.catalog.claims import (
    ClaimAccepted,
    Claims,
    Damping,
    Declaration,
    ObservedService,
    PutClaim,
    ReleaseClaim,
    pending_commands,
)
from loftweir.catalog.contract import ONCE, Clause, clause
from loftweir.catalog.oracle import Oracle, StartedRequest
from loftweir.interface import Effect, Endpoint, Lifecycle, Scope
from loftweir.partners.merge import UsedRoute
from loftweir.partners.table import Provider, Route
from loftweir.partners.terms import OPEN

LOCAL_SITE = LocalSite("aa", "z1")
MESHES = ("aa", "bb", "cc", "dd")
SHOP_SERVICES = tuple(f"shop@{mesh}" for mesh in MESHES)  # the same short name in each mesh
CLAUSES = (
    ONCE,
    clause(Effect.REPEATABLE),
    clause(Effect.BY_KEY, Scope.ALL, 9),
    clause(Effect.BY_KEY, Scope.CELL, 9),
)
SIDECARS = 3


def make_own_service(
    number: int, declared: Declaration, life: Lifecycle = Lifecycle.READY, zone: str = "z1"
) -> OwnService:
    """A service of the local site with this number of providers."""
    endpoints = {f"p{n}": Endpoint(f"p{n}", zone, "plain", n, life) for n in range(number)}
    return OwnService(endpoints, dict.fromkeys(endpoints, "10.0.0.1:80"), declared)


def make_used_route(
    name: str, site: str = "", classes: tuple[str, ...] = ("read",), share: float | None = None, number: int = 2
) -> UsedRoute:
    """A used route to a service of another site, by default the one named after the service's mesh."""
    site = site or name.partition("@")[2]
    border = tuple(Provider(f"p{n}", f"10.1.0.{n}:80", "z1", "plain", n) for n in range(number))
    return UsedRoute(site, Route(name, (site,), border, classes, share, None, 10**9, OPEN))


def mesh_of(provider: Endpoint) -> str:
    """The mesh of a provider."""
    return provider.address.partition("@")[2] or LOCAL_SITE.mesh


class Sidecar:
    """One sidecar's copy of the claims, and its catalog."""

    def __init__(self) -> None:
        self.claims, self.catalog = Claims(), Catalog(LOCAL_SITE)
        self.applied = 0  # entries of the log
        self.started: list[StartedRequest] = []


class Simulation:
    """The sidecars, the replicated log and the state of the meshes."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.meshes = MESHES[seed % 2 :]  # with an odd seed the local mesh has no such service
        self.log: list[PutClaim | ReleaseClaim] = []
        self.replicated_claims, self.acknowledged = Claims(), dict[str, int]()
        self.sidecars = [Sidecar() for _ in range(SIDECARS)]
        self.cut_off: set[int] = set()
        self.up: set[str] = set()
        self.declared_clauses = dict.fromkeys(MESHES, CLAUSES[1])
        self.pin: str | None = None
        self.oracle = Oracle(mesh_of)

    def run(self, steps: int) -> None:
        """Runs a number of steps, then lets all sidecars apply the whole log."""
        for now in range(steps):
            self._random_event()
            for _ in range(SIDECARS):
                self._propose_claims(self.random.randrange(SIDECARS), self.random.choice(MESHES), now)
            for number in set(range(SIDECARS)) - self.cut_off:
                self.update_sidecar(self.sidecars[number])
            for sidecar in self.sidecars:
                self.oracle.check(sidecar.catalog, sidecar.started)
                sidecar.started = self._start_requests(sidecar)
        for sidecar in self.sidecars:
            self.update_sidecar(sidecar)

    def _random_event(self) -> None:
        kind, mesh = self.random.randrange(6), self.random.choice(self.meshes)
        if kind < 2:
            self.up ^= {mesh}
        elif kind == 2:
            self.declared_clauses[mesh] = self.random.choice(CLAUSES)
        elif kind == 3:
            self.declared_clauses = dict.fromkeys(MESHES, self.random.choice(CLAUSES))
        elif kind == 4:
            self.pin = f"shop@{mesh}" if self.pin is None and self.random.random() < 0.5 else None
        else:
            self.cut_off = set() if self.cut_off else {self.random.randrange(SIDECARS)}

    def _declaration(self, mesh: str) -> Declaration:
        return Declaration({"read": self.declared_clauses[mesh]}, SHOP_SERVICES)

    def _propose_claims(self, number: int, mesh: str, now: int) -> None:
        """A sidecar that assumes it has a mesh's session proposes commands. If it is cut off, they are mostly lost,
        and the others are based on an old state."""
        observed = {f"shop@{mesh}": ObservedService(self._declaration(mesh) if mesh in self.up else None, now - 9)}
        damping = Damping(away=0 if self.random.random() < 0.1 else 10**6, min_unchanged=0)
        for command in pending_commands(self.sidecars[number].claims.table, observed, now, damping):
            if number in self.cut_off and self.random.random() < 0.8:
                continue
            self.log.append(command)
            result = self.replicated_claims.apply(len(self.log), command)
            if isinstance(command, PutClaim) and isinstance(result, ClaimAccepted):
                self.acknowledged.setdefault(command.name, result.index)
            elif isinstance(result, ClaimAccepted):
                del self.acknowledged[command.name]

    def update_sidecar(self, sidecar: Sidecar) -> None:
        """Applies the rest of the log and all other changes to a sidecar's catalog, in random order."""
        before = dict(sidecar.claims.table)
        for index in range(sidecar.applied, len(self.log)):
            sidecar.claims.apply(index + 1, self.log[index])
        sidecar.applied = len(self.log)
        after = sidecar.claims.table
        names = [name for name in {**before, **after} if before.get(name) != after.get(name)]
        changes = [CatalogState(claims={name: after.get(name)}) for name in names]
        changes.append(CatalogState(pins={"shop": self.pin}))
        for mesh in MESHES[1:]:
            route = make_used_route(f"shop@{mesh}") if mesh in self.up else None
            changes.append(CatalogState(used={f"shop@{mesh}": route}))
        own = make_own_service(2, self._declaration("aa")) if "aa" in self.up else None
        changes.append(CatalogState({"shop@aa": own}))
        self.random.shuffle(changes)
        for change in changes:
            sidecar.catalog.update(change)

    def _start_requests(self, sidecar: Sidecar) -> list[StartedRequest]:
        """One request at each provider of each service."""
        clauses: dict[str, Clause] = {**dict.fromkeys(MESHES, ONCE), "aa": self.declared_clauses["aa"]}
        for name, claim in sidecar.claims.table.items():
            clauses[name.partition("@")[2]] = claim.declared.contract["read"]
        started: list[StartedRequest] = []
        for host in ("shop", *SHOP_SERVICES):
            found = sidecar.catalog.find(host)
            if isinstance(found, UnknownService):
                continue
            if host != "shop" and found.members != (host,):
                self.oracle.breaches.append(f"{host} leads to {found.key}")
            for provider in sidecar.catalog.providers(found).endpoints.values():
                started.append(StartedRequest(found.key, found.contract["read"], provider, clauses))
        return started

    def violations(self) -> list[str]:
        """All findings after `run`: those of the oracle, lost claims, and catalogs that differ from each other or from
        one that is built from the same state at once."""
        found = list(self.oracle.breaches)
        first = self.sidecars[0].catalog
        if {name: claim.index for name, claim in self.sidecars[0].claims.table.items()} != self.acknowledged:
            found.append("an acknowledged claim is lost or has a later index")
        rebuilt = Catalog(LOCAL_SITE, CatalogState(first.own, first.used, first.left, first.claims, first.pins))
        expected = (first.entries, first.collisions, first.names_by_short)
        for catalog in (*(sidecar.catalog for sidecar in self.sidecars), rebuilt):
            if (catalog.entries, catalog.collisions, catalog.names_by_short) != expected:
                found.append("two catalogs of one state differ")
        if any(sidecar.claims.dump() != self.sidecars[0].claims.dump() for sidecar in self.sidecars):
            found.append("two copies of one log differ")
        return found
