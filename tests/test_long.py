"""Long and slow bodies: they arrive in pieces, stay within the memory budget, and differ from broken ones."""

import http.client
import os
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from scene import (
    KEYED,
    ONCE,
    READ,
    SECOND,
    SETTINGS,
    SidecarTest,
    address_of,
    answer_after,
    entry,
    eventually,
    http_response,
    listener,
    ok,
)

MIB = 1024 * 1024
HEAD = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: apply-submit\r\n"


def chunks(*parts):
    """A chunked body of these parts, with chunk extensions and a trailer."""
    return b"".join(b"%x;ext=1\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\nTrailer: x\r\n\r\n"


class LongTest(SidecarTest):
    def start_with_little_memory(self, *answers, memory_mb=48):
        """Start with little memory and long deadlines."""
        long_deadlines = SETTINGS | {"profiles": [p | {"hardLimit": 30 * SECOND} for p in SETTINGS["profiles"]]}
        self.start(*answers, limits={"sockets": 256, "memory_mb": memory_mb}, settings=long_deadlines)
        self.assertTrue(eventually(lambda: self.health() == 200))

    def peak_mb(self):
        """The highest resident memory of the program so far, in MiB."""
        status = Path(f"/proc/{self.program.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024

    def client_socket(self, request_id=b"r"):
        """A connected client, its socket, and the beginning of a request's head."""
        client = self.client()
        client.connect()
        return client, client.sock, HEAD % request_id

    def test_more_long_responses_than_fit_into_memory_are_all_forwarded(self):
        """The clients read slowly, and small requests are served besides: backpressure reaches the providers."""
        answer = os.urandom(MIB) * 16
        self.start_with_little_memory(lambda head, body: http_response(200, answer if body == b"long" else b"small"))
        with ThreadPoolExecutor(12) as pool:
            long = [pool.submit(self.invoke, ONCE, 20000, "/api", b"long") for _ in range(8)]
            small = [pool.submit(self.invoke, ONCE, 20000, "/api", b"s") for _ in range(20)]
            self.assertEqual([call.result()[:2] for call in small], [(200, b"small")] * 20)
            self.assertTrue(all(call.result()[:2] == (200, answer) for call in long))
        self.assertLess(self.peak_mb(), 48)

    def test_a_long_response_begins_before_it_is_complete_and_no_deadline_cuts_it(self):
        gate = threading.Event()
        self.addCleanup(gate.set)

        def answer(head, body):
            sock = self.providers[0].sockets[-1]
            sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 300000\r\n\r\n" + b"x" * 1000)
            gate.wait(10)
            return b"x" * 299000

        self.start(answer)
        client = self.client()
        client.request("POST", "/api", b"{}", {"Req-Id": "r", "Req-Kind": ONCE, "Req-Deadline-Ms": "500"})
        response = client.getresponse()
        self.assertEqual((response.status, response.read(1000)), (200, b"x" * 1000))
        time.sleep(0.8)  # until after the deadline
        gate.set()
        self.assertEqual(response.read(), b"x" * 299000)
        self.assertEqual(self.invoke(client=client)[0], 200)  # the connection can be used again

    def test_a_long_response_that_breaks_off_is_visibly_cut_and_its_request_not_retried(self):
        whole = b"y" * 300000
        framings = {
            "length": http_response(200, whole)[:-9],
            "chunked": b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(whole, whole)[:-400000],
        }
        for name, data in framings.items():
            with self.subTest(framing=name):
                sockets = []

                def answer(head, body, data=data, sockets=sockets):
                    self.providers[0].sockets[-1].sendall(data)
                    sockets.append(1)
                    time.sleep(0.3)  # before that, the forwarding of a response of unknown length has not begun

                self.start(answer)
                with self.assertRaises((http.client.IncompleteRead, ConnectionResetError)):
                    self.invoke(KEYED)
                self.assertEqual(len(sockets), 1)
                self.assertIsNone(self.program.poll())

    def test_a_long_response_whose_head_arrives_alone_is_forwarded_whole(self):
        def answer(head, body):
            self.providers[0].sockets[-1].sendall(b"HTTP/1.1 200 X\r\nContent-Length: 200000\r\n\r\n")
            time.sleep(0.2)
            return b"w" * 200000

        self.start(answer)
        self.assertEqual(self.invoke(ONCE)[:2], (200, b"w" * 200000))

    def test_responses_of_every_framing_are_forwarded_whole(self):
        body = os.urandom(200000)
        chunked = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        answers = [
            (http_response(200, body), True),
            (chunked + chunks(body[:70000], body[70000:]), True),
            (chunked + b"".join(b"%x\r\n%s\r\n" % (1, body[n : n + 1]) for n in range(5000)) + b"0\r\n\r\n", True),
            (b"HTTP/1.1 200 X\r\n\r\n" + body, False),
            (b"HTTP/1.1 100 Continue\r\n\r\n" + http_response(200, body), True),
        ]
        self.start(ok)
        for data, stays in answers:

            def answer(head, body, data=data, stays=stays):
                if stays:
                    return data
                return self.providers[0].sockets[-1].sendall(data)

            self.providers[0].answer = answer
            expected = body[:5000] if data.count(b"\r\n1\r\n") > 1000 else body
            self.assertEqual(self.invoke()[:2], (200, expected))
            old = self.send_raw(f"GET /api HTTP/1.0\r\nReq-Id: {len(data)}\r\nReq-Kind: status-read\r\n\r\n".encode())
            self.assertEqual(old.partition(b"\r\n\r\n")[2], expected)

    def test_long_requests_of_every_framing_reach_the_provider_whole(self):
        self.start(ok)
        body = os.urandom(3 * MIB)
        for headers in ({}, {"Transfer-Encoding": "chunked"}, {"Expect": "100-continue"}):
            headers |= {"Req-Id": os.urandom(4).hex(), "Req-Kind": ONCE}
            sent = iter([body[:MIB], body[MIB:]]) if "Transfer-Encoding" in headers else body
            self.assertEqual(self.send_request("POST", "/api", headers, sent)[:2], (200, b"served " + body))
        self.assertEqual([len(b) for _, b, _ in self.providers[0].seen], [len(body)] * 3)
        self.assertEqual(
            self.send_request("GET", "http://any.host/api?q=1", {"Req-Id": "z", "Req-Kind": "status-read"})[0], 200
        )
        self.assertTrue(self.providers[0].seen[-1][0].startswith("GET /api?q=1 "))

    def test_a_declined_request_with_a_long_body_is_sent_whole_to_another_provider(self):
        self.start(ok, ok)
        first = []

        def decline_once(head, body):
            first.append(body)
            return http_response(503, b"", "Srv-Declined: 1") if len(first) == 1 else ok(head, body)

        for server in self.providers:
            server.answer = decline_once
        body = os.urandom(MIB)
        self.assertEqual(self.invoke(ONCE, body=body)[:2], (200, b"served " + body))
        self.assertEqual([len(b) for b in first], [MIB, MIB])

    def test_a_slow_head_and_a_slow_body_are_awaited_and_a_silent_one_is_not(self):
        self.start(ok)

        def slow(pause, rate, request_id):
            client, sock, head = self.client_socket(request_id)
            sock.sendall(head[:20])
            time.sleep(pause)
            sock.sendall(head[20:] + b"Content-Length: 128000\r\n\r\n")
            for _ in range(0, 128000, 6400):
                time.sleep(6400 / rate)
                sock.sendall(b"z" * 6400)
            response = http.client.HTTPResponse(sock)
            response.begin()
            return response.status

        with ThreadPoolExecutor() as pool:
            waited = pool.submit(slow, 1.8, 64000, b"slow")
            silent, sock, head = self.client_socket(b"silent")
            sock.sendall(head + b"Content-Length: 128000\r\n\r\n" + b"z" * 100)
            self.assertIn(b" 408 ", sock.recv(100))
            self.assertEqual(waited.result(), 200)

    def test_without_memory_long_bodies_wait_or_are_rejected_and_small_ones_are_served(self):
        gate = threading.Event()
        self.addCleanup(gate.set)
        waits = answer_after(gate)
        self.start_with_little_memory(
            lambda head, body: (waits if len(body) > MIB else ok)(head, body[:9]), memory_mb=16
        )
        with ThreadPoolExecutor(8) as pool:
            first = pool.submit(self.invoke, ONCE, 20000, "/api", b"x" * 2 * MIB)
            self.assertTrue(eventually(lambda: self.providers[0].seen))
            status, _, response = self.invoke(ONCE, body=b"x" * 2 * MIB)
            self.assertEqual((status, response.getheader("Retry-After")), (503, "0.500"))
            self.assertEqual(self.invoke(ONCE, body=b"small")[0], 200)
            second = pool.submit(self.invoke, ONCE, 20000, "/api", b"x" * 2 * MIB)
            time.sleep(0.3)
            gate.set()
            self.assertEqual([first.result()[0], second.result()[0]], [200, 200])

    def test_bodies_larger_than_the_memory_budget_are_forwarded_as_they_arrive(self):
        """Several at once, each larger than the whole memory budget, to a provider that reads slowly."""
        body = os.urandom(MIB) * 12

        def count(head, sent):
            return http_response(200, b"%d" % len(sent) if sent != body else b"whole")

        self.start_with_little_memory(count, memory_mb=40)
        with ThreadPoolExecutor(6) as pool:
            requests = [pool.submit(self.invoke, ONCE, 20000, "/api", body) for _ in range(5)]
            self.assertEqual(self.invoke(ONCE, body=b"small")[:2], (200, b"5"))
            self.assertEqual([call.result()[:2] for call in requests], [(200, b"whole")] * 5)
        self.assertLess(self.peak_mb(), 40)

    def test_a_forwarded_body_whose_client_falls_silent_or_leaves_does_not_count_against_the_provider(self):
        self.start_with_little_memory(ok, memory_mb=16)
        for ending, times in (("silent", 1), ("leaves", 4)):
            for n in range(times):
                client, sock, head = self.client_socket(b"%s%d" % (ending.encode(), n))
                sock.sendall(head + b"Content-Length: 9000000\r\n\r\n" + b"x" * 300000)
                if ending == "silent":
                    self.assertIn(b" 408 ", sock.recv(100))
                else:
                    time.sleep(0.1)
                    client.close()
        self.assertEqual(self.invoke(ONCE)[0], 200)
        self.assertEqual([body for _, body, _ in self.providers[0].seen if len(body) == 9000000], [])

    def test_a_forwarded_body_may_arrive_with_its_head_or_well_after_it(self):
        self.start_with_little_memory(ok, memory_mb=16)
        body = b"x" * 5 * MIB
        for n, cut in enumerate((0, 1, 30000)):
            client, sock, head = self.client_socket(b"r%d" % n)
            sock.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body[:cut])
            time.sleep(0.1)
            sock.sendall(body[cut:])
            response = http.client.HTTPResponse(sock)
            response.begin()
            self.assertEqual(response.read(), b"served " + body)

    def test_a_forwarded_body_goes_to_another_provider_if_none_of_it_was_sent(self):
        with listener() as gone:
            address = address_of(gone)
        self.start_with_little_memory(ok, memory_mb=16)
        self.discovery.change(entry("gone", address))
        self.wait_until_list_read()
        for _ in range(4):
            self.assertEqual(self.invoke(ONCE, body=b"x" * 5 * MIB)[0], 200)

    def test_a_body_that_arrives_byte_by_byte_takes_no_more_memory_than_its_size(self):
        self.start_with_little_memory(ok, memory_mb=32)
        before = self.peak_mb()
        client, sock, head = self.client_socket()
        sock.sendall(head + b"Content-Length: 20000\r\n\r\n")
        for _ in range(20000):
            sock.send(b"b")
        response = http.client.HTTPResponse(sock)
        response.begin()
        self.assertEqual(response.read(), b"served " + b"b" * 20000)
        self.assertLess(self.peak_mb() - before, 4)

    def test_a_long_response_on_its_way_at_sigterm_is_forwarded_to_its_end_if_no_sigkill_comes(self):
        """Guards against a response that is cut off 4 s after SIGTERM although it arrives piece by piece."""
        part, count = os.urandom(20_000), 40

        def answer(head, body):
            yield b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % (len(part) * count)
            for _ in range(count):
                yield part
                time.sleep(0.15)

        self.start(answer)
        with ThreadPoolExecutor() as pool:
            pending = pool.submit(self.invoke, READ)
            self.assertTrue(eventually(lambda: self.providers[0].seen))
            time.sleep(0.5)
            self.program.send_signal(signal.SIGTERM)
            status, received = pending.result()[:2]
        self.assertEqual((status, received == part * count), (200, True))
        self.assertEqual(self.program.wait(5), 0)
        self.assertEqual([record["left"] for record in self.logged("stop.done")], [0])


class SmallBudgetTest(SidecarTest):
    """The memory budget allows 1.4 MB of long responses at a time."""

    operator = '[limits]\nanswers_of_memory = "1%"\n'

    def test_long_responses_of_unknown_length_are_forwarded_at_once_if_the_budget_is_short(self):
        long, together = os.urandom(250_000), 12

        def answer(head, body):
            yield b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(long), long)
            time.sleep(0.1)  # the end arrives before any response has been buffered for its full time
            yield b"0\r\n\r\n"

        self.start(answer)
        with ThreadPoolExecutor(together) as pool:
            answers = list(pool.map(lambda _: self.invoke(READ)[:2], range(together)))
        self.assertEqual([status for status, _ in answers], [200] * together)
        self.assertTrue(all(body == long for _, body in answers))
