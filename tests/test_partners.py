"""Tests of the partners' routes without sockets: terms, tables, the merge, sessions, and several simulated sites."""

import json
import random
from contextlib import ExitStack
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftweir.emulator import sites
from loftweir.emulator.sites import (
    MAX_HOP_DELAY,
    MS,
    SECOND,
    START_TIME,
    TIMING,
    LinkFaults,
    Simulation,
    make_route,
    simulate,
)
from loftweir.errors import LoftweirError
from loftweir.interface import SettingsError
from loftweir.partners import merge as merge_module
from loftweir.partners import table as table_module
from loftweir.partners import terms as terms_module
from loftweir.partners.merge import Freshness, Merger, PartnerState, Policy, Reason, Role, merge, newest_tables
from loftweir.partners.session import (
    STATE_TRAITS,
    TRANSITIONS,
    ResponseRejected,
    SendRequest,
    Session,
    SessionEvent,
    SessionState,
    Timing,
    aged_state,
    ramp_factor,
)
from loftweir.partners.table import (
    BadTable,
    Limits,
    Offer,
    OldTable,
    Table,
    apply_response,
    decode_table,
    encode_table,
    parse_response,
)
from loftweir.partners.terms import (
    CLOSED,
    FOREVER,
    NO_SITES,
    OPEN,
    SiteSet,
    Terms,
    find_leaker,
    parse_terms,
    terms_to_json,
)

NAMES = ("aa", "bb", "cc", "dd")
SITES = st.builds(SiteSet, st.frozensets(st.sampled_from(NAMES), max_size=3), st.booleans())
UNKNOWN = st.sampled_from([frozenset(), frozenset(), frozenset(), frozenset(("price",))])
TERMS = st.builds(Terms, SITES, SITES, st.integers(0, 3), st.sampled_from([5, 20, FOREVER]), UNKNOWN)
FEW_EXAMPLES = settings(derandomize=True, max_examples=60, deadline=None)
SERVICE = "s0@aa"


def only(*names):
    return SiteSet(frozenset(names))


def terms(**what):
    return msgspec.structs.replace(OPEN, **what)


# ---- terms ---------------------------------------------------------------------------------------


def check_laws(a, b, c):
    assert a.meet(b) == b.meet(a) and a.meet(a) == a and a.meet(OPEN) == a
    assert a.meet(b.meet(c)) == a.meet(b).meet(c)
    for site in NAMES:
        for now in (0, 10, 30 * SECOND):
            open_now = not a.unknown and now < a.until  # written independently of the code under test
            assert a.may_use(site, now) == (open_now and (site in a.use.names) != a.use.but)
            assert a.may_show(site, now, 2) == (open_now and a.passes >= 2 and (site in a.show.names) != a.show.but)
            assert a.meet(b).may_use(site, now) == (a.may_use(site, now) and b.may_use(site, now))
            on = a.passed_on("bb", b, ("aa",))
            assert a.may_show(site, now, 1) or not on.may_show(site, now, 1)
            assert b.may_show(site, now) or site in ("aa", "bb") or not on.may_show(site, now)


@FEW_EXAMPLES
@given(TERMS, TERMS, TERMS)
def test_terms_only_tighten_in_any_order_and_survive_their_json_form(a, b, c):
    check_laws(a, b, c)
    closed = msgspec.structs.replace(a.meet(CLOSED), unknown=frozenset())  # unknown terms can't be written
    assert parse_terms(json.loads(msgspec.json.encode(terms_to_json(a)))) == (closed if a.unknown else a)
    assert not a.passed_on("bb").show.contains("cc") if not a.show.contains("bb") else a.passed_on("bb") == a


def test_unknown_terms_close_the_route_and_are_named():
    good = terms_to_json(OPEN)
    bad = [("price", 3), ("use", {"near": ["aa"]}), ("use", {"only": [1]}), ("passes", True), ("until", "soon")]
    for name, value in [*bad, ("show", None), ("passes", -1)]:
        parsed = parse_terms({**good, name: value})
        assert parsed.unknown == {name} and not parsed.may_use("aa", 0) and not parsed.may_show("aa", 0), name
    assert parse_terms(None).unknown == {"terms"} and parse_terms({}).unknown == set(terms_module.FIELDS)
    states = {"bb": fresh("bb", {SERVICE: make_route(SERVICE, "bb", terms(unknown=frozenset(("price",))))})}
    assert str(merge(states, Policy("aa"), 0).left[SERVICE]["bb"]) == "unknown term price"


def test_a_leak_is_attributed_to_the_site_that_showed_the_route():
    assert find_leaker(terms(show=only("bb")), ("bb", "aa"), "cc") == "bb"
    assert find_leaker(terms(show=only("cc")), ("bb", "aa"), "cc") == "aa"
    assert find_leaker(terms(passes=0), ("cc", "bb", "aa"), "dd") == "bb"
    assert find_leaker(terms(passes=2), ("cc", "bb", "aa"), "dd") == ""
    # A site that tightens the terms does not count as leaking.
    passed_on = OPEN.passed_on("bb", terms(show=only("cc")), ("aa",))
    assert find_leaker(passed_on, ("bb", "aa"), "cc") == "" and not passed_on.may_show("dd", 0, 1)


# ---- tables --------------------------------------------------------------------------------------


def offer(site="bb", epoch=1, number=3):
    offered = Offer(site, epoch)
    offered.replace({f"s{n}@{site}": make_route(f"s{n}@{site}", site, OPEN) for n in range(number)})
    return offered


def fresh(site, routes, epoch=1, index=1, now=0):
    return PartnerState(Table(site, epoch, index, routes), Freshness.FRESH, now, now)


def edited_response(edit, number=0):
    data = json.loads(offer().response(None))
    edit(data["routes"][number] if number is not None else data)
    return json.dumps(data).encode()


def set_value(*path, value):
    def edit(data):
        for name in path[:-1]:
            data = data[name]
        data[path[-1]] = value

    return edit


FAULTS = [
    (set_value("service", value="a b@m"), 1, "routes.1.service"),
    (set_value("service", value="-a@m"), 1, "routes.1.service"),
    (set_value("service", value="S0@BB"), 1, "routes.1.service"),  # a duplicate that differs only in case
    (set_value("path", value=["cc", "bb"]), 0, "routes.0.path"),
    (set_value("path", value=["bb", "cc", "bb"]), 0, "routes.0.path"),
    (set_value("path", value=["bb", *(f"x{n}" for n in range(9))]), 0, "routes.0.path"),
    (set_value("providers", 0, "address", value="nowhere"), 2, "routes.2.providers.0.address"),
    (set_value("providers", 0, "type", value=7), 2, "routes.2.providers.0.type"),
    (set_value("providers", value=[{}] * 65), 0, "routes.0.providers.0"),
    (set_value("classes", value=[]), 0, "routes.0.classes"),
    (set_value("share", value=1.5), 0, "routes.0.share"),
    (set_value("valid_for", value=0), 0, "routes.0.valid_for"),
    (set_value("epoch", value="x"), None, "epoch"),
    (set_value("site", value="cc"), None, "site"),
    (set_value("after", value=3), None, "after"),
    (set_value("sum", value="0" * 16), None, "sum"),
]


@pytest.mark.parametrize("edit, number, place", FAULTS, ids=lambda x: x if isinstance(x, str) else "")
def test_an_invalid_table_is_rejected_as_a_whole_with_the_place(edit, number, place):
    with pytest.raises(BadTable) as caught:
        apply_response(None, parse_response(edited_response(edit, number), "bb"))
    assert caught.value.faults[0].place.startswith(place) and caught.value.where == "partner bb"
    assert isinstance(caught.value, LoftweirError) and caught.value.remedy


def test_every_fault_has_its_place_and_limits_apply_to_changes_too():
    data = json.loads(offer().response(None))
    data["routes"][0]["share"], data["routes"][2]["path"] = "x", []
    with pytest.raises(BadTable) as caught:
        parse_response(json.dumps(data).encode(), "bb")
    assert [fault.place for fault in caught.value.faults] == ["routes.0.share", "routes.2.path"]
    many, three = offer(number=3), Limits(routes=3)
    current = apply_response(None, parse_response(many.response(None), "bb"))
    many.replace({**many.routes, "x@bb": make_route("x@bb", "bb", OPEN)})
    for rejected in (lambda: apply_response(current, parse_response(many.response(current.position), "bb"), three),
                    lambda: parse_response(many.response(None), "bb", three),
                    lambda: parse_response(many.response(None), "bb", Limits(bytes=100))):  # fmt: skip
        with pytest.raises(BadTable, match="at most"):
            rejected()
    capped = Offer("bb", 1, three)
    assert capped.replace(many.routes) and len(parse_response(capped.response(None), "bb", three).routes) == 3


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.lists(st.lists(st.tuples(st.integers(0, 5), st.booleans(), st.integers(0, 3)), max_size=4), max_size=8))
def test_changes_give_the_same_table_as_a_snapshot_and_truncated_or_replayed_ones_are_rejected(steps):
    source, current, before, routes = offer(number=2), None, [], {}
    for step in steps:
        for number, there, passes in step:
            name = f"s{number}@bb"
            routes.pop(name, None)
            if there:
                routes[name] = make_route(name, "bb", terms(passes=passes))
        source.replace(dict(routes))
        data = source.response(current.position if current else None, "q")
        for at in range(0, len(data), 97):
            with pytest.raises(BadTable):
                parse_response(data[:at], "bb")
        current = apply_response(current, parse_response(data, "bb"))
        full = apply_response(None, parse_response(source.response(None), "bb"))
        assert (current.etag, current.routes) == (full.etag, full.routes) == (current.etag, source.routes)
        assert decode_table(encode_table(current)) == current
        before.append(source.response(None))
        for old in before:
            with pytest.raises(OldTable):
                apply_response(current, parse_response(old, "bb"))
    assert not source.replace(dict(source.routes))


# ---- merge ---------------------------------------------------------------------------------------


def test_the_first_rule_that_differs_decides_and_is_named():
    def two(first, second, **policy):
        partner_states = {"bb": first, "cc": second}
        merged = merge(partner_states, Policy("aa", **policy), 10)
        return merged.used["x@m"].partner, str(merged.left["x@m"]["cc" if merged.used["x@m"].partner == "bb" else "bb"])

    one, other = ({"x@m": make_route("x@m", site, OPEN)} for site in ("bb", "cc"))
    far = {"x@m": msgspec.structs.replace(one["x@m"], path=("bb", "dd"))}
    assert two(fresh("bb", one), fresh("cc", other)) == ("bb", "worse than bb (name)")
    assert two(fresh("bb", far), fresh("cc", other)) == ("cc", "worse than cc (shorter path)")
    assert two(fresh("bb", far), fresh("cc", other), preference={"bb": 1}) == ("bb", "worse than bb (preference)")
    stale = msgspec.structs.replace(fresh("bb", one), freshness=Freshness.STALE)
    assert two(stale, fresh("cc", other), preference={"bb": 1}) == ("cc", "worse than cc (confirmed before stale)")
    roles = {"bb": Role.UPSTREAM, "cc": Role.DOWNSTREAM}
    assert two(fresh("bb", one), fresh("cc", other), roles=roles) == ("cc", "worse than cc (role)")
    last = merge({"bb": stale}, Policy("aa", gone_after=10), 10).left["x@m"]["bb"]
    assert last.reason is Reason.STALE
    away = merge({"bb": msgspec.structs.replace(stale, freshness=Freshness.GONE)}, Policy("aa"), 10)
    assert away.left["x@m"]["bb"].reason is Reason.AWAY
    excluded = {"x@m": make_route("x@m", "bb", terms(use=only("cc")))}
    assert merge({"bb": fresh("bb", excluded)}, Policy("aa"), 10).left["x@m"]["bb"].reason is Reason.EXCLUDED
    limited = Policy("aa", limits=Limits(path=1))
    assert merge({"bb": fresh("bb", far)}, limited, 10).left["x@m"]["bb"] == (Reason.LIMIT, "path", "")


def test_routes_of_upstream_sites_and_peers_go_only_downstream():
    """RFC 9234, section 5: the four relations, and a leak by a downstream site that the mark reveals."""
    roles = {"up": Role.UPSTREAM, "peer": Role.PEER, "down": Role.DOWNSTREAM, "any": Role.NONE, "low": Role.DOWNSTREAM}
    partner_states = {n: fresh(n, {f"x@{n}": make_route(f"x@{n}", n, OPEN)}) for n in roles}
    shown = merge(partner_states, Policy("aa", roles), 1).shown
    assert set(shown["down"]) == {"x@up", "x@peer", "x@low", "x@any"}
    assert set(shown["up"]) == {"x@down", "x@low", "x@any"} and set(shown["peer"]) == {"x@down", "x@low", "x@any"}
    assert {n: r.marked for n, r in shown["down"].items()}["x@up"] == "up" and shown["peer"]["x@down"].marked == "aa"
    marked = {"y@m": msgspec.structs.replace(make_route("y@m", "down", OPEN), path=("down", "zz"), marked="zz")}
    assert merge({"down": fresh("down", marked)}, Policy("aa", roles), 1).left["y@m"]["down"].who == "down"


PATHS = st.sampled_from([(), ("dd",), ("aa",), ("ee", "dd")])
ROUTES = st.dictionaries(st.integers(0, 3), st.tuples(TERMS, PATHS, st.integers(1, 30)), max_size=3)
STEPS = st.lists(
    st.tuples(st.sampled_from(["bb", "cc"]), ROUTES, st.sampled_from(Freshness), st.integers(0, 12), st.booleans()),
    max_size=10,
)


def routes_of(partner, drawn):
    routes = {}
    for number, (declared, path, valid) in drawn.items():
        partner_route = make_route(f"s{number}@m", partner, declared)
        routes[partner_route.service] = msgspec.structs.replace(partner_route, path=(partner, *path), valid_for=valid)
    return routes


@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS, TERMS)
def test_incremental_changes_give_the_same_result_as_a_full_merge(steps, restriction):
    own = {"s3@m": make_route("s3@m", "aa", terms(show=only("bb"), until=20))}
    policy = Policy("aa", {"bb": Role.NONE, "cc": Role.PEER, "ff": Role.DOWNSTREAM}, offers=own, gone_after=9,
                    restrictions={"s1@m": restriction})  # fmt: skip
    merger, now, partner_states = Merger(policy), 0, {}
    for index, (partner, drawn, freshness, later, same) in enumerate(steps):
        now += later
        before = partner_states.get(partner, PartnerState())
        table = before.table if same else Table(partner, 1, index, routes_of(partner, drawn))
        since = before.since if freshness is before.freshness else now
        confirmed = now if freshness is Freshness.FRESH else before.confirmed_at
        partner_states[partner] = PartnerState(table, freshness, since, confirmed)
        was = {to: dict(routes) for to, routes in merger.merged.shown.items()}
        changed = merger.update_partner(partner, partner_states[partner], now)
        assert merger.merged == merge(partner_states, policy, now)
        assert {to for to in was if was[to] != merger.merged.shown[to]} <= changed.shown
        ahead = merger.next_at
        if ahead < FOREVER:
            assert merge(partner_states, policy, ahead - 1) == merger.merged
            now = ahead
            merger.advance(now)
            assert merger.merged == merge(partner_states, policy, now)
    assert Merger(policy, now, partner_states).merged == merger.merged
    for partner in list(partner_states):
        merger.remove_partner(partner, now)
    assert merger.merged == merge({}, policy, now)


SMALL = st.integers(0, 2)
TABLES = st.builds(Table, st.just("bb"), SMALL, SMALL, st.just({}), st.just({}), SMALL)
MAPS = st.dictionaries(st.sampled_from(NAMES), TABLES, max_size=3)


@FEW_EXAMPLES
@given(MAPS, MAPS, MAPS)
def test_newest_tables_depend_neither_on_order_nor_on_repetition(a, b, c):
    assert newest_tables(a, b) == newest_tables(b, a) and newest_tables(a, a) == a
    assert newest_tables(a, newest_tables(b, c)) == newest_tables(newest_tables(a, b), c)


# ---- session -------------------------------------------------------------------------------------


class Partner:
    """A session whose partner responds at once while `up`. A request without changes takes its whole wait."""

    def __init__(self, timing=TIMING, limits=table_module.DEFAULT_LIMITS):
        self.now, self.up, self.source, self.edit = START_TIME, True, offer(), lambda data: data
        self.session = Session("bb", "life", lambda: 0.5, timing, limits)
        self.seen, self.errors = [], []
        self.do(self.session.start(self.now))

    def do(self, actions):
        for action in actions:
            self.seen.append(self.session.state)
            if isinstance(action, ResponseRejected):
                self.errors.append(action.error)
            if isinstance(action, SendRequest) and self.up:
                if not self.source.has_changes(action.after):
                    self.now += action.wait
                data = self.edit(self.source.response(action.after, action.nonce))
                self.do(self.session.on_response(self.now, action.number, data))

    def run(self, length):
        until = self.now + length
        while self.session.next_at <= until:
            self.now = max(self.now, self.session.next_at)
            self.do(self.session.tick(self.now))
        self.now = max(self.now, until)
        return self.session.state


def test_the_state_machine_covers_all_states_and_events():
    assert set(STATE_TRAITS) == set(SessionState) and {s for s, _ in TRANSITIONS} | set(TRANSITIONS.values()) == set(
        SessionState
    )
    assert [s for s in SessionState if STATE_TRAITS[s].freshness is Freshness.FRESH] == [SessionState.HOLDING]
    assert {step for _, step in TRANSITIONS} == set(SessionEvent)
    with pytest.raises(SettingsError, match="partners.hold"):
        Timing(hold=5 * SECOND)


def test_one_lost_response_makes_nothing_stale_and_a_silent_partner_expires_in_steps_and_returns_by_the_ramp():
    partner = Partner()
    assert (
        partner.run(20 * SECOND) is SessionState.HOLDING
        and ramp_factor(partner.session.partner_state(), partner.now, TIMING) == 1
    )
    partner.up = False
    # The request timed out; the first one without a wait is in flight.
    partner.run(TIMING.wait + TIMING.silent_after + 10 * MS)
    partner.up = True
    assert partner.run(SECOND) is SessionState.HOLDING and SessionState.STALE not in partner.seen
    partner.up = False
    assert partner.run(TIMING.hold) is SessionState.STALE and partner.session.partner_state().table is not None
    assert partner.run(TIMING.gone) is SessionState.GONE and partner.session.partner_state().table is None
    partner.up = True
    assert partner.run(TIMING.again_most) is SessionState.HOLDING
    held = partner.session.partner_state()
    parts = [ramp_factor(held, held.back_at + n * TIMING.ramp_within // 4, TIMING) for n in range(5)]
    assert parts[0] == TIMING.ramp_from and parts[4] == 1 and parts == sorted(parts) and parts[1] < 0.3
    handed = Session("bb", "other", lambda: 0.5, TIMING)
    # Another sidecar gets the lease: the ramp continues, since the partner was never away.
    handed.start(partner.now, held)
    assert handed.state is SessionState.HOLDING and handed.partner_state().back_at == held.back_at
    after = (0, TIMING.hold, TIMING.hold + TIMING.gone)
    ages = [aged_state(held, held.confirmed_at + later, TIMING).freshness for later in after]
    assert ages == [Freshness.FRESH, Freshness.STALE, Freshness.GONE]  # as an observer that is cut off computes it
    late = Session("bb", "third", lambda: 0.5, TIMING)
    late.start(partner.now + MAX_HOP_DELAY, held)
    assert late.state is SessionState.GONE


def test_an_invalid_table_leaves_the_last_valid_one_until_it_expires():
    for edit, what in ((lambda data: data[:-20], "truncated"), (lambda data: data + b" " * 9000, "at most")):
        partner = Partner(limits=Limits(bytes=8000))
        before = partner.session.table
        partner.source.replace({SERVICE.replace("aa", "bb"): make_route(SERVICE.replace("aa", "bb"), "bb", CLOSED)})
        partner.edit = edit
        assert partner.run(TIMING.hold - 2 * SECOND) is SessionState.HOLDING and partner.session.table is before
        assert partner.errors and what in str(partner.errors[0]) and partner.errors[0].partner == "bb"
        assert partner.run(2 * SECOND) is SessionState.STALE and partner.run(TIMING.gone) is SessionState.GONE
        partner.edit = lambda data: data
        assert partner.run(2 * SECOND) is SessionState.HOLDING and len(partner.session.table.routes) == 1


def test_a_restart_is_detected_by_its_epoch_and_a_lower_one_is_accepted_only_after_expiry():
    partner = Partner()
    partner.source.replace({})
    partner.run(SECOND)
    assert partner.session.table.position == (1, 2)
    partner.source = offer(epoch=2)
    assert (
        partner.run(3 * SECOND) is SessionState.HOLDING
        and partner.session.table.position == (2, 1)
        and not partner.errors
    )
    partner.source = offer(epoch=1, number=1)
    partner.run(SECOND * 3)
    assert (
        partner.session.table.position == (2, 1) and all(type(e) is OldTable for e in partner.errors) and partner.errors
    )
    partner.run(MAX_HOP_DELAY)
    assert partner.session.table.position == (1, 1)
    first = partner.source.response(None, "life.1")  # a cached response
    partner.source, partner.edit = offer(epoch=3), lambda data: first
    partner.run(2 * SECOND)
    assert partner.session.table.position == (1, 1) and "the nonce of the request" in str(partner.errors[-1])


def test_changes_that_follow_another_table_cause_a_request_for_the_whole():
    partner = Partner()
    # The table at this position is another one than the stored one.
    partner.source.encoded["s0@bb"], partner.source.sum = b"{}", 7
    good = offer(number=2)
    good.index, good.changed = 9, dict.fromkeys(good.changed, 9)
    partner.source = good
    assert partner.run(3 * SECOND) is SessionState.HOLDING and partner.session.table.routes == good.routes
    assert partner.errors[0].faults[0].place == "sum"


def test_a_flapping_partner_is_damped_and_then_used_again():
    partner = Partner()
    for number in range(6):
        partner.source = offer(epoch=number + 2)
        partner.run(2500 * MS)
    assert partner.session.state is SessionState.DAMPED and partner.session.partner_state().freshness is Freshness.GONE
    assert (
        partner.run(TIMING.damped_most) is SessionState.HOLDING
        and ramp_factor(partner.session.partner_state(), partner.now, TIMING) <= 1
    )
    assert partner.session.partner_state().back_at > START_TIME + SECOND


# ---- several sites -------------------------------------------------------------------------------


def simulated_sites(links, dishonest="", seed=1, declared=OPEN):
    pairs = [pair.split("-") for pair in links.split()]
    simulation = Simulation(seed, sorted({name for pair in pairs for name in pair}), pairs, dishonest)
    simulation.declare("aa", SERVICE, declared)
    simulation.start()
    simulation.run(5 * SECOND)
    return simulation


def used_path(simulation, site):
    used = simulation.sites[site].merger.merged.used.get(SERVICE)
    return used.route.path if used else None


def tightened_while_a_link_is_down(new_terms=CLOSED):
    simulation = simulated_sites("aa-bb bb-cc", declared=terms(passes=1))
    assert used_path(simulation, "bb") == ("aa",) and used_path(simulation, "cc") == ("bb", "aa")
    simulation.link("aa", "bb", False)
    simulation.run(SECOND)
    simulation.declare("aa", SERVICE, new_terms)
    simulation.run(3 * MAX_HOP_DELAY)
    assert simulation.violations() or (used_path(simulation, "bb"), used_path(simulation, "cc")) == (None, None)
    simulation.link("aa", "bb", True)
    simulation.run(5 * SECOND)
    return simulation


@pytest.mark.parametrize("new_terms", [terms(use=only("zz")), None], ids=["tightened", "withdrawn"])
def test_terms_declared_while_the_link_is_down_apply_after_the_bound_and_after_the_link_returns(new_terms):
    simulation = tightened_while_a_link_is_down(new_terms)
    assert (
        not simulation.violations()
        and used_path(simulation, "bb") is None
        and simulation.event_counts["stale"]
        and simulation.event_counts["gone"]
    )


def test_a_withdrawn_route_does_not_loop_through_three_sites():
    simulation = simulated_sites("aa-bb bb-cc cc-aa dd-cc", declared=terms(passes=9))
    assert used_path(simulation, "bb") == ("aa",) and used_path(simulation, "dd") == ("cc", "aa")
    simulation.declare("aa", SERVICE, None)
    simulation.run(SECOND)
    assert [used_path(simulation, n) for n in ("aa", "bb", "cc", "dd")] == [None] * 4 and not simulation.violations()
    loop = {
        "bb": fresh("bb", {SERVICE: msgspec.structs.replace(make_route(SERVICE, "bb", OPEN), path=("bb", "cc", "aa"))})
    }
    assert merge(loop, Policy("cc"), 0).left[SERVICE]["bb"].reason is Reason.LOOP


@pytest.mark.parametrize("declared", [terms(show=only("bb", "dd")), terms(passes=0)], ids=["show", "passes"])
def test_a_leak_is_detected_by_the_next_honest_site(declared):
    simulation = simulated_sites("aa-bb bb-cc cc-dd", dishonest="bb", declared=declared)
    assert (
        used_path(simulation, "cc") is None
        and used_path(simulation, "dd") is None
        and simulation.leak_counts["bb"]
        and not simulation.violations()
    )
    assert str(simulation.sites["cc"].merger.merged.left[SERVICE]["bb"]) == "leaked by bb"
    assert SERVICE not in simulation.sites["cc"].merger.merged.shown["dd"]


def test_replayed_responses_are_rejected():
    simulation = simulated_sites("aa-bb")
    simulation.declare("aa", SERVICE, terms(use=NO_SITES))
    simulation.run(SECOND)
    simulation.faults = LinkFaults(repeated=0.7)
    simulation.run(20 * SECOND)
    assert simulation.event_counts["OldTable"] and used_path(simulation, "bb") is None
    simulation.heal_and_check()
    assert not simulation.violations()


def test_two_sites_restarted_without_data_return_by_the_ramp_and_others_are_not_affected():
    simulation = simulated_sites("aa-bb cc-bb")
    simulation.declare("cc", "t@cc", OPEN)
    simulation.run(SECOND)
    simulation.restart(["aa", "bb"], True, SECOND)
    simulation.run(1500 * MS)
    held = simulation.sites["bb"].stored["aa"]
    assert used_path(simulation, "bb") == ("aa",) and ramp_factor(held, simulation.clock.now, TIMING) < 0.3
    simulation.faults = LinkFaults(cut=1.0)
    simulation.heal_and_check()
    assert not simulation.violations()
    before = simulation.sites["cc"].sessions["bb"].since
    for number in range(12):
        simulation.link("aa", "bb", number % 2 == 0)
        simulation.run(TIMING.hold + 100 * MS if number % 2 else 1500 * MS)
    assert (
        simulation.event_counts["damped"]
        and simulation.sites["cc"].sessions["bb"].since == before
        and not simulation.violations()
    )
    assert simulation.sites["bb"].sessions["cc"].state is SessionState.HOLDING and used_path(simulation, "bb") is None
    simulation.heal_and_check()
    assert not simulation.violations() and used_path(simulation, "bb") == ("aa",)


def test_random_sites_never_use_or_show_a_route_against_its_terms():
    seen, acts = {}, 0
    for seed in range(200):
        simulation = simulate(seed)
        assert not simulation.violations(), (seed, simulation.violations()[0])
        acts += simulation.oracle.acts
        for name in simulation.event_counts:
            seen[name] = seen.get(name, 0) + 1
    assert acts > 50_000
    for name in ("BadTable", "OldTable", "LEAKED", "EXPIRED", "EXCLUDED", "WORSE", "stale", "gone", "damped"):
        assert seen[name] >= 3, (name, seen)


# ---- deliberate defects --------------------------------------------------------------------------


def unchanged(self, other):
    return self


def all_recipients(self, sites, now, passed=0):
    return list(sites)


def parse_without_unknown(value):
    return msgspec.structs.replace(REAL_PARSE_TERMS(value), unknown=frozenset())


def accept_any(self, data, request):
    response = parse_response(data, self.partner)
    if response.after is None:
        return Table(response.site, response.epoch, response.index, response.routes, response.sums, response.sum)
    return self.table or Table(response.site, response.epoch, response.index)


def may_use_at_any_time(self, site, now):
    return not self.unknown and self.use.contains(site)


def never_expires(one, policy):
    return FOREVER, Reason.EXPIRED


def no_hold_expiry(self):
    return FOREVER


REAL_PARSE_TERMS = terms_module.parse_terms
DEFECTS = {  # defect: the patches, and the checks that have to detect it
    "a site passes terms on without tightening them": ([(Terms, "meet", unchanged)], {"laws", "days"}),
    "the showing site does not check the terms": ([(Terms, "allowed_recipients", all_recipients)], {"laws", "days"}),
    "the receiving site does not check the path": ([(merge_module, "find_leaker", lambda *_: "")], {"leak", "days"}),
    "the using site does not check the terms": ([(Terms, "may_use", lambda *_: True)], {"laws", "days"}),
    "unknown terms are ignored": ([(table_module, "parse_terms", parse_without_unknown)], {"unknown"}),
    "a replayed table is accepted": ([(Session, "_accept", accept_any)], {"replay", "days"}),
    "routes do not expire": (
        [(merge_module, "expiry", never_expires), (Terms, "may_use", may_use_at_any_time)],
        {"laws", "end", "days"},
    ),
    "the hold time never expires": ([(Session, "_hold_expiry", no_hold_expiry)], {"link"}),
}


def check_holds(check):
    try:
        return not check().violations()
    except AssertionError:
        return False


class NoFindings:
    def violations(self):
        return []


def random_laws():
    draw = random.Random(5)
    for _ in range(60):
        check_laws(*(sites.random_terms(draw, NAMES, 0) for _ in range(3)))
    return NoFindings()


def random_days():
    return next((simulation for simulation in map(simulate, range(40)) if simulation.violations()), NoFindings())


def leak():
    simulation = simulated_sites("aa-bb bb-cc cc-dd", dishonest="bb", declared=terms(passes=0))
    assert used_path(simulation, "cc") is None
    return simulation


def replay():
    simulation = simulated_sites("aa-bb")
    simulation.declare("aa", SERVICE, CLOSED)
    simulation.faults = LinkFaults(repeated=0.7)
    simulation.run(3 * MAX_HOP_DELAY)
    return simulation


def unknown_term():
    simulation = Simulation(1, ["aa", "bb"], [("aa", "bb")])
    simulation.declare("aa", SERVICE, OPEN)
    simulation.start()
    simulation.run(2 * SECOND)
    with mock.patch.object(table_module, "terms_to_json", lambda declared: {**terms_to_json(OPEN), "price": 3}):
        simulation.declare("aa", SERVICE, terms(passes=7))  # is sent with a term that no site knows
    # The meaning of that term is that no site may use the route.
    simulation.oracle.declare(simulation.clock.now, "aa", SERVICE, terms(use=NO_SITES))
    simulation.run(2 * MAX_HOP_DELAY)
    return simulation


def expired_terms():
    simulation = simulated_sites("aa-bb", declared=terms(until=START_TIME + 8 * SECOND))
    assert used_path(simulation, "bb")
    simulation.link("aa", "bb", False)
    simulation.run(4 * SECOND)
    return simulation


CHECKS = {"laws": random_laws, "days": random_days, "leak": leak, "replay": replay, "unknown": unknown_term,
          "end": expired_terms, "link": tightened_while_a_link_is_down}  # fmt: skip


@pytest.mark.parametrize("name", DEFECTS)
def test_a_deliberate_defect_is_detected(name):
    patches, by = DEFECTS[name]
    with ExitStack() as stack:
        for owner, what, value in patches:
            stack.enter_context(mock.patch.object(owner, what, value))
        assert {check for check in CHECKS if not check_holds(CHECKS[check])} >= by


def test_the_checks_hold_without_a_defect():
    assert all(map(check_holds, CHECKS.values()))
