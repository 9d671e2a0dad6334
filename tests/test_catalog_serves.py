"""Several services behind one address, on real processes: by Host to their own providers, and to partners'."""

import json
import os
import socket
import threading
import time
import unittest

from partner_scene import CLASSES, Site, Toy, row
from scene import KEYED, ONCE, READ, StubServer, address_of, entry, http_response, ok
from support import SECOND, settings

from loftweir.catalog.build import Catalog, Own, State
from loftweir.catalog.build import Site as Site_
from loftweir.catalog.claims import Declared
from loftweir.catalog.contract import clause
from loftweir.catalog.hosts import Lane
from loftweir.catalog.shares import Shared
from loftweir.config.model import Options
from loftweir.http1.back import Pool
from loftweir.interface import Effect, Outcome
from loftweir.net.loop import Loop
from loftweir.net.stream import ConnectError
from loftweir.partners.merge import Used
from loftweir.partners.table import one_route


def called(sidecar, host, kind=READ, timeout=8, request_id=None):
    """One request: the status, the body, and its head's text."""
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


class Fails(StubServer):
    """Runs what comes and loses its answer."""

    def __init__(self):
        super().__init__(lambda head, body: None)


class CatalogTest(unittest.TestCase):
    def site(self, services, partners=(), **shape):
        site = Site.of(self, "oslo", **({"providers": 2} | shape))
        site.options = site.options | {"service": ""}
        for name, toy in partners:
            site.knows(name, toy.address)
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

    def begin(self, site):
        """The operator's file of each with the section of the catalog behind that of the partners."""
        site.write()
        for name, sidecar in site.sidecars.items():
            keys = {"site": site.name, "file": "partners.json"} | site.options
            if name in site.listens:
                keys["listen"] = site.listens[name]
            lines = ["[partners]", *(f"{k} = {json.dumps(v)}" for k, v in keys.items())]
            sidecar.more = "\n".join([*lines, "[catalog]", 'file = "services.json"'])
        super(Site, site).begin()
        return site.sidecars["f0"]

    def toy(self, site, *rows):
        toy = Toy(site, *rows)
        self.addCleanup(toy.close)
        return toy

    def party(self, answer=ok):
        party = StubServer(answer)
        self.addCleanup(party.close)
        return party

    def test_a_host_names_its_service_and_what_it_cannot_have_is_said(self):
        gate, lost = self.party(), Fails()
        self.addCleanup(lost.close)
        rows = row("orders@shop", [gate.address]), row("stock@shop", [gate.address]), row("lost@shop", [lost.address])
        rows += row("slow@shop", [gate.address], rate=0.1), row("half@shop", [gate.address], share=0.5)
        bergen = self.toy("bergen", *rows, row("secret@shop", terms={"use": "nobody"}))
        services = [{"name": "orders", "types": ["a"]}, {"name": "bills", "types": ["b"]}, {"name": "both"}]
        site = self.site(services, [("bergen", bergen)])
        f0 = self.begin(site)
        a, b = site.providers
        site.all(lambda s: site.standing(s, "bergen") == "fresh")

        # Each by its own providers; by short name, global name, in any case, with a port.
        for host, party in (("orders", a), ("Orders.OSLO:80", a), ("orders@oslo", a), ("bills", b)):
            before = [len(p.seen) for p in (a, b)]
            self.assertEqual(called(f0, host)[0], 200, host)
            seen = [len(p.seen) - n for p, n in zip((a, b), before, strict=True)]
            self.assertEqual(seen, [p is party for p in (a, b)], host)
        # A short name that both have is the own one; the partner's is reached by its global name.
        before = len(a.seen)
        self.assertEqual([called(f0, "orders.shop")[0] for _ in range(3)], [200] * 3)
        self.assertEqual((len(gate.seen), len(a.seen)), (3, before))
        # What can't be had is answered at once, with why.
        status, body, _ = called(f0, "nowhere")
        self.assertEqual(status, 404)
        self.assertIn("no service has this name", body)
        status, body, _ = called(f0, "secret.shop")
        self.assertEqual(status, 403)
        self.assertIn("excluded", body)
        # A partner's rate and share are held to, by rejections.
        slow = [called(f0, "slow.shop") for _ in range(4)]
        self.assertEqual(sorted(status for status, *_ in slow)[-3:], [503] * 3)
        self.assertIn("partner's rate", slow[-1][1])
        self.assertEqual(sorted(called(f0, "half.shop")[0] for _ in range(6)), [200] * 3 + [503] * 3)
        # A partner that declares nothing has every class run once: neither what is lost is sent again, nor a repeat.
        for kind in (READ, KEYED, ONCE):
            lost.seen.clear()
            self.assertEqual(called(f0, "lost.shop", kind)[0], 502)
            self.assertEqual(len(lost.seen), 1, kind)
        # ... while its own service, whose class may be repeated, gets another try.
        a.answer = b.answer = lambda head, body: None if len(a.seen) + len(b.seen) == 1 else http_response(200, b"x")
        a.seen.clear()
        b.seen.clear()
        self.assertEqual(called(f0, "both")[0], 200)
        self.assertEqual(len(a.seen) + len(b.seen), 2)
        # One id under two names at a time is one request.
        held = threading.Event()
        a.answer = lambda head, body: held.wait(2) and ok(head, body)
        first = threading.Thread(target=called, args=(f0, "orders", READ, 8, "one"))
        a.seen.clear()
        first.start()
        site.wait(lambda: a.seen)
        status, body, _ = called(f0, "bills", READ, 8, "one")
        held.set()
        first.join()
        self.assertEqual((status, "in use" in body), (400, True))

    def test_renamed_and_withdrawn_under_requests_no_answer_is_lost(self):
        gate = self.party(lambda head, body: time.sleep(0.02) or ok(head, body))
        bergen = self.toy("bergen", row("stock@shop", [gate.address]))
        site = self.site([{"name": "orders", "types": ["a"]}], [("bergen", bergen)])
        f0 = self.begin(site)
        site.all(lambda s: site.standing(s, "bergen") == "fresh")
        answers, over = [], threading.Event()

        def ask(host):
            while not over.is_set():
                answers.append((host, called(f0, host)[0]))

        asking = [threading.Thread(target=ask, args=(host,)) for host in ("orders", "stock.shop") * 2]
        for one in asking:
            one.start()
        site.wait(lambda: {("orders", 200), ("stock.shop", 200)} <= set(answers))
        # A request under way ends where it began, though its name stands for nothing by then.
        site.providers[0].answer = lambda head, body: go_on.wait(5) and ok(head, body)
        go_on, ended = threading.Event(), []
        held = threading.Thread(target=lambda: ended.append(called(f0, "orders", KEYED)[0]))
        held.start()
        site.wait(lambda: any(KEYED in head for head, *_ in site.providers[0].seen))
        # Renamed by the operators, withdrawn and offered again by the partner, and moved to another provider.
        self.names["services"] = [{"name": "goods", "types": ["a"]}]
        site.write_services()
        site.reload("f0")
        site.wait(lambda: called(f0, "orders")[0] == 404)
        go_on.set()
        held.join(10)
        self.assertEqual(ended, [200])
        site.reload()
        site.wait(lambda: called(f0, "goods")[0] == 200)
        site.wait(lambda: called(f0, "stock")[0] == 200)  # by its claim, which the name keeps for a while
        bergen.put()
        site.wait(lambda: called(f0, "stock.shop")[0] == 503)
        self.assertIn("the name is kept", called(f0, "stock")[1])
        other = self.party()
        bergen.put(row("stock@shop", [other.address]))
        site.wait(lambda: called(f0, "stock.shop")[0] == 200 and other.seen)
        # A file that can't be used changes nothing.
        self.names["pins"] = {"goods": "orders@shop"}
        site.write_services()
        site.reload("f0")
        site.wait(lambda: [r["path"] for r in f0.logged("reload.fault")] == ["pins.goods"])
        self.assertEqual(called(f0, "goods")[0], 200)
        over.set()
        for one in asking:
            one.join(20)
        fine = {("orders", 200), ("orders", 404), ("stock.shop", 200), ("stock.shop", 503)}
        self.assertEqual(set(answers) - fine, set(), "an answer was lost")
        # At its end all services' requests have their answers.
        gate_open = threading.Event()
        site.providers[0].answer = lambda head, body: gate_open.wait(5) and ok(head, body)
        other.answer = site.providers[0].answer
        ends = []
        last = [threading.Thread(target=lambda h=h: ends.append(called(f0, h)[0])) for h in ("goods", "stock.shop")]
        seen = len(site.providers[0].seen), len(other.seen)
        for one in last:
            one.start()
        site.wait(lambda: len(site.providers[0].seen) > seen[0] and len(other.seen) > seen[1])
        f0.signal(15)
        gate_open.set()
        for one in last:
            one.join(10)
        self.assertEqual(ends, [200, 200])

    def test_all_begin_anew_with_the_partner_cut_off_and_names_keep_their_meaning(self):
        gate = self.party()
        bergen = self.toy("bergen", row("orders@shop", [gate.address]), row("stock@shop", [gate.address]))
        site = self.site([{"name": "orders", "types": ["a"]}], [("bergen", bergen)])
        f0 = self.begin(site)
        site.all(lambda s: site.standing(s, "bergen") == "fresh")
        self.assertEqual([called(f0, host)[0] for host in ("orders", "stock.shop")], [200, 200])
        # The short name is the partner's once its claim is in the copies.
        site.all(lambda s: called(s, "stock")[0] == 200)
        (claimed,) = [s.logged("catalog.claimed") for s in site.running() if s.logged("catalog.claimed")]
        self.assertEqual(sorted(r["name"] for r in claimed), ["orders@shop", "stock@shop"])
        bergen.be_silent(True)
        other = self.toy("trondheim", row("stock@mill", [self.party().address]))
        site.knows("trondheim", other.address)
        site.write()
        for sidecar in site.running():
            sidecar.kill()
        for sidecar in site.sidecars.values():
            sidecar.start()
        for sidecar in site.sidecars.values():
            site.wait(lambda s=sidecar: s.ready() and site.knows_leader(s))
        site.wait(lambda: called(f0, "stock.shop")[0] == 503)
        before = len(gate.seen)
        status, body, head = called(f0, "stock.shop")
        self.assertIn("stale or away", body)
        after = float(head.partition("retry-after: ")[2].partition("\r\n")[0])
        self.assertTrue(0 < after <= 1.5)
        self.assertEqual((called(f0, "orders")[0], len(gate.seen)), (200, before))
        # ... and stays so: another mesh's service of that name, claimed later, does not get it meanwhile.
        site.wait(lambda: called(f0, "stock.mill")[0] == 200)
        site.wait(lambda: any(r["name"] == "stock@mill" for s in site.running() for r in s.logged("catalog.claimed")))
        site.wait(lambda: any("not stock@mill" in r["text"] for r in f0.logged("catalog.collision")))
        self.assertEqual((called(f0, "stock")[0], called(f0, "stock.mill")[0]), (503, 200))
        bergen.be_silent(False)
        site.wait(lambda: called(f0, "stock.shop")[0] == 200)


def test_a_copy_here_does_not_speak_for_another_mesh_that_says_nothing():
    declared = Declared({name: clause(Effect.REPEATABLE) for name in CLASSES})
    for name, effect in (("orders@mill", Effect.ONCE), ("orders@oslo", Effect.REPEATABLE)):
        used = Used("bergen", one_route({"path": ["bergen"], **row(name)}, "bergen"))
        catalog = Catalog(Site_("oslo", "a", {"bergen": name.partition("@")[2]}))
        catalog.change(State(own={name: Own(declared=declared)}, used={name: used}))
        assert {one.effect for one in catalog.find(name).contract.values()} == {effect}, name


def test_one_services_connections_leave_room_for_the_next_and_are_counted_once():
    loop = Loop()
    whole = Pool(loop, settings(), Options(), 9)
    shared = Shared(whole.max_connections)
    lanes = [Lane(whole, shared, key) for key in "ab"]
    peer = socket.create_server(("127.0.0.1", 0), backlog=64)
    made, refused = {"a": [], "b": []}, []

    def fill(lane):
        lane.addresses["p"] = address_of(peer)
        try:
            while True:
                made[lane.key].append((yield from lane.connect("p", loop.time + 5 * SECOND)))
        except ConnectError as error:
            refused.append((lane.key, error.outcome))

    def run(coroutine):
        task = loop.spawn(coroutine)
        for _ in range(1000):
            if task.over:
                return
            loop.after(0, setattr, loop, "stopped", True)
            loop.stopped = False
            loop.run()

    run(fill(lanes[0]))
    run(fill(lanes[1]))
    assert refused == [("a", Outcome.NOT_SENT), ("b", Outcome.NOT_SENT)]
    assert (len(made["a"]), whole.open_count) == (6, 6 + len(made["b"])) and made["b"] and shared.free >= 1
    # One that rests makes room for its own service's next, and what is closed through the whole is given back.
    lanes[1].release(made["b"].pop())
    run(fill(lanes[1]))
    assert not whole.idle
    for connection in [*made["a"], *made["b"]]:
        connection.pool.release(connection)
    while whole.evict_idle():
        pass
    assert (whole.open_count, shared.free, shared.held) == (0, 9, {})
    peer.close()


if __name__ == "__main__":
    unittest.main()
