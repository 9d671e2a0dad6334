"""Which providers the balancer considers usable, with the real program: those of its own zone first."""

import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from scene import MS, ONCE, SETTINGS, SidecarTest, answer_after, entry, eventually, http_response, ok


class UsableTest(SidecarTest):
    def two_zones(self, near, far=ok):
        """Start with provider 0 in the sidecar's zone and provider 1 in another one."""
        self.start(near, far)
        address = self.providers[1].address
        self.discovery.change(entry("s1", address, status="left"), entry("far", address, "b"))
        self.wait_until_list_read()
        self.before = len(self.providers[1].seen)

    def far(self):
        """How many requests the other zone's provider has received since the start."""
        return len(self.providers[1].seen) - self.before

    def test_the_only_provider_of_the_zone_is_not_used_while_an_attempt_is_in_flight_past_its_aim(self):
        gate = threading.Event()
        self.addCleanup(gate.set)
        self.two_zones(answer_after(gate))
        self.client().request("POST", "/api", b"{}", {"Req-Id": "r", "Req-Kind": ONCE})
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        time.sleep(0.7)  # the aim (latency target) is 0.6 s
        self.assertEqual([self.invoke(ONCE)[0] for _ in range(4)], [200] * 4)
        self.assertEqual((len(self.providers[0].seen), self.far()), (1, 4))

    def test_an_attempt_that_hangs_while_later_ones_are_answered_does_not_count_against_its_provider(self):
        gate = threading.Event()
        self.addCleanup(gate.set)
        self.two_zones(lambda head, body: ok(head, body) if body != b"slow" else answer_after(gate)(head, body))
        self.client().request("POST", "/api", b"slow", {"Req-Id": "r", "Req-Kind": ONCE})
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        self.assertEqual(self.invoke(ONCE)[0], 200)
        time.sleep(0.7)
        self.assertEqual([self.invoke(ONCE)[0] for _ in range(4)], [200] * 4)
        self.assertEqual((len(self.providers[0].seen), self.far()), (6, 0))

    def test_a_provider_with_as_many_in_flight_as_it_answers_in_time_is_not_used(self):
        self.two_zones(lambda head, body: time.sleep(0.3) or ok(head, body))
        self.assertEqual(self.invoke(ONCE)[0], 200)
        with ThreadPoolExecutor() as pool:
            statuses = list(pool.map(lambda _: self.invoke(ONCE)[0], range(4)))
        self.assertEqual((statuses, len(self.providers[0].seen), self.far()), ([200] * 4, 2, 3))

    def test_one_failure_of_a_good_provider_does_not_eject_it(self):
        self.start(ok, ok)
        self.assertEqual([self.invoke(ONCE)[0] for _ in range(20)], [200] * 20)
        self.providers[0].answer = lambda head, body: http_response(500)
        self.assertTrue(eventually(lambda: self.invoke(ONCE)[0] == 502))
        self.providers[0].answer = ok
        before = len(self.providers[0].seen)
        self.assertEqual([self.invoke(ONCE)[0] for _ in range(8)], [200] * 8)
        self.assertGreater(len(self.providers[0].seen) - before, 2)

    def test_a_provider_that_fails_one_class_is_not_used_for_that_class_only(self):
        faulty = lambda head, body: http_response(500) if "apply" in head else ok(head, body)  # noqa: E731
        self.start(faulty, ok)
        self.assertEqual([self.invoke()[0] for _ in range(40)], [200] * 40)
        for _ in range(16):
            self.invoke(ONCE)
        self.assertEqual([self.invoke(ONCE)[0] for _ in range(8)], [200] * 8)
        before = len(self.providers[0].seen)
        self.assertEqual([self.invoke()[0] for _ in range(8)], [200] * 8)
        self.assertGreater(len(self.providers[0].seen) - before, 2)

    def test_an_overload_ends_once_nothing_more_is_known_of_it(self):
        profiles = [p | {"target": 60 * MS} for p in SETTINGS["profiles"]]
        full = http_response(503, b"", "Srv-Declined: 1")
        self.start(lambda head, body: full, settings=SETTINGS | {"profiles": profiles})
        self.assertTrue(eventually(lambda: self.health() == 200))
        for _ in range(100):
            self.assertEqual(self.invoke()[0], 503)
            time.sleep(0.02)
        self.assertLess(len(self.providers[0].seen), 80)
        self.providers[0].answer = ok
        time.sleep(3)
        self.assertEqual([self.invoke()[0] for _ in range(10)], [200] * 10)


if __name__ == "__main__":
    unittest.main()
