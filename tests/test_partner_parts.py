"""Tests of partners without sockets: the replicated table, standby providers, the configuration file."""

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from partner_scene import CLASSES, OPEN, make_route
from support import SECOND
from support import settings as platform_settings

from loftweir.catalog.providers import partner_endpoints
from loftweir.config import model, operator
from loftweir.config.contradictions import REPLICATION_MARGIN
from loftweir.config.faults import Faulty
from loftweir.interface import Effect, Endpoint, Lifecycle, MembershipUpdate, RequestClass, Scope, UpdateKind
from loftweir.lease.duty import LeasedTask, NotActing
from loftweir.net.loop import Loop, Wait
from loftweir.partners import file, replicated_table
from loftweir.partners.keeping import NotKept, TableWriter, Target
from loftweir.partners.link import NotAnswered, PartnerClient
from loftweir.partners.merge import Freshness, UsedRoute
from loftweir.partners.replicated_table import Chunker, Head, NotReadable, TableReader, encode_head
from loftweir.partners.session import SendRequest, Session, SessionState, Timing
from loftweir.partners.standby import Standby, border_providers, unusable_reason
from loftweir.partners.table import BadTable, Limits, OldTable, Table, check_order, parse_response, parse_route
from loftweir.replication.machine import (
    AcquireLease,
    CapacityExceeded,
    FencedValue,
    FencedWrite,
    Lease,
    LeaseNotHeld,
    Machine,
    Ok,
    ReleaseLease,
    StaleToken,
)

LEASE_NAME = "partner:bergen"
LIMITS = Limits(routes=3)


def route(n, version=0):
    return parse_route({"path": ["bergen"], **make_route(f"s{n}@shop", terms={"passes": version})}, "bergen")


class FakeLease:
    """A fake lease that stores the facts, and ends before the write with a given number."""

    lease_name = LEASE_NAME

    def __init__(self, check=lambda: None):
        self.facts, self.order, self.left, self.check = {}, 0, 1 << 30, check

    def put(self, key, value, within):
        if not self.left:
            raise NotActing("killed")
        self.left -= 1
        self.order += 1
        if value:
            self.facts[LEASE_NAME, key] = FencedValue(value, 1, self.order)
        else:
            self.facts.pop((LEASE_NAME, key), None)
        self.check()
        return Ok(self.order)
        yield


def target(chunker, routes, index):
    chunks = chunker.split(routes, {name: n for n, name in enumerate(routes)})
    head = Head(chunks=tuple(chunks), routes=len(routes), table=("bergen", 1, index), confirmed_at=index)
    return Target(encode_head(head), chunks)


@settings(derandomize=True, max_examples=60)
@given(st.lists(st.tuples(st.dictionaries(st.integers(0, 150), st.integers(0, 2), max_size=120), st.integers(0, 9))))
def test_a_table_is_visible_as_a_whole_or_not_at_all_whichever_writer_was_killed(steps):
    lease, reader, allowed = FakeLease(), TableReader(LEASE_NAME), [{}]

    def check():
        reader.read(lease.facts, SECOND)
        assert reader.routes in allowed
        fresh = TableReader(LEASE_NAME)  # a reader without earlier state
        fresh.read(lease.facts, SECOND)
        assert (fresh.routes, fresh.sums) == (reader.routes, reader.sums)

    lease.check = check
    for index, (wanted, left) in enumerate(steps):
        routes = {f"s{n}@shop": route(n, version) for n, version in wanted.items()}
        writer = TableWriter(None, lease)
        head = lease.facts.get((LEASE_NAME, "head"))
        writer.head, writer.stored = head.value if head else None, {key for _, key in lease.facts}
        writer.possible = set(writer.stored)
        before, allowed[:], lease.left = dict(reader.routes), [reader.routes, routes], left or 1 << 30
        try:
            list(writer._write(target(Chunker(), routes, index)))
        except NotActing:
            assert reader.routes in (before, routes)
        else:
            assert reader.routes == routes
            assert {key for _, key in lease.facts} == {"head", *reader.head.chunks}, "no unused chunk is left"


def test_a_change_concerns_one_chunk_and_unchanged_routes_stay_the_same_objects():
    chunker, reader, lease = Chunker(), TableReader(LEASE_NAME), FakeLease()
    routes = {f"s{n}@shop": route(n) for n in range(500)}
    before = target(chunker, routes, 1)
    writer = TableWriter(None, lease)
    list(writer._write(before))
    reader.read(lease.facts, 0)
    old = dict(reader.routes)
    after = target(chunker, routes | {"s7@shop": route(7, 1)}, 2)
    assert len(before.chunks) > 8 and len(after.chunks.keys() - before.chunks.keys()) == 1
    list(writer._write(after))
    assert reader.read(lease.facts, 0) and not reader.read(lease.facts, 0)
    assert sum(reader.routes[name] is not old[name] for name in old) < 100
    # A table that is incomplete or of another version is not used at all.
    for head in (Head(chunks=("c:none",), routes=1), Head(version=9), Head(routes=4)):
        lease.facts[LEASE_NAME, "head"] = FencedValue(encode_head(head), 1, 99)
        with pytest.raises(NotReadable):
            reader.read(lease.facts, 0)
        assert (reader.routes, reader.table, reader.partner_state(0, Timing()).freshness) == ({}, None, Freshness.GONE)


def test_a_table_expires_without_updates_and_a_fast_clock_does_not_extend_it():
    reader, lease, timing = (
        TableReader(LEASE_NAME),
        FakeLease(),
        Timing(wait=1, silent_after=1, hold=15 * SECOND, gone=30 * SECOND),
    )
    list(TableWriter(None, lease)._write(target(Chunker(), {}, 100 * SECOND)))
    assert reader.read(lease.facts, 100 * SECOND)
    states = [reader.partner_state(now * SECOND, timing).freshness for now in (114, 115, 144, 145)]
    assert states == [Freshness.FRESH, Freshness.STALE, Freshness.STALE, Freshness.GONE]
    assert [reader.next_change_at(now * SECOND, timing) for now in (100, 115)] == [115 * SECOND, 145 * SECOND]
    lease.facts[LEASE_NAME, "note"] = FencedValue(replicated_table.encode_note(5000 * SECOND), 1, 9)
    assert reader.read(lease.facts, 120 * SECOND) and reader.confirmed_at == 120 * SECOND
    # A damped partner stays damped after another sidecar takes the lease over, as long as the penalty lasts.
    lease.facts[LEASE_NAME, "head"] = FencedValue(encode_head(Head(damped=True, table=("bergen", 1, 1))), 1, 10)
    assert (
        reader.read(lease.facts, 121 * SECOND)
        and reader.partner_state(121 * SECOND, timing).freshness is Freshness.GONE
    )
    session = Session("bergen", "x", lambda: 0.0)
    session.start(0, reader.partner_state(0, timing), (5000.0, 0), True)
    assert session.state is SessionState.DAMPED
    session.tick(300 * SECOND)
    assert session.state is SessionState.ASKING


def test_each_error_is_raised():
    loop = Loop()
    leased_task = LeasedTask(
        loop, "n0", LEASE_NAME, SECOND, (None, type("C", (), {"writes": type("W", (), {"busy": False})})), None, None
    )
    with pytest.raises(NotActing, match="its lease is over"):
        next(leased_task.put("head", b"x", SECOND))
    lease = FakeLease()
    lease.put = lambda *_: (yield from ()) or CapacityExceeded(1, "fenced values", 10)
    with pytest.raises(NotKept, match="no room"):
        list(TableWriter(None, lease)._write(target(Chunker(), {}, 1)))
    client = PartnerClient(loop, "oslo", file.Neighbour("bergen", ("nowhere",)), model.Partners(), None, None)
    with pytest.raises(NotAnswered, match="not up"):
        next(client._fetch(SendRequest(1, "x.1", None, 0, SECOND)))
    response = {"site": "bergen", "epoch": 1, "index": 1, "snapshot": True, "sum": "0" * 16}
    with pytest.raises(BadTable, match="site: oslo"):
        parse_response(json.dumps(response).encode(), "oslo")
    with pytest.raises(OldTable, match="later than 1.2"):
        check_order(Table("bergen", 1, 2), parse_response(json.dumps(response).encode(), "bergen"))


def test_a_write_rejected_for_its_token_is_the_last_one_under_that_token():
    loop, sent, events = Loop(), [], []
    results = {AcquireLease: Ok(5, 5), FencedWrite: StaleToken(6, 5, 6), ReleaseLease: LeaseNotHeld(7, 5)}

    class FakeCluster:
        writes = type("W", (), {"busy": False})

        def write(self, command, within):
            sent.append(type(command))
            yield Wait(None, 0, loop.now())
            return results[type(command)]

    def run():
        while not events:
            yield Wait(None, 0, loop.now() + 1_000_000)
        with pytest.raises(NotActing):
            yield from leased_task.put("head", b"x", SECOND)
        events.append(leased_task.valid_token())
        leased_task.machine_changed(other_holds)
        yield Wait(None, 0, loop.now() + SECOND // 5)
        loop.stopped = True

    leased_task = LeasedTask(
        loop, "n0", LEASE_NAME, SECOND, (FakeCluster(), FakeCluster()), events.append, lambda: events.append("end")
    )
    other_holds = Machine()
    other_holds.leases[LEASE_NAME] = Lease("n1~0", 6, SECOND, 6)
    loop.after(10 * SECOND, setattr, loop, "stopped", True)
    loop.spawn(run())
    leased_task.set_wanted(True)
    assert leased_task.valid_token() is None and sent == []  # the state of the lease is not known yet
    leased_task.machine_changed(Machine())
    loop.run()
    assert (events, sent) == ([5, None, "end"], [AcquireLease, FencedWrite, ReleaseLease])


# ---- standby providers ---------------------------------------------------------------------------


def used(**more):
    made = {"path": ["bergen"], **make_route("orders@shop", ("127.0.0.1:1", "127.0.0.1:2")), **more}
    return UsedRoute("bergen", parse_route(made, "bergen"))


def own(name, lifecycle=Lifecycle.READY):
    return Endpoint(name, "a", "m", 0, lifecycle)


OWN = st.lists(st.tuples(st.sampled_from(["s0", "s1", "g0@bergen"]), st.sampled_from(Lifecycle)), max_size=3)
STEPS = st.one_of(
    st.tuples(st.just("list"), st.sampled_from(UpdateKind), OWN),
    st.tuples(st.just("use"), st.booleans(), st.just(())),
    st.tuples(st.just("over"), st.booleans(), st.just(())),
)


PLACES = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "a-b", "p"]), st.sampled_from([0, 1, 2**32]), st.sampled_from(["x", "y", "xx"])
    ),
    min_size=2,
    max_size=8,
)


@settings(derandomize=True, max_examples=300)
@given(PLACES, st.sampled_from([border_providers, partner_endpoints]))
def test_partners_providers_are_in_one_zone_or_cell_only_if_they_are_at_the_partner(places, make):
    """Guards against a key that runs twice in two zones of a partner, which the balancer took for one (review/1)."""
    endpoints = []
    for number, (zone, cell, site) in enumerate(places):
        provider = {"name": f"g{number}", "address": "127.0.0.1:1", "zone": zone, "type": "m", "group": cell}
        route = parse_route({"path": [site], **make_route("orders@shop"), "providers": [provider]}, site)
        made = UsedRoute(site, route)
        if make is border_providers:
            (border,) = border_providers(made, 0).values()
            endpoints.append(border.endpoint)
        else:
            endpoints.extend(partner_endpoints(made)[0].values())
    for (zone, cell, site), one in zip(places, endpoints, strict=True):
        for (other_zone, other_cell, other_site), other in zip(places, endpoints, strict=True):
            assert (one.zone == other.zone) == ((zone, site) == (other_zone, other_site))
            assert (one.cell == other.cell) == ((cell, site) == (other_cell, other_site))
        assert one.zone not in "abp" and not 0 <= one.cell < 2**63


@settings(derandomize=True, max_examples=300)
@given(st.lists(STEPS, max_size=12))
def test_a_partners_providers_are_ready_only_while_no_own_provider_is(steps):
    standby, announced, own_endpoints, listed = Standby(), {}, {}, False
    for what, kind, entries in steps:
        if what == "list":
            endpoints = tuple({name: own(name, lifecycle) for name, lifecycle in entries}.values())
            update, addresses = standby.update(
                MembershipUpdate(kind, endpoints), {e.address: "127.0.0.1:9" for e in endpoints}
            )
            if kind is not UpdateKind.FAILED:
                own_endpoints = own_endpoints if kind is UpdateKind.CHANGES else {}
                own_endpoints |= {e.address: e for e in endpoints}
                listed = listed or kind is not UpdateKind.REMEMBERED or bool(endpoints)
        else:
            result = standby.use(border_providers(used(), 5) if kind else {}) if what == "use" else standby.end_drain()
            update, addresses = result or (MembershipUpdate(UpdateKind.FAILED), {})
        if update.kind is not UpdateKind.FAILED:  # the view of the balancer
            announced = announced if update.kind is UpdateKind.CHANGES else {}
            announced |= {e.address: e for e in update.endpoints}
            assert all(e.address in addresses for e in update.endpoints if e.lifecycle is not Lifecycle.GONE)
        there = {name: e for name, e in announced.items() if e.lifecycle is not Lifecycle.GONE}
        partners = {name: e for name, e in there.items() if e.zone == "partner:bergen:p"}
        ready = [e for e in own_endpoints.values() if e.lifecycle is Lifecycle.READY]
        assert {n: e for n, e in there.items() if n not in partners} == {
            n: e for n, e in own_endpoints.items() if e.lifecycle is not Lifecycle.GONE
        }
        assert {e.lifecycle for e in partners.values()} <= ({Lifecycle.DRAINING} if ready else set(Lifecycle))
        assert not partners or listed
        assert not {e.cell for e in partners.values()} & {0} and not {e.zone for e in partners.values()} & {"a"}
        wanted = {n for n in standby.offered if n not in standby.own} if listed and not ready else set()
        assert {n for n, e in partners.items() if e.lifecycle is Lifecycle.READY} == wanted


def test_a_route_is_used_only_if_its_terms_allow_all_that_may_be_sent():
    plain = {name: RequestClass(name, Effect.REPEATABLE, SECOND, SECOND) for name in CLASSES}
    own_settings = replace(platform_settings(), classes=plain)
    keyed = RequestClass("place-confirm", Effect.BY_KEY, SECOND, SECOND, Scope.ALL, SECOND)
    with_keyed = replace(own_settings, classes={**plain, "place-confirm": keyed})
    in_zone = replace(own_settings, classes={**plain, "place-confirm": replace(keyed, scope=Scope.ZONE)})
    assert (
        unusable_reason(used(), own_settings, False)
        == unusable_reason(used(), in_zone, False)
        == unusable_reason(used(), with_keyed, True)
        == ""
    )
    assert "repeats of place-confirm" in unusable_reason(used(), with_keyed, False)
    assert "not for apply-submit" in unusable_reason(
        used(classes=["status-read", "place-confirm"]), own_settings, False
    )
    assert "its share is 0.5" in unusable_reason(used(share=0.5), own_settings, False)
    assert "its rate is 9 " in unusable_reason(used(rate=9), own_settings, False)


# ---- configuration file --------------------------------------------------------------------------

GOOD = {
    "neighbours": [{"name": "Bergen", "addresses": ["127.0.0.1:1"], "role": "peer"}],
    "routes": [{k: v for k, v in make_route("orders@shop").items() if k != "valid_for"}],
}


def load(tmp_path, data, name="partners.json"):
    path = tmp_path / name
    path.write_text(data if isinstance(data, str) else json.dumps(data), encoding="utf-8")
    return file.load(str(path), "oslo", LIMITS)


def test_the_file_is_read_as_json_and_toml(tmp_path):
    sites = load(tmp_path, GOOD)
    assert sites.neighbours["bergen"].role.value == "peer" and sites.routes["orders@shop"].path == ("oslo",)
    text = """
    [[neighbours]]
    name = "bergen"
    [[routes]]
    service = "orders@shop"
    classes = ["status-read"]
    share = "50%"
    valid_for = "2min"
    providers = [{name = "g", address = "127.0.0.1:1", zone = "a", type = "m"}]
    terms = {use = "all", show = {only = ["bergen"]}, passes = 0, until = 2030-01-01T00:00:00Z}
    """
    (route,) = load(tmp_path, text, "partners.toml").routes.values()
    assert (route.share, route.valid_for, route.terms.until) == (0.5, 120 * SECOND, 1893456000 * SECOND)


def test_all_faults_of_the_file_are_reported_with_their_places(tmp_path):
    neighbour, route = GOOD["neighbours"][0], GOOD["routes"][0]
    neighbours = [
        {"name": "a b"}, {"name": "oslo"}, {"name": "x", "asks_from": ["10.0.0.1/8"]}, {"addresses": ["nowhere"]},
        neighbour | {"preference": True}, neighbour | {"adresses": []}, neighbour | {"role": "friend"}, neighbour,
    ]  # fmt: skip
    routes = [
        {"service": "orders"}, {"valid_for": 9}, {"share": "2"}, {"classes": []}, {"providers": [{"nam": "g"}]},
        {"providers": [{"name": "g"}]}, {"terms": OPEN | {"show": "some", "until": "soon", "pass": 1}}, {}, {},
    ]  # fmt: skip
    data = {"neighbors": [], "neighbours": neighbours, "routes": [route | one for one in routes]}
    with pytest.raises(Faulty) as caught:
        load(tmp_path, data)
    assert all(fault.file.endswith("partners.json") and fault.expected for fault in caught.value.faults)
    assert {fault.path for fault in caught.value.faults} == {
        "neighbors", "neighbours.0.name", "neighbours.1.name", "neighbours.2.asks_from", "neighbours.3.name",
        "neighbours.3.addresses", "neighbours.4.preference", "neighbours.5.adresses", "neighbours.6.role",
        "neighbours.7.name", "routes.0.service", "routes.1.valid_for", "routes.2.share", "routes.3.classes",
        "routes.4.providers.0.nam", "routes.5.providers.0", "routes.6.terms.show", "routes.6.terms.until",
        "routes.6.terms.pass", "routes.8.service",
    }  # fmt: skip
    many = {"routes": [make_route(f"s{n}@shop") | {"valid_for": "1s"} for n in range(4)]}
    for data, place in (("{", ""), ("[]", ""), ({"neighbours": {}}, "neighbours"), (many, "routes")):
        with pytest.raises(Faulty) as caught:
            load(tmp_path, data)
        assert [fault.path for fault in caught.value.faults] == [place]


def test_contradicting_settings_of_partners_are_reported(tmp_path):
    text = '[partners]\nsite = "oslo"\nhold = "2s"\nservice = "orders"\nlisten = "x"\n'
    (tmp_path / "loftweir.toml").write_text(text, encoding="utf-8")
    with pytest.raises(Faulty) as caught:
        operator.load(str(tmp_path / "loftweir.toml"), {})
    places = {fault.path for fault in caught.value.faults}
    assert places == {f"partners.{name}" for name in ("site", "file", "hold", "service", "listen")}
    assert Timing(hold=model.Partners().hold - REPLICATION_MARGIN).quick_retry_timeout > 0
