"""The copies on real processes: founding, words to the fleet, a leader lost, members replaced, no majority, off."""

import json
import select
import socket
import time

from fleet_scene import FleetScene, Sidecar
from scene import eventually

from loftweir.replication import wire


class FleetTest(FleetScene):
    def test_a_word_at_a_follower_holds_at_every_sidecar_within_a_second(self):
        sidecars = self.fleet()
        self.begin()
        self.assertEqual({s.invoke() for s in sidecars.values() for _ in range(4)}, {200})
        self.assertTrue(all(party.seen for party in self.providers), "both are in use")
        answer = sidecars["f0"].call("FLEET-DISABLE s0")
        self.assertRegex(answer, "^OK disabled, at index [0-9]+$")
        said_at = time.monotonic()
        for sidecar in sidecars.values():
            self.wait(lambda sidecar=sidecar: sidecar.stands()["out"] == "s0", 1)
        self.assertLess(time.monotonic() - said_at, 1)
        before = len(self.providers[0].seen)
        self.assertEqual({s.invoke() for s in sidecars.values() for _ in range(4)}, {200})
        self.assertEqual(len(self.providers[0].seen), before)
        index = int(answer.split()[-1])
        self.assertTrue(all(int(s.stands()["index"]) >= index for s in sidecars.values()))
        # Unknown here may be known elsewhere; and called back it serves again.
        self.assertRegex(sidecars["n1"].call("FLEET-DISABLE s9"), "^OK")
        self.assertRegex(sidecars["f1"].call("FLEET-ENABLE s7"), "^ERR no such upstream")
        self.assertRegex(sidecars["f1"].call("FLEET-ENABLE s0"), "^OK enabled")
        self.wait(lambda: sidecars["f0"].invoke() == 200 and len(self.providers[0].seen) > before, 10)
        self.assertRegex(sidecars["f1"].call("FLEET-REMOVE n9"), "^ERR NotTaken")
        # A process that starts while nobody can be asked holds by what the one before it knew.
        for sidecar in sidecars.values():
            sidecar.kill()
        alone = sidecars["n2"].start()
        self.wait(alone.ready)
        stands = alone.stands()
        self.assertEqual((stands["out"], stands["leader"]), ("s9", "-"))
        self.assertGreater(int(stands["age_ms"]), 0)

    def test_writes_go_on_without_the_leader_and_what_was_promised_stays(self):
        sidecars = self.fleet(followers=1)
        self.begin()
        self.assertRegex(sidecars["f0"].call("FLEET-DISABLE s0"), "^OK")
        leader = self.leader()
        leader.kill()
        self.assertRegex(sidecars["f0"].call("FLEET-DISABLE s1"), "^OK")
        left = [s for s in sidecars.values() if s is not leader]
        for sidecar in left:
            self.wait(lambda sidecar=sidecar: sidecar.stands()["out"] == "s0,s1")
        # Its disk is lost: it comes back as another member in its seat, with all that was said.
        before = leader.logged("replication.opened")[0]["id"]
        leader.wipe()
        leader.start()
        self.wait(lambda: leader.logged("replication.joined"), 20)
        self.assertNotEqual(leader.logged("replication.joined")[0]["id"], before)
        self.wait(lambda: leader.stands()["out"] == "s0,s1" and leader.stands()["role"] == "follower")
        # It counts: with it and one other there is a majority.
        self.leader().kill()
        self.assertRegex(sidecars["f0"].call("FLEET-ENABLE s1"), "^OK")
        # Told to end, a leader hands over, and ends with 0.
        handing = self.leader()
        other = [s for s in sidecars.values() if s.program is None][0]
        other.start()
        self.wait(lambda: other.ready() and other.stands()["out"] == "s0" and other.stands()["role"] == "follower")
        handing.signal(15)
        self.wait(lambda: [s for s in sidecars.values() if s is not handing and s.stands().get("role") == "leader"], 2)
        self.assertEqual(handing.terminate(), 0)

    def test_without_a_majority_it_says_how_old_its_knowledge_is_and_promises_nothing(self):
        sidecars = self.fleet(followers=1)
        self.begin()
        self.assertRegex(sidecars["f0"].call("FLEET-DISABLE s0"), "^OK")
        stopped, killed = [s for n, s in sidecars.items() if n[0] == "n" and s is not self.leader()]
        leader = self.leader()
        killed.kill()
        stopped.stop()
        for sidecar in (leader, sidecars["f0"]):
            began = time.monotonic()
            answer = sidecar.call("FLEET-DISABLE s1")
            self.assertRegex(answer, "^ERR (OutcomeUnknown|NoMajority): .*")
            self.assertLess(time.monotonic() - began, 3)
        age = int(leader.stands()["age_ms"])
        self.assertGreater(age, 1000)
        self.assertEqual(leader.stands()["out"], "s0")
        self.wait(lambda: int(leader.stands()["age_ms"]) > age and int(sidecars["f0"].stands()["age_ms"]) > age)
        stopped.go_on()
        self.wait(lambda: sidecars["f0"].call("FLEET-DISABLE s1").startswith("OK"))
        # Taken out, a member that lives becomes a follower.
        self.assertRegex(sidecars["f0"].call(f"FLEET-REMOVE {killed.name}"), "^OK removed")
        self.assertRegex(sidecars["f0"].call(f"FLEET-REMOVE {leader.name}"), "^OK removed")
        self.wait(lambda: leader.stands()["role"] == "follows" and leader.stands()["leader"] == stopped.name)
        self.assertEqual(leader.logged("replication.ended")[0]["why"].split(":")[0], leader.name)
        self.assertRegex(leader.call("FLEET-ENABLE s1"), "^OK")

    def test_a_failing_disk_and_a_foreign_sidecar_cost_no_more_than_their_part(self):
        sidecars = self.fleet(followers=1)
        sidecars["n1"].fault = (
            "import os\nreal = os.fdatasync\n"
            "def sync(fd):\n"
            "    if os.path.exists('full'): raise OSError(28, 'No space left on device')\n"
            "    return real(fd)\n"
            "os.fdatasync = sync\n"
        )
        self.begin()
        (sidecars["n1"].folder / "full").touch()
        self.assertRegex(sidecars["f0"].call("FLEET-DISABLE s0"), "^OK")
        self.wait(lambda: sidecars["n1"].stands()["role"] == "follows" and sidecars["n1"].stands()["out"] == "s0")
        self.assertIn("No space left", sidecars["n1"].logged("replication.ended")[0]["why"])
        self.assertEqual(sidecars["n1"].invoke(), 200)
        # Its files changed beneath it: they are set aside, and it is taken in as another.
        sidecars["n1"].kill()
        (sidecars["n1"].folder / "full").unlink()
        segment = max(sidecars["n1"].copies.glob("segment-*"))
        data = bytearray(segment.read_bytes())
        data[len(data) // 2] ^= 1
        segment.write_bytes(data)
        sidecars["n1"].start()
        self.wait(lambda: sidecars["n1"].logged("replication.joined"), 20)
        self.assertIn("segment", sidecars["n1"].logged("replication.damaged")[0]["why"])
        # Who names another cluster, or speaks something else, is told why.
        foreign = sidecars["f1"] = Sidecar(self, "f1")
        foreign.start(cluster="other")
        self.wait(lambda: foreign.logged("replication.lost"))
        self.wait(lambda: any("another cluster" in r["why"] for r in foreign.logged("replication.lost")))
        self.assertIn("another cluster", foreign.call("FLEET-DISABLE s1"))
        host, port = self.seats["n0"].split(":")
        for said in (b"GET / HTTP/1.1\r\n\r\n", wire.written(wire.Follow(0, 0)), wire.written(hello(version=99))):
            with socket.create_connection((host, int(port)), timeout=5) as sock:
                sock.sendall(said)
                reader = wire.Reader()
                reader.feed(b"".join(iter(lambda sock=sock: sock.recv(4096), b"")))
                self.assertIsInstance(reader.next(), wire.Turned)

    def test_two_hundred_followers_have_the_news_at_once(self):
        sidecars = self.fleet(followers=0)
        self.keys = self.keys | {"callers": 250, "beat": "100ms", "election": "500ms"}
        self.begin()
        leader = self.leader().name
        for name, limit in ((leader, "its own"), (min(n for n in self.seats if n != leader), "another's")):
            host, port = self.seats[name].split(":")
            socks = {}
            for n in range(200):
                sock = socket.create_connection((host, int(port)), timeout=5)
                self.addCleanup(sock.close)
                sock.sendall(wire.written(hello(name=f"x{n}")))
                socks[sock] = wire.Reader()
            for sock in socks:  # greeted
                sock.recv(4096)
            index = int(sidecars[name].stands()["index"])
            for sock in socks:
                sock.sendall(wire.written(wire.Follow(index, 30 * 10**9)))
            time.sleep(0.2)
            self.assertRegex(sidecars["n0"].call(f"FLEET-DISABLE s{n}"), "^OK")
            said_at, left = time.monotonic(), set(socks)
            while left and time.monotonic() < said_at + 5:
                for sock in select.select(list(left), [], [], 0.1)[0]:
                    socks[sock].feed(sock.recv(65536))
                    news = socks[sock].next()
                    if isinstance(news, wire.News):
                        self.assertEqual([told.index for told in news.entries], [*range(index + 1, news.index + 1)])
                        left.remove(sock)
            took = time.monotonic() - said_at
            print(f"200 followers of {limit} voter: all told {took * 1000:.0f} ms after OK")
            self.assertFalse(left)
            self.assertLess(took, 1)
            for sock in socks:
                sock.close()


def hello(version=wire.VERSION, name="x"):
    return wire.Hello(version, "loftweir", f"id-{name}", name, wire.Kind.FOLLOWER)


class OffTest(FleetScene):
    on = False

    def test_off_nothing_of_it_is_imported_and_the_calls_say_so(self):
        (sidecar,) = self.fleet(voters=0, followers=1).values()
        sidecar.fault = (
            "import atexit, json, sys\n"
            "atexit.register(lambda: open('modules', 'w').write(json.dumps(sorted(sys.modules))))\n"
        )
        sidecar.start()
        self.wait(sidecar.ready)
        for call in ("FLEET", "FLEET-DISABLE s0", "FLEET-ENABLE s0", "FLEET-REMOVE n0"):
            self.assertRegex(sidecar.call(call), "^ERR replication is off")
        self.assertEqual(sidecar.terminate(), 0)
        modules = json.loads((sidecar.folder / "modules").read_text())
        self.assertIn("loftweir.sidecar", modules)
        self.assertEqual([m for m in modules if m.startswith(("loftweir.replication", "loftweir.lease"))], [])


class UpgradeTest(FleetScene):
    def test_a_new_process_takes_the_part_of_the_old_one_over(self):
        sidecars = self.fleet(followers=0)
        self.begin()
        self.assertRegex(sidecars["n0"].call("FLEET-DISABLE s0"), "^OK")
        leader = self.leader()
        old, leader.desk, leader.listen = leader.program, self.free(), self.free()
        self.addCleanup(old.wait, 10)
        self.addCleanup(old.kill)
        leader.start()  # beside the one before it, on the same folder and for the same address
        self.wait(leader.ready)
        self.wait(lambda: (leader.stands()["role"], leader.stands()["out"]) == ("follows", "s0"))
        old.terminate()
        self.wait(lambda: leader.stands()["role"] == "follower")
        self.assertEqual(old.wait(10), 0)
        self.assertEqual(len({record["id"] for record in leader.logged("replication.opened")}), 1)
        self.assertTrue(eventually(lambda: leader.call("FLEET-ENABLE s0").startswith("OK")))
