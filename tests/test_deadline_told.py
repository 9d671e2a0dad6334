"""The deadline that a provider is sent is at most the client's time left, counted from the request's first byte."""

import os
import socket
import time

import pytest
from scene import ONCE, SidecarTest, http_response

DEADLINE = 0.8  # seconds
SLACK = 0.15  # seconds that the sent deadline may be too long, by the operators' terms
REQUEST = "\r\n".join(
    [
        "POST /api HTTP/1.1",
        "Host: x",
        "Req-Id: {}",
        "Req-Kind: {}",
        "Req-Deadline-Ms: {}",
        "Content-Length: 2",
        "",
        "",
    ]
)


class SentDeadline(SidecarTest):
    """The real program with one provider, which declines the first `declines` requests.

    `seen` has, for each attempt, when it arrived and the deadline that it was sent, in seconds.
    """

    def begin(self, declines=0):
        self.seen = []

        def answer(head, body):
            sent = int(head.partition("Req-Deadline-Ms: ")[2].split()[0]) / 1000
            self.seen.append((time.monotonic(), sent))
            time.sleep(0.1 if len(self.seen) <= declines else 0)
            return (
                http_response(503, b"", "Srv-Declined: 1") if len(self.seen) <= declines else http_response(200, b"x")
            )

        self.start(answer, answer)

    def send(self, *pieces_and_pauses):
        """Send a request in pieces; return when its first byte was sent.

        An integer is a number of bytes to send, a float a pause in seconds; the rest is sent at the end.
        """
        request = REQUEST.format(os.urandom(8).hex(), ONCE, int(DEADLINE * 1000)).encode() + b"{}"
        host, port = self.listen.split(":")
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            began, at = time.monotonic(), 0
            for step in pieces_and_pauses:
                if isinstance(step, float):
                    time.sleep(step)
                else:
                    sock.sendall(request[at : at + step])
                    at += step
            sock.sendall(request[at:])
            assert b" 200 " in sock.recv(65536).partition(b"\r\n")[0] + b" "
        return began

    def check(self, began):
        """Check the deadlines that were sent against the time that the client had left."""
        assert self.seen
        for at, sent in self.seen:
            time_left = DEADLINE - (at - began)
            assert sent <= time_left + SLACK, f"a deadline of {sent:.3f} s was sent with {time_left:.3f} s left"


def check_sent_deadlines(steps, declines=0):
    case = SentDeadline()
    try:
        case.begin(declines)
        case.check(case.send(*steps))
    finally:
        case.doCleanups()


WHOLE = 1 << 16
HEAD = len(REQUEST.format("0" * 16, ONCE, 800))


@pytest.mark.parametrize(
    "steps",
    [(WHOLE,), (HEAD, 0.5), (HEAD + 1, 0.3), (10, 0.15, 50, 0.15), (60, 0.4)],
    ids=["whole", "body after 0.5 s", "half a body, 0.3 s", "head in pieces over 0.3 s", "half a head, 0.4 s"],
)
def test_a_provider_is_sent_at_most_the_time_that_a_slow_client_has_left(steps):
    check_sent_deadlines(steps)


def test_a_retry_is_sent_at_most_the_time_that_the_client_has_left():
    check_sent_deadlines((HEAD, 0.2), declines=1)


def test_a_request_that_waited_in_a_stopped_sidecar_is_sent_with_at_most_the_time_left():
    case = SentDeadline()
    try:
        case.begin()
        request = REQUEST.format(os.urandom(8).hex(), ONCE, int(DEADLINE * 1000)).encode() + b"{}"
        host, port = case.listen.split(":")
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            with case.paused():
                began = time.monotonic()
                sock.sendall(request)
                time.sleep(0.4)
            assert sock.recv(65536)
        case.check(began)
    finally:
        case.doCleanups()
