"""The real program: start, discovery, faults of its parts, limits on connections, and the end of the process."""

import json
import select
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from scene import ONCE, SidecarTest, StubDiscovery, answer_after, entry, eventually, ok

# Code for `run_program`: the method `name` of the class `part` raises for the request with the id "break".
BREAK = """
whole = getattr(part, name)
def broken(self, thing, *rest):
    if "break" in (getattr(thing, "id", ""), getattr(getattr(thing, "invocation", None), "id", "")):
        raise RuntimeError("a fault made by a test")
    return whole(self, thing, *rest)
setattr(part, name, broken)
"""


class LifeTest(SidecarTest):
    def test_a_bad_configuration_ends_the_program_with_one_log_line_for_each_fault(self):
        nowhere = '{"listen": "nowhere", "discovery": "127.0.0.1:1", "seed": "z"}'
        other_keys = {"limits.sockets", "limits.memory_mb", "seed", "settings", "known"}
        cases = {"{": {""}, "[]": {""}, "{}": other_keys | {"listen", "discovery"}, nowhere: other_keys | {"listen"}}
        for config, paths in cases.items():
            with self.subTest(config=config):
                self.run_program(config)
                self.assertEqual(self.program.wait(10), 2)
                self.assertEqual({fault["path"] for fault in self.logged("start.fault")}, paths)
                self.assertEqual(len(self.log().splitlines()), len(paths), self.log())

    def test_it_is_ready_only_once_it_knows_a_provider(self):
        self.start(ok, known=[])
        self.assertTrue(eventually(lambda: self.health() == 503))
        self.discovery.entries = self.entries
        self.discovery.change(*self.entries)
        self.assertTrue(eventually(lambda: self.health() == 200))

    def test_a_list_of_version_0_is_watched_and_not_fetched_repeatedly(self):
        self.start(ok)
        self.assertTrue(eventually(lambda: len(self.discovery.seen) > 1))
        time.sleep(0.5)
        # The first call does not wait. The next one does, for 4 s less the program's own delay, and is still in flight.
        first, second = (head.split()[1] for head, _, _ in self.discovery.seen)
        self.assertEqual(first, "/catalog/members?after=0&wait_ms=0")
        self.assertRegex(second, r"^/catalog/members\?after=0&wait_ms=(4000|3\d{3})$")

    def test_a_drain_is_followed_and_the_watch_continues(self):
        self.start(ok, ok)
        self.assertTrue(eventually(lambda: self.discovery.seen))
        for number, leaving in enumerate((self.entries[0], self.entries[0] | {"status": "active"})):
            self.discovery.change(leaving | {"status": ("leaving", "active")[number]})
            self.wait_until_list_read()
            before = len(self.providers[0].seen)
            for _ in range(6):
                self.assertEqual(self.invoke()[0], 200)
            self.assertEqual(len(self.providers[0].seen) > before, bool(number))
        self.assertEqual(self.discovery.ended_connections, [], "the watch uses one connection")

    def test_failed_calls_to_discovery_are_repeated_and_the_old_list_stays_in_use(self):
        self.start(ok)
        self.assertTrue(eventually(lambda: self.discovery.seen))
        self.discovery.fail(True)
        self.assertTrue(eventually(lambda: "discovery" in self.log()))
        self.assertEqual(self.invoke()[0], 200)
        calls = len(self.discovery.seen)
        self.discovery.fail(False)
        self.discovery.change(entry("s0", self.providers[0].address, status="leaving"))
        self.assertTrue(eventually(lambda: len(self.discovery.seen) > calls + 1, 15))

    def test_a_call_to_a_silent_discovery_times_out_and_is_repeated(self):
        self.start(ok, known=[])
        listed, self.discovery.answer = self.discovery.answer, lambda head, body: time.sleep(5)
        self.assertTrue(eventually(lambda: "silent" in self.log()), self.log())
        self.discovery.answer, self.discovery.entries = listed, self.entries
        self.assertTrue(eventually(lambda: self.health() == 200))

    def test_a_discovery_that_never_waits_is_not_called_in_a_tight_loop(self):
        self.start(ok)
        listed = self.discovery.answer
        self.discovery.answer = lambda head, body: listed(head.replace("wait_ms=", "wait_ms=0&was="), body)
        self.discovery.change()
        self.assertTrue(eventually(lambda: len(self.discovery.seen) > 3))
        calls, began = len(self.discovery.seen), time.monotonic()
        time.sleep(1)
        self.assertLess(len(self.discovery.seen) - calls, 20 * (time.monotonic() - began))

    def switch_discovery(self, discovery):
        self.reload(json.dumps(self.config | {"discovery": discovery.address}))

    def served_by(self, number):
        before = [len(p.seen) for p in self.providers]
        statuses = [self.invoke()[0] for _ in range(4)]
        received = [len(p.seen) - b for p, b in zip(self.providers, before, strict=True)]
        return statuses == [200] * 4 and received[number] == 4

    def switches(self, old, new, number):
        old.index = 7 - number  # a version that the new discovery does not have
        new.entries = [self.entries[number]]
        self.switch_discovery(new)
        self.assertTrue(eventually(lambda: self.served_by(number), 4), self.log())
        old.change()  # the stub writes a response, and so notices that its reader has gone
        self.assertTrue(eventually(lambda: old.ended_connections, 4), "the old watch ends")
        self.assertTrue(eventually(lambda: "after=" in new.seen[-1][0], 4), "the new one continues")

    def test_each_sighup_switches_to_the_discovery_address_of_the_new_file_at_once(self):
        """Also with RELAY_DISCOVERY set, and with an older list there. The sidecar counts as notified 4 s later."""
        self.start(ok, ok)
        self.assertTrue(eventually(lambda: self.discovery.seen))
        other = StubDiscovery()
        self.addCleanup(other.close)
        self.switches(self.discovery, other, 0)
        self.switches(other, self.discovery, 1)
        self.assertIsNone(self.program.poll())

    def test_changes_from_the_old_discovery_are_followed_while_the_new_one_is_silent(self):
        self.start(ok, ok)
        self.assertTrue(eventually(lambda: self.discovery.seen))
        silent = StubDiscovery()
        self.addCleanup(silent.close)
        silent.answer = lambda head, body: time.sleep(9)
        self.switch_discovery(silent)
        self.assertTrue(eventually(lambda: silent.seen, 4))
        self.discovery.change(self.entries[0] | {"status": "leaving"})
        self.assertTrue(eventually(lambda: self.served_by(1), 1.5))

    def test_a_bad_new_file_is_logged_and_the_old_discovery_stays_in_use(self):
        self.start(ok, ok)
        self.assertTrue(eventually(lambda: self.discovery.seen))
        for number, bad in enumerate(("{", json.dumps(self.config | {"discovery": "nowhere"}))):
            self.reload(bad)
            self.assertTrue(eventually(lambda n=number: len(self.logged("reload.fault")) == n + 1))
        self.discovery.change(self.entries[0] | {"status": "leaving"})
        self.assertTrue(eventually(lambda: self.served_by(1)))
        self.assertEqual(self.discovery.ended_connections, [])

    def test_sighup_around_sigterm_does_no_harm(self):
        gate = threading.Event()
        self.start(answer_after(gate))
        waiting = self.client()
        waiting.request("POST", "/api", b"{}", {"Req-Id": "r", "Req-Kind": ONCE})
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        for _ in range(3):
            self.switch_discovery(self.discovery)
            self.terminate()
        self.assertTrue(eventually(lambda: self.logged("stop.begun")))
        self.switch_discovery(self.discovery)
        gate.set()
        self.assertEqual(waiting.getresponse().status, 200)
        self.assertEqual(self.program.wait(10), 0)

    def test_a_fault_in_one_part_is_logged_and_answered_and_the_process_goes_on(self):
        for fault, status in (
            ("http1.back import Backend as part; name = 'message'", 502),
            ("http1.client import ClientConnection as part; name = '_decide'", 500),
            ("balance import Balancer as part; name = '_request'", 500),
        ):
            with self.subTest(fault=fault):
                self.start(ok, fault=f"from loftweir.{fault}\n{BREAK}")
                self.assertEqual(self.invoke(ONCE, request_id="fine")[0], 200)
                self.assertEqual(self.invoke(ONCE, request_id="break")[0], status)
                self.assertTrue("broken" in self.log(), self.log())
                self.assertEqual(self.invoke(ONCE, request_id="fine again")[0], 200)
                self.assertIsNone(self.program.poll())

    def test_a_request_times_out_on_time_although_many_others_end_before_their_timeouts(self):
        self.start(lambda head, body: time.sleep(3) if body == b"slow" else ok(head, body))
        with ThreadPoolExecutor() as pool:
            began = time.monotonic()
            slow = pool.submit(self.invoke, ONCE, 2000, "/api", b"slow")
            self.assertTrue(eventually(lambda: self.providers[0].seen))
            client = self.client()
            self.assertEqual([self.invoke(client=client)[0] for _ in range(200)], [200] * 200)
            self.assertEqual(slow.result()[0], 504)
            self.assertTrue(1.9 < time.monotonic() - began < 5)

    def test_out_of_connections_it_closes_silent_ones_and_serves_on(self):
        self.start(ok, limits={"sockets": 24, "memory_mb": 192})
        self.assertTrue(eventually(lambda: self.health() == 200))
        usual = self.client()
        self.assertEqual(self.invoke(client=usual)[0], 200)
        for wait in [0] * 10 + [0.3] + [0] * 7:  # there is room for 12; a new one has 0.25 s to send something
            time.sleep(wait)
            self.client().connect()
        self.assertTrue(eventually(lambda: self.logged("accept.no_room")))
        self.assertEqual(self.invoke(client=usual)[0], 200)
        self.assertEqual(self.invoke()[0], 200)
        self.assertEqual(
            {number for _, _, number in self.providers[0].seen}, {1}, "the connection to the provider stays open"
        )
        self.assertIsNone(self.program.poll())

    def test_of_too_many_idle_connections_those_unused_for_longest_are_closed(self):
        self.start(ok, limits={"sockets": 64, "memory_mb": 192})  # 8 may be idle
        self.assertTrue(eventually(lambda: self.health() == 200))
        clients = [self.client() for _ in range(20)]
        self.assertEqual([self.invoke(client=client)[0] for client in clients], [200] * 20)
        for client in clients[:12]:
            self.assertEqual(client.sock.recv(1), b"")
        self.assertEqual([self.invoke(client=client)[0] for client in clients[12:]], [200] * 8)

    def test_more_invocations_than_connections_to_providers_are_all_answered(self):
        gate = threading.Event()
        self.start(answer_after(gate), limits={"sockets": 40, "memory_mb": 192})  # 20 for clients, 4 for providers
        self.assertTrue(eventually(lambda: self.health() == 200))
        clients = [self.client() for _ in range(8)]
        for number, client in enumerate(clients):
            client.request("POST", "/api", b"{}", {"Req-Id": f"r{number}", "Req-Kind": ONCE})
        self.assertTrue(eventually(lambda: len(self.providers[0].seen) == 4))
        rejected = self.first_answered(clients, 4)  # before the gate opens: no connection has become free meanwhile
        self.assertEqual([client.getresponse().status for client in rejected], [503] * 4)
        gate.set()
        served = [client for client in clients if client not in rejected]
        self.assertEqual([client.getresponse().status for client in served], [200] * 4)
        self.assertEqual(len(self.providers[0].seen), 4)

    def first_answered(self, clients, count):
        """The first `count` clients that receive something."""

        def answered():
            readable, _, _ = select.select([client.sock for client in clients], [], [], 0)
            return [client for client in clients if client.sock in readable]

        self.assertTrue(eventually(lambda: len(answered()) >= count), self.log())
        answered_clients = answered()
        self.assertEqual(len(answered_clients), count)
        return answered_clients

    def test_sigterm_answers_all_requests_taken_and_accepts_more_for_a_while(self):
        gate = threading.Event()
        self.start(answer_after(gate))
        waiting, idle = self.client(), self.client()
        self.assertEqual(self.send_request("GET", "/_health", client=idle)[0], 200)
        waiting.request("POST", "/api", b"{}", {"Req-Id": "r", "Req-Kind": ONCE})
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        self.terminate()
        self.assertTrue(eventually(lambda: self.logged("stop.begun")))
        late = self.client()
        late.request("GET", "/api", headers={"Req-Id": "late", "Req-Kind": "status-read"})
        self.assertTrue(eventually(lambda: len(self.providers[0].seen) == 2))
        self.assertTrue(eventually(lambda: self.health() == 0), "it accepts no more connections")
        self.assertIsNone(self.program.poll(), "two responses are due")
        gate.set()
        self.assertEqual([c.getresponse().status for c in (waiting, late)], [200, 200])
        self.assertEqual(self.program.wait(10), 0)


if __name__ == "__main__":
    unittest.main()
