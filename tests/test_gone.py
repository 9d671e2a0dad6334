"""A client that has gone: no attempt begins for it, first or further, whatever else comes in the same moment.

Each crossing is forced: the program is held still until both sides of it are in the kernel, and then let go. What the
servers were sent is read once the program has ended, and its connections with it: nothing more can come then.
"""

import socket
import struct
import threading
import time
import unittest
from contextlib import suppress
from pathlib import Path

from scene import MS, ONCE, READ, SETTINGS, SidecarTest, address_of, entry, eventually, http_response, ok
from support import settings

from loftweir.config.model import Options
from loftweir.core.host import Host
from loftweir.core.invocation import Invocation, ProviderAttempt
from loftweir.http1.back import Backend, ProviderConnection
from loftweir.http1.flow import Upload
from loftweir.http1.message import HttpRequest
from loftweir.interface import Outcome
from loftweir.net.loop import Loop
from loftweir.net.stream import Body, MemoryBudget


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


LEAVES = {"closes": socket.socket.close, "resets": reset, "half-closes": lambda sock: sock.shutdown(socket.SHUT_WR)}
PATIENT = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "connectTimeout": 2500 * MS}}


def asked(name, kind=READ, body=b"", *lines):
    """A request's bytes."""
    fields = ["GET /api HTTP/1.1" if kind == READ else "POST /api HTTP/1.1", "Host: h", f"Req-Id: {name}", *lines]
    fields += [f"Req-Kind: {kind}", "Req-Deadline-Ms: 2900", f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(fields).encode() + body


def id_of(head):
    return next(line[8:] for line in head.splitlines() if line.lower().startswith("req-id: "))


def coming_up(server):
    """The ports from which connections to a server are coming up, as the kernel has them: SYN sent, no answer yet."""
    to = f"{server.getsockname()[1]:04X}"
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return {int(row[1].split(":")[1], 16) for row in rows if row[2].split(":")[1] == to and row[3] == "02"}


class Gate:
    """A server's answers: at once, but for the requests named, whose answer waits for `open`."""

    def __init__(self, *names, answer=ok):
        self.names, self.answer = names, answer
        self.let, self.written = threading.Event(), threading.Event()

    def __call__(self, head, body):
        if id_of(head) not in self.names:
            yield ok(head, body)
            return
        self.let.wait(10)
        yield self.answer(head, body)
        self.written.set()

    def open(self):
        """Its answer is in the kernel, on the program's side, when this returns."""
        self.let.set()
        assert self.written.wait(10)


class GoneTest(SidecarTest):
    def connected(self, *data):
        host, port = self.listen.split(":")
        sock = socket.create_connection((host, int(port)), timeout=10)
        self.addCleanup(sock.close)
        for part in data:
            sock.sendall(part)
        return sock

    def served(self, name):
        """A connection at rest, its request `name` served: all that came before it has been worked off."""
        sock = self.connected(asked(name))
        self.assertIn(b" 200 ", sock.recv(4096))
        return sock

    def ids(self):
        return [id_of(head) for party in self.providers for head, _, _ in party.seen]

    def has(self, name):
        """The numbers of the servers that a request has reached."""
        return [n for n, p in enumerate(self.providers) if name in [id_of(head) for head, _, _ in p.seen]]

    def sent_on(self):
        """The ids that reached servers, each as often as it did."""
        self.served("stays")
        self.terminate()
        self.program.wait(10)
        for party in self.providers:
            self.assertTrue(eventually(lambda p=party: len(p.ends) == len(p.sockets)))
        return sorted(name for name in self.ids() if name != "warm")

    def test_it_has_left_when_its_request_is_read(self):
        """At a late accept, at rest, with the rest of a body to come, and with a body that was waited for with 100."""
        self.start(ok)
        whole = asked("in-its-body", ONCE, b"x" * 4000)
        awaited = asked("awaited", ONCE, b"x" * 9, "Expect: 100-continue")
        for how, leave in LEAVES.items():
            at_rest, in_its_body = self.served("before"), self.connected(whole[:-99])
            waits = self.connected(awaited[:-9])
            self.assertIn(b" 100 ", waits.recv(4096))
            with self.paused():
                for sock, rest in (
                    (self.connected(), asked("to-accept")),
                    (at_rest, asked("at-rest")),
                    (in_its_body, whole[-99:]),
                    (waits, awaited[-9:]),
                ):
                    sock.sendall(rest)
                    leave(sock)
            with self.subTest(how):
                self.served("before")
        self.assertEqual(self.sent_on(), ["before"] * 6 + ["stays"])

    def test_it_leaves_as_the_answer_comes_that_its_request_waits_behind(self):
        """Sent with the request before it, in the program's hands already, or later, in the kernel."""
        for together in (True, False):
            for how, leave in LEAVES.items():
                with self.subTest(how, together=together):
                    gate = Gate("first")
                    self.start(gate)
                    sock = self.connected(asked("first") + asked("second") * together)
                    self.assertTrue(eventually(lambda: self.has("first")))
                    sock.sendall(asked("second") * (not together))
                    with self.paused():
                        gate.open()
                        leave(sock)
                    self.assertEqual(self.sent_on(), ["first", "stays"])

    def test_it_leaves_as_an_attempt_ends_that_another_would_follow(self):
        """The first server's word comes first, and a connection to the second one rests: what proves that nothing
        ran, or what may be repeated, would be sent to that one in the same step."""
        ends = {
            "declined": lambda head, body: http_response(503, b"", "Srv-Declined: 1"),
            "failed": lambda head, body: http_response(500),
        }
        for end, answer in ends.items():
            for how, leave in LEAVES.items():
                with self.subTest(end, how=how):
                    gates = Gate("r", answer=answer), Gate("r", answer=answer)
                    self.start(*gates)
                    self.assertTrue(eventually(lambda: self.served("warm") and all(p.seen for p in self.providers)))
                    sock = self.connected(asked("r"))
                    self.assertTrue(eventually(lambda: self.has("r")))
                    with self.paused():
                        gates[self.has("r")[0]].open()
                        leave(sock)
                    self.assertEqual(self.sent_on(), ["r", "stays"])

    def test_it_leaves_as_the_server_is_told_that_its_request_waits_for(self):
        for how, leave in LEAVES.items():
            with self.subTest(how):
                self.start(ok, known=[])
                self.assertTrue(eventually(self.health))
                self.assertTrue(eventually(lambda: any("after=" in head for head, _, _ in self.catalog.seen)))
                sock = self.connected(asked("r"))
                self.assertEqual(self.health(), 503)  # asked for later: the request has been read
                with self.paused():
                    self.catalog.entries = self.entries
                    self.catalog.change(*self.entries)
                    leave(sock)
                self.assertTrue(eventually(lambda: self.health() == 200))
                self.assertEqual(self.sent_on(), ["stays"])

    def test_it_leaves_as_a_connection_to_its_server_comes_up(self):
        """The server's queue of connections is full. The one made for this request waits in the kernel, and comes up
        once there is room."""
        for how, leave in LEAVES.items():
            with self.subTest(how), socket.create_server(("127.0.0.1", 0), backlog=0) as server:
                fillers = [socket.socket() for _ in range(3)]
                for filler in fillers:
                    self.addCleanup(filler.close)
                    filler.setblocking(False)
                    filler.connect_ex(server.getsockname())
                self.start(known=[entry("full", address_of(server))], settings=PATIENT)
                self.assertTrue(eventually(lambda: self.health() == 200))
                others = {filler.getsockname()[1] for filler in fillers}
                sock = self.connected(asked("r"))
                self.assertTrue(eventually(lambda server=server, others=others: coming_up(server) - others))
                with self.paused():
                    server.settimeout(10)
                    up = next(s for s, (_, port) in iter(server.accept, None) if port not in others)
                    leave(sock)
                self.addCleanup(up.close)
                self.assertEqual(self.health(), 200)
                self.terminate()
                up.settimeout(10)
                self.assertEqual(up.recv(4096), b"")

    def test_a_burst_of_them_leaves_while_the_program_has_no_turn(self):
        self.start(ok)
        with self.paused():
            for number in range(200):
                sock = self.connected(asked(f"r{number}"))
                list(LEAVES.values())[number % 2](sock)
        self.assertEqual(self.sent_on(), ["stays"])

    def test_it_leaves_in_a_long_upload(self):
        """A body greater than the room is sent on while it comes: not at all once its client has left, and its server
        is not kept waiting for the rest of one that breaks off."""
        self.start(ok, limits={"cores": 1.0, "memory_mb": 40, "sockets": 256})
        self.assertTrue(eventually(lambda: self.health() == 200))
        for how, leave in LEAVES.items():
            with self.subTest(how):
                before = len(self.providers[0].ends)
                sock = self.connected(asked("breaks", ONCE, b"x" * (9 << 20))[: 2 << 20])
                self.assertTrue(eventually(lambda: self.most_come() >= 1 << 20))
                leave(sock)
                self.assertTrue(eventually(lambda b=before: len(self.providers[0].ends) > b, 2))
                with self.paused():
                    sock = self.connected(asked("late", ONCE, b"x" * (9 << 20))[: 1 << 16])
                    leave(sock)
                self.served("warm")
        self.assertEqual(self.sent_on(), ["breaks"] * 3 + ["stays"])

    def test_it_leaves_as_there_is_room_for_its_body(self):
        """One long body and many short ones, none of them whole, take all the room; with the clients of all, the one
        whose request waits behind them leaves too."""
        self.start(ok, limits={"cores": 1.0, "memory_mb": 40, "sockets": 256})
        self.assertTrue(eventually(lambda: self.health() == 200))
        for how, leave in LEAVES.items():
            with self.subTest(how):
                crowd = [self.connected(asked("long", ONCE, b"x" * (7 << 20))[:4096])]
                crowd += [self.connected(asked("short", ONCE, b"x" * (64 << 10))[:4096]) for _ in range(60)]
                crowd.append(self.connected(asked("waits", ONCE, b"x" * 60_000)))
                self.assertEqual(self.health(), 200)  # asked for later: all of them have been read
                with self.paused():
                    for sock in crowd:
                        leave(sock)
                self.served("warm")
        self.assertEqual(self.sent_on(), ["stays"])

    def most_come(self):
        """Bytes that have come to the server on one connection, as its kernel counts them."""
        sizes = [0]
        for sock in self.providers[0].sockets:
            with suppress(OSError):
                sizes += struct.unpack_from("Q", sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 136), 128)
        return max(sizes)

    def test_it_leaves_while_a_long_answer_is_passed_on(self):
        """Nothing of it is kept: neither its connection nor its server's, whose answer still comes."""
        go_on = threading.Event()

        def long(head, body):
            yield http_response(200, b"x" * (9 << 20))[: 1 << 20]
            go_on.wait(10)
            yield b"x" * (8 << 20)

        self.start(lambda head, body: long(head, body) if id_of(head) == "long" else ok(head, body))
        files = Path(f"/proc/{self.program.pid}/fd")
        for how, leave in list(LEAVES.items())[:2]:
            with self.subTest(how):
                self.served("warm").close()
                before = len(list(files.iterdir()))
                go_on.clear()
                sock = self.connected(asked("long"))
                self.assertIn(b" 200 ", sock.recv(1 << 16))
                with self.paused():
                    leave(sock)
                    go_on.set()
                self.served("warm").close()
                self.assertTrue(eventually(lambda b=before: len(list(files.iterdir())) <= b))
        self.assertEqual(self.sent_on(), ["long"] * 2 + ["stays"])


class NothingToSendTest(unittest.TestCase):
    def test_one_who_has_left_is_no_request_to_the_balancer(self):
        """It takes the time between requests for its measure of the traffic, and spaces a cold server's calls by it:
        a burst of those who left would have it send them close together."""
        loop = Loop()
        back = Backend(loop, settings(), Options(), 9, 1 << 20)
        host = Host(loop, settings(), 1, back, lists=None)
        for left in (True, False):
            invocation = Invocation("r", settings().classes["push"], 1000 * MS, None)
            invocation.client_left = lambda left=left: left
            host.accept(invocation)
            self.assertEqual((invocation.open, bool(host.balancer.last_request_at)), (not left, not left))
            host.release(invocation)
            self.assertEqual(host.invocations, {})

    def test_a_connection_at_rest_is_not_touched_for_a_body_that_was_sent_on_already(self):
        """Taken and put back it would rest anew, past the time after which its server closes it as idle."""
        loop, ends = Loop(), []
        back = Backend(loop, settings(), Options(), 9, 1 << 20)
        back.on_attempt_ended = lambda call, outcome, payload: ends.append(outcome)
        ours, theirs = socket.socketpair()
        for sock in (ours, theirs):
            self.addCleanup(sock.close)
        ours.setblocking(False)
        back.pool.set_address("s", "127.0.0.1:1")
        connection = ProviderConnection(back.pool, ours, "s", "127.0.0.1:1")
        back.pool.release(connection)
        connection.idle_since = idle_since = loop.time - 1000 * MS
        upload = Upload(loop, theirs, Body(MemoryBudget(1 << 20)), 9 << 20, 1000 * MS)
        upload.begun = True
        request = HttpRequest(b"POST", b"/api", [], {}, upload)
        back.begin(ProviderAttempt(Invocation("r", settings().classes["push"], 1000 * MS, request), "s", 0, loop.time))
        self.assertEqual(ends, [Outcome.NOT_SENT])
        self.assertEqual([c.idle_since for c in back.pool.idle], [idle_since])


class Crowd(SidecarTest):
    """Many clients, or few that send much, beside one as usual."""

    connected = GoneTest.connected

    def test_idle_clients_hold_all_they_can_while_discovery_is_down_and_comes_back(self):
        """None of them leaves. What discovery tells at its return is learnt, and who is new is served by the server
        that it names."""
        self.start(ok, ok, known=[], limits={"cores": 1.0, "memory_mb": 192, "sockets": 64})
        self.catalog.entries = self.entries[:1]
        self.catalog.change(*self.entries[:1])
        self.assertTrue(eventually(lambda: self.health() == 200))
        place = self.catalog.listener.getsockname()
        self.catalog.close()
        crowd = [self.connected(asked(f"idle{n}")) for n in range(40)] + [self.connected() for _ in range(200)]
        self.assertEqual(self.invoke()[0], 200)
        self.catalog.entries, self.catalog.whole = self.entries[1:], True
        self.catalog.index += 1
        self.catalog.listener = socket.create_server(place)
        threading.Thread(target=self.catalog._accept, daemon=True).start()
        self.assertTrue(eventually(lambda: self.invoke()[0] == 200 and self.providers[1].seen))
        self.assertEqual(len(crowd), 240)

    def test_one_who_sends_requests_without_end_leaves_the_others_their_turns(self):
        """Answered at once, without a server, and read as fast as they come: never a moment with nothing to read."""
        self.start(ok)
        flood, over = self.connected(), threading.Event()

        def send():
            while not over.is_set():
                flood.sendall(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n" * 5000)

        def read():
            while flood.recv(1 << 20):
                pass

        threads = [threading.Thread(target=suppressed, args=(turn,), daemon=True) for turn in (send, read)]
        for thread in threads:
            thread.start()
        times = [self.timed() for _ in range(20)]
        over.set()
        flood.close()
        self.assertLess(sorted(times)[10], 0.2)

    def timed(self):
        began = time.monotonic()
        self.assertEqual(self.invoke()[0], 200)
        return time.monotonic() - began

    def memory(self):
        lines = Path(f"/proc/{self.program.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024

    def test_who_sends_much_and_goes_takes_bounded_room(self):
        """Bodies without end and half of them, requests by the hundred before any answer is read, and heads that never
        end: from forty connections, twice."""
        self.start(ok)
        self.invoke()
        before = self.memory()
        much = (
            asked("body", ONCE, b"x" * (20 << 20)),
            asked("half", ONCE, b"x" * (4 << 20))[:-1],
            b"".join(asked(f"p{n}") for n in range(3000)),
            b"GET /api HTTP/1.1\r\nX: " + b"x" * (8 << 20),
        )
        for leave in (socket.socket.close, reset):
            socks = [self.connected() for _ in range(40)]
            for number, sock in enumerate(socks):
                sock.setblocking(False)
                left = memoryview(much[number % 4])
                with suppress(OSError):
                    while left:
                        left = left[sock.send(left) :]
            self.assertLess(self.timed(), 1)
            for sock in socks:
                leave(sock)
            self.assertLess(self.timed(), 1)
        self.assertLess(self.memory() - before, 64)


def suppressed(turn):
    with suppress(OSError):
        turn()


if __name__ == "__main__":
    unittest.main()
