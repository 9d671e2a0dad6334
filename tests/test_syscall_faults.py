"""System calls fail for a moment, or some of them do: requests have their final answers, and are served again."""

import json
import os
import socket
import threading
import time
from collections import Counter
from math import inf
from pathlib import Path
from typing import NamedTuple

import pytest
from fault_shim import BEGAN, CONTROL, COUNT, Row, checked
from scene import MS, ONCE, READ, SETTINGS, SidecarTest, eventually, http_response

CLIENTS = 16
DEADLINE_MS = 800
ANSWERED_WITHIN = 1.3  # seconds: the deadline, and half a second in which a response is worthless but not yet lost
PACE = 0.02  # seconds from a response to the same client's next request
REQUESTS_PER_CONNECTION = 10  # after so many a client opens a new connection
RESPONSES_PER_CONNECTION = 5  # after so many a provider closes a connection, so that new ones are always needed
BEFORE = 1.0  # seconds of requests before the fault
SERVED_AGAIN_WITHIN = 1.0  # seconds after the fault
AFTER = 1.0  # seconds of requests from then on
# Shares of the calls that fail.
FEW = 0.05
PART = 0.2
ALL = 1.0
# How long the failures last, in seconds.
BRIEF = 0.2
LONG = 1.0


class Answered(NamedTuple):
    """How a request ended; status 0: the connection was closed without a response."""

    began: float
    took: float
    status: int
    request: str
    kind: str


class Client(threading.Thread):
    """A client that sends one request after another, several over each connection."""

    deadline_ms = DEADLINE_MS

    def __init__(self, address, kind, ends_at):
        """`ends_at`, when it stops, may be set later; it is `inf` until then."""
        super().__init__(daemon=True)
        self.address, self.kind, self.ends_at = address, kind, ends_at
        self.sock, self.requests_left, self.answers = None, 0, []
        self.closed_idle = 0  # idle connections that the program closed before their next request

    def run(self):
        while time.monotonic() < self.ends_at:
            self.answers.append(self.call())
            time.sleep(PACE)
        if self.sock is not None:
            self.sock.close()

    def call(self):
        request, began, status = os.urandom(8).hex(), time.monotonic(), 0
        new = self.sock is None
        for _ in range(1 if new else 2):  # a request that races with the close of an idle connection is sent once more
            try:
                if self.sock is None:
                    self.sock = self.connect()
                status = self.exchange(request)
                self.requests_left -= 1
            except OSError:
                status = 0
            if status and self.requests_left:
                break
            if self.sock is not None:
                self.sock.close()
            self.sock = None
            if status:
                break
            self.closed_idle += not new
        return Answered(began, time.monotonic() - began, status, request, self.kind)

    def connect(self):
        host, port = self.address.split(":")
        self.requests_left = REQUESTS_PER_CONNECTION
        return socket.create_connection((host, int(port)), timeout=5)

    def exchange(self, request):
        method, body = ("GET", b"") if self.kind == READ else ("POST", b"{}")
        lines = [f"{method} /api HTTP/1.1", "Host: x", f"Req-Id: {request}", f"Req-Kind: {self.kind}"]
        lines += [f"Req-Deadline-Ms: {self.deadline_ms}", f"Content-Length: {len(body)}", "", ""]
        self.sock.sendall("\r\n".join(lines).encode() + body)
        data = b""
        while b"\r\n\r\n" not in data:
            more = self.sock.recv(65536)
            if not more:
                return 0
            data += more
        head, _, rest = data.partition(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        body_left = int(fields[b"content-length"]) - len(rest)
        while body_left > 0:
            more = self.sock.recv(body_left)
            if not more:
                return 0
            body_left -= len(more)
        if fields.get(b"connection") == b"close":
            self.sock = None
        return int(head.split(b" ", 2)[1])


def provider():
    """The answer of a provider that closes a connection after some responses; `ran` has the ids that it received."""
    ran, answers = [], threading.local()

    def answer(head, body):
        ran.append(head.partition("Req-Id: ")[2].split()[0])
        answers.number = getattr(answers, "number", 0) + 1
        if answers.number == RESPONSES_PER_CONNECTION:
            return http_response(200, b"x", "Connection: close")
        return http_response(200, b"x")

    answer.ran = ran
    return answer


class Observed:
    """What the clients of one case saw, as a whole, during the fault and after it."""

    def __init__(self, clients, ran, fault_at, fault_over_at, injected, log):
        self.answers = answers = [answer for client in clients for answer in client.answers]
        self.closed_idle = sum(client.closed_idle for client in clients)
        self.ran, self.injected, self.log = Counter(ran), injected, log
        self.during = [a for a in answers if fault_at <= a.began < fault_over_at]
        self.after = [a for a in answers if a.began >= fault_over_at + SERVED_AGAIN_WITHIN]

    def check(self):
        assert self.injected, "no call failed"
        assert len(self.after) > 50, "too few requests after the fault"
        closed = [a for a in self.answers if not a.status]
        assert not closed, f"{len(closed)} requests without a response, {self}"
        assert not self.closed_idle, f"{self.closed_idle} idle connections were closed, {self}"
        late = [a for a in self.answers if a.took > ANSWERED_WITHIN]
        assert not late, f"{len(late)} requests answered late, {self}"
        once = [a for a in self.answers if a.kind == ONCE]
        assert all(self.ran[a.request] <= 1 for a in once), f"a request that must not run twice ran twice, {self}"
        ran = [a for a in once if a.status in (429, 503) and self.ran[a.request]]
        assert not ran, f"{len(ran)} rejected requests had run, {self}"
        unserved = [a for a in self.during if a.status != 200]
        assert len(unserved) <= self.injected, f"{len(unserved)} requests not served, {self}"
        lost = [a for a in self.after if a.status != 200]
        assert not lost, f"{len(lost)} of {len(self.after)} requests not served after the fault, {self}"

    def __str__(self):
        during = Counter(a.status for a in self.during)
        return f"{self.injected} faults, statuses meanwhile {dict(during)}: {self.log}"


class FaultsTest(SidecarTest):
    """The real program with four providers, and with the fault injection in it."""

    def run_case(self, row):
        answers = [provider() for _ in range(4)]
        folder = Path(__file__).parent
        shim = f"import sys\nsys.path.append({str(folder)!r})\nimport fault_shim\nfault_shim.install('.')\n"
        profiles = [p | {"hardLimit": DEADLINE_MS * MS, "target": 300 * MS} for p in SETTINGS["profiles"]]
        self.start(*answers, fault=shim, settings=SETTINGS | {"profiles": profiles})
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())
        clients = [Client(self.listen, ONCE if n % 2 else READ, inf) for n in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(BEFORE)
        Path(self.path.parent, "next").write_text(json.dumps(row._asdict()))
        Path(self.path.parent, "next").rename(Path(self.path.parent, CONTROL))
        began = Path(self.path.parent, BEGAN)
        began_text = eventually(lambda: began.exists() and began.read_text(), 10)
        fault_at = float(began_text or time.monotonic())
        for client in clients:
            client.ends_at = fault_at + row.seconds + SERVED_AGAIN_WITHIN + AFTER
        for client in clients:
            client.join(20)
        count = Path(self.path.parent, COUNT)
        self.assertTrue(eventually(count.exists, 5))
        ran = [request for answer in answers for request in answer.ran]
        log = "\n".join(self.log().splitlines()[:6])
        return Observed(clients, ran, fault_at, fault_at + row.seconds, int(count.read_text()), log)


TABLE = checked(
    [
        Row("epoll_add", "ENOMEM", PART, LONG),
        Row("epoll_add", "ENOSPC", ALL, BRIEF),
        Row("connect", "EADDRNOTAVAIL", ALL, BRIEF),
        Row("connect", "EADDRNOTAVAIL", PART, LONG),
        Row("connect", "ENETUNREACH", ALL, BRIEF),
        Row("connect", "ENETUNREACH", PART, LONG),
        Row("connect", "ENOBUFS", ALL, BRIEF),
        Row("connect", "EAGAIN", PART, LONG),
        Row("socket", "ENFILE", ALL, BRIEF),
        Row("socket", "ENOBUFS", PART, LONG),
        Row("accept", "ENFILE", PART, LONG),
        Row("accept", "ENOBUFS", ALL, BRIEF),
        Row("accept", "EPROTO", PART, LONG),
        Row("accept", "ECONNABORTED", PART, LONG),
        Row("write", "ENOBUFS", PART, LONG),
        Row("write", "ENOMEM", ALL, BRIEF),
        Row("setsockopt", "ENOBUFS", PART, LONG),
        Row("read", "ETIMEDOUT", FEW, LONG),
        Row("read", "EHOSTUNREACH", FEW, LONG),
    ]
)


@pytest.mark.parametrize("row", TABLE, ids=lambda row: f"{row.call} {row.error} {row.rate:g} for {row.seconds:g} s")
def test_callers_are_served_again_after_system_calls_failed(row):
    case = FaultsTest()
    try:
        case.run_case(row).check()
    finally:
        case.doCleanups()


@pytest.mark.parametrize(
    "row, message",
    [
        (Row("conect", "ENFILE", 1, 1), r"row 2, .*: no such call"),
        (Row("accept", "ENFULL", 1, 1), r"row 2, .*: no such error"),
        (Row("accept", "ENFILE", 0, 1), r"row 2, .*: a rate is above 0"),
        (Row("accept", "ENFILE", 1, 0), r"row 2, .*: a fault lasts"),
    ],
)
def test_a_row_that_cannot_be_injected_is_named(row, message):
    with pytest.raises(ValueError, match=message):
        checked([TABLE[0], row])
