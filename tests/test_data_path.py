"""Hard cases of the data path on the real program. Larger ones are measured by the programs in benchmarks/."""

import os
import select
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from scene import KEYED, ONCE, READ, SidecarTest, eventually, http_response, ok

HEAD = "{} /api HTTP/1.1\r\nHost: x\r\nReq-Id: {}\r\nReq-Kind: {}\r\nReq-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n"


def post(request_id, body=b"{}", deadline_ms=2000, kind=ONCE):
    """The bytes of a POST request."""
    return HEAD.format("POST", request_id, kind, deadline_ms, len(body)).encode() + body


def statuses(data):
    """The statuses of the responses in `data`."""
    return [int(part[9:12]) for part in data.split(b"HTTP/1.1 ")[1:] for part in [b"HTTP/1.1 " + part]]


class DataPathTest(SidecarTest):
    def connection(self):
        host, port = self.listen.split(":")
        sock = socket.create_connection((host, int(port)), timeout=10)
        self.addCleanup(sock.close)
        return sock

    def slowest(self, requests, client=None):
        """Send requests over one connection, which must all be served; return the longest time, in seconds."""
        client, slowest = client or self.client(), 0.0
        for _ in range(requests):
            began = time.monotonic()
            self.assertEqual(self.invoke(client=client)[0], 200)
            slowest = max(slowest, time.monotonic() - began)
        return slowest

    def test_many_connections_that_time_out_together_delay_no_response(self):
        self.operator = '[limits]\nrequest_within = "1s"\n'
        self.start(ok, limits={"sockets": 1024, "memory_mb": 192})
        self.assertTrue(eventually(lambda: self.health() == 200))
        silent = [self.connection() for _ in range(400)]
        client, end = self.client(), time.monotonic() + 1.6
        while time.monotonic() < end:
            self.assertLess(self.slowest(1, client), 0.5)
        for sock in silent:
            self.assertEqual(sock.recv(1), b"", "closed without a response")

    def test_slow_clients_delay_no_other_and_are_closed_on_time(self):
        self.operator = '[limits]\nrequest_within = "1s"\n'
        self.start(ok)
        slow = [self.connection() for _ in range(30)]
        whole = [post(f"slow-{n}")[: 40 if n % 2 else None] for n in range(30)]
        end = time.monotonic() + 1.3
        for at in range(13):  # each sends a byte every tenth of a second: heads that never end
            for sock, data in zip(slow, whole, strict=True):
                with suppress(OSError):
                    sock.send(data[at : at + 1])
            self.assertLess(self.slowest(1), 0.5)
            time.sleep(max(0.0, min(0.1, end - time.monotonic())))
        for sock in slow:
            with suppress(ConnectionResetError):
                self.assertIn(statuses(sock.recv(65536)), ([408], []))
        self.assertEqual(self.providers[0].seen[-1][0].split()[0], "GET", "none of them was forwarded")

    def test_a_request_cut_anywhere_is_read_whole_and_a_response_can_be_read_byte_by_byte(self):
        self.start(lambda head, body: http_response(200, b"y" * 3000))
        data = post("cut", b"0123456789")
        for cut in range(1, len(data), 9):
            sock = self.connection()
            request = data.replace(b"cut", b"c%02d" % (cut % 100))
            sock.sendall(request[:cut])
            time.sleep(0.002)
            sock.sendall(request[cut:])
            received = b""
            while not received.endswith(b"y" * 3000):
                received += sock.recv(1 if cut < 20 else 65536)
            self.assertEqual(statuses(received), [200])
        self.assertEqual({body for _, body, _ in self.providers[0].seen}, {b"0123456789"})

    def test_pipelined_requests_are_answered_in_order(self):
        self.start(lambda head, body: http_response(200, body))
        sock = self.connection()
        odd = post("odd", b"3").replace(b"Host: x", b"Host:  x")  # not in the common form
        sock.sendall(post("one", b"1") + post("two", b"2") + odd + post("four", b"4"))
        received = b""
        while len(statuses(received)) < 4 or not received.endswith(b"4"):
            received += sock.recv(65536)
        self.assertEqual([part[-1:] for part in received.split(b"HTTP/1.1 ")[1:]], [b"1", b"2", b"3", b"4"])

    def test_a_response_cut_anywhere_is_forwarded_whole(self):
        cuts = iter(range(1, 140, 7))
        whole = http_response(200, b"z" * 50, "X-Note: as sent")

        def dribble(head, body):
            cut = next(cuts)
            sock = self.providers[0].sockets[-1]
            sock.sendall(whole[:cut])
            time.sleep(0.01)
            return whole[cut:]

        self.start(dribble)
        for _ in range(18):
            status, body, response = self.invoke()
            self.assertEqual((status, body, response.getheader("X-Note")), (200, b"z" * 50, "as sent"))

    def test_after_a_pause_of_the_process_expired_requests_are_rejected_and_the_others_served(self):
        self.start(ok)
        self.assertLess(self.slowest(5), 1)
        self.program.send_signal(signal.SIGSTOP)
        old = [self.connection() for _ in range(6)]
        for number, sock in enumerate(old):
            kind = (READ, ONCE, KEYED)[number % 3]
            method = "GET" if kind == READ else "POST"
            key = "Idempotency-Key: k\r\n" if kind == KEYED else ""
            head = HEAD.format(method, f"old-{number}", kind, 800, 0).replace("\r\n\r\n", f"\r\n{key}\r\n")
            sock.sendall(head.encode())
        time.sleep(1.5)
        young = [self.connection() for _ in range(6)]
        for number, sock in enumerate(young):
            sock.sendall(post(f"young-{number}", b"young"))
        self.program.send_signal(signal.SIGCONT)
        began = time.monotonic()
        self.assertEqual([statuses(sock.recv(65536)) for sock in old], [[503]] * 6)
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual([statuses(sock.recv(65536)) for sock in young], [[200]] * 6)
        seen = [head for head, _, _ in self.providers[0].seen]
        self.assertFalse([head for head in seen if "old-" in head], "none of the expired ones was sent")

    def test_with_a_share_of_a_core_and_bursts_each_request_is_sent_at_most_once(self):
        """The process runs for a quarter of the time, as under a CPU quota, and requests arrive in bursts."""
        self.start(ok)
        stop = threading.Event()

        def share():
            while not stop.is_set():
                self.program.send_signal(signal.SIGSTOP)
                time.sleep(0.075)
                self.program.send_signal(signal.SIGCONT)
                time.sleep(0.025)

        thread = threading.Thread(target=share)
        thread.start()
        try:
            with ThreadPoolExecutor(12) as pool:
                results = [f.result()[0] for f in [pool.submit(self.invoke, ONCE) for _ in range(120)]]
        finally:
            stop.set()
            thread.join()
            self.program.send_signal(signal.SIGCONT)
        self.assertGreater(results.count(200), 60)
        self.assertLessEqual(set(results), {200, 503})
        ids = [line for head, _, _ in self.providers[0].seen for line in head.splitlines() if "Req-Id" in line]
        self.assertEqual(len(ids), len(set(ids)), "none was sent twice")

    def test_many_new_connections_do_not_starve_an_established_one(self):
        self.start(ok, limits={"sockets": 1024, "memory_mb": 192})
        self.assertTrue(eventually(lambda: self.health() == 200))
        client = self.client()
        self.slowest(1, client)
        host, port = self.listen.split(":")
        new = [socket.socket() for _ in range(450)]
        for sock in new:
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
            self.addCleanup(sock.close)
        self.assertLess(self.slowest(30, client), 0.5)
        poll = select.poll()
        for sock in new:
            poll.register(sock, select.POLLOUT)
        self.assertEqual(len(poll.poll(2000)), len(new), "all of them are accepted by the kernel")

    def test_a_client_that_pipelines_is_not_taken_for_an_overload_of_the_process(self):
        """Its later requests wait unread for its own earlier ones. They are old, but that is no sign of overload."""
        self.start(lambda head, body: time.sleep(0.06) or http_response(200, body))
        for apart in (0.0, 0.002):  # all at once, and each in a packet of its own
            sock, received = self.connection(), b""
            for number in range(30):
                sock.sendall(post(f"{apart}-{number}", b"!", deadline_ms=3000))
                time.sleep(apart)
            while received.count(b"HTTP/1.1 ") < 30:
                received += sock.recv(65536)
            self.assertEqual(statuses(received), [200] * 30)

    def test_bodies_may_take_a_share_of_the_memory_and_are_rejected_beyond_it(self):
        """Clients that fill the memory with bodies that never end are rejected; others are still served."""
        self.operator = '[limits]\nrequests_of_memory = "1%"\n'
        self.start(ok, limits={"sockets": 256, "memory_mb": 20})  # 209,715 bytes
        self.assertTrue(eventually(lambda: self.health() == 200))
        incomplete = [self.connection() for _ in range(6)]
        body = b"x" * 60_000
        for number, sock in enumerate(incomplete):
            sock.sendall(post(f"h{number}", body)[:-1])
        answers = []
        for sock in incomplete:
            sock.settimeout(0.5)
            with suppress(TimeoutError):
                answers += statuses(sock.recv(65536))
        self.assertEqual(set(answers), {503})
        self.assertGreaterEqual(len(answers), 2)
        self.assertEqual(self.invoke(ONCE, body=b"small")[0], 200)
        for sock in incomplete:
            sock.close()
        self.assertTrue(eventually(lambda: self.invoke(ONCE, body=body)[0] == 200), "their memory is free again")

    def test_a_silent_connection_costs_little_memory(self):
        self.operator = '[limits]\nrequest_within = "1h"\nconsumers_of_sockets = "90%"\nbacklog = 2048\n'
        self.start(ok, limits={"sockets": 2048, "memory_mb": 192})
        self.assertTrue(eventually(lambda: self.health() == 200))

        def resident():
            with open(f"/proc/{self.program.pid}/statm") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

        self.slowest(20)
        before = resident()
        silent = [self.connection() for _ in range(600)]
        self.slowest(20)
        self.assertLess((resident() - before) / len(silent), 4096)
