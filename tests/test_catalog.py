"""The catalog without sockets: names, contracts, claims, collisions, provider sets, shares, and a world of partitions."""

import random
from contextlib import ExitStack
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftweir.catalog import build, claims, collisions, contract, names, providers
from loftweir.catalog.build import Catalog, Own, Service, Site, State, Unknown, Why
from loftweir.catalog.claims import Claim, Claims, Damping, Declared, Limits, Not, Put, Release, Seen, Taken, orders
from loftweir.catalog.collisions import Contender, View, resolve
from loftweir.catalog.contract import Clause, applied, clause, strictest
from loftweir.catalog.names import BadName
from loftweir.catalog.providers import EMPTY, Follower, gathered
from loftweir.catalog.shares import Shared
from loftweir.interface import Effect, Endpoint, Lifecycle, RequestClass, Scope, UpdateKind
from loftweir.partners.merge import Left, Reason, Used
from loftweir.partners.table import Provider, Route
from loftweir.partners.terms import OPEN

FEW = settings(derandomize=True, max_examples=60, deadline=None)
CLAUSES = st.builds(clause, st.sampled_from(Effect), st.sampled_from(Scope), st.integers(0, 3), st.integers(1, 3))
CONTRACTS = st.dictionaries(st.sampled_from(["read", "write", "pay"]), CLAUSES, max_size=3)
ONCE, FREE = {"read": clause(Effect.ONCE)}, {"read": clause(Effect.REPEATABLE)}
KEYED = {"read": clause(Effect.BY_KEY, Scope.ALL, 9)}
HERE = Site("aa", "z1")


def own(number=1, declared=FREE, same=(), life=Lifecycle.READY, zone="z1"):
    ends = {f"p{n}": Endpoint(f"p{n}", zone, "plain", n, life) for n in range(number)}
    return Own(ends, {name: "10.0.0.1:80" for name in ends}, Declared(declared, same))


def used(name, site=None, classes=("read",), share=None, number=2):
    site = site or name.partition("@")[2]
    border = tuple(Provider(f"p{n}", f"10.1.0.{n}:80", "z1", "plain", n) for n in range(number))
    return Used(site, Route(name, (site,), border, tuple(classes), share, None, 10**9, OPEN))


def claim(index, declared=FREE, same=()):
    return Claim(index, Declared(declared, same))


def why(catalog, host):
    return getattr(catalog.find(host), "reason", None)


# ---- names and lookup -------------------------------------------------------------------------------


def test_a_host_names_the_service_in_every_form_and_what_is_not_there_says_why():
    left = {"in@bb": {"bb": Left(Reason.EXCLUDED)}, "old@bb": {"bb": Left(Reason.STALE)}}
    left["odd@bb"] = {"bb": Left(Reason.LEAKED, "cc")}
    routes = {name: used(name) for name in ("shop@bb.example", "new@bb", "a.b@bb")}
    routes["shop@bb.example"] = used("shop@bb.example", "site-b")
    table = dict.fromkeys(("shop@bb.example", "old@bb", "in@bb", "odd@bb"), claim(1))
    catalog = Catalog(Site("aa", "z1", {"site-b": "bb.example"}), State({"web@aa": own()}, routes, left, table))
    for host in ("shop", "SHOP", "Shop:8080", "shop.", "shop@bb.example", "shop.BB.example:80", "shop.bb.example."):
        assert catalog.find(host).key == "shop@bb.example", host
    assert catalog.find("web").key == catalog.find("web.aa:1").key == "web@aa"
    reasons = {"in": Why.EXCLUDED, "old": Why.STALE, "odd.bb": Why.UNFIT, "new": Why.UNHELD, "shop:x": Why.NAME}
    for host, reason in {**reasons, "": Why.NAME, "[::1]:80": Why.NAME, "\u212aing": Why.NAME, "b.a@bb": Why.NAME}.items():
        assert why(catalog, host) is reason and build.REMEDY[reason] in catalog.find(host).text, host
    assert catalog.find("new@bb").key == "new@bb" and set(catalog.refused) == {"a.b@bb"}
    for text in ("", "-a@bb", "a@", "a@b@c", "a_b@bb", "a" * 64 + "@bb", "a@bb\n", "\u212a@bb", 7, None, "a@" + "b." * 130):
        with pytest.raises(BadName, match="^here: ") as error:
            names.global_name(text, "here")
        assert error.value.where == "here"
    for state in (State(pins={"web": "shop@bb"}), State(pins={"w b": "web@aa"}), State({"Web@aa": own()})):
        with pytest.raises(BadName):
            catalog.change(state)
    assert catalog.find("web").key == "web@aa"


# ---- contracts --------------------------------------------------------------------------------------


@FEW
@given(CLAUSES, CLAUSES, CLAUSES, st.permutations([0, 1, 2]), CONTRACTS, CONTRACTS)
def test_contracts_meet_to_the_strictest_whatever_the_order(a, b, c, order, one, other):
    three = (a, b, c)
    assert a.meet(b) == b.meet(a) and a.meet(a) == a and a.meet(b.meet(c)) == a.meet(b).meet(c)
    met = three[order[0]].meet(three[order[1]]).meet(three[order[2]])
    assert met == a.meet(b).meet(c) == clause(met.effect, met.scope, met.window, met.deadline)  # in the one form
    assert (met.effect is Effect.ONCE) == any(word.effect is Effect.ONCE for word in three)
    assert (met.effect is Effect.REPEATABLE) == all(word.effect is Effect.REPEATABLE for word in three)
    keyed = [word for word in three if word.effect is Effect.BY_KEY]
    if met.effect is Effect.BY_KEY:
        assert met.window == min(word.window for word in keyed)
        assert (met.scope is Scope.ALL) == all(word.scope is Scope.ALL for word in keyed)
    assert met.deadline == min(word.deadline for word in three)
    both = strictest([one, other])
    assert set(both) == set(one) & set(other) and list(both) == list(strictest([other, one]))
    cls = RequestClass("read", Effect.BY_KEY, 1, 2, Scope.ALL, 5)
    assert contract.of([applied(cls, a)])["read"] == contract.of([cls])["read"].meet(a)


# ---- collisions -------------------------------------------------------------------------------------

THREE = (("bb", 5), ("cc", 3), ("aa", 9))


def contenders(*declared):
    others = tuple(f"shop@{mesh}" for mesh, _ in THREE)
    return [Contender(f"shop@{m}", age, Declared(d, others)) for (m, age), d in zip(THREE, declared, strict=True)]


@pytest.mark.parametrize(
    ("declared", "view", "leader", "joined", "lost"),
    [
        ((ONCE, FREE, KEYED), View("aa", "shop@bb"), "bb", "", {"aa": 0, "cc": 0}),
        ((FREE, FREE, FREE), View("aa", "shop@bb"), "bb", "", {"aa": 0, "cc": 0}),
        ((ONCE, FREE, KEYED), View("aa", ""), "aa", "", {"bb": 1, "cc": 1}),
        ((ONCE, FREE, FREE), View("aa", ""), "aa", "c", {"bb": 1}),
        ((FREE, FREE, FREE), View("aa", ""), "aa", "bc", {}),
        ((ONCE, FREE, KEYED), View("zz", ""), "cc", "", {"aa": 2, "bb": 2}),
    ],
)
def test_a_collision_is_decided_by_the_first_rule_that_tells_them_apart(declared, view, leader, joined, lost):
    for number in range(6):
        some = contenders(*declared)
        random.Random(number).shuffle(some)
        found = resolve("shop", some, view)
        assert found.leader == f"shop@{leader}" and found.joined == tuple(f"shop@{c}{c}" for c in joined)
        assert dict(found.lost) == {f"shop@{m}": collisions.RULES[n].name for m, n in lost.items()}
        assert all(collisions.RULES[n].remedy in found.text for n in lost.values()) and "shop is shop@" in found.text
    tie = resolve("shop", [one._replace(age=collisions.NEVER, declared=None) for one in some], View("zz", ""))
    assert tie.leader == "shop@aa" and {rule for _, rule in tie.lost} == {"the mesh's name"}


def hostile():
    """A mesh that claims every short name, and offers others' services as its own."""
    table, answers = Claims(Limits(of_mesh=100, all=250)), []
    for n in range(10):
        assert table.apply(n + 1, Put(f"s{n}@bb", Declared(FREE))) == Taken(n + 1)
    for n in range(300):
        answers.append(table.apply(100 + n, Put(f"s{n}@evil", Declared(FREE, (f"s{n}@bb", f"s{n}@aa")))))
    assert [type(one) for one in answers] == [Taken] * 100 + [Not] * 200 and "let some" in answers[-1].text
    routes = {f"s{n}@evil": used(f"s{n}@evil") for n in range(300)} | {f"s{n}@bb": used(f"s{n}@bb") for n in range(10)}
    routes |= {"pay@aa": used("pay@aa", "evil"), "pay@bb": used("pay@bb", "evil")}
    state = State({"s20@aa": own(), "pay@aa": own()}, routes, {}, table.table, {"s21": "s21@cc"})
    catalog = Catalog(HERE, state)
    assert all(catalog.find(f"s{n}").key == f"s{n}@bb" for n in range(10)) and catalog.find("s50").key == "s50@evil"
    assert catalog.find("s20").key == "s20@aa" and why(catalog, "s21") is Why.STALE
    assert catalog.find("s20.evil").key == "s20@evil" and why(catalog, "s200") is Why.UNHELD
    assert not any("evil" in name for name in catalog.providers(catalog.find("pay")).endpoints)
    assert why(catalog, "pay@bb") is Why.UNFIT
    assert table.apply(999, Put("x@cc", Declared(FREE))) == Taken(999)  # a good one still gets in


def contracts():
    """Three meshes, three contracts for one service; then two of them agree, and one goes back on it."""
    same = ("shop@bb", "shop@cc", "shop@dd")
    table = {f"shop@{m}": claim(n, d, same) for n, (m, d) in enumerate([("bb", KEYED), ("cc", ONCE), ("dd", FREE)])}
    catalog = Catalog(HERE, State({}, {name: used(name) for name in table}, {}, table))
    assert catalog.find("shop").members == ("shop@bb",) and len(catalog.collisions["shop"].lost) == 2
    changed = catalog.change(State(claims={"shop@cc": claim(1, KEYED, same)}))
    shop = catalog.find("shop")
    assert shop.members == ("shop@bb", "shop@cc") and changed.moved == {"shop": ("shop@bb", shop.key)}
    assert shop.contract["read"].scope is Scope.ZONE and catalog.find("shop@bb").contract == KEYED
    assert [event.joined for event in changed.events] == [("shop@cc",)]
    assert len({one.zone for one in catalog.providers(shop).endpoints.values()}) == 2
    changed = catalog.change(State(claims={"shop@cc": claim(1, ONCE, same)}))
    assert changed.ended == {shop.key} and catalog.find("shop").key == "shop@bb" and not changed.moved["shop"][1] == ""


def flap():
    """A service that comes and goes every second: one entry in the log, and the name stays, with the loser reachable."""
    damping, table, writes = Damping(away=30, withdrawn=20, settle=5), Claims(), []
    table.apply(1, Put("shop@bb", Declared(FREE)))
    table.apply(2, Put("shop@cc", Declared(FREE)))
    catalog = Catalog(HERE, State({}, {"shop@cc": used("shop@cc")}, {}, table.table))
    for now in range(100):
        there = now % 2 == 0
        seen = {"shop@bb": Seen(Declared(FREE) if there else None, now, withdrawn=True)}
        writes += orders(table.table, seen, now, damping)
        for act in writes[:]:
            table.apply(10 + now, act)
        catalog.change(State(used={"shop@bb": used("shop@bb") if there else None}, claims=table.table))
        found = catalog.find("shop")
        assert found.key == "shop@bb" if there else found.reason is Why.STALE
        assert catalog.find("shop.cc").key == "shop@cc"
    assert not writes and table.table["shop@bb"].index == 1
    away = {"shop@bb": Seen(None, 100, True)}
    assert not orders(table.table, away, 119, damping) and orders(table.table, away, 120, damping)
    other = {"shop@bb": Seen(Declared(ONCE), 100), "new@bb": Seen(Declared(ONCE), 104)}
    assert [act.name for act in orders(table.table, other, 104, damping)] == ["new@bb"]
    assert len(orders(table.table, other, 105, damping)) == 2


def test_a_late_release_touches_no_later_claim_and_the_table_comes_back_from_its_dump():
    table = Claims(Limits(2, 3))
    assert table.apply(1, Put("a@bb", Declared(ONCE))) == table.apply(5, Put("a@bb", Declared(KEYED))) == Taken(1)
    assert isinstance(table.apply(6, Release("a@bb", 5)), Not) and table.apply(7, Release("a@bb", 1)) == Taken(0)
    table.apply(8, Put("a@bb", Declared(FREE, ("a@cc",))))
    assert isinstance(table.apply(9, Release("a@bb", 1)), Not) and table.table["a@bb"].index == 8
    wrong = ["A@bb", "a", "a@b b"], [("A@cc",), ("x" * 300,), ("a@cc",) * 33]
    for act in [Put(n, Declared()) for n in wrong[0]] + [Put("b@bb", Declared({}, s)) for s in wrong[1]]:
        assert isinstance(table.apply(10, act), Not), act
    kept = msgspec.msgpack.decode(msgspec.msgpack.encode(table.dump()), type=list[tuple[str, Claim]])
    again = Claims.load(kept, table.limits)
    assert (again.table, again.counts) == (table.table, table.counts) == (dict(kept), {"bb": 1})


def test_a_rename_keeps_both_names_until_the_old_claim_goes():
    catalog = Catalog(HERE, State({}, {"old@bb": used("old@bb")}, {}, {"old@bb": claim(1)}))
    changed = catalog.change(State(used={"old@bb": None, "new@bb": used("new@bb")}, claims={"new@bb": claim(2)}))
    assert catalog.find("new").key == "new@bb" and catalog.find("old").reason is Why.STALE
    assert changed.ended == {"old@bb"} and changed.keys == {"new@bb"} and not changed.events
    catalog.change(State(claims={"old@bb": None}))
    assert catalog.find("old").reason is Why.NAME and set(catalog.by_short) == {"new"}


# ---- provider sets ----------------------------------------------------------------------------------


def test_partners_come_in_only_where_the_own_site_has_none_ready_or_the_service_lives_there():
    catalog = Catalog(HERE, State({"web@aa": own(2)}, {"web@aa": used("web@aa", "s2")}, {}, {}))
    catalog.site = HERE._replace(meshes={"s2": "aa"})
    web = catalog.find("web")
    assert list(catalog.providers(web).endpoints) == ["p0", "p1"]
    catalog.change(State({"web@aa": own(2, life=Lifecycle.DRAINING)}))
    assert list(catalog.providers(catalog.find("web")).endpoints) == ["p0", "p1", "p0@s2", "p1@s2"]
    there = catalog.change(State({"far@bb": own(1, zone="z2")}, {"far@bb": used("far@bb", share=0.1)}, {}, {"far@bb": claim(1)}))
    found = catalog.providers(catalog.find("far"))
    assert there.keys == {"far@bb"} and list(found.endpoints) == ["p0", "p0@bb", "p1@bb"] and found.part == 1.0
    home, *abroad = (one.weight for one in found.endpoints.values())
    assert sum(abroad) <= 0.1 * (home + sum(abroad)) and found.shares == {"bb": 0.1}
    assert len({one.cell for one in found.endpoints.values()}) == 3 and found.endpoints["p0@bb"].zone == "z1@bb"


@FEW
@given(st.lists(st.tuples(st.sets(st.sampled_from("rwx"), min_size=1), st.sampled_from([None, 0.1, 0.5, 1.0])), max_size=4), st.booleans())
def test_whatever_is_sent_is_within_the_classes_and_shares_of_every_partner_in_the_set(partners, ready):
    classes = frozenset("rw")
    routes = [used(f"shop@m{n}", classes=sorted(c), share=s, number=n + 1) for n, (c, s) in enumerate(partners)]
    ends = [({"p": Endpoint("p", "z1", "plain", 1, Lifecycle.READY)}, {"p": "h:1"})] if ready else []
    found = gathered(ends, routes, True, "z1", classes)
    assert found == gathered(ends, routes[::-1], True, "z1", classes) and set(found.addresses) >= set(found.endpoints)
    whole = sum(one.weight for one in found.endpoints.values())
    for one in routes:
        mine = [end.weight for end in found.endpoints.values() if end.address.endswith(f"@{one.partner}")]
        assert not mine or found.classes <= set(one.route.classes) & classes
        assert found.part * sum(mine) <= (one.route.share or 1.0) * whole + 1e-9
    assert found.classes == classes if ready else found.classes or not any(c & classes for c, _ in partners)


def test_changes_come_as_increments_and_who_leaves_drains_before_it_is_gone():
    catalog = Catalog(HERE, State({"shop@aa": own(1)}, {"shop@bb": used("shop@bb")}, {}, {"shop@bb": claim(1)}))
    follower, shop = Follower(10), catalog.find("shop")
    first = follower.step(0, catalog.providers(shop))
    assert first.update.kind is UpdateKind.FULL and first.addresses == {"p0": "10.0.0.1:80"} and not first.drains
    assert follower.step(1, catalog.providers(shop)) is None and follower.next_at is None
    changed = catalog.change(State(own={"shop@aa": None}))  # the winner withdrawn under load
    assert changed.ended == {"shop@aa"} and changed.moved == {"shop": ("shop@aa", "shop@bb")}
    step = follower.step(2, EMPTY)
    assert step.drains == ("p0",) and step.update.endpoints[0].lifecycle is Lifecycle.DRAINING
    assert step.update.kind is UpdateKind.CHANGES and follower.next_at == 12 and follower.step(11, EMPTY) is None
    assert follower.step(12, EMPTY).update.endpoints[0].lifecycle is Lifecycle.GONE and not follower.told
    back = follower.step(13, catalog.providers(catalog.find("shop")))
    assert {end.address for end in back.update.endpoints} == {"p0@bb", "p1@bb"} and follower.step(14, EMPTY).drains
    assert follower.step(15, catalog.providers(catalog.find("shop"))).update.endpoints and follower.next_at is None


# ---- shares -----------------------------------------------------------------------------------------


@FEW
@given(st.lists(st.tuples(st.sampled_from("abcd"), st.integers(-9, 9)), max_size=60), st.integers(1, 40))
def test_no_more_than_the_limit_is_held_and_idle_ones_cost_nothing(steps, total):
    shared = Shared(total)
    for who, count in steps:
        if count > 0:
            room = shared.room(who)
            assert shared.take(who, count) == (count <= room)
        elif count and shared.held.get(who, 0) >= -count:
            shared.give(who, -count)
        assert sum(shared.held.values()) + shared.free == total and shared.free >= 0 and 0 not in shared.held.values()
    with pytest.raises(ValueError):
        shared.give("e")


def test_services_that_want_all_leave_room_for_the_next():
    shared = Shared(1000)
    for _ in range(1000):
        for who in "abcd":
            shared.take(who)
    assert set(shared.held.values()) == {222} and shared.take("new") and shared.room("new") > 50
    shared.resize(100)
    assert not shared.take("late") and shared.free < 0


# ---- a world of partitions --------------------------------------------------------------------------

MESHES = ("aa", "bb", "cc", "dd")
KINDS = (ONCE, FREE, KEYED, {"read": clause(Effect.BY_KEY, Scope.CELL, 9)})


def group(end, scope):
    return {Scope.CELL: end.cell, Scope.ZONE: end.zone, Scope.ALL: 0}[scope]


def may_again(one, end, other):
    effect, scope = one["read"].effect, one["read"].scope
    return effect is Effect.REPEATABLE or (effect is Effect.BY_KEY and group(other, scope) == group(end, scope))


def home(end):
    return end.address.partition("@")[2] or "aa"


def judge(live, requests):
    """Repeats what the contract lets it, and holds it against what the meshes where it ran had declared."""
    ran = 0
    for catalog, key, one, end, words in requests:
        some = catalog.providers(live[catalog][key]).endpoints.values() if key in live[catalog] else ()
        for other in (other for other in some if may_again(one, end, other)):
            ran += 1
            first, second = words[home(end)], words[home(other)]
            assert Effect.ONCE not in (first.effect, second.effect), "ran twice where it is called once"
            if Effect.BY_KEY in (first.effect, second.effect):
                assert home(end) == home(other), "ran again where its key is not known"
                assert group(other, first.scope) == group(end, first.scope), "ran again outside its scope"
    return ran


def world(seed):
    """Three sidecars of one site hold copies of one log, while meshes come, go and declare anew, and a pin is set and
    taken. Two oracles: an acknowledged claim is never lost or made younger; and `judge`."""
    dice, log, acked, requests, ran = random.Random(seed), [], {}, [], 0
    up, said, cut, pin, done = {}, dict.fromkeys(MESHES, FREE), set(), None, [0, 0, 0]
    same, truth = tuple(f"shop@{m}" for m in MESHES), Claims()
    cars = [(Claims(), Catalog(HERE)) for _ in range(3)]

    def follow(number):
        table, catalog = cars[number]
        before = dict(table.table)
        for index in range(done[number], len(log)):
            table.apply(index + 1, log[index])
        done[number] = len(log)
        gone = dict.fromkeys(before.keys() - table.table.keys())
        other = {name: one for name, one in table.table.items() if before.get(name) != one}
        changes = [State(claims={**other, **gone}), State(pins={"shop": pin})]
        changes += [State(used={f"shop@{m}": used(f"shop@{m}") if up.get(m) else None}) for m in MESHES[1:]]
        changes.append(State({"shop@aa": own(2, said["aa"], same) if up.get("aa") else None}))
        dice.shuffle(changes)
        for change in changes:
            catalog.change(change)

    for now in range(60):
        what, mesh = dice.randrange(6), dice.choice(MESHES[seed % 2 :])  # every second site has no such service itself
        if what < 2:
            up[mesh] = not up.get(mesh)
        elif what == 2:
            said[mesh] = dice.choice(KINDS)
        elif what == 3:
            said = dict.fromkeys(MESHES, dice.choice(KINDS))
        elif what == 4:
            pin = f"shop@{mesh}" if pin is None and dice.random() < 0.5 else None
        else:
            cut = set() if cut else {dice.randrange(3)}
        for _ in range(3):  # both sides of a partition claim; the smaller side's word is lost, or comes late
            number, mesh = dice.randrange(3), dice.choice(MESHES)
            seen = {f"shop@{mesh}": Seen(Declared(said[mesh], same) if up.get(mesh) else None, now - 9)}
            damping = Damping(away=10**6 if dice.random() < 0.9 else 0, settle=0)
            for act in orders(cars[number][0].table, seen, now, damping):
                if number not in cut or dice.random() < 0.2:
                    log.append(act)
                    answer = truth.apply(len(log), act)
                    if isinstance(act, Put):
                        acked.setdefault(act.name, answer.index)
                    elif isinstance(answer, Taken):
                        acked.pop(act.name)
        for number in {0, 1, 2} - cut:
            follow(number)
        live = {c: {e.key: e for e in c.entries.values() if isinstance(e, Service)} for _, c in cars}
        ran += judge(live, requests)
        requests = []
        for table, catalog in cars:
            words = {mesh: said[mesh]["read"] for mesh in MESHES if mesh == "aa"}
            words |= {name[5:]: one.declared.contract["read"] for name, one in table.table.items()}
            words = {mesh: words.get(mesh, contract.ONCE) for mesh in MESHES}
            for host in ("shop", *same):
                found = catalog.find(host)
                assert host == "shop" or isinstance(found, Unknown) or found.members == (host,)
                if isinstance(found, Service):
                    some = catalog.providers(found).endpoints.values()
                    requests += [(catalog, found.key, found.contract, end, words) for end in some]
    for number in range(3):
        follow(number)
    (table, one), *rest = cars
    assert {name: claimed.index for name, claimed in table.table.items()} == acked, "an acknowledged claim is lost"
    fresh = Catalog(HERE, State(one.own, one.used, one.left, one.claims, one.pins))
    for other, catalog in [*rest, (table, fresh)]:
        assert other.dump() == table.dump() and catalog.by_short == one.by_short
        assert catalog.entries == one.entries and catalog.collisions == one.collisions
    return ran


def test_a_random_world_has_one_winner_everywhere_and_repeats_nothing_that_is_called_once():
    assert sum(world(seed) for seed in range(12)) > 1000


def worlds():
    for seed in range(12):
        world(seed)


def test_hard_cases():
    for scene in (hostile, contracts, flap):
        scene()


RULES = collisions.RULES


def loosest(some):
    some = list(some)
    return {n: max((c[n] for c in some), key=lambda o: contract.STRICTNESS[o.effect]) for n in some[0] if all(n in c for c in some)}


def younger(self, index, act):
    PUT(self, index, act)
    self.table[act.name] = Claim(index, act.declared)
    return Taken(index)


def by_rules(*rules):
    return mock.patch.object(Catalog.__init__, "__defaults__", (State(), rules))


def agree(one, other):
    return one.declared is not None and other.declared is not None


MUTANTS = {
    "the loosest contract, whatever is declared": ([(build, "strictest", loosest), (collisions, "same", agree)], worlds),
    "a key's scope over several meshes": ([(build, "apart", dict)], worlds),
    "one key whatever the meshes": ([(build, "key_of", lambda members: members[0])], worlds),
    "a new word makes a claim younger": ([(Claims, "_put", younger)], worlds),
    "the same service with other contracts": ([(collisions, "same", agree)], contracts),
    "a partner's zone not its own": ([(providers, "abroad", lambda u: plain_abroad(u))], contracts),
    "no limit of a mesh": ([(claims.LIMITS.__class__, "of_mesh", 10**9)], hostile),
    "any site takes work for any mesh": ([(Catalog, "_route", lambda self, name: self.used.get(name))], hostile),
    "no damping": ([(claims, "Damping", None), (Damping, "withdrawn", 0)], flap),
    "no rule of the own mesh": (by_rules(*RULES[:1], *RULES[2:]), hostile),
    "no rule of pins": (by_rules(*RULES[1:]), hostile),
    "no rule of age": (by_rules(*RULES[:2], RULES[3]._replace(key=lambda c, v: -c.age)), hostile),
}


def plain_abroad(one):
    ends, at = ABROAD(one)
    return {name: msgspec_free(end) for name, end in ends.items()}, at


def msgspec_free(end):
    return Endpoint(end.address, end.zone.partition("@")[0], end.kind, end.cell, end.lifecycle, end.weight)


ABROAD, PUT = providers.abroad, Claims._put


@pytest.mark.parametrize("name", MUTANTS)
def test_a_broken_rule_is_found(name):
    how, scene = MUTANTS[name]
    with ExitStack() as stack:
        for patch in [how] if not isinstance(how, list) else [mock.patch.object(*one) for one in how]:
            stack.enter_context(patch)
        with pytest.raises(AssertionError):
            scene()
