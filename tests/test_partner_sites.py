"""Tests of partners with real processes: a site of three members and an observer, whose neighbours a test controls."""

import http.client
import socket
import subprocess
import sys
import time
import unittest

import msgspec
from partner_scene import FakePartner, PartnerSite, make_route, position, request_routes, service_names
from scene import ROOT, StubServer, entry, http_response, ok

HOLD = 3  # seconds, as in FAST_OPTIONS
GONE = 1.5  # seconds, as in FAST_OPTIONS
SLACK = 3  # seconds, for a loaded machine
# Stops the leases' clock while the process is stopped, which no real clock does, so that only the fencing token is left
# to reject writes.
STOPPING_CLOCK = """
import time
from loftweir.lease import duty
true, last, slept = duty.clock, [duty.clock()], [0]
def clock():
    now = true()
    if now - last[0] > 1_000_000_000:
        slept[0] += now - last[0]
    last[0] = now
    return now - slept[0]
duty.clock = clock
"""
# Kills the process after the third chunk of a table that it writes, once the test has created the file `die`.
KILLED_IN_A_TABLE = """
import os
from loftweir.lease import duty
real, count = duty.LeasedTask.put, [0]
def put(self, key, value, within):
    result = yield from real(self, key, value, within)
    count[0] += key.startswith("c:") and bool(value)
    if count[0] >= 3 and os.path.exists("die"):
        os.kill(os.getpid(), 9)
    return result
duty.LeasedTask.put = put
"""


class PartnersTest(unittest.TestCase):
    def fake_partner(self, site, *rows):
        partner = FakePartner(site, *rows)
        self.addCleanup(partner.close)
        return partner

    def test_one_sidecar_requests_a_table_and_all_use_it_by_its_terms(self):
        provider = StubServer(ok)
        self.addCleanup(provider.close)
        routes = make_route("orders@shop", [provider.address])
        bergen, trondheim = self.fake_partner("bergen", routes, make_route("b@shop")), self.fake_partner("trondheim")
        site = PartnerSite.of(self, "oslo")
        site.options = site.options | {"lease": "10s", "hold": "20s"}
        site.add_neighbour("bergen", site.unused_address(), bergen.address)  # nothing listens at the first address
        site.add_neighbour("trondheim", trondheim.address)
        site.offer_routes(make_route("own@shop", terms={"show": {"only": ["trondheim"]}}))
        site.start_sidecars()
        begun = time.monotonic()
        follower, address = site.sidecars["f0"], site.listens["n0"]
        site.wait_everywhere(lambda s: site.freshness(s, "bergen") == "fresh" and site.routes_status(s)["used"] == "2")
        self.assertEqual(
            [len(site.asking_sidecars("bergen")), len(bergen.client_instances())],
            [1, 1],
            "one sidecar requests the table for all",
        )

        # Routes are shown to the neighbours that the terms name, with the site's own ones, and to no other site.
        site.wait(lambda: shown(address, "trondheim") == {"own@shop", "orders@shop", "b@shop"})
        self.assertEqual(shown(address, "bergen"), set())
        self.assertEqual(request_routes(address, "kirkenes")[0], 403)

        # Changes reach all sidecars. Each of them detects a route that was passed on against its terms, and the site
        # that did it.
        leak = make_route("leak@shop", path=["bergen", "kirkenes"], terms={"show": {"only": ["oslo"]}})
        secret = make_route("secret@shop", path=["bergen", "kirkenes"], terms={"passes": 0})
        at = time.monotonic()
        bergen.replace_routes(routes, leak, secret, make_route("old@shop", terms={"until": 1}))
        site.wait_everywhere(lambda s: site.routes_status(s)["left"] == "expired:1,leaked:2")
        print(f"a change seen at all four within {time.monotonic() - at:.2f} s")
        self.assertIn("left=bergen: leaked by kirkenes", follower.call("ROUTES leak@shop"))
        self.assertIn("left=bergen: leaked by bergen", follower.call("ROUTES secret@shop"))
        self.assertEqual({r["by"] for r in follower.logged("partners.leaked")}, {"bergen", "kirkenes"})
        self.assertRegex(follower.call("ROUTES no@shop"), "^ERR no such service")
        site.wait(lambda: shown(address, "trondheim") == {"own@shop", "orders@shop"})

        # The partner's providers serve only while this site has no ready provider.
        self.assertEqual([follower.send_request() for _ in range(5)], [200] * 5)
        self.assertEqual((provider.seen, site.routes_status(follower)["standby"]), ([], "ready"))
        site.catalog.change(entry("s0", site.providers[0].address, status="leaving"))
        site.wait_everywhere(lambda s: site.routes_status(s)["standby"] == "used")
        before = len(site.providers[0].seen)
        site.wait(lambda: follower.send_request() == 200 and provider.seen)
        self.assertEqual(len(site.providers[0].seen), before)
        # They are not used if the terms exclude a class, because the balancer could still send that class there.
        bergen.replace_routes(make_route("orders@shop", [provider.address], classes=["status-read"]))
        site.wait(lambda: "standby=no: it is not for apply-submit, place-confirm" in follower.call("ROUTES"))
        before = len(provider.seen)
        self.assertEqual({follower.send_request() for _ in range(3)} - {503}, set())
        self.assertEqual(len(provider.seen), before)
        bergen.replace_routes(routes)
        site.wait(lambda: follower.send_request() == 200 and len(provider.seen) > before)
        site.catalog.change(entry("s0", site.providers[0].address))
        site.wait(lambda: site.routes_status(follower)["standby"] == "ready")
        before = len(provider.seen)
        site.wait(lambda: follower.send_request() == 200)
        self.assertEqual(len(provider.seen), before)

        # Only changes are written: repeated responses cost at most one note in two seconds.
        requests, before = (
            len(bergen.requests),
            [key for _, key, _, _ in site.fenced_writes("partner:bergen")].count("note"),
        )
        self.assertLessEqual(before, (time.monotonic() - begun) / 2 + 2)
        self.assertGreater(requests, 2 * before)

        # A sidecar that terminates releases its lease at once, and another one continues with the stored table.
        (first,) = site.asking_sidecars("bergen")
        at = time.monotonic()
        site.sidecars[first].signal(15)
        site.wait(lambda: site.asking_sidecars("bergen") not in ([], [first]), 5)
        print(f"released and taken over within {time.monotonic() - at:.2f} s")
        self.assertEqual(site.sidecars[first].terminate(), 0)
        site.wait_everywhere(lambda s: site.freshness(s, "bergen") == "fresh")
        self.assertEqual(len([r for r in follower.logged("partners.table") if r["standing"] != "fresh"]), 0)

    def test_invalid_tables_change_nothing_and_a_silent_partner_becomes_stale_then_gone(self):
        routes = (make_route("orders@shop"), make_route("b@shop"))
        bergen = self.fake_partner("bergen", *routes)
        site = PartnerSite.of(self, "oslo")
        site.options = site.options | {"table_size": "16KiB"}
        site.add_neighbour("bergen", bergen.address)
        site.add_neighbour("trondheim")
        site.start_sidecars()
        follower, address = site.sidecars["f0"], site.listens["n2"]
        site.wait_everywhere(lambda s: site.freshness(s, "bergen") == "fresh")
        site.wait(lambda: shown(address, "trondheim") == {"orders@shop", "b@shop"})

        def logs():
            return "".join(s.log() for s in site.running())

        # A table with any fault is rejected as a whole, with the place of the fault; the last valid one stays in use.
        for change, place in (
            (truncated, "broken: "),
            (lambda body: http_response(200, body[:-9]), "truncated"),
            (
                lambda body: http_response(200, body.replace(b'"valid_for":6', b'"valid_for":-6')),
                "routes.0.valid_for: ",
            ),
            (lambda body: http_response(200, b"[" * 20_000), "at most 16384 bytes"),
            (lambda body: http_response(200, body.replace(b'"sum":"', b'"sum":"0')), "sum"),
        ):
            bergen.make_reply = change
            bergen.replace_routes(*routes, make_route("c@shop"))
            site.wait(lambda place=place: place in logs())
            self.assertEqual(site.routes_status(follower)["used"], "2")
            del bergen.make_reply
            bergen.replace_routes(*routes)
            site.wait(bergen.is_up_to_date)
        # A partner that lost its index restarts under a later epoch.
        bergen.replace_routes(*routes, make_route("c@shop"))
        site.wait_everywhere(lambda s: site.routes_status(s)["used"] == "3")
        bergen.restart(*routes)
        site.wait_everywhere(lambda s: site.routes_status(s)["used"] == "2")

        # The partner stops responding and meanwhile tightens and withdraws routes. Within the bound no sidecar uses or
        # shows them.
        bergen.set_silent(True)
        at = time.monotonic()
        bergen.replace_routes(make_route("orders@shop", terms={"use": "nobody", "show": {"only": ["oslo"]}}))
        site.wait_everywhere(lambda s: site.freshness(s, "bergen") == "stale")
        self.assertEqual(shown(address, "trondheim"), set())
        self.assertLess(time.monotonic() - at, HOLD + SLACK)
        site.wait_everywhere(lambda s: site.freshness(s, "bergen") == "gone")
        self.assertEqual([site.routes_status(s)["used"] for s in site.running()], ["0"] * 4)
        self.assertLess(time.monotonic() - at, HOLD + GONE + SLACK)
        self.assertEqual(site.routes_status(follower)["left"], "away:2")
        bergen.set_silent(False)
        site.wait_everywhere(lambda s: site.freshness(s, "bergen") == "fresh")
        self.assertEqual([site.routes_status(s)["left"] for s in site.running()], ["excluded:1"] * 4)
        self.assertEqual(shown(address, "trondheim"), set())
        bergen.replace_routes(*routes)
        site.wait_everywhere(lambda s: site.routes_status(s)["used"] == "2")

        # The file is reloaded. An invalid file changes nothing, and each of its faults is reported with its place.
        site.add_neighbour("bergen", bergen.address, role="friend")
        site.reload("f0")
        site.wait(lambda: [r["path"] for r in follower.logged("reload.fault")] == ["neighbours.0.role"])
        self.assertEqual(site.routes_status(follower)["used"], "2")
        site.neighbours = {}
        site.reload()
        site.wait_everywhere(
            lambda s: site.routes_status(s)["partners"] == "-" and site.routes_status(s)["used"] == "0"
        )
        site.wait(lambda: not site.stored_keys("partner:bergen"))
        self.assertEqual(request_routes(address, "trondheim")[0], 403)

    def test_another_sidecar_takes_over_from_a_lease_holder_killed_in_a_write_or_stopped_past_its_lease(self):
        routes = (make_route("orders@shop"), make_route("b@shop"))
        bergen = self.fake_partner("bergen", *routes)
        site = PartnerSite.of(self, "oslo")
        site.add_neighbour("bergen", bergen.address)
        for name in site.voters:
            site.sidecars[name].startup_code = KILLED_IN_A_TABLE + STOPPING_CLOCK
        site.start_sidecars()
        site.wait_everywhere(lambda s: site.freshness(s, "bergen") == "fresh")

        # The holder is killed between two chunks of a table: the table is visible as a whole or not at all, and the
        # next holder continues.
        (first,) = [site.sidecars[name] for name in site.asking_sidecars("bergen")]
        (first.folder / "die").touch()
        many = [make_route(f"s{n}@shop") for n in range(200)]
        bergen.replace_routes(*many)
        self.assertEqual(first.program.wait(10), -9)
        first.program, seen = None, set()
        chunks = [key for _, key, _, _ in site.fenced_writes("partner:bergen") if key.startswith("c:")]
        self.assertGreaterEqual(len(chunks), 3)

        def used():
            counts = {site.routes_status(s)["used"] for s in site.running()}
            seen.update(counts)
            return counts == {"200"}

        site.wait(used)
        self.assertLessEqual(seen, {"2", "200"}, "never a part of a table")
        (first.folder / "die").unlink()
        first.start()
        site.wait(first.ready)
        site.wait_everywhere(lambda s: site.routes_status(s).get("used") == "200")
        # The holder is killed while a table is being received slowly: no part of it is used.
        (second,) = [site.sidecars[name] for name in site.asking_sidecars("bergen")]
        bergen.make_reply = sent_slowly
        bergen.replace_routes(*routes)
        time.sleep(0.3)
        second.kill()
        self.assertEqual({site.routes_status(s)["used"] for s in site.running()}, {"200"})
        del bergen.make_reply
        site.wait_everywhere(lambda s: site.routes_status(s)["used"] == "2")
        second.start()
        site.wait(second.ready)
        # Chunks left behind are deleted, and the head names exactly the existing ones.
        head = [
            value for _, key, value, rejected in site.fenced_writes("partner:bergen") if key == "head" and not rejected
        ][-1]
        site.wait(
            lambda: site.stored_keys("partner:bergen") - {"note"} == {"head", *msgspec.msgpack.decode(head)["chunks"]}
        )

        # The holder is stopped past its lease, with a clock that stood still: it continues with its old token, and its
        # writes are rejected.
        for _ in range(3):
            (stopped,) = [site.sidecars[name] for name in site.asking_sidecars("bergen")]
            stopped.stop()
            others = [s for s in site.running() if s is not stopped]
            site.wait(lambda others=others: [s for s in others if "bergen" in site.routes_status(s)["asks"]], 15)
            stopped.resume()
            bergen.replace_routes(*routes, make_route(f"x{time.monotonic_ns()}@shop"))
            site.wait(lambda: len(site.asking_sidecars("bergen")) == 1)
            writes = site.fenced_writes("partner:bergen")
            if any(rejected for *_, rejected in writes):
                break
        tokens = [token for token, _, _, rejected in writes if not rejected]
        self.assertTrue(any(rejected for *_, rejected in writes), "the stale token was used")
        self.assertEqual(tokens, sorted(tokens), "one holder after another, never two")
        self.assertGreater(len(set(tokens)), 3)
        site.wait_everywhere(lambda s: site.routes_status(s)["used"] == "3")

    def test_all_sidecars_offer_the_same_routes_and_one_that_is_cut_off_offers_none(self):
        site = PartnerSite.of(self, "oslo", followers=0)
        site.add_neighbour("bergen", self.fake_partner("bergen").address)
        site.add_neighbour("trondheim", asks_from=["127.1.0.0/16"])
        site.offer_routes(make_route("own@shop"), make_route("two@shop"))
        site.start_sidecars()
        n0, n1, n2 = (site.sidecars[n] for n in site.voters)
        at = [site.listens[n] for n in site.voters]
        for address in at:
            site.wait(lambda address=address: shown(address, "bergen") == {"own@shop", "two@shop"})
        site.wait(lambda: request_routes(at[0], "trondheim", source="127.1.0.7")[0] == 200)
        self.assertEqual(request_routes(at[0], "trondheim"), (403, "127.0.0.1 is none of its addresses\n"))
        answers = [request_routes(address, "bergen")[1] for address in at]
        self.assertEqual(answers, [answers[0]] * 3)
        known_position = position(answers[0])
        # Without changes a request waits and then confirms the table; with changes it ends at once, at whichever
        # sidecar.
        began = time.monotonic()
        status, answer = request_routes(at[1], "bergen", known_position, 400)
        self.assertEqual((status, answer["snapshot"], position(answer)), (200, False, known_position))
        self.assertGreater(time.monotonic() - began, 0.35)
        site.offer_routes(make_route("own@shop", terms={"use": {"only": ["bergen"]}}))
        writer = [s for s in site.running() if s.logged("partners.offers_here")][-1]
        others = [s for s in site.running() if s is not writer]
        # A sidecar that has the new file while the replicated table still follows the old one shows neither.
        site.reload(others[0].name)
        site.wait(lambda: request_routes(site.listens[others[0].name], "bergen")[0] == 503)
        self.assertIn("not what this sidecar may show", request_routes(site.listens[others[0].name], "bergen")[1])
        site.reload()
        for address, wait_ms in ((at[2], 5000), (at[0], 300), (at[1], 300), (at[2], 300)):
            status, answer = request_routes(address, "bergen", known_position, wait_ms)
            self.assertEqual((status, answer["snapshot"]), (200, False), answer)
            self.assertGreaterEqual(index_of(answer), tuple(map(int, known_position.split("."))))
            known_position = position(answer)
        site.wait(lambda: [shown(address, "bergen") for address in at] == [{"own@shop"}] * 3)
        # A position that this site never had gets no older table; an invalid request gets an error.
        self.assertEqual(request_routes(at[0], "bergen", "99999999999.1", 300)[0], 503)
        for target, status in (("/routes?after=x", 400), ("/routes?wait_ms=-1", 400), ("/", 404)):
            self.assertEqual(http_status(at[0], target), status)
        # Many idle connections do not block requests.
        silent = [socket.create_connection(at[0].split(":"), timeout=5) for _ in range(40)]
        self.assertEqual(shown(at[0], "bergen"), {"own@shop"})
        for sock in silent:
            sock.close()
        # A sidecar that is cut off from the cluster does not confirm tables that may have changed, and its knowledge of
        # partners expires.
        others[0].kill()
        others[1].stop()
        site.wait(lambda: "cut off" in request_routes(site.listens[writer.name], "bergen")[1], 12)
        site.wait(lambda: site.freshness(writer, "bergen") == "gone", 12)
        others[1].resume()
        site.wait(lambda: shown(site.listens[writer.name], "bergen") == {"own@shop"})
        site.wait(lambda: site.freshness(writer, "bergen") == "fresh")
        # A restarted sidecar continues with the common index.
        known_position = position(request_routes(site.listens[writer.name], "bergen")[1])
        others[0].start()
        address = site.listens[others[0].name]
        site.wait(lambda: request_routes(address, "bergen", known_position)[0] == 200)
        answer = request_routes(address, "bergen", known_position)[1]
        self.assertEqual((position(answer), answer["snapshot"]), (known_position, False))

    def test_the_example_of_two_sites_runs_to_its_end(self):
        program = [sys.executable, str(ROOT / "examples" / "two-sites" / "run.py")]
        done = subprocess.run(program, capture_output=True, text=True, timeout=120)
        self.assertEqual((done.returncode, done.stderr), (0, ""), done.stdout)
        for line in ("bergen's serves at oslo-n2: after", "a request at oslo is answered: 503", "it serves: after"):
            self.assertIn(line, done.stdout)


def index_of(answer):
    return answer["epoch"], answer["index"]


def http_status(address, target):
    client = http.client.HTTPConnection(address, timeout=5)
    client.request("GET", target)
    status = client.getresponse().status
    client.close()
    return status


def sent_slowly(body):
    for byte in http_response(200, body):
        yield bytes([byte])
        time.sleep(0.02)


def truncated(body):
    yield http_response(200, body)[:-9]
    raise OSError


def shown(address, site):
    status, answer = request_routes(address, site)
    return service_names(answer) if status == 200 else None


if __name__ == "__main__":
    unittest.main()
