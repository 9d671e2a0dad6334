"""Partners on real processes: a site of three voters and a follower, with neighbours that do as a test says."""

import http.client
import socket
import subprocess
import sys
import time
import unittest

import msgspec
from partner_scene import Site, Toy, ask, mark, row, services
from scene import ROOT, StubServer, entry, http_response, ok

HOLD, GONE = 3, 1.5
SLACK = 3  # of a loaded machine
# The clock of leases stands still while the process is stopped, as no clock may: only the fence is left then.
CLOCK_THAT_STOPS = """
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
# Dies behind its third chunk of a table, where the test has asked for it.
DIES_IN_A_TABLE = """
import os
from loftweir.lease import duty
real, count = duty.Duty.put, [0]
def put(self, key, value, within):
    result = yield from real(self, key, value, within)
    count[0] += key.startswith("c:") and bool(value)
    if count[0] >= 3 and os.path.exists("die"):
        os.kill(os.getpid(), 9)
    return result
duty.Duty.put = put
"""


class PartnersTest(unittest.TestCase):
    def toy(self, site, *rows):
        toy = Toy(site, *rows)
        self.addCleanup(toy.close)
        return toy

    def test_a_table_is_taken_by_one_seen_by_all_and_used_by_its_terms(self):
        gate = StubServer(ok)
        self.addCleanup(gate.close)
        mine = row("orders@shop", [gate.address])
        bergen, trondheim = self.toy("bergen", mine, row("b@shop")), self.toy("trondheim")
        site = Site.of(self, "oslo")
        site.options = site.options | {"lease": "10s", "hold": "20s"}
        site.knows("bergen", site.free(), bergen.address)  # nobody is at the first
        site.knows("trondheim", trondheim.address)
        site.offers(row("own@shop", terms={"show": {"only": ["trondheim"]}}))
        site.begin()
        begun = time.monotonic()
        follower, address = site.sidecars["f0"], site.listens["n0"]
        site.all(lambda s: site.standing(s, "bergen") == "fresh" and site.routes(s)["used"] == "2")
        self.assertEqual([len(site.asks("bergen")), len(bergen.lives())], [1, 1], "one asks for all")

        # Shown to whom the terms name, with the site's own; to nobody that is no neighbour.
        site.wait(lambda: shown(address, "trondheim") == {"own@shop", "orders@shop", "b@shop"})
        self.assertEqual(shown(address, "bergen"), set())
        self.assertEqual(ask(address, "kirkenes")[0], 403)

        # News reach all; what was passed on against its own terms is found out by them, with who did it.
        leak = row("leak@shop", path=["bergen", "kirkenes"], terms={"show": {"only": ["oslo"]}})
        secret = row("secret@shop", path=["bergen", "kirkenes"], terms={"passes": 0})
        at = time.monotonic()
        bergen.put(mine, leak, secret, row("old@shop", terms={"until": 1}))
        site.all(lambda s: site.routes(s)["left"] == "expired:1,leaked:2")
        print(f"a change seen at all four within {time.monotonic() - at:.2f} s")
        self.assertIn("left=bergen: leaked by kirkenes", follower.call("ROUTES leak@shop"))
        self.assertIn("left=bergen: leaked by bergen", follower.call("ROUTES secret@shop"))
        self.assertEqual({r["by"] for r in follower.logged("partners.leaked")}, {"bergen", "kirkenes"})
        self.assertRegex(follower.call("ROUTES no@shop"), "^ERR no such service")
        site.wait(lambda: shown(address, "trondheim") == {"own@shop", "orders@shop"})

        # Its providers serve while this site has none of its own that is ready, and only then.
        self.assertEqual([follower.invoke() for _ in range(5)], [200] * 5)
        self.assertEqual((gate.seen, site.routes(follower)["standby"]), ([], "ready"))
        site.catalog.change(entry("s0", site.providers[0].address, status="leaving"))
        site.all(lambda s: site.routes(s)["standby"] == "used")
        before = len(site.providers[0].seen)
        site.wait(lambda: follower.invoke() == 200 and gate.seen)
        self.assertEqual(len(site.providers[0].seen), before)
        # ... and not where the terms leave out a class, which the balancer could not be kept from sending there.
        bergen.put(row("orders@shop", [gate.address], classes=["status-read"]))
        site.wait(lambda: "standby=no: it is not for apply-submit, place-confirm" in follower.call("ROUTES"))
        before = len(gate.seen)
        self.assertEqual({follower.invoke() for _ in range(3)} - {503}, set())
        self.assertEqual(len(gate.seen), before)
        bergen.put(mine)
        site.wait(lambda: follower.invoke() == 200 and len(gate.seen) > before)
        site.catalog.change(entry("s0", site.providers[0].address))
        site.wait(lambda: site.routes(follower)["standby"] == "ready")
        before = len(gate.seen)
        site.wait(lambda: follower.invoke() == 200)
        self.assertEqual(len(gate.seen), before)

        # Only news are written: that it answers, and answers, is a note in two seconds at most.
        asks, before = len(bergen.asks), [key for _, key, _, _ in site.fenced("partner:bergen")].count("note")
        self.assertLessEqual(before, (time.monotonic() - begun) / 2 + 2)
        self.assertGreater(asks, 2 * before)

        # Told to end, who asks lets go at once, and another goes on with what is held.
        (first,) = site.asks("bergen")
        at = time.monotonic()
        site.sidecars[first].signal(15)
        site.wait(lambda: site.asks("bergen") not in ([], [first]), 5)
        print(f"let go and taken over within {time.monotonic() - at:.2f} s")
        self.assertEqual(site.sidecars[first].terminate(), 0)
        site.all(lambda s: site.standing(s, "bergen") == "fresh")
        self.assertEqual(len([r for r in follower.logged("partners.table") if r["standing"] != "fresh"]), 0)

    def test_bad_tables_change_nothing_and_a_silent_partner_goes_stale_then_away(self):
        mine = (row("orders@shop"), row("b@shop"))
        bergen = self.toy("bergen", *mine)
        site = Site.of(self, "oslo")
        site.options = site.options | {"table_size": "16KiB"}
        site.knows("bergen", bergen.address)
        site.knows("trondheim")
        site.begin()
        follower, address = site.sidecars["f0"], site.listens["n2"]
        site.all(lambda s: site.standing(s, "bergen") == "fresh")
        site.wait(lambda: shown(address, "trondheim") == {"orders@shop", "b@shop"})

        def refused():
            return "".join(s.log() for s in site.running())

        # A table with a fault anywhere is refused whole, with the place; the last good one is used on.
        for change, place in (
            (cut, "broken: "),
            (lambda body: http_response(200, body[:-9]), "truncated"),
            (
                lambda body: http_response(200, body.replace(b'"valid_for":6', b'"valid_for":-6')),
                "routes.0.valid_for: ",
            ),
            (lambda body: http_response(200, b"[" * 20_000), "at most 16384 bytes"),
            (lambda body: http_response(200, body.replace(b'"sum":"', b'"sum":"0')), "sum"),
        ):
            bergen.change = change
            bergen.put(*mine, row("c@shop"))
            site.wait(lambda place=place: place in refused())
            self.assertEqual(site.routes(follower)["used"], "2")
            del bergen.change
            bergen.put(*mine)
            site.wait(bergen.is_held)
        # One that lost its index begins anew under a later epoch.
        bergen.put(*mine, row("c@shop"))
        site.all(lambda s: site.routes(s)["used"] == "3")
        bergen.begin_anew(*mine)
        site.all(lambda s: site.routes(s)["used"] == "2")

        # Silent: tightened and withdrawn meanwhile. By the bound nothing of it is used, nor shown, at any sidecar.
        bergen.be_silent(True)
        at = time.monotonic()
        bergen.put(row("orders@shop", terms={"use": "nobody", "show": {"only": ["oslo"]}}))
        site.all(lambda s: site.standing(s, "bergen") == "stale")
        self.assertEqual(shown(address, "trondheim"), set())
        self.assertLess(time.monotonic() - at, HOLD + SLACK)
        site.all(lambda s: site.standing(s, "bergen") == "gone")
        self.assertEqual([site.routes(s)["used"] for s in site.running()], ["0"] * 4)
        self.assertLess(time.monotonic() - at, HOLD + GONE + SLACK)
        self.assertEqual(site.routes(follower)["left"], "away:2")
        bergen.be_silent(False)
        site.all(lambda s: site.standing(s, "bergen") == "fresh")
        self.assertEqual([site.routes(s)["left"] for s in site.running()], ["excluded:1"] * 4)
        self.assertEqual(shown(address, "trondheim"), set())
        bergen.put(*mine)
        site.all(lambda s: site.routes(s)["used"] == "2")

        # The file is read again; one that can't be used changes nothing, and is told place by place.
        site.knows("bergen", bergen.address, role="friend")
        site.reload("f0")
        site.wait(lambda: [r["path"] for r in follower.logged("reload.fault")] == ["neighbours.0.role"])
        self.assertEqual(site.routes(follower)["used"], "2")
        site.neighbours = {}
        site.reload()
        site.all(lambda s: site.routes(s)["partners"] == "-" and site.routes(s)["used"] == "0")
        site.wait(lambda: not site.kept("partner:bergen"))
        self.assertEqual(ask(address, "trondheim")[0], 403)

    def test_a_holder_killed_in_a_table_or_stopped_past_its_lease_is_followed_by_one_other(self):
        mine = (row("orders@shop"), row("b@shop"))
        bergen = self.toy("bergen", *mine)
        site = Site.of(self, "oslo")
        site.knows("bergen", bergen.address)
        for name in site.voters:
            site.sidecars[name].fault = DIES_IN_A_TABLE + CLOCK_THAT_STOPS
        site.begin()
        site.all(lambda s: site.standing(s, "bergen") == "fresh")

        # Killed between two chunks of a table: it is there whole or not at all, and the next one goes on with it.
        (first,) = [site.sidecars[name] for name in site.asks("bergen")]
        (first.folder / "die").touch()
        many = [row(f"s{n}@shop") for n in range(200)]
        bergen.put(*many)
        self.assertEqual(first.program.wait(10), -9)
        first.program, seen = None, set()
        chunks = [key for _, key, _, _ in site.fenced("partner:bergen") if key.startswith("c:")]
        self.assertGreaterEqual(len(chunks), 3)

        def used():
            counts = {site.routes(s)["used"] for s in site.running()}
            seen.update(counts)
            return counts == {"200"}

        site.wait(used)
        self.assertLessEqual(seen, {"2", "200"}, "never a part")
        (first.folder / "die").unlink()
        first.start()
        site.wait(first.ready)
        site.all(lambda s: site.routes(s).get("used") == "200")
        # Killed while a table trickles in: nothing of that is used.
        (second,) = [site.sidecars[name] for name in site.asks("bergen")]
        bergen.change = trickled
        bergen.put(*mine)
        time.sleep(0.3)
        second.kill()
        self.assertEqual({site.routes(s)["used"] for s in site.running()}, {"200"})
        del bergen.change
        site.all(lambda s: site.routes(s)["used"] == "2")
        second.start()
        site.wait(second.ready)
        # What was left behind is gone, and what is there is what the head names.
        head = [value for _, key, value, refused in site.fenced("partner:bergen") if key == "head" and not refused][-1]
        site.wait(lambda: site.kept("partner:bergen") - {"note"} == {"head", *msgspec.msgpack.decode(head)["chunks"]})

        # Stopped past its lease, with a clock that stood still: it goes on under its old token, and is refused.
        for _ in range(3):
            (stopped,) = [site.sidecars[name] for name in site.asks("bergen")]
            stopped.stop()
            others = [s for s in site.running() if s is not stopped]
            site.wait(lambda others=others: [s for s in others if "bergen" in site.routes(s)["asks"]], 15)
            stopped.go_on()
            bergen.put(*mine, row(f"x{time.monotonic_ns()}@shop"))
            site.wait(lambda: len(site.asks("bergen")) == 1)
            acts = site.fenced("partner:bergen")
            if any(refused for *_, refused in acts):
                break
        tokens = [token for token, _, _, refused in acts if not refused]
        self.assertTrue(any(refused for *_, refused in acts), "the stale token was tried")
        self.assertEqual(tokens, sorted(tokens), "one holder after another, never two")
        self.assertGreater(len(set(tokens)), 3)
        site.all(lambda s: site.routes(s)["used"] == "3")

    def test_any_sidecar_offers_the_same_and_one_that_may_not_know_says_so(self):
        site = Site.of(self, "oslo", followers=0)
        site.knows("bergen", self.toy("bergen").address)
        site.knows("trondheim", asks_from=["127.1.0.0/16"])
        site.offers(row("own@shop"), row("two@shop"))
        site.begin()
        n0, n1, n2 = (site.sidecars[n] for n in site.voters)
        at = [site.listens[n] for n in site.voters]
        for address in at:
            site.wait(lambda address=address: shown(address, "bergen") == {"own@shop", "two@shop"})
        site.wait(lambda: ask(at[0], "trondheim", source="127.1.0.7")[0] == 200)
        self.assertEqual(ask(at[0], "trondheim"), (403, "127.0.0.1 is none of its addresses\n"))
        answers = [ask(address, "bergen")[1] for address in at]
        self.assertEqual(answers, [answers[0]] * 3)
        held = mark(answers[0])
        # With no news a call waits, and confirms; with news it ends at once, wherever it goes on.
        began = time.monotonic()
        status, answer = ask(at[1], "bergen", held, 400)
        self.assertEqual((status, answer["snapshot"], mark(answer)), (200, False, held))
        self.assertGreater(time.monotonic() - began, 0.35)
        site.offers(row("own@shop", terms={"use": {"only": ["bergen"]}}))
        writer = [s for s in site.running() if s.logged("partners.offers_here")][-1]
        others = [s for s in site.running() if s is not writer]
        # One that has the new file, while the copies have what the old one said, shows nothing rather than that.
        site.reload(others[0].name)
        site.wait(lambda: ask(site.listens[others[0].name], "bergen")[0] == 503)
        self.assertIn("not what this sidecar may show", ask(site.listens[others[0].name], "bergen")[1])
        site.reload()
        for address, wait_ms in ((at[2], 5000), (at[0], 300), (at[1], 300), (at[2], 300)):
            status, answer = ask(address, "bergen", held, wait_ms)
            self.assertEqual((status, answer["snapshot"]), (200, False), answer)
            self.assertGreaterEqual(index_of(answer), tuple(map(int, held.split("."))))
            held = mark(answer)
        site.wait(lambda: [shown(address, "bergen") for address in at] == [{"own@shop"}] * 3)
        # A mark that none of ours has is not answered with less; what is no call is told so.
        self.assertEqual(ask(at[0], "bergen", "99999999999.1", 300)[0], 503)
        for target, status in (("/routes?after=x", 400), ("/routes?wait_ms=-1", 400), ("/", 404)):
            self.assertEqual(http_status(at[0], target), status)
        # Many that say nothing cost those that ask no more than a place in the queue.
        silent = [socket.create_connection(at[0].split(":"), timeout=5) for _ in range(40)]
        self.assertEqual(shown(at[0], "bergen"), {"own@shop"})
        for sock in silent:
            sock.close()
        # Cut off from the copies it does not confirm what may have changed, and what it knows of partners ages.
        others[0].kill()
        others[1].stop()
        site.wait(lambda: "cut off" in ask(site.listens[writer.name], "bergen")[1], 12)
        site.wait(lambda: site.standing(writer, "bergen") == "gone", 12)
        others[1].go_on()
        site.wait(lambda: shown(site.listens[writer.name], "bergen") == {"own@shop"})
        site.wait(lambda: site.standing(writer, "bergen") == "fresh")
        # One that begins anew goes on with the index of all.
        held = mark(ask(site.listens[writer.name], "bergen")[1])
        others[0].start()
        address = site.listens[others[0].name]
        site.wait(lambda: ask(address, "bergen", held)[0] == 200)
        answer = ask(address, "bergen", held)[1]
        self.assertEqual((mark(answer), answer["snapshot"]), (held, False))

    def test_the_example_of_two_sites_shows_the_terms_at_work_and_ends(self):
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


def trickled(body):
    for byte in http_response(200, body):
        yield bytes([byte])
        time.sleep(0.02)


def cut(body):
    yield http_response(200, body)[:-9]
    raise OSError


def shown(address, site):
    status, answer = ask(address, site)
    return services(answer) if status == 200 else None


if __name__ == "__main__":
    unittest.main()
