"""The window of keyed requests: the providers of one group drop duplicates of a request, but only for some time.

What counts is when a retry is written to its connection and to which group the first attempt went, not the time and
the groups when the balancer decided on the retry.
"""

import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

from scene import KEYED, MS, SECOND, SETTINGS, SidecarTest, entry, eventually, http_response
from support import attempt_ended, attempts, endpoint, full_list, make_balancer, request

from loftweir.interface import Fail, Outcome

SYN_SENT = "02"  # the TCP state in /proc/net/tcp


class FullListener:
    """A provider whose accept queue is full: a further connection is established up to 1 s after `start_accepting`."""

    def __init__(self, scene):
        self.seen = []
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.host, self.port = self.listener.getsockname()
        self.address = f"{self.host}:{self.port}"
        self.fillers = []
        scene.addCleanup(self.close)
        while True:
            filler = socket.socket()
            filler.settimeout(0.3)
            self.fillers.append(filler)
            if filler.connect_ex((self.host, self.port)):
                break  # this one waits, and so will every further one

    def has_connecting_client(self):
        """Return whether a connection that is not one of the fillers is waiting."""
        remote = f"0100007F:{self.port:04X}"
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        ours = {f"{f.getsockname()[1]:04X}" for f in self.fillers}
        return any(r[2] == remote and r[3] == SYN_SENT and r[1].split(":")[1] not in ours for r in rows)

    def start_accepting(self):
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._answer, args=(sock,), daemon=True).start()

    def _answer(self, sock):
        with suppress(OSError):
            while data := sock.recv(65536):
                self.seen.append((time.monotonic(), data))
                sock.sendall(http_response(200, b"late"))

    def close(self):
        for sock in (self.listener, *self.fillers):
            sock.close()


class WindowTest(SidecarTest):
    operator = '[log]\nlevel = "debug"\n'

    def retry_within(self, window):
        """Return the client's status and the second provider, for a first attempt that may have run.

        The connection for the second attempt is established a second later.
        """
        gate = threading.Event()
        self.addCleanup(gate.set)

        def first(head, _):
            gate.wait(10)
            return http_response(500)

        classes = [p | {"window": window} for p in SETTINGS["profiles"]]
        allowed = SETTINGS["allowed"] | {"connectTimeout": 2500 * MS}
        self.start(first, settings=SETTINGS | {"profiles": classes, "allowed": allowed})
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())
        second = FullListener(self)
        answers = []
        client = threading.Thread(target=lambda: answers.append(self.invoke(KEYED, deadline_ms=2800)))
        client.start()
        self.assertTrue(eventually(lambda: self.providers[0].seen), self.log())
        self.discovery.change(entry("s1", second.address))
        self.assertTrue(eventually(lambda: self.logged("discovery.list")[-1]["providers"] == 2), self.log())
        gate.set()
        self.assertTrue(eventually(second.has_connecting_client), self.log())
        second.start_accepting()
        client.join(10)
        return answers[0][0], second

    def test_a_retry_whose_connection_is_established_after_the_window_is_not_written(self):
        status, second = self.retry_within(window=400 * MS)
        self.assertEqual((status, second.seen), (502, []))

    def test_a_retry_whose_connection_is_established_within_the_window_is_written(self):
        status, second = self.retry_within(window=12 * SECOND)
        self.assertEqual((status, len(second.seen)), (200, 1))


def test_a_retry_has_to_be_written_within_the_window_of_the_first_attempt_that_may_have_run():
    balancer = make_balancer()
    balancer.handle(0, [full_list(*(endpoint(f"a{n}") for n in range(3)))])
    (first,) = attempts(balancer.handle(SECOND, [request("r", "log-zone")]))
    (second,) = attempts(balancer.handle(SECOND + 100 * MS, [attempt_ended(first, Outcome.CONNECT_FAILED)]))
    (third,) = attempts(balancer.handle(SECOND + 300 * MS, [attempt_ended(second, Outcome.RESET, number=1)]))
    # The window of 500 ms starts when the second attempt is sent, as the first one never ran.
    assert [a.send_by for a in (first, second, third)] == [2 * SECOND, 2 * SECOND, SECOND + 600 * MS]


def test_the_group_is_that_of_the_time_when_the_first_attempt_was_sent():
    balancer = make_balancer()
    balancer.handle(0, [full_list(endpoint("a1", cell=1))])
    (first,) = attempts(balancer.handle(SECOND, [request("r", "log-cell")]))
    balancer.handle(SECOND + 10 * MS, [full_list(endpoint("a1", cell=2), endpoint("a2", cell=2))])
    assert balancer.handle(SECOND + 20 * MS, [attempt_ended(first, Outcome.ERROR)]) == [Fail("r")]
