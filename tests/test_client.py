"""What clients get: complete responses, clear errors for bad input, one final answer for each invocation."""

import os
import socket
import struct
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from scene import KEYED, ONCE, READ, SidecarTest, answer_after, eventually, http_response, ok


class ClientTest(SidecarTest):
    def test_an_invocation_is_forwarded_unchanged_and_its_response_returned_complete(self):
        answer = os.urandom(64 * 1024)
        self.start(lambda head, body: http_response(200, answer, "Content-Type: text/x"))
        body = os.urandom(64 * 1024)
        headers = {"Req-Id": "r-1", "Req-Kind": KEYED, "Idempotency-Key": "k-1", "Req-Deadline-Ms": "2000"}
        headers |= {"Connection": "keep-alive, X-Hop", "X-Hop": "1", "X-End": "2"}
        status, received, response = self.send_request("POST", "/api?a=1&b=%20", headers, body)
        self.assertEqual((status, received, response.getheader("Content-Type")), (200, answer, "text/x"))
        ((head, sent, _),) = self.providers[0].seen
        self.assertEqual(head.splitlines()[0], "POST /api?a=1&b=%20 HTTP/1.1")
        self.assertEqual(sent, body)
        fields = dict(line.lower().split(": ", 1) for line in head.splitlines()[1:])
        self.assertEqual((fields["req-id"], fields["idempotency-key"]), ("r-1", "k-1"))
        self.assertLessEqual(int(fields["req-deadline-ms"]), 2000)
        self.assertEqual((fields["x-end"], fields.get("x-hop")), ("2", None))

    def test_a_chunked_body_is_accepted(self):
        self.start(ok)
        headers = {"Req-Id": "r", "Req-Kind": ONCE, "Transfer-Encoding": "chunked"}
        self.assertEqual(self.send_request("POST", "/api", headers, iter([b"ab", b"c"]))[:2], (200, b"served abc"))

    def test_connections_on_both_sides_are_reused(self):
        self.start(ok)
        client = self.client()
        for _ in range(5):
            self.assertEqual(self.invoke(client=client)[0], 200)
        self.assertEqual({number for _, _, number in self.providers[0].seen}, {1})

    def test_bad_input_gets_an_error_response(self):
        self.start(ok)
        good = {"Req-Id": "r", "Req-Kind": READ, "Req-Deadline-Ms": "500"}
        for status, method, target, changed in (
            (400, "GET", "/api", {"Req-Id": ""}),
            (400, "GET", "/api", {"Req-Kind": "nothing-like-it"}),
            (400, "GET", "/api", {"Req-Deadline-Ms": "soon"}),
            (400, "GET", "/api", {"Req-Deadline-Ms": "0"}),
            (400, "POST", "/api", {"Req-Kind": KEYED}),
            (404, "GET", "/apix", {}),
            (405, "PUT", "/api", {}),
            (404, "HEAD", "/", {}),
        ):
            with self.subTest(target=target, **changed):
                self.assertEqual(self.send_request(method, target, good | changed)[0], status)
        self.assertEqual(self.providers[0].seen, [])
        self.assertEqual(self.invoke()[0], 200)

    def test_malformed_http_is_answered_400_and_closed(self):
        self.start(ok)
        for data in (b"nonsense", b"GET /api HTTP/1.1\r\nBad Header", b"GET /api HTTP/1.1", b"\x00\xff" * 9):
            self.assertTrue(self.send_raw(data + b"\r\n\r\n").startswith(b"HTTP/1.1 400 "), data)
        endless = b"GET /api HTTP/1.1\r\nX: " + b"x" * 99999
        self.assertTrue(self.send_raw(endless).startswith(b"HTTP/1.1 431 "))
        self.assertEqual(self.health(), 200)

    def test_a_body_over_the_limit_is_answered_413(self):
        self.start(ok)
        head = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Kind: apply-submit\r\n"
        answer = self.send_raw(head + b"Content-Length: 34000000\r\n\r\n" + b"x" * 90000)
        self.assertTrue(answer.startswith(b"HTTP/1.1 413 "))
        self.assertEqual(self.providers[0].seen, [])

    def test_a_message_that_could_hide_another_request_is_rejected_and_the_connection_closed(self):
        self.start(ok)
        head = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Kind: apply-submit\r\n"
        hidden = b"0\r\n\r\n" + head.replace(b"Req-Id: r", b"Req-Id: in") + b"Content-Length: 0\r\n\r\n"
        both = b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % len(hidden)
        behind_a_bad_one = head.replace(b"submit", b"nothing") + b"Content-Length: 0\r\n\r\n" + head
        for data in (head + both + hidden, behind_a_bad_one + b"Content-Length: 0\r\n\r\n"):
            answer = self.send_raw(data)
            self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer)
            self.assertEqual(answer.count(b"HTTP/1.1"), 1)
        self.assertEqual(self.providers[0].seen, [])

    def test_a_client_that_sends_nothing_or_half_a_request_gets_an_error_or_a_close_within_3_s(self):
        self.start(ok)
        head = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Kind: apply-submit\r\n"
        halves = {b"": b"", head: b"HTTP/1.1 408 ", head + b"Content-Length: 9\r\n\r\nx": b"HTTP/1.1 408 "}
        with ThreadPoolExecutor() as pool:
            began = time.monotonic()
            for start, answer in zip(halves.values(), pool.map(self.send_raw, halves), strict=True):
                self.assertTrue(answer.startswith(start) and bool(answer) == bool(start), answer)
            self.assertLess(time.monotonic() - began, 5)

    def test_a_body_announced_as_too_large_is_not_awaited(self):
        self.start(ok)
        head = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Kind: apply-submit\r\n"
        began = time.monotonic()
        self.assertTrue(self.send_raw(head + b"Content-Length: 60000000\r\n\r\nx").startswith(b"HTTP/1.1 413 "))
        self.assertLess(time.monotonic() - began, 2)

    def test_fields_that_a_request_needs_are_forwarded_although_its_connection_field_names_them(self):
        self.start(ok)
        headers = {"Req-Id": "r", "Req-Kind": READ, "Connection": "host, req-id"}
        self.assertEqual(self.send_request("GET", "/api", headers)[0], 200)
        self.assertIn("req-id: r", self.providers[0].seen[0][0].lower())

    def test_expect_continue_is_honoured(self):
        self.start(ok)
        head = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Kind: apply-submit\r\n"
        host, port = self.listen.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(head + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
            self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 100 "))
            sock.sendall(b"{}")
            self.assertTrue(sock.recv(4096).startswith(b"HTTP/1.1 200 "))

    def test_when_the_client_disconnects_its_attempt_runs_on_and_the_connection_is_reused(self):
        gate = threading.Event()
        self.start(answer_after(gate))
        client = self.client()
        client.request("GET", "/api", headers={"Req-Id": "r", "Req-Kind": READ})
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        client.close()
        gate.set()
        self.assertTrue(eventually(lambda: self.invoke()[0] == 200))
        self.assertTrue(eventually(lambda: self.invoke()[0] == 200))
        self.assertEqual(self.providers[0].ended_connections, [])

    def test_an_id_in_flight_is_not_sent_a_second_time(self):
        """A second request with the id would run twice, and the balancer would confuse the attempts of the two."""
        gate = threading.Event()
        self.start(answer_after(gate))
        first = self.client()
        first.request("POST", "/api", b"{}", {"Req-Id": "twin", "Req-Kind": ONCE})
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        self.assertEqual(self.invoke(ONCE, request_id="twin")[0], 400)
        gate.set()
        self.assertEqual(first.getresponse().status, 200)
        self.assertEqual(len(self.providers[0].seen), 1)

    def test_connections_reset_at_once_do_not_stop_the_listener(self):
        self.start(ok)
        host, port = self.listen.split(":")
        for _ in range(50):
            with socket.create_connection((host, int(port)), timeout=10) as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.assertEqual(self.invoke()[0], 200)

    def test_only_the_given_address_listens(self):
        self.start(ok)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.9", int(self.listen.split(":")[1])), timeout=10)


if __name__ == "__main__":
    unittest.main()
