"""One site's sidecars and several meshes in virtual time, for the catalog: each sidecar follows copies of one log, and
is cut off at times; meshes come, go and declare their services anew; a pin is set and taken. Pure but for the seed.

`acked` is what was acknowledged: each claim's index, until its release is in the log. `oracle` judges the repeats.
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
SAME = tuple(f"shop@{mesh}" for mesh in MESHES)
WORDS = (
    ONCE,
    clause(Effect.REPEATABLE),
    clause(Effect.BY_KEY, Scope.ALL, 9),
    clause(Effect.BY_KEY, Scope.CELL, 9),
)


def make_own_service(
    number: int, declared: Declaration, life: Lifecycle = Lifecycle.READY, zone: str = "z1"
) -> OwnService:
    ends = {f"p{n}": Endpoint(f"p{n}", zone, "plain", n, life) for n in range(number)}
    return OwnService(ends, dict.fromkeys(ends, "10.0.0.1:80"), declared)


def make_used_route(
    name: str, site: str = "", classes: tuple[str, ...] = ("read",), share: float | None = None, number: int = 2
) -> UsedRoute:
    site = site or name.partition("@")[2]
    border = tuple(Provider(f"p{n}", f"10.1.0.{n}:80", "z1", "plain", n) for n in range(number))
    return UsedRoute(site, Route(name, (site,), border, classes, share, None, 10**9, OPEN))


def home(provider: Endpoint) -> str:
    return provider.address.partition("@")[2] or LOCAL_SITE.mesh


class Car:
    def __init__(self) -> None:
        self.copies, self.catalog = Claims(), Catalog(LOCAL_SITE)
        self.done = 0  # entries of the log
        self.begun: list[StartedRequest] = []


class Simulation:
    def __init__(self, seed: int) -> None:
        self.dice = random.Random(seed)
        self.meshes = MESHES[seed % 2 :]  # every second site has no such service of its own
        self.log: list[PutClaim | ReleaseClaim] = []
        self.truth, self.acked = Claims(), dict[str, int]()
        self.cars = [Car() for _ in range(3)]
        self.cut: set[int] = set()
        self.up: set[str] = set()
        self.said = dict.fromkeys(MESHES, WORDS[1])
        self.pin: str | None = None
        self.oracle = Oracle(home)

    def run(self, steps: int) -> None:
        for now in range(steps):
            self._happen()
            for _ in range(3):
                self._keep(self.dice.randrange(3), self.dice.choice(MESHES), now)
            for number in {0, 1, 2} - self.cut:
                self.follow(self.cars[number])
            for car in self.cars:
                self.oracle.check(car.catalog, car.begun)
                car.begun = self._begin(car)
        for car in self.cars:
            self.follow(car)

    def _happen(self) -> None:
        what, mesh = self.dice.randrange(6), self.dice.choice(self.meshes)
        if what < 2:
            self.up ^= {mesh}
        elif what == 2:
            self.said[mesh] = self.dice.choice(WORDS)
        elif what == 3:
            self.said = dict.fromkeys(MESHES, self.dice.choice(WORDS))
        elif what == 4:
            self.pin = f"shop@{mesh}" if self.pin is None and self.dice.random() < 0.5 else None
        else:
            self.cut = set() if self.cut else {self.dice.randrange(3)}

    def _declared(self, mesh: str) -> Declaration:
        return Declaration({"read": self.said[mesh]}, SAME)

    def _keep(self, number: int, mesh: str, now: int) -> None:
        """A sidecar that holds a mesh's session, as it thinks. Cut off, its word is lost, or comes late."""
        seen = {f"shop@{mesh}": ObservedService(self._declared(mesh) if mesh in self.up else None, now - 9)}
        damping = Damping(away=0 if self.dice.random() < 0.1 else 10**6, min_unchanged=0)
        for act in pending_commands(self.cars[number].copies.table, seen, now, damping):
            if number in self.cut and self.dice.random() < 0.8:
                continue
            self.log.append(act)
            answer = self.truth.apply(len(self.log), act)
            if isinstance(act, PutClaim) and isinstance(answer, ClaimAccepted):
                self.acked.setdefault(act.name, answer.index)
            elif isinstance(answer, ClaimAccepted):
                del self.acked[act.name]

    def follow(self, car: Car) -> None:
        """All that this sidecar has not seen yet, in an order of its own."""
        before = dict(car.copies.table)
        for index in range(car.done, len(self.log)):
            car.copies.apply(index + 1, self.log[index])
        car.done = len(self.log)
        after = car.copies.table
        names = [name for name in {**before, **after} if before.get(name) != after.get(name)]
        changes = [CatalogState(claims={name: after.get(name)}) for name in names] + [
            CatalogState(pins={"shop": self.pin})
        ]
        for mesh in MESHES[1:]:
            changes.append(
                CatalogState(used={f"shop@{mesh}": make_used_route(f"shop@{mesh}") if mesh in self.up else None})
            )
        changes.append(
            CatalogState({"shop@aa": make_own_service(2, self._declared("aa")) if "aa" in self.up else None})
        )
        self.dice.shuffle(changes)
        for change in changes:
            car.catalog.update(change)

    def _begin(self, car: Car) -> list[StartedRequest]:
        """A request at each provider of each service."""
        words: dict[str, Clause] = {**dict.fromkeys(MESHES, ONCE), "aa": self.said["aa"]}
        for name, claim in car.copies.table.items():
            words[name.partition("@")[2]] = claim.declared.contract["read"]
        begun: list[StartedRequest] = []
        for host in ("shop", *SAME):
            found = car.catalog.find(host)
            if isinstance(found, UnknownService):
                continue
            if host != "shop" and found.members != (host,):
                self.oracle.breaches.append(f"{host} stands for {found.key}")
            for provider in car.catalog.providers(found).endpoints.values():
                begun.append(StartedRequest(found.key, found.contract["read"], provider, words))
        return begun

    def violations(self) -> list[str]:
        """After `run`, with all links up again."""
        found = list(self.oracle.breaches)
        first = self.cars[0].catalog
        if {name: claim.index for name, claim in self.cars[0].copies.table.items()} != self.acked:
            found.append("an acknowledged claim is lost, or is younger than it was")
        fresh = Catalog(LOCAL_SITE, CatalogState(first.own, first.used, first.left, first.claims, first.pins))
        for one in (*(car.catalog for car in self.cars), fresh):
            if (one.entries, one.collisions, one.names_by_short) != (
                first.entries,
                first.collisions,
                first.names_by_short,
            ):
                found.append("two catalogs of one state")
        if any(car.copies.dump() != self.cars[0].copies.dump() for car in self.cars):
            found.append("two copies of one log")
        return found
