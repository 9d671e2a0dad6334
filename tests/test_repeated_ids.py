"""A request that must run once does not run again under its id: after its client left, or at another process."""

import socket
import time
import unittest

from scene import KEYED, ONCE, SidecarTest, eventually, http_response
from test_upgrade import OperatorsTest

from loftweir.core.sent_ids import KEPT_FOR, MOST_IDS, SentIds


def request(request_id, kind):
    """A request as a client sends it, the only one on its connection."""
    key = f"Idempotency-Key: {request_id}\r\n" if kind == KEYED else ""
    return (
        f"POST /api HTTP/1.1\r\nHost: h\r\nConnection: close\r\nReq-Id: {request_id}\r\nReq-Kind: {kind}\r\n{key}"
        "Req-Deadline-Ms: 2900\r\nContent-Length: 2\r\n\r\n{}"
    ).encode()


def slow(head, body):
    """The answer of a server that takes a moment."""
    time.sleep(0.4)
    return http_response(200, b"served")


class Repeats:
    """The tests' common parts."""

    def connected(self):
        host, port = self.listen.split(":")
        return socket.create_connection((host, int(port)), timeout=5)

    def runs(self):
        """How often a server ran each id."""
        ids = [head.split("Req-Id: ")[1].split()[0] for server in self.providers for head, *_ in server.seen]
        return {request_id: ids.count(request_id) for request_id in ids}

    def status(self, data):
        return int(self.send_raw(data).split(b" ", 2)[1])


class RepeatedIdTest(Repeats, SidecarTest):
    def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(self):
        self.start(slow, slow)
        for kind in (ONCE, KEYED):
            for pause in (0.1, 0.8):  # in flight, and after its end
                with self.subTest(kind, pause=pause):
                    name = f"{kind}-{pause}"
                    with self.connected() as sock:
                        sock.sendall(request(name, kind))
                        self.assertTrue(eventually(lambda n=name: n in self.runs()))
                    time.sleep(pause)
                    self.assertGreaterEqual(self.status(request(name, kind)), 400)
                    self.assertEqual(self.runs()[name], 1)

    def test_an_id_whose_request_never_ran_may_come_again(self):
        self.start(lambda head, body: http_response(503, b"", "Srv-Declined: 1"))
        self.assertEqual(self.status(request("declined", ONCE)), 503)
        self.providers[0].answer = slow
        self.assertTrue(eventually(lambda: self.status(request("declined", ONCE)) == 200))


class UpgradedIdTest(Repeats, OperatorsTest):
    def test_an_id_does_not_run_at_both_processes_of_an_upgrade(self):
        self.open(slow, slow)
        old = self.program
        names = [f"id-{number}" for number in range(8)]
        sockets = [self.connected() for _ in names]
        for name, sock in zip(names, sockets, strict=True):
            sock.sendall(request(name, ONCE))
        self.assertTrue(eventually(lambda: len(self.runs()) == len(names)))
        new, _ = self.launch_ready()
        with self.paused(old):  # the new process gets them all
            again = [self.connected() for _ in names]
            for name, sock in zip(names, again, strict=True):
                sock.sendall(request(name, ONCE))
            statuses = [int(sock.recv(100).split(b" ", 2)[1]) for sock in again]
        self.assertTrue(all(status >= 400 for status in statuses), statuses)
        self.assertEqual(set(self.runs().values()), {1})
        self.assertIn(b" 200 ", sockets[0].recv(100))
        old.kill()
        old.wait()
        self.assertGreaterEqual(self.status(request(names[0], ONCE)), 400)
        self.assertEqual(self.status(request("another", ONCE)), 200)
        for sock in (*sockets, *again):
            sock.close()
        self.assertIsNone(new.poll())


class SentIdsTest(unittest.TestCase):
    def test_ids_are_kept_for_a_while_and_in_bounded_number(self):
        ids = SentIds()
        self.assertTrue(ids.claim("a", 1))
        self.assertFalse(ids.claim("a", KEPT_FOR))
        self.assertTrue(ids.claim("a", KEPT_FOR + 2))
        for number in range(3 * MOST_IDS):
            self.assertTrue(ids.claim(f"n{number}", KEPT_FOR + 3))
        self.assertLessEqual(len(ids.claimed_at), MOST_IDS)
        ids.discard(f"n{3 * MOST_IDS - 1}")
        self.assertTrue(ids.claim(f"n{3 * MOST_IDS - 1}", KEPT_FOR + 4))
