"""The deadline that an upstream is told is at most what the client has left, counted from its first byte."""

import os
import socket
import time

import pytest
from scene import ONCE, SidecarTest, http_response

DEADLINE = 0.8  # seconds
SLACK = 0.15  # of what is told, by the operators' terms
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


class Told(SidecarTest):
    """The real program before one upstream, which declines the first `declines` requests; `seen` has when each came
    and what it was told, in seconds."""

    def begin(self, declines=0):
        self.seen = []

        def answer(head, body):
            told = int(head.partition("Req-Deadline-Ms: ")[2].split()[0]) / 1000
            self.seen.append((time.monotonic(), told))
            time.sleep(0.1 if len(self.seen) <= declines else 0)
            return (
                http_response(503, b"", "Srv-Declined: 1") if len(self.seen) <= declines else http_response(200, b"x")
            )

        self.start(answer, answer)

    def send(self, *pieces_and_pauses):
        """Sends a request in pieces of so many bytes, with pauses where seconds stand; when its first byte went out."""
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

    def judge(self, began):
        assert self.seen
        for at, told in self.seen:
            left = DEADLINE - (at - began)
            assert told <= left + SLACK, f"told {told:.3f} s with {left:.3f} s left"


def played(steps, declines=0):
    scene = Told()
    try:
        scene.begin(declines)
        scene.judge(scene.send(*steps))
    finally:
        scene.doCleanups()


WHOLE = 1 << 16
HEAD = len(REQUEST.format("0" * 16, ONCE, 800))


@pytest.mark.parametrize(
    "steps",
    [(WHOLE,), (HEAD, 0.5), (HEAD + 1, 0.3), (10, 0.15, 50, 0.15), (60, 0.4)],
    ids=["whole", "body after 0.5 s", "half a body, 0.3 s", "head in pieces over 0.3 s", "half a head, 0.4 s"],
)
def test_an_upstream_is_told_no_more_than_a_slow_client_has_left(steps):
    played(steps)


def test_a_further_attempt_is_told_no_more_than_the_client_has_left():
    played((HEAD, 0.2), declines=1)


def test_a_request_that_waited_in_a_stopped_sidecar_is_told_no_more_than_the_client_has_left():
    scene = Told()
    try:
        scene.begin()
        request = REQUEST.format(os.urandom(8).hex(), ONCE, int(DEADLINE * 1000)).encode() + b"{}"
        host, port = scene.listen.split(":")
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            with scene.paused():
                began = time.monotonic()
                sock.sendall(request)
                time.sleep(0.4)
            assert sock.recv(65536)
        scene.judge(began)
    finally:
        scene.doCleanups()
