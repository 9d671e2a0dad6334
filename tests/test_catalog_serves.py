"""Tests of several services at one address with real processes: a request's Host selects own or partners' providers."""

import json
import os
import socket
import threading
import time
import unittest

from partner_scene import CLASSES, FakePartner, PartnerSite, make_route
from scene import KEYED, ONCE, READ, StubServer, address_of, entry, http_response, ok
from support import SECOND, settings

from loftweir.catalog.build import Catalog, CatalogState, LocalSite, OwnService
from loftweir.catalog.claims import Declaration
from loftweir.catalog.contract import clause
from loftweir.catalog.hosts import service_pool
from loftweir.catalog.shares import SharedLimit
from loftweir.config.model import Options
from loftweir.http1.pool import Connections
from loftweir.interface import Effect, Outcome
from loftweir.net.loop import MS, Loop, Wait
from loftweir.net.stream import ConnectError
from loftweir.partners.merge import UsedRoute
from loftweir.partners.table import parse_route


def send_request(sidecar, host, kind=READ, timeout=8, request_id=None):
    """Sends one request; returns the status, the body, and the text of the head."""
    name, port = sidecar.listen.split(":")
    method = "GET" if kind == READ else "POST"
    head = [f"{method} /api HTTP/1.1\r\nHost: {host}\r\nReq-Id: {request_id or os.urandom(8).hex()}"]
    head += [f"Req-Kind: {kind}", "Idempotency-Key: " + os.urandom(8).hex(), "Content-Length: 0"]
    head += ["Req-Deadline-Ms: 2500", "Connection: close", "", ""]
    with socket.create_connection((name, int(port)), timeout=timeout) as sock:
        sock.sendall("\r\n".join(head).encode())
        data = b"".join(iter(lambda: sock.recv(65536), b"")).decode()
    head, _, body = data.partition("\r\n\r\n")
    return int(head.split(" ", 2)[1]) if head else 0, body, head.lower()


class LosesResponses(StubServer):
    """Executes each request and loses its response."""

    def __init__(self):
        super().__init__(lambda head, body: None)


class CatalogTest(unittest.TestCase):
    def site(self, services, partners=(), **shape):
        site = PartnerSite.of(self, "oslo", **({"providers": 2} | shape))
        site.options = site.options | {"service": ""}
        for name, partner in partners:
            site.add_neighbour(name, partner.address)
        self.names = {"mesh": "oslo", "meshes": {"bergen": "shop", "trondheim": "mill"}, "services": services}
        site.catalog.entries = [
            entry(f"{chr(97 + n)}-0", p.address) | {"type": "ab"[n % 2]} for n, p in enumerate(site.providers)
        ]
        site.write_services = lambda: [
            (s.folder / "services.json").write_text(json.dumps(self.names), encoding="utf-8")
            for s in site.sidecars.values()
        ]
        site.write_services()
        return site

    def start_sidecars(self, site):
        """Starts the sidecars with the sections for partners and the catalog in the operator's file."""
        site.write_config()
        for name, sidecar in site.sidecars.items():
            keys = {"site": site.name, "file": "partners.json"} | site.options
            if name in site.listens:
                keys["listen"] = site.listens[name]
            lines = ["[partners]", *(f"{k} = {json.dumps(v)}" for k, v in keys.items())]
            sidecar.extra_config = "\n".join([*lines, "[catalog]", 'file = "services.json"'])
        super(PartnerSite, site).start_sidecars()
        return site.sidecars["f0"]

    def fake_partner(self, site, *rows):
        partner = FakePartner(site, *rows)
        self.addCleanup(partner.close)
        return partner

    def provider(self, answer=ok):
        provider = StubServer(answer)
        self.addCleanup(provider.close)
        return provider

    def test_a_host_selects_its_service_and_unavailable_services_are_reported(self):
        gate, lost = self.provider(), LosesResponses()
        self.addCleanup(lost.close)
        rows = (
            make_route("orders@shop", [gate.address]),
            make_route("stock@shop", [gate.address]),
            make_route("lost@shop", [lost.address]),
        )
        rows += make_route("slow@shop", [gate.address], rate=0.1), make_route("half@shop", [gate.address], share=0.5)
        bergen = self.fake_partner("bergen", *rows, make_route("secret@shop", terms={"use": "nobody"}))
        services = [{"name": "orders", "types": ["a"]}, {"name": "bills", "types": ["b"]}, {"name": "both"}]
        site = self.site(services, [("bergen", bergen)])
        f0 = self.start_sidecars(site)
        a, b = site.providers
        site.wait_everywhere(lambda s: site.freshness(s, "bergen") == "fresh")

        # Each service has its own providers; a Host can be a short or a global name, in any case, with a port.
        for host, provider in (("orders", a), ("Orders.OSLO:80", a), ("orders@oslo", a), ("bills", b)):
            before = [len(p.seen) for p in (a, b)]
            self.assertEqual(send_request(f0, host)[0], 200, host)
            seen = [len(p.seen) - n for p, n in zip((a, b), before, strict=True)]
            self.assertEqual(seen, [p is provider for p in (a, b)], host)
        # A short name that both sites have refers to the own service; the global name reaches the partner's.
        before = len(a.seen)
        self.assertEqual([send_request(f0, "orders.shop")[0] for _ in range(3)], [200] * 3)
        self.assertEqual((len(gate.seen), len(a.seen)), (3, before))
        # A request for a service that is not available is answered at once, with the reason.
        status, body, _ = send_request(f0, "nowhere")
        self.assertEqual(status, 404)
        self.assertIn("no service has this name", body)
        status, body, _ = send_request(f0, "secret.shop")
        self.assertEqual(status, 403)
        self.assertIn("excluded", body)
        # A partner's rate and share are enforced by rejections.
        slow = [send_request(f0, "slow.shop") for _ in range(4)]
        self.assertEqual(sorted(status for status, *_ in slow)[-3:], [503] * 3)
        self.assertIn("partner's rate", slow[-1][1])
        self.assertEqual(sorted(send_request(f0, "half.shop")[0] for _ in range(6)), [200] * 3 + [503] * 3)
        # If a partner declares nothing, every class runs at most once: a lost response is not retried.
        for kind in (READ, KEYED, ONCE):
            lost.seen.clear()
            self.assertEqual(send_request(f0, "lost.shop", kind)[0], 502)
            self.assertEqual(len(lost.seen), 1, kind)
        # A class of the own service that may be repeated gets a retry.
        a.answer = b.answer = lambda head, body: None if len(a.seen) + len(b.seen) == 1 else http_response(200, b"x")
        a.seen.clear()
        b.seen.clear()
        self.assertEqual(send_request(f0, "both")[0], 200)
        self.assertEqual(len(a.seen) + len(b.seen), 2)
        # Concurrent requests with one id under two names are one request.
        may_respond = threading.Event()
        a.answer = lambda head, body: may_respond.wait(2) and ok(head, body)
        first = threading.Thread(target=send_request, args=(f0, "orders", READ, 8, "one"))
        a.seen.clear()
        first.start()
        site.wait(lambda: a.seen)
        status, body, _ = send_request(f0, "bills", READ, 8, "one")
        may_respond.set()
        first.join()
        self.assertEqual((status, "in use" in body), (400, True))

    def test_no_response_is_lost_while_services_are_renamed_and_withdrawn(self):
        gate = self.provider(lambda head, body: time.sleep(0.02) or ok(head, body))
        bergen = self.fake_partner("bergen", make_route("stock@shop", [gate.address]))
        site = self.site([{"name": "orders", "types": ["a"]}], [("bergen", bergen)])
        f0 = self.start_sidecars(site)
        site.wait_everywhere(lambda s: site.freshness(s, "bergen") == "fresh")
        statuses, over = [], threading.Event()

        def send_until_over(host):
            while not over.is_set():
                statuses.append((host, send_request(f0, host)[0]))

        clients = [threading.Thread(target=send_until_over, args=(host,)) for host in ("orders", "stock.shop") * 2]
        for one in clients:
            one.start()
        site.wait(lambda: {("orders", 200), ("stock.shop", 200)} <= set(statuses))
        # A request in flight ends at its provider, although its name no longer refers to a service.
        site.providers[0].answer = lambda head, body: may_respond.wait(5) and ok(head, body)
        may_respond, ended = threading.Event(), []
        request = threading.Thread(target=lambda: ended.append(send_request(f0, "orders", KEYED)[0]))
        request.start()
        site.wait(lambda: any(KEYED in head for head, *_ in site.providers[0].seen))
        # The operators rename the service; the partner withdraws its service, offers it again and moves it to another
        # provider.
        self.names["services"] = [{"name": "goods", "types": ["a"]}]
        site.write_services()
        site.reload("f0")
        site.wait(lambda: send_request(f0, "orders")[0] == 404)
        may_respond.set()
        request.join(10)
        self.assertEqual(ended, [200])
        site.reload()
        site.wait(lambda: send_request(f0, "goods")[0] == 200)
        site.wait(lambda: send_request(f0, "stock")[0] == 200)  # by its claim, which keeps the name for a while
        bergen.replace_routes()
        site.wait(lambda: send_request(f0, "stock.shop")[0] == 503)
        self.assertIn("the name is kept", send_request(f0, "stock")[1])
        other = self.provider()
        bergen.replace_routes(make_route("stock@shop", [other.address]))
        site.wait(lambda: send_request(f0, "stock.shop")[0] == 200 and other.seen)
        # An invalid file changes nothing.
        self.names["pins"] = {"goods": "orders@shop"}
        site.write_services()
        site.reload("f0")
        site.wait(lambda: [r["path"] for r in f0.logged("reload.fault")] == ["pins.goods"])
        self.assertEqual(send_request(f0, "goods")[0], 200)
        over.set()
        for one in clients:
            one.join(20)
        fine = {("orders", 200), ("orders", 404), ("stock.shop", 200), ("stock.shop", 503)}
        self.assertEqual(set(statuses) - fine, set(), "a response was lost")
        # When the sidecar terminates, the requests of all services still get their responses.
        gate_open = threading.Event()
        site.providers[0].answer = lambda head, body: gate_open.wait(5) and ok(head, body)
        other.answer = site.providers[0].answer
        ends = []
        last = [
            threading.Thread(target=lambda h=h: ends.append(send_request(f0, h)[0])) for h in ("goods", "stock.shop")
        ]
        seen = len(site.providers[0].seen), len(other.seen)
        for one in last:
            one.start()
        site.wait(lambda: len(site.providers[0].seen) > seen[0] and len(other.seen) > seen[1])
        f0.signal(15)
        gate_open.set()
        for one in last:
            one.join(10)
        self.assertEqual(ends, [200, 200])

    def test_names_keep_their_services_after_a_restart_of_all_without_the_partner(self):
        gate = self.provider()
        bergen = self.fake_partner(
            "bergen", make_route("orders@shop", [gate.address]), make_route("stock@shop", [gate.address])
        )
        site = self.site([{"name": "orders", "types": ["a"]}], [("bergen", bergen)])
        f0 = self.start_sidecars(site)
        site.wait_everywhere(lambda s: site.freshness(s, "bergen") == "fresh")
        self.assertEqual([send_request(f0, host)[0] for host in ("orders", "stock.shop")], [200, 200])
        # The short name refers to the partner's service once the replicated state has its claim.
        site.wait_everywhere(lambda s: send_request(s, "stock")[0] == 200)
        (claimed,) = [s.logged("catalog.claimed") for s in site.running() if s.logged("catalog.claimed")]
        self.assertEqual(sorted(r["name"] for r in claimed), ["orders@shop", "stock@shop"])
        bergen.set_silent(True)
        other = self.fake_partner("trondheim", make_route("stock@mill", [self.provider().address]))
        site.add_neighbour("trondheim", other.address)
        site.write_config()
        for sidecar in site.running():
            sidecar.kill()
        for sidecar in site.sidecars.values():
            sidecar.start()
        for sidecar in site.sidecars.values():
            site.wait(lambda s=sidecar: s.ready() and site.knows_leader(s))
        site.wait(lambda: send_request(f0, "stock.shop")[0] == 503)
        before = len(gate.seen)
        status, body, head = send_request(f0, "stock.shop")
        self.assertIn("stale or away", body)
        after = float(head.partition("retry-after: ")[2].partition("\r\n")[0])
        self.assertTrue(0 < after <= 1.5)
        self.assertEqual((send_request(f0, "orders")[0], len(gate.seen)), (200, before))
        # Another mesh's service of that name, which is claimed later, does not get the short name meanwhile.
        site.wait(lambda: send_request(f0, "stock.mill")[0] == 200)
        site.wait(lambda: any(r["name"] == "stock@mill" for s in site.running() for r in s.logged("catalog.claimed")))
        site.wait(lambda: any("not stock@mill" in r["text"] for r in f0.logged("catalog.collision")))
        self.assertEqual((send_request(f0, "stock")[0], send_request(f0, "stock.mill")[0]), (503, 200))
        bergen.set_silent(False)
        site.wait(lambda: send_request(f0, "stock.shop")[0] == 200)


def test_a_local_copy_does_not_declare_the_contract_of_another_mesh():
    declared = Declaration({name: clause(Effect.REPEATABLE) for name in CLASSES})
    for name, effect in (("orders@mill", Effect.ONCE), ("orders@oslo", Effect.REPEATABLE)):
        used = UsedRoute("bergen", parse_route({"path": ["bergen"], **make_route(name)}, "bergen"))
        catalog = Catalog(LocalSite("oslo", "a", {"bergen": name.partition("@")[2]}))
        catalog.update(CatalogState(own={name: OwnService(declared=declared)}, used={name: used}))
        assert {one.effect for one in catalog.find(name).contract.values()} == {effect}, name


def test_a_connection_that_ends_before_it_is_used_releases_its_unit_once():
    """Guards against a unit that is released twice, and a process that then ends with a ValueError (review/2)."""
    loop = Loop()
    whole = Connections(loop, settings(), Options(), 9)
    shared = SharedLimit(whole.max_connections)
    pool = service_pool(whole, shared, "a")
    closing, refusing, open_server = (socket.create_server(("127.0.0.1", 0)) for _ in range(3))
    refused_address = address_of(refusing)
    refusing.close()
    outcomes, connections = [], []

    def accepts():
        while True:
            try:
                closing.accept()[0].close()
            except OSError:
                return

    threading.Thread(target=accepts, daemon=True).start()

    def connects():
        for address in [None, refused_address, *[address_of(closing)] * 20, address_of(open_server)]:
            pool.addresses.pop("p", None)
            if address is not None:
                pool.addresses["p"] = address
            try:
                connections.append((yield from pool.connect("p", loop.time + 5 * SECOND)))
            except ConnectError as error:
                outcomes.append(error.outcome)
            yield Wait(None, 0, loop.time + MS)
        assert shared.in_use == {"a": len(connections)} and whole.open_count == len(connections)
        for connection in connections:
            pool.close(connection)
        loop.stopped = True

    crashes = []
    loop.spawn(connects(), lambda error: (crashes.append(error), setattr(loop, "stopped", True)))
    loop.run()
    closing.close()
    open_server.close()
    assert not crashes
    assert outcomes[:2] == [Outcome.NOT_SENT, Outcome.CONNECT_FAILED]
    assert (whole.open_count, shared.free, shared.in_use) == (0, shared.total, {})


def test_connections_of_one_service_leave_room_for_others_and_are_counted_once():
    loop = Loop()
    whole = Connections(loop, settings(), Options(), 9)
    shared = SharedLimit(whole.max_connections)
    pools = {key: service_pool(whole, shared, key) for key in "ab"}
    peer = socket.create_server(("127.0.0.1", 0), backlog=64)
    made, rejected = {"a": [], "b": []}, []

    def fill(key):
        pool = pools[key]
        pool.addresses["p"] = address_of(peer)
        try:
            while True:
                made[key].append((yield from pool.connect("p", loop.time + 5 * SECOND)))
        except ConnectError as error:
            rejected.append((key, error.outcome))

    def run(coroutine):
        task = loop.spawn(coroutine)
        for _ in range(1000):
            if task.over:
                return
            loop.after(0, setattr, loop, "stopped", True)
            loop.stopped = False
            loop.run()

    run(fill("a"))
    run(fill("b"))
    assert rejected == [("a", Outcome.NOT_SENT), ("b", Outcome.NOT_SENT)]
    assert (len(made["a"]), whole.open_count) == (6, 6 + len(made["b"])) and made["b"] and shared.free >= 1
    # An idle connection makes room for the next one of its own service, and a connection closed by the sidecar's pool
    # releases its unit.
    pools["b"].release(made["b"].pop())
    run(fill("b"))
    assert not whole.idle
    for connection in [*made["a"], *made["b"]]:
        connection.pool.release(connection)
    closed = next(iter(whole.idle))
    while whole.evict_idle():
        pass
    closed.pool.close(closed)  # its slot and its unit are released once
    assert (whole.open_count, shared.free, shared.in_use) == (0, 9, {})
    peer.close()


if __name__ == "__main__":
    unittest.main()
