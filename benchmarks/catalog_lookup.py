"""The cost of the catalog: a lookup, the build, its memory, one change, one service's providers.

    python -m benchmarks.catalog_lookup [--services 10000] [--meshes 20] [--rounds 5]

Each service belongs to one mesh. Three of four short names are used by one mesh alone, every fourth is claimed by two.
"""

from __future__ import annotations

import argparse
import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from loftweir.catalog.build import Catalog, CatalogState, LocalSite, Service
from loftweir.catalog.claims import Claim, Declaration
from loftweir.catalog.contract import clause
from loftweir.interface import Effect
from loftweir.partners.merge import UsedRoute
from loftweir.partners.table import Provider, Route
from loftweir.partners.terms import OPEN

SECOND = 1_000_000_000  # ns


def state(services: int, meshes: int) -> CatalogState:
    """The state of a catalog of this size."""
    used, claims = {}, {}
    for number in range(services):
        mesh = f"mesh-{number % meshes}"
        name = f"service-{number - 1 if number % 4 == 3 else number}@{mesh}"
        border = tuple(Provider(f"b{n}", f"10.0.{number % 250}.{n}:8443", "a", "plain") for n in range(3))
        route = Route(name, (mesh,), border, ("read", "write"), 0.1, None, 60 * SECOND, OPEN)
        contract = {"read": clause(Effect.REPEATABLE), "write": clause(Effect.ONCE)}
        used[name], claims[name] = UsedRoute(mesh, route), Claim(number + 1, Declaration(contract))
    return CatalogState({}, used, {}, claims, {})


def timed(action: Callable[[], object]) -> float:
    """The processor time of the action in us, which leaves out other processes of the machine."""
    began = time.process_time_ns()
    action()
    return (time.process_time_ns() - began) / 1e3


def main() -> None:
    """Builds a catalog and measures it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--services", type=int, default=10_000)
    parser.add_argument("--meshes", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    catalog_state, site, dice = state(arguments.services, arguments.meshes), LocalSite("here", "a"), random.Random(1)
    builds = []
    for _ in range(arguments.rounds):
        gc.collect()
        builds.append(timed(lambda: Catalog(site, catalog_state)))
    tracemalloc.start()
    catalog = Catalog(site, catalog_state)
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    print(f"{arguments.services} services of {arguments.meshes} meshes, {len(catalog.collisions)} collisions")
    print(f"  build {statistics.median(builds) / 1000:.0f} ms, {memory:.1f} MB beside what it is made of")
    names = dice.sample(list(catalog_state.used), min(arguments.services, 5000))
    spellings: dict[str, list[str]] = {
        "global": names,
        "short": [name.partition("@")[0] for name in names],
        "short, port, capitals": [name.partition("@")[0].title() + ":8080" for name in names],
        "service.mesh:port": [name.replace("@", ".").upper() + ":8080" for name in names],
        "not known": [f"no-{name}:80" for name in names],
    }
    for spelling, hosts in spellings.items():
        lookup_times = [
            timed(lambda hosts=hosts: [catalog.find(host) for host in hosts]) for _ in range(arguments.rounds)
        ]  # type: ignore[misc]
        print(f"  lookup, {spelling}: {statistics.median(lookup_times) / len(hosts):.2f} us")
    change_times, provider_times = [], []
    for name in names[:1000]:
        used_route = catalog_state.used[name]
        assert used_route is not None
        other = UsedRoute(used_route.partner, msgspec.structs.replace(used_route.route, share=0.2))
        change_times.append(timed(lambda name=name, other=other: catalog.update(CatalogState(used={name: other}))))
        service = catalog.find(name)
        assert isinstance(service, Service)
        provider_times.append(timed(lambda service=service: catalog.providers(service)))
    print(f"  one change: median {statistics.median(change_times):.0f} us, worst {max(change_times):.0f} us")
    print(f"  one service's providers: median {statistics.median(provider_times):.0f} us")
    state_now = CatalogState(catalog.own, catalog.used, catalog.left, catalog.claims, catalog.pins)
    assert Catalog(site, state_now).entries == catalog.entries


if __name__ == "__main__":
    main()
