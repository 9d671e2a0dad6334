"""Requests that were read behind one that could not be served are answered, unless that was the client's own error."""

import socket
import threading

from scene import READ, SidecarTest, eventually, http_response, responses

HEAD = f"GET /api HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: {READ}\r\n"
WHOLE = HEAD + "\r\n"
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n6\r\n123456\r\n0\r\n\r\n"
LARGE_BODY = "x" * 40_000
# What comes first, and the status of its answer.
FIRST = {
    "a fault of the program": (WHOLE.replace("%s", "broken%s"), 500),
    "a fault of the program, in chunks": (CHUNKED.replace("%s", "broken%s"), 500),
    "no memory for its body": (HEAD + f"Content-Length: {len(LARGE_BODY)}\r\n\r\n{LARGE_BODY}", 503),
    "no memory for its body, in chunks": (
        HEAD + f"Transfer-Encoding: chunked\r\n\r\n{len(LARGE_BODY):x}\r\n{LARGE_BODY}\r\n0\r\n\r\n",
        503,
    ),
    "a rejection, as its provider answers 404": (WHOLE.replace("%s", "missing%s"), 503),
}
# What is behind it: the whole requests, and a part of one that is never completed.
BEHIND = {
    "nothing": ([], ""),
    "a whole one": ([WHOLE], ""),
    "two, one in chunks": ([CHUNKED, WHOLE], ""),
    "part of a head": ([], WHOLE[:30]),
    "a whole one and part of a head": ([WHOLE], WHOLE[:30]),
    "a whole one and half a body": ([WHOLE], HEAD + "Content-Length: 6\r\n\r\n123"),
}
# Errors of the client. What is behind them may be a part of them, or one more of many.
CLIENT_ERRORS = {
    "no HTTP": "no HTTP\r\n\r\n",
    "two lengths": HEAD + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    "a length and chunks": HEAD + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "no Req-Kind": "GET /api HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\n\r\n",
    "no such path": WHOLE.replace("/api", "/other"),
    "an unknown Req-Kind in chunks": CHUNKED.replace(READ, "unknown"),
    "no such method": WHOLE.replace("GET", "PUT"),
    "a Req-Id in use": WHOLE.replace("%s", "in-use"),
}
# The host fails for these ids, and there is no memory for bodies of this size.
FAULT = f"""
from loftweir.core import host
from loftweir.http1 import request_reader
from loftweir.net.memory import OutOfBudget

real_accept, real_reserved = host.Host.accept, request_reader.reserved

def accept(self, invocation, *more):
    if invocation.id.startswith("broken"):
        raise ZeroDivisionError
    return real_accept(self, invocation, *more)

def reserved(loop, body, size, within):
    if size == {len(LARGE_BODY)}:
        raise OutOfBudget
    return (yield from real_reserved(loop, body, size, within))

host.Host.accept, request_reader.reserved = accept, reserved
"""


class PipelinedErrorsTest(SidecarTest):
    def setUp(self):
        self.gate = threading.Event()
        self.addCleanup(self.gate.set)

        def answer(head, body):
            if "in-use" in head:
                self.gate.wait(10)
            return http_response(404 if "missing" in head else 200, b"answered")

        self.start(*[answer] * 2, fault=FAULT)
        host, port = self.listen.split(":")
        self.address = host, int(port)

    def answers(self, data):
        """The status and the Connection field of each answer until the end; a connection that stays open ends too."""
        with socket.create_connection(self.address, timeout=10) as sock:
            sock.sendall(data.encode())
            answers = []
            try:
                for answer in responses(sock):
                    answers.append(answer)
                    sock.settimeout(0.5)
            except TimeoutError:
                answers.append("open")
            return answers

    def hold(self, id):
        """Send a request that its provider does not answer."""
        sock = socket.create_connection(self.address, timeout=10)
        self.addCleanup(sock.close)
        sock.sendall(WHOLE.replace("%s", id).encode())
        self.assertTrue(eventually(lambda: any(id in str(head) for p in self.providers for head in p.seen)))

    def test_what_was_read_behind_a_request_that_can_not_be_served_is_answered(self):
        """Guards against requests that are dropped with the end of their connection (the class of review/7)."""
        number = 0
        for first, (head, status) in FIRST.items():
            for behind, (whole, part) in BEHIND.items():
                with self.subTest(first=first, behind=behind):
                    data = ""
                    for text in [head, *whole, part]:
                        number += 1
                        data += text.replace("%s", f"r{number}")
                    statuses = [status] + [200] * len(whole)
                    self.assertEqual(self.answers(data), [(status, None) for status in statuses] + ["open"])

    def test_behind_an_error_of_the_client_nothing_is_served_and_its_answer_says_so(self):
        """Guards against a request that another program along the way did not see (request smuggling)."""
        self.hold("in-use")
        for name, text in CLIENT_ERRORS.items():
            with self.subTest(name):
                ((status, field),) = self.answers(text.replace("%s", f"a-{name[:2]}") + WHOLE.replace("%s", "hidden"))
                self.assertEqual((status // 100, field), (4, "close"))
        self.assertFalse([head for p in self.providers for head in p.seen if "hidden" in str(head)])
