"""The cost of merging the partners' route tables: a whole merge, one change after it, memory.

    python -m benchmarks.partners_merge [--partners 100] [--routes 1000] [--rounds 3]

`shared`: each service is offered by five partners, and one route in ten may be passed on. `apart`: every route has a
service of its own, and none is passed on. `passed`: as `shared`, but every route may be passed on to all.
"""

from __future__ import annotations

import argparse
import os
import statistics
import time

import msgspec

from loftweir.partners.merge import Freshness, Merger, PartnerState, Policy, Role, merge
from loftweir.partners.table import DEFAULT_LIMITS, Offer, Provider, Route, Table, apply_response, parse_response
from loftweir.partners.terms import OPEN, Terms

SECOND = 1_000_000_000  # ns
NOW = 1_700_000_000 * SECOND  # Unix time


def tables(partners: int, routes: int, mode: str) -> dict[str, Offer]:
    """The route table that each partner offers."""
    offers = {}
    for number in range(partners):
        site = f"site-{number}"
        routes_by_name: dict[str, Route] = {}
        for place in range(routes):
            service = number * routes + place if mode == "apart" else (number * routes + place) // 5 * 5 % (routes * 20)
            name = f"service-{service + (number % 5 if mode == 'apart' else place % 5)}@mesh"
            border = tuple(Provider(f"b{n}.{site}", f"10.0.{number}.{n}:8443", "a", "plain") for n in range(3))
            passes = 3 if mode == "passed" or (mode == "shared" and place % 10 == 0) else 0
            terms = Terms(OPEN.use, OPEN.show, passes, OPEN.until)
            routes_by_name[name] = Route(name, (site,), border, ("read", "write"), 0.1, None, 60 * SECOND, terms)
        offers[site] = Offer(site, 1)
        offers[site].replace(routes_by_name)
    return offers


def timed(action: object) -> float:
    """The processor time of the action in ms, which leaves out other processes of the machine."""
    began = time.process_time_ns()
    action()  # type: ignore[operator]
    return (time.process_time_ns() - began) / 1e6


def resident() -> float:
    """The resident memory of this process in MB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def measure(partners: int, routes: int, rounds: int, mode: str) -> None:
    """Measures one mode and prints the results."""
    offers = tables(partners, routes, mode)
    began_mb = resident()
    partner_states: dict[str, PartnerState] = {}
    for site, offer in offers.items():
        partner_states[site] = PartnerState(
            apply_response(None, parse_response(offer.response(None), site)), Freshness.FRESH, NOW, NOW
        )
    tables_mb = resident() - began_mb
    policy = Policy("here", dict.fromkeys(offers, Role.NONE))
    merger = Merger(policy, NOW, partner_states)
    merged_mb = resident() - began_mb - tables_mb
    whole = [timed(lambda: merge(partner_states, policy, NOW)) for _ in range(rounds)]
    reads = [timed(lambda site=site: parse_response(offers[site].response(None), site)) for site in list(offers)[:20]]
    changed, confirm, stale = [], [], []
    now = NOW
    for number in range(200):
        now += 1000
        site = f"site-{number % partners}"
        partner = merger.partner_states[site]
        table = partner.table
        assert table is not None
        name = next(iter(table.routes))
        route = msgspec.structs.replace(table.routes[name], share=0.2 + number / 1000)
        other = Table(site, table.epoch, table.index + 1, {**table.routes, name: route}, table.sums, table.sum)
        after = PartnerState(other, Freshness.FRESH, NOW, now)
        changed.append(timed(lambda site=site, after=after, now=now: merger.update_partner(site, after, now)))
        after = msgspec.structs.replace(after, confirmed_at=now + 1)
        confirm.append(timed(lambda site=site, after=after, now=now: merger.update_partner(site, after, now + 1)))
    for number in range(min(20, partners)):
        site = f"site-{number}"
        partner = msgspec.structs.replace(merger.partner_states[site], freshness=Freshness.STALE, since=now)
        stale.append(timed(lambda site=site, partner=partner: merger.update_partner(site, partner, now)))
    assert merger.merged == merge(merger.partner_states, policy, now)
    services, shown = len(merger.merged.used), sum(map(len, merger.merged.shown.values()))
    print(f"{mode}: {partners} x {routes} routes, {services} services used, {shown} routes shown")
    print(f"  whole merge {statistics.median(whole):.0f} ms; a table read {statistics.median(reads):.1f} ms")
    for what, times in (("one route changed", changed), ("confirmed", confirm), ("a partner stale", stale)):
        print(f"  {what}: median {statistics.median(times):.3f} ms, worst {max(times):.3f} ms")
    print(f"  memory: tables {tables_mb:.0f} MB, merged {merged_mb:.0f} MB")


def main() -> None:
    """Measures all modes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--partners", type=int, default=100)
    parser.add_argument("--routes", type=int, default=min(1000, DEFAULT_LIMITS.routes))
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    for mode in ("shared", "apart", "passed"):
        measure(arguments.partners, arguments.routes, arguments.rounds, mode)


if __name__ == "__main__":
    main()
