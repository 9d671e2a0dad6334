"""Invoker calls: what proves that nothing ran, what may have, and how connections are kept."""

import socket
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from scene import (
    KEYED,
    ONCE,
    READ,
    SidecarTest,
    address_of,
    answer_after,
    entry,
    eventually,
    http_response,
    listener,
    ok,
)


def declined(head, body):
    return http_response(503, b"", "Srv-Declined: 1")


def silent(head, body):
    time.sleep(5)


class ProviderTest(SidecarTest):
    def refusing(self, answer=ok):
        """One provider that serves and one whose port refuses."""
        with listener() as gone:
            address = address_of(gone)
        self.start(answer)
        self.catalog.change(entry("gone", address))
        self.wait_until_list_read()

    def test_what_never_ran_is_sent_elsewhere_and_served(self):
        self.refusing()
        for _ in range(4):
            self.assertEqual(self.invoke(ONCE)[0], 200)

    def test_a_connection_that_does_not_come_up_is_given_up_and_the_call_sent_elsewhere(self):
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            waiting = [socket.socket() for _ in range(4)]  # the kernel drops what comes after these
            for sock in waiting:
                self.addCleanup(sock.close)
                sock.setblocking(False)
                sock.connect_ex(full.getsockname())
            self.start(ok)
            self.catalog.change(entry("full", address_of(full)))
            self.wait_until_list_read()
            began = time.monotonic()
            self.assertEqual([self.invoke(ONCE)[0] for _ in range(3)], [200] * 3)
            self.assertGreater(time.monotonic() - began, 0.2, "the call to it was waited for")

    def test_declined_is_sent_elsewhere(self):
        self.start(declined, ok)
        self.assertEqual([self.invoke(ONCE)[0] for _ in range(4)], [200] * 4)
        self.assertTrue(self.providers[0].seen)

    def test_what_may_have_run_is_failed_not_repeated_and_never_a_rejection(self):
        for answer in (lambda h, b: http_response(503), lambda h, b: http_response(500), lambda h, b: None):
            with self.subTest(answer=answer):
                self.start(answer, answer)
                self.assertEqual(self.invoke(ONCE)[0], 502)
                self.assertEqual(sum(len(p.seen) for p in self.providers), 1)

    def test_a_safe_read_is_tried_again_after_a_break(self):
        self.start(lambda h, b: None, ok)
        self.assertEqual([self.invoke(READ)[0] for _ in range(4)], [200] * 4)
        self.assertTrue(self.providers[0].seen)

    def test_a_rejection_says_when_to_come_back(self):
        self.start(declined)
        status, _, response = self.invoke(ONCE)
        self.assertEqual(status, 503)
        self.assertGreater(float(response.getheader("Retry-After")), 0)
        self.assertLessEqual(float(response.getheader("Retry-After")), 1.5)

    def test_silence_is_answered_by_the_deadline_with_the_call_given_up(self):
        self.start(silent)
        for kind, status in ((ONCE, 504), (KEYED, 504), (READ, 503)):
            began = time.monotonic()
            self.assertEqual(self.invoke(kind, deadline_ms=400)[0], status)
            self.assertGreater(time.monotonic() - began, 0.35)

    def test_a_closed_warm_connection_is_noticed_before_it_is_used(self):
        """A request written to it would come back as a reset, which may have run."""
        self.start(ok)
        self.assertEqual(self.invoke(ONCE)[0], 200)
        for sock in self.providers[0].sockets:
            sock.shutdown(2)
        self.assertEqual(self.invoke(ONCE)[0], 200)
        self.assertEqual([number for _, _, number in self.providers[0].seen], [1, 2])

    def test_a_resting_connection_is_closed_before_the_provider_would(self):
        self.start(ok)
        self.assertEqual(self.invoke()[0], 200)
        began = time.monotonic()
        self.assertTrue(eventually(lambda: self.providers[0].ends))
        self.assertLess(time.monotonic() - began, 2.0)  # connIdle

    def test_a_slow_reader_gets_the_whole_body_through_short_writes(self):
        self.start(ok)
        provider = self.providers[0]
        provider.listener.setsockopt(1, 8, 2048)  # SOL_SOCKET, SO_RCVBUF: inherited by its connections
        body = bytes(range(256)) * 250
        self.assertEqual(self.invoke(ONCE, body=body)[:2], (200, b"served " + body))

    def test_an_answer_over_the_limit_is_a_failure(self):
        self.start(lambda h, b: b"HTTP/1.1 200 X\r\nContent-Length: 34000000\r\n\r\n" + b"x" * 500000)
        self.assertEqual(self.invoke(ONCE)[0], 502)

    def test_what_comes_behind_an_answer_is_not_the_next_ones(self):
        number = iter(range(100))
        for behind in (http_response(200, b"a second copy"), b"noise"):
            self.start(lambda h, b, behind=behind: http_response(200, b"own %d" % next(number)) + behind)
            answers = [self.invoke()[1] for _ in range(5)]
            self.assertEqual(len(set(answers)), 5)
            self.assertTrue(all(a.startswith(b"own ") for a in answers), answers)

    def test_a_spoilt_answer_is_a_failure_and_the_next_is_served(self):
        spoilt = [b"\xe2\x00\r\n\r\n", b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", b"HTTP/1.1 2x0 OK\r\n\r\n"]
        spoilt += [b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\nabc"]
        spoilt += [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n"]
        spoilt += [b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppp\r\n" * 9999, b"HTTP/1.1 102 X\r\n\r\n" * 999]
        spoilt += [b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 200000]
        self.start(lambda h, b: spoilt[int(b)] if b.isdigit() else ok(h, b))
        for number in range(len(spoilt)):
            # Now and then one is turned away: a zone that fails as a whole lets its traffic go.
            self.assertTrue(eventually(lambda n=number: self.invoke(ONCE, body=b"%d" % n)[0] == 502), number)
            self.assertTrue(eventually(lambda: self.invoke(ONCE)[0] == 200))

    def test_answers_ahead_and_a_load_report_of_noise_harm_nothing(self):
        ahead = b"HTTP/1.1 102 X\r\n\r\n" * 3
        self.start(lambda h, b: ahead + http_response(200, b"x", "Srv-Load: ,,=\xff;inflight=many"))
        self.assertEqual([self.invoke(ONCE)[:2] for _ in range(3)], [(200, b"x")] * 3)
        self.assertEqual({number for _, _, number in self.providers[0].seen}, {1})

    def test_a_connection_rests_a_moment_before_its_next_use_where_another_has(self):
        """Its provider may close it, or send more, right behind the answer."""
        gate = threading.Event()
        self.start(answer_after(gate))
        clients = [self.client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.request("GET", "/api", headers={"Req-Id": f"w{number}", "Req-Kind": READ})
        self.assertTrue(eventually(lambda: len(self.providers[0].seen) == 2))
        gate.set()
        self.assertEqual([c.getresponse().status for c in clients], [200, 200])
        time.sleep(0.1)
        used = [self.invoke()[0] and self.providers[0].seen[-1][2] for _ in range(2)]
        self.assertEqual(sorted(used), [1, 2])

    def test_a_moved_provider_is_called_at_its_new_address(self):
        self.start(ok, ok)
        self.catalog.change(entry("s1", self.providers[1].address, status="left"))
        self.wait_until_list_read()
        self.assertEqual(self.invoke()[0], 200)
        self.catalog.change(entry("s0", self.providers[1].address))
        self.assertTrue(eventually(lambda: self.invoke()[0] == 200 and self.providers[1].seen))

    def test_a_time_out_leaves_the_others_where_these_were_answered_meanwhile(self):
        self.start(lambda h, b: time.sleep(1) if b == b"slow" else ok(h, b))
        with ThreadPoolExecutor() as pool:
            slow = pool.submit(self.invoke, ONCE, deadline_ms=500, body=b"slow")
            self.assertTrue(eventually(lambda: self.providers[0].seen))
            self.assertEqual(self.invoke(ONCE)[0], 200)
            self.assertEqual(slow.result()[0], 504)
        self.assertTrue(eventually(lambda: self.invoke()[0] == 200))
        self.assertEqual(self.providers[0].seen[-1][2], 2)

    def test_one_that_is_gone_or_omitted_keeps_no_connection(self):
        self.start(ok, ok, ok)
        self.assertEqual([self.invoke()[0] for _ in range(9)], [200] * 9)
        self.catalog.entries = self.entries[2:]
        self.catalog.change(self.entries[0] | {"status": "left"})
        self.assertTrue(eventually(lambda: self.providers[0].ends, 1))
        self.catalog.whole = True
        self.catalog.change()
        self.assertTrue(eventually(lambda: self.providers[1].ends, 1))
        self.assertEqual(self.providers[2].ends, [])

    def test_an_address_passes_to_a_new_name_and_the_old_connections_with_it(self):
        self.start(ok)
        provider = self.providers[0]
        self.assertEqual(self.invoke()[0], 200)
        self.catalog.change(entry("new", provider.address, since_ms=1), self.entries[0])
        self.assertTrue(eventually(lambda: provider.ends == [1]))
        self.assertEqual([self.invoke()[0] for _ in range(3)], [200] * 3)
        self.assertEqual({number for _, _, number in provider.seen}, {1, 2})

    def test_a_time_out_closes_the_warm_connections_too(self):
        """A machine that vanished leaves its connections open and silent: only a new one can tell, and a
        new one that does not come up proves that nothing ran."""
        gate = threading.Event()
        self.start(ok)
        provider = self.providers[0]
        provider.answer = answer_after(gate)
        clients = [self.client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.request("GET", "/api", headers={"Req-Id": f"w{number}", "Req-Kind": READ})
        self.assertTrue(eventually(lambda: len(provider.seen) == 2))
        gate.set()
        self.assertEqual([c.getresponse().status for c in clients], [200, 200])
        provider.answer = silent
        self.assertEqual(self.invoke(ONCE, deadline_ms=300)[0], 504)
        provider.answer = ok
        self.assertTrue(eventually(lambda: self.invoke(ONCE)[0] == 200))
        self.assertEqual(provider.seen[-1][2], 3)


if __name__ == "__main__":
    unittest.main()
