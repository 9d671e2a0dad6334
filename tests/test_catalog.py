"""Tests of the catalog without sockets: names, contracts, claims, collisions, provider sets, shares, simulated
partitions.
"""

import random
from contextlib import ExitStack
from dataclasses import replace
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftweir.catalog import build, claims, collisions, contract, names, providers
from loftweir.catalog.build import Catalog, CatalogState, LocalSite, UnknownReason
from loftweir.catalog.claims import (
    Claim,
    ClaimAccepted,
    ClaimRejected,
    Claims,
    Damping,
    Declaration,
    Limits,
    ObservedService,
    PutClaim,
    ReleaseClaim,
    pending_commands,
)
from loftweir.catalog.collisions import Contender, SiteView, resolve
from loftweir.catalog.contract import apply_clause, clause, strictest
from loftweir.catalog.names import BadName
from loftweir.catalog.providers import NO_PROVIDERS, ProviderFeed, build_provider_set
from loftweir.catalog.shares import SharedLimit
from loftweir.emulator import meshes
from loftweir.emulator.meshes import LOCAL_SITE, Simulation, make_used_route
from loftweir.interface import Effect, Endpoint, Lifecycle, RequestClass, Scope, UpdateKind
from loftweir.partners.merge import Reason, UnusedRoute

FEW_EXAMPLES = settings(derandomize=True, max_examples=60, deadline=None)
CLAUSES = st.builds(clause, st.sampled_from(Effect), st.sampled_from(Scope), st.integers(0, 3), st.integers(1, 3))
CONTRACTS = st.dictionaries(st.sampled_from(["read", "write", "pay"]), CLAUSES, max_size=3)
SHARES = st.sampled_from([None, 0.1, 0.5, 1.0])
ONCE = {"read": clause(Effect.ONCE)}
FREE = {"read": clause(Effect.REPEATABLE)}
KEYED = {"read": clause(Effect.BY_KEY, Scope.ALL, 9)}


def own(number=1, declared=FREE, **more):
    return meshes.make_own_service(number, Declaration(declared), **more)


def claim(index, declared=FREE, same=()):
    return Claim(index, Declaration(declared, same))


def reason_of(catalog, host):
    return getattr(catalog.find(host), "reason", None)


# ---- names and lookup ----------------------------------------------------------------------------


def test_a_host_selects_its_service_in_every_form_and_an_unknown_one_has_a_reason():
    left = {"in@bb": {"bb": UnusedRoute(Reason.EXCLUDED)}, "old@bb": {"bb": UnusedRoute(Reason.STALE)}}
    left["odd@bb"] = {"bb": UnusedRoute(Reason.LEAKED, "cc")}
    routes = {name: make_used_route(name) for name in ("shop@bb.example", "new@bb", "a.b@bb")}
    routes["shop@bb.example"] = make_used_route("shop@bb.example", "site-b")
    table = dict.fromkeys(("shop@bb.example", "old@bb", "in@bb", "odd@bb"), claim(1))
    catalog = Catalog(
        LocalSite("aa", "z1", {"site-b": "bb.example"}), CatalogState({"web@aa": own()}, routes, left, table)
    )
    for host in ("shop", "SHOP", "Shop:8080", "shop.", "shop@bb.example", "shop.BB.example:80", "shop.bb.example."):
        assert catalog.find(host).key == "shop@bb.example", host
    assert catalog.find("web").key == catalog.find("web.aa:1").key == "web@aa"
    reasons = {
        "in": UnknownReason.EXCLUDED,
        "old": UnknownReason.STALE,
        "odd.bb": UnknownReason.UNFIT,
        "new": UnknownReason.UNHELD,
        "shop:x": UnknownReason.NAME,
    }
    for host, reason in {
        **reasons,
        **dict.fromkeys(("", "[::1]:80", "\u212aing", "b.a@bb"), UnknownReason.NAME),
    }.items():
        assert reason_of(catalog, host) is reason and build.REMEDIES[reason] in catalog.find(host).text, host
    assert catalog.find("new@bb").key == "new@bb" and set(catalog.rejected_names) == {"a.b@bb"}
    wrong = ["", "-a@bb", "a@", "a@b@c", "a_b@bb", "a" * 64 + "@bb", "a@bb\n", "\u212a@bb", 7, None]
    for text in [*wrong, "a@" + "b." * 130]:
        with pytest.raises(BadName, match="^here: ") as error:
            names.global_name(text, "here")
        assert error.value.where == "here"
    for state in (
        CatalogState(pins={"web": "shop@bb"}),
        CatalogState(pins={"w b": "web@aa"}),
        CatalogState({"Web@aa": own()}),
    ):
        with pytest.raises(BadName):
            catalog.update(state)
    assert catalog.find("web").key == "web@aa"


# ---- contracts -----------------------------------------------------------------------------------


@FEW_EXAMPLES
@given(CLAUSES, CLAUSES, CLAUSES, st.permutations([0, 1, 2]), CONTRACTS, CONTRACTS)
def test_contracts_meet_to_the_strictest_in_any_order(a, b, c, order, one, other):
    three = (a, b, c)
    assert a.meet(b) == b.meet(a) and a.meet(a) == a and a.meet(b.meet(c)) == a.meet(b).meet(c)
    met = three[order[0]].meet(three[order[1]]).meet(three[order[2]])
    assert met == a.meet(b).meet(c) == clause(met.effect, met.scope, met.window, met.deadline)  # in canonical form
    assert (met.effect is Effect.ONCE) == any(declared.effect is Effect.ONCE for declared in three)
    assert (met.effect is Effect.REPEATABLE) == all(declared.effect is Effect.REPEATABLE for declared in three)
    keyed = [declared for declared in three if declared.effect is Effect.BY_KEY]
    if met.effect is Effect.BY_KEY:
        assert met.window == min(declared.window for declared in keyed)
        assert (met.scope is Scope.ALL) == all(declared.scope is Scope.ALL for declared in keyed)
    assert met.deadline == min(declared.deadline for declared in three)
    both = strictest([one, other])
    assert set(both) == set(one) & set(other) and list(both) == list(strictest([other, one]))
    cls = RequestClass("read", Effect.BY_KEY, 1, 2, Scope.ALL, 5)
    assert contract.from_classes([apply_clause(cls, a)])["read"] == contract.from_classes([cls])["read"].meet(a)


# ---- collisions ----------------------------------------------------------------------------------

CLAIM_AGES = (("bb", 5), ("cc", 3), ("aa", 9))


def contenders(*declared):
    others = tuple(f"shop@{mesh}" for mesh, _ in CLAIM_AGES)
    return [
        Contender(f"shop@{m}", age, Declaration(d, others)) for (m, age), d in zip(CLAIM_AGES, declared, strict=True)
    ]


@pytest.mark.parametrize(
    ("declared", "view", "leader", "joined", "lost"),
    [
        ((ONCE, FREE, KEYED), SiteView("aa", "shop@bb"), "bb", "", {"aa": 0, "cc": 0}),
        ((FREE, FREE, FREE), SiteView("aa", "shop@bb"), "bb", "", {"aa": 0, "cc": 0}),
        ((ONCE, FREE, KEYED), SiteView("aa", ""), "aa", "", {"bb": 1, "cc": 1}),
        ((ONCE, FREE, FREE), SiteView("aa", ""), "aa", "c", {"bb": 1}),
        ((FREE, FREE, FREE), SiteView("aa", ""), "aa", "bc", {}),
        ((ONCE, FREE, KEYED), SiteView("zz", ""), "cc", "", {"aa": 2, "bb": 2}),
    ],
)
def test_the_first_rule_that_differs_decides_a_collision(declared, view, leader, joined, lost):
    for number in range(6):
        some = contenders(*declared)
        random.Random(number).shuffle(some)
        collision = resolve("shop", some, view)
        assert collision.leader == f"shop@{leader}" and collision.joined == tuple(f"shop@{c}{c}" for c in joined)
        assert dict(collision.lost) == {f"shop@{m}": collisions.RULES[n].name for m, n in lost.items()}
        assert (
            all(collisions.RULES[n].remedy in collision.text for n in lost.values())
            and "shop is shop@" in collision.text
        )
    tie = resolve(
        "shop", [contender._replace(age=collisions.NO_CLAIM, declared=None) for contender in some], SiteView("zz", "")
    )
    assert tie.leader == "shop@aa" and {rule for _, rule in tie.lost} == {"the mesh's name"}


def check_hostile_mesh():
    """A mesh claims every short name, and offers other meshes' services as its own."""
    table, answers = Claims(Limits(per_mesh=100, total=250)), []
    for n in range(10):
        assert table.apply(n + 1, PutClaim(f"s{n}@bb", Declaration(FREE))) == ClaimAccepted(n + 1)
    for n in range(300):
        answers.append(table.apply(100 + n, PutClaim(f"s{n}@evil", Declaration(FREE, (f"s{n}@bb", f"s{n}@aa")))))
    assert [type(answer) for answer in answers] == [ClaimAccepted] * 100 + [
        ClaimRejected
    ] * 200 and "let some" in answers[-1].text
    routes = {f"s{n}@evil": make_used_route(f"s{n}@evil") for n in range(300)} | {
        f"s{n}@bb": make_used_route(f"s{n}@bb") for n in range(10)
    }
    routes |= {"pay@aa": make_used_route("pay@aa", "evil"), "pay@bb": make_used_route("pay@bb", "evil")}
    state = CatalogState({"s20@aa": own(), "pay@aa": own()}, routes, {}, table.table, {"s21": "s21@cc"})
    catalog = Catalog(LOCAL_SITE, state)
    assert all(catalog.find(f"s{n}").key == f"s{n}@bb" for n in range(10)) and catalog.find("s50").key == "s50@evil"
    assert catalog.find("s20").key == "s20@aa" and reason_of(catalog, "s21") is UnknownReason.STALE
    assert catalog.find("s20.evil").key == "s20@evil" and reason_of(catalog, "s200") is UnknownReason.UNHELD
    assert not any("evil" in name for name in catalog.providers(catalog.find("pay")).endpoints)
    assert reason_of(catalog, "pay@bb") is UnknownReason.UNFIT
    # Another mesh can still claim names.
    assert table.apply(999, PutClaim("x@cc", Declaration(FREE))) == ClaimAccepted(999)


def check_changing_contracts():
    """Three meshes have three contracts for one service; then two of them agree, and one of these changes its contract
    again."""
    same = ("shop@bb", "shop@cc", "shop@dd")
    table = {f"shop@{m}": claim(n, d, same) for n, (m, d) in enumerate([("bb", KEYED), ("cc", ONCE), ("dd", FREE)])}
    catalog = Catalog(LOCAL_SITE, CatalogState({}, {name: make_used_route(name) for name in table}, {}, table))
    assert catalog.find("shop").members == ("shop@bb",) and len(catalog.collisions["shop"].lost) == 2
    changed = catalog.update(CatalogState(claims={"shop@cc": claim(1, KEYED, same)}))
    shop = catalog.find("shop")
    assert shop.members == ("shop@bb", "shop@cc") and changed.moved == {"shop": ("shop@bb", shop.key)}
    assert shop.contract["read"].scope is Scope.ZONE and catalog.find("shop@bb").contract == KEYED
    assert [event.joined for event in changed.events] == [("shop@cc",)]
    assert len({endpoint.zone for endpoint in catalog.providers(shop).endpoints.values()}) == 2
    changed = catalog.update(CatalogState(claims={"shop@cc": claim(1, ONCE, same)}))
    assert changed.ended == {shop.key} and catalog.find("shop").key == "shop@bb"
    assert changed.moved["shop"] == (shop.key, "shop@bb")


def check_flapping():
    """A service appears and disappears every second: the log gets one entry, the name stays, and the loser stays
    reachable."""
    damping, table, writes = Damping(away=30, withdrawn=20, min_unchanged=5), Claims(), []
    table.apply(1, PutClaim("shop@bb", Declaration(FREE)))
    table.apply(2, PutClaim("shop@cc", Declaration(FREE)))
    catalog = Catalog(LOCAL_SITE, CatalogState({}, {"shop@cc": make_used_route("shop@cc")}, {}, table.table))
    for now in range(100):
        there = now % 2 == 0
        seen = {"shop@bb": ObservedService(Declaration(FREE) if there else None, now, withdrawn=True)}
        writes += pending_commands(table.table, seen, now, damping)
        for act in writes[:]:
            table.apply(10 + now, act)
        catalog.update(
            CatalogState(used={"shop@bb": make_used_route("shop@bb") if there else None}, claims=table.table)
        )
        entry = catalog.find("shop")
        assert entry.key == "shop@bb" if there else entry.reason is UnknownReason.STALE
        assert catalog.find("shop.cc").key == "shop@cc"
    assert not writes and table.table["shop@bb"].index == 1
    away = {"shop@bb": ObservedService(None, 100, True)}
    assert not pending_commands(table.table, away, 119, damping) and pending_commands(table.table, away, 120, damping)
    other = {"shop@bb": ObservedService(Declaration(ONCE), 100), "new@bb": ObservedService(Declaration(ONCE), 104)}
    assert [act.name for act in pending_commands(table.table, other, 104, damping)] == ["new@bb"]
    assert len(pending_commands(table.table, other, 105, damping)) == 2


def test_a_late_release_does_not_affect_a_later_claim_and_the_table_survives_its_dump():
    table = Claims(Limits(2, 3))
    assert (
        table.apply(1, PutClaim("a@bb", Declaration(ONCE)))
        == table.apply(5, PutClaim("a@bb", Declaration(KEYED)))
        == ClaimAccepted(1)
    )
    assert isinstance(table.apply(6, ReleaseClaim("a@bb", 5)), ClaimRejected) and table.apply(
        7, ReleaseClaim("a@bb", 1)
    ) == ClaimAccepted(0)
    table.apply(8, PutClaim("a@bb", Declaration(FREE, ("a@cc",))))
    assert isinstance(table.apply(9, ReleaseClaim("a@bb", 1)), ClaimRejected) and table.table["a@bb"].index == 8
    wrong = ["A@bb", "a", "a@b b"], [("A@cc",), ("x" * 300,), ("a@cc",) * 33]
    for act in [PutClaim(n, Declaration()) for n in wrong[0]] + [
        PutClaim("b@bb", Declaration({}, s)) for s in wrong[1]
    ]:
        assert isinstance(table.apply(10, act), ClaimRejected), act
    dump = msgspec.msgpack.decode(msgspec.msgpack.encode(table.dump()), type=list[tuple[str, Claim]])
    again = Claims.load(dump, table.limits)
    assert (again.table, again.counts) == (table.table, table.counts) == (dict(dump), {"bb": 1})


def test_a_renamed_service_keeps_both_names_until_the_old_claim_is_released():
    catalog = Catalog(LOCAL_SITE, CatalogState({}, {"old@bb": make_used_route("old@bb")}, {}, {"old@bb": claim(1)}))
    changed = catalog.update(
        CatalogState(used={"old@bb": None, "new@bb": make_used_route("new@bb")}, claims={"new@bb": claim(2)})
    )
    assert catalog.find("new").key == "new@bb" and catalog.find("old").reason is UnknownReason.STALE
    assert changed.ended == {"old@bb"} and changed.keys == {"new@bb"} and not changed.events
    catalog.update(CatalogState(claims={"old@bb": None}))
    assert catalog.find("old").reason is UnknownReason.NAME and set(catalog.names_by_short) == {"new"}


# ---- provider sets -------------------------------------------------------------------------------


def test_partners_are_used_only_without_ready_own_providers_or_for_remote_services():
    catalog = Catalog(LOCAL_SITE, CatalogState({"web@aa": own(2)}, {"web@aa": make_used_route("web@aa", "s2")}, {}, {}))
    catalog.site = LOCAL_SITE._replace(meshes={"s2": "aa"})
    web = catalog.find("web")
    assert list(catalog.providers(web).endpoints) == ["p0", "p1"]
    catalog.update(CatalogState({"web@aa": own(2, life=Lifecycle.DRAINING)}))
    assert list(catalog.providers(catalog.find("web")).endpoints) == ["p0", "p1", "p0@s2", "p1@s2"]
    routes = {"far@bb": make_used_route("far@bb", share=0.1)}
    there = catalog.update(CatalogState({"far@bb": own(1, zone="z2")}, routes, {}, {"far@bb": claim(1)}))
    providers = catalog.providers(catalog.find("far"))
    assert (
        there.keys == {"far@bb"} and list(providers.endpoints) == ["p0", "p0@bb", "p1@bb"] and providers.fraction == 1.0
    )
    home, *abroad = (endpoint.weight for endpoint in providers.endpoints.values())
    assert sum(abroad) <= 0.1 * (home + sum(abroad)) and providers.shares == {"bb": 0.1}
    assert (
        len({endpoint.cell for endpoint in providers.endpoints.values()}) == 3
        and providers.endpoints["p0@bb"].zone == "z1@bb"
    )


@FEW_EXAMPLES
@given(st.lists(st.tuples(st.sets(st.sampled_from("rwx"), min_size=1), SHARES), max_size=4), st.booleans())
def test_provider_sets_respect_the_classes_and_shares_of_every_partner(partners, ready):
    classes = frozenset("rw")
    routes = [
        make_used_route(f"shop@m{n}", classes=tuple(sorted(c)), share=s, number=n + 1)
        for n, (c, s) in enumerate(partners)
    ]
    ends = [({"p": Endpoint("p", "z1", "plain", 1, Lifecycle.READY)}, {"p": "h:1"})] if ready else []
    providers = build_provider_set(ends, routes, True, "z1", classes)
    assert providers == build_provider_set(ends, routes[::-1], True, "z1", classes) and set(providers.addresses) >= set(
        providers.endpoints
    )
    whole = sum(endpoint.weight for endpoint in providers.endpoints.values())
    for used_route in routes:
        weights = [end.weight for end in providers.endpoints.values() if end.address.endswith(f"@{used_route.partner}")]
        assert not weights or providers.classes <= set(used_route.route.classes) & classes
        assert providers.fraction * sum(weights) <= (used_route.route.share or 1.0) * whole + 1e-9
    assert providers.classes == classes if ready else providers.classes or not any(c & classes for c, _ in partners)


def test_updates_are_incremental_and_removed_providers_drain_first():
    catalog = Catalog(
        LOCAL_SITE,
        CatalogState({"shop@aa": own(1)}, {"shop@bb": make_used_route("shop@bb")}, {}, {"shop@bb": claim(1)}),
    )
    feed, shop = ProviderFeed(10), catalog.find("shop")
    first = feed.step(0, catalog.providers(shop))
    assert first.update.kind is UpdateKind.FULL and first.addresses == {"p0": "10.0.0.1:80"} and not first.draining
    assert feed.step(1, catalog.providers(shop)) is None and feed.next_at is None
    changed = catalog.update(CatalogState(own={"shop@aa": None}))  # the leading service is withdrawn while it is in use
    assert changed.ended == {"shop@aa"} and changed.moved == {"shop": ("shop@aa", "shop@bb")}
    step = feed.step(2, NO_PROVIDERS)
    assert step.draining == ("p0",) and step.update.endpoints[0].lifecycle is Lifecycle.DRAINING
    assert step.update.kind is UpdateKind.CHANGES and feed.next_at == 12 and feed.step(11, NO_PROVIDERS) is None
    assert feed.step(12, NO_PROVIDERS).update.endpoints[0].lifecycle is Lifecycle.GONE and not feed.announced
    back = feed.step(13, catalog.providers(catalog.find("shop")))
    assert {end.address for end in back.update.endpoints} == {"p0@bb", "p1@bb"} and feed.step(14, NO_PROVIDERS).draining
    assert feed.step(15, catalog.providers(catalog.find("shop"))).update.endpoints and feed.next_at is None


# ---- shares --------------------------------------------------------------------------------------


@FEW_EXAMPLES
@given(st.lists(st.tuples(st.sampled_from("abcd"), st.integers(-9, 9)), max_size=60), st.integers(1, 40))
def test_the_limit_is_never_exceeded_and_idle_services_cost_nothing(steps, total):
    shared = SharedLimit(total)
    for who, count in steps:
        if count > 0:
            room = shared.available(who)
            assert shared.acquire(who, count) == (count <= room)
        elif count and shared.in_use.get(who, 0) >= -count:
            shared.release(who, -count)
        assert (
            sum(shared.in_use.values()) + shared.free == total and shared.free >= 0 and 0 not in shared.in_use.values()
        )
    with pytest.raises(ValueError):
        shared.release("e")


def test_services_that_want_everything_leave_room_for_the_next():
    shared = SharedLimit(1000)
    for _ in range(1000):
        for who in "abcd":
            shared.acquire(who)
    assert set(shared.in_use.values()) == {222} and shared.acquire("new") and shared.available("new") > 50
    shared.resize(100)
    assert not shared.acquire("late") and shared.free < 0


# ---- simulated partitions and deliberate defects -------------------------------------------------


def check_simulations():
    repeats = 0
    for seed in range(12):
        simulation = Simulation(seed)
        simulation.run(60)
        assert not simulation.violations(), seed
        repeats += simulation.oracle.retries
    return repeats


def test_random_simulations_have_one_winner_everywhere_and_retry_nothing_declared_once():
    assert check_simulations() > 1000


def test_hard_cases():
    for check in (check_hostile_mesh, check_changing_contracts, check_flapping):
        check()


RULES = collisions.RULES
REAL_PARTNER_ENDPOINTS = providers.partner_endpoints
REAL_PUT = Claims._put


def loosest(contracts):
    """In place of `strictest`."""
    return {
        "read": max(
            (declared["read"] for declared in contracts), key=lambda declared: contract.STRICTNESS[declared.effect]
        )
    }


def put_without_age(self, index, command):
    """A claim gets the index of its last declaration as its age."""
    REAL_PUT(self, index, command)
    self.table[command.name] = Claim(index, command.declared)
    return ClaimAccepted(index)


def endpoints_in_unqualified_zones(used_route):
    ends, at = REAL_PARTNER_ENDPOINTS(used_route)
    return {name: replace(end, zone=end.zone.partition("@")[0]) for name, end in ends.items()}, at


def with_rules(*rules):
    """Catalogs that decide about short names by these rules."""
    return mock.patch.object(Catalog.__init__, "__defaults__", (CatalogState(), rules))


def declare_anything(one, other):
    return one.declared is not None and other.declared is not None


DEFECTS = {
    "contracts merge to the loosest": ([(build, "strictest", loosest)], check_simulations),
    "a partner's cells are not qualified": ([(providers, "_cell", lambda partner, cell: cell)], check_simulations),
    "a key's scope spans several meshes": ([(build, "across_meshes", dict)], check_simulations),
    "the service key does not depend on the meshes": (
        [(build, "key_of", lambda members: members[0])],
        check_simulations,
    ),
    "a new declaration resets the age of a claim": ([(Claims, "_put", put_without_age)], check_simulations),
    "services with different contracts join": (
        [(collisions, "is_same_service", declare_anything)],
        check_changing_contracts,
    ),
    "a partner's zones are not qualified": (
        [(providers, "partner_endpoints", endpoints_in_unqualified_zones)],
        check_changing_contracts,
    ),
    "claims of one mesh are not limited": ([(claims.LIMITS.__class__, "per_mesh", 10**9)], check_hostile_mesh),
    "any site gets requests for any mesh": (
        [(Catalog, "_usable_route", lambda self, name: self.used.get(name))],
        check_hostile_mesh,
    ),
    "claims are not damped": ([(Damping, "withdrawn", 0)], check_flapping),
    "the rule of the own mesh is missing": (with_rules(*RULES[:1], *RULES[2:]), check_hostile_mesh),
    "the rule of pins is missing": (with_rules(*RULES[1:]), check_hostile_mesh),
    "the rule of age is reversed": (
        with_rules(*RULES[:2], RULES[3]._replace(key=lambda c, v: -c.age)),
        check_hostile_mesh,
    ),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_deliberate_defect_is_detected(name):
    patches, check = DEFECTS[name]
    with ExitStack() as stack:
        for patch in [patches] if not isinstance(patches, list) else [mock.patch.object(*one) for one in patches]:
            stack.enter_context(patch)
        with pytest.raises(AssertionError):
            check()
