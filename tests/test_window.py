"""A keyed request's repeats are dropped for a while only, by the servers of one group: what counts is when a repeat is
written and where the first attempt went, not what was so when the repeat was decided."""

import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

from scene import KEYED, MS, SECOND, SETTINGS, SidecarTest, entry, eventually, http_response
from support import attempt_ended, attempts, endpoint, full_list, make_balancer, request

from loftweir.interface import Fail, Outcome

CONNECTING = "02"  # TCP_SYN_SENT, as /proc/net/tcp has it


class SlowToAccept:
    """A server whose queue of connections is full: one more comes up once the test lets it, up to a second later."""

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
                break  # this one waits, and so will the next

    def called(self):
        """Whether somebody else's connection is waiting to come up."""
        remote = f"0100007F:{self.port:04X}"
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        ours = {f"{f.getsockname()[1]:04X}" for f in self.fillers}
        return any(r[2] == remote and r[3] == CONNECTING and r[1].split(":")[1] not in ours for r in rows)

    def let_in(self):
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

    def repeat(self, window):
        """The first attempt may have run; the connection for the second comes up a second later."""
        gate = threading.Event()
        self.addCleanup(gate.set)

        def first(head, _):
            gate.wait(10)
            return http_response(500)

        classes = [p | {"window": window} for p in SETTINGS["profiles"]]
        allowed = SETTINGS["allowed"] | {"connectTimeout": 2500 * MS}
        self.start(first, settings=SETTINGS | {"profiles": classes, "allowed": allowed})
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())
        second = SlowToAccept(self)
        answers = []
        asking = threading.Thread(target=lambda: answers.append(self.invoke(KEYED, deadline_ms=2800)))
        asking.start()
        self.assertTrue(eventually(lambda: self.providers[0].seen), self.log())
        self.catalog.change(entry("s1", second.address))
        self.assertTrue(eventually(lambda: self.logged("discovery.list")[-1]["providers"] == 2), self.log())
        gate.set()
        self.assertTrue(eventually(second.called), self.log())
        second.let_in()
        asking.join(10)
        return answers[0][0], second

    def test_a_repeat_whose_connection_comes_up_past_the_window_is_not_written(self):
        status, second = self.repeat(window=400 * MS)
        self.assertEqual((status, second.seen), (502, []))

    def test_one_whose_connection_comes_up_within_it_is(self):
        status, second = self.repeat(window=12 * SECOND)
        self.assertEqual((status, len(second.seen)), (200, 1))


def test_a_repeat_is_written_within_the_window_of_the_first_attempt_that_may_have_run():
    balancer = make_balancer()
    balancer.handle(0, [full_list(*(endpoint(f"a{n}") for n in range(3)))])
    (first,) = attempts(balancer.handle(SECOND, [request("r", "log-zone")]))
    (second,) = attempts(balancer.handle(SECOND + 100 * MS, [attempt_ended(first, Outcome.CONNECT_FAILED)]))
    (third,) = attempts(balancer.handle(SECOND + 300 * MS, [attempt_ended(second, Outcome.RESET, number=1)]))
    # Of 500 ms: from the second one's sending on, the first proved that it never ran.
    assert [a.send_by for a in (first, second, third)] == [2 * SECOND, 2 * SECOND, SECOND + 600 * MS]


def test_the_group_is_that_of_the_first_attempts_time():
    balancer = make_balancer()
    balancer.handle(0, [full_list(endpoint("a1", cell=1))])
    (first,) = attempts(balancer.handle(SECOND, [request("r", "log-cell")]))
    balancer.handle(SECOND + 10 * MS, [full_list(endpoint("a1", cell=2), endpoint("a2", cell=2))])
    assert balancer.handle(SECOND + 20 * MS, [attempt_ended(first, Outcome.ERROR)]) == [Fail("r")]
