"""A client closes its connection with much still unread: its close waits in its own kernel behind what it has sent."""

import socket
import time

from scene import READ, SidecarTest, eventually, http_response

UNSEEN_FOR = 0.1  # seconds after a close from which on no attempt may begin


def read_requests(name, count):
    """Requests that may be repeated, as one client sends them."""
    one = "GET /api HTTP/1.1\r\nHost: h\r\nReq-Id: {}-{}\r\nReq-Kind: {}\r\nReq-Deadline-Ms: 2900\r\n\r\n"
    return "".join(one.format(name, number, READ) for number in range(count)).encode()


class HiddenEndTest(SidecarTest):
    def connected(self):
        host, port = self.listen.split(":")
        return socket.create_connection((host, int(port)), timeout=10)

    def start_declining(self):
        """Start servers that decline each request after a while, so that it is retried."""
        self.begun_at = []

        def decline(head, body):
            self.begun_at.append(time.monotonic())
            time.sleep(0.4)
            return http_response(503, b"", "Srv-Declined: 1")

        self.start(*[decline] * 3)

    def test_no_attempt_begins_after_a_client_closed_with_much_unread(self):
        self.start_declining()
        for count in (100, 700, 2000, 40_000):
            with self.subTest(count):
                self.begun_at.clear()
                with self.connected() as sock:
                    sock.sendall(read_requests(f"first-{count}", 1))
                    self.assertTrue(eventually(lambda: self.begun_at))
                    sock.setblocking(False)
                    sock.send(read_requests(f"behind-{count}", count))
                closed_at = time.monotonic()
                time.sleep(2)
                self.assertLess(max(self.begun_at) - closed_at, UNSEEN_FOR)

    def test_no_attempt_begins_if_a_client_sent_much_and_closed_before_it_is_read(self):
        self.start(lambda head, body: http_response(200, b"served"))
        for count in (700, 2000, 40_000):
            with self.subTest(count):
                with self.paused():
                    sock = self.connected()
                    sock.setblocking(False)
                    sock.send(read_requests(f"unread-{count}", count))
                    sock.close()
                    time.sleep(0.3)
                self.assertEqual(self.invoke(request_id=f"ordinary-{count}")[0], 200)
                time.sleep(0.2)
                ids = [head.split("Req-Id: ")[1].split()[0] for head, *_ in self.providers[0].seen]
                self.assertEqual([name for name in ids if name.startswith(f"unread-{count}")], [])

    def test_a_client_that_stays_gets_all_the_answers_to_many_requests_at_once(self):
        self.start(lambda head, body: time.sleep(0.3 if "-0\r" in head else 0) or http_response(200, b"served"))
        for count in (300, 2000):
            with self.subTest(count), self.connected() as sock:
                sock.sendall(read_requests(f"stays-{count}", count))
                received = b""
                while received.count(b"HTTP/1.1 ") < count and (data := sock.recv(1 << 20)):
                    received += data
                self.assertEqual(received.count(b"HTTP/1.1 200 "), count)
