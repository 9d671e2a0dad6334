"""A client that has disconnected: no attempt begins for it, first or further, whatever else happens at the same moment.

Each race is forced: the program is stopped until both events are in the kernel, and then continued. What the providers
received is checked after the program has ended, when nothing more can be sent.
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
from loftweir.http1.back import Backend
from loftweir.http1.flow import Upload
from loftweir.http1.message import HttpRequest
from loftweir.http1.pool import ProviderConnection
from loftweir.interface import Outcome
from loftweir.net.loop import Loop
from loftweir.net.memory import Body, MemoryBudget


def reset(sock):
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


# The ways in which a client leaves.
LEAVES = {"closes": socket.socket.close, "resets": reset, "half-closes": lambda sock: sock.shutdown(socket.SHUT_WR)}
LONG_CONNECT_TIMEOUT = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "connectTimeout": 2500 * MS}}


def request_bytes(name, kind=READ, body=b"", *lines):
    """The bytes of a request with the id `name`."""
    fields = ["GET /api HTTP/1.1" if kind == READ else "POST /api HTTP/1.1", "Host: h", f"Req-Id: {name}", *lines]
    fields += [f"Req-Kind: {kind}", "Req-Deadline-Ms: 2900", f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(fields).encode() + body


def id_of(head):
    return next(line[8:] for line in head.splitlines() if line.lower().startswith("req-id: "))


def connecting_ports(server):
    """The local ports of connections to a server that are being opened: the kernel has sent SYN and has no answer."""
    to = f"{server.getsockname()[1]:04X}"
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return {int(row[1].split(":")[1], 16) for row in rows if row[2].split(":")[1] == to and row[3] == "02"}


class Gate:
    """The answer of a server that answers at once, except the named requests, which wait for `open`."""

    def __init__(self, *names, answer=ok):
        self.names, self.answer = names, answer
        self.opened, self.written = threading.Event(), threading.Event()

    def __call__(self, head, body):
        if id_of(head) not in self.names:
            yield ok(head, body)
            return
        self.opened.wait(10)
        yield self.answer(head, body)
        self.written.set()

    def open(self):
        """Answer the waiting request; the answer is in the kernel, on the program's side, when this returns."""
        self.opened.set()
        assert self.written.wait(10)


class GoneTest(SidecarTest):
    def connected(self, *data):
        """A new connection on which `data` has been sent."""
        host, port = self.listen.split(":")
        sock = socket.create_connection((host, int(port)), timeout=10)
        self.addCleanup(sock.close)
        for part in data:
            sock.sendall(part)
        return sock

    def served(self, name):
        """An idle connection on which the request `name` was served; everything earlier has been handled by then."""
        sock = self.connected(request_bytes(name))
        self.assertIn(b" 200 ", sock.recv(4096))
        return sock

    def ids(self):
        return [id_of(head) for server in self.providers for head, _, _ in server.seen]

    def servers_reached_by(self, name):
        """The numbers of the servers that have received a request."""
        return [n for n, p in enumerate(self.providers) if name in [id_of(head) for head, _, _ in p.seen]]

    def forwarded(self):
        """The ids that servers received, each as often as they did, without `warm`; ends the program."""
        self.served("stays")
        self.terminate()
        self.program.wait(10)
        for server in self.providers:
            self.assertTrue(eventually(lambda p=server: len(p.ended_connections) == len(p.sockets)))
        return sorted(name for name in self.ids() if name != "warm")

    def test_the_client_has_left_when_its_request_is_read(self):
        """Its connection waits to be accepted, is idle, or misses the rest of a body, with or without 100 Continue."""
        self.start(ok)
        whole = request_bytes("in-its-body", ONCE, b"x" * 4000)
        awaited = request_bytes("awaited", ONCE, b"x" * 9, "Expect: 100-continue")
        for how, leave in LEAVES.items():
            at_rest, in_its_body = self.served("before"), self.connected(whole[:-99])
            waits = self.connected(awaited[:-9])
            self.assertIn(b" 100 ", waits.recv(4096))
            with self.paused():
                for sock, rest in (
                    (self.connected(), request_bytes("to-accept")),
                    (at_rest, request_bytes("at-rest")),
                    (in_its_body, whole[-99:]),
                    (waits, awaited[-9:]),
                ):
                    sock.sendall(rest)
                    leave(sock)
            with self.subTest(how):
                self.served("before")
        self.assertEqual(self.forwarded(), ["before"] * 6 + ["stays"])

    def test_the_client_leaves_as_the_response_arrives_behind_which_its_request_waits(self):
        """Its request was sent with the one before, and has been read already, or later, and is still in the kernel."""
        for together in (True, False):
            for how, leave in LEAVES.items():
                with self.subTest(how, together=together):
                    gate = Gate("first")
                    self.start(gate)
                    sock = self.connected(request_bytes("first") + request_bytes("second") * together)
                    self.assertTrue(eventually(lambda: self.servers_reached_by("first")))
                    sock.sendall(request_bytes("second") * (not together))
                    with self.paused():
                        gate.open()
                        leave(sock)
                    self.assertEqual(self.forwarded(), ["first", "stays"])

    def test_the_client_leaves_as_an_attempt_ends_that_would_be_retried(self):
        """The first server's response is read first, and there is an idle connection to the second one.

        If the response proves that nothing ran, or the request may be retried, it would be sent to the second one in
        the same step.
        """
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
                    sock = self.connected(request_bytes("r"))
                    self.assertTrue(eventually(lambda: self.servers_reached_by("r")))
                    with self.paused():
                        gates[self.servers_reached_by("r")[0]].open()
                        leave(sock)
                    self.assertEqual(self.forwarded(), ["r", "stays"])

    def test_the_client_leaves_as_the_provider_is_listed_that_its_request_waits_for(self):
        for how, leave in LEAVES.items():
            with self.subTest(how):
                self.start(ok, known=[])
                self.assertTrue(eventually(self.health))
                self.assertTrue(eventually(lambda: any("after=" in head for head, _, _ in self.discovery.seen)))
                sock = self.connected(request_bytes("r"))
                self.assertEqual(self.health(), 503)  # sent later: the request has been read
                with self.paused():
                    self.discovery.entries = self.entries
                    self.discovery.change(*self.entries)
                    leave(sock)
                self.assertTrue(eventually(lambda: self.health() == 200))
                self.assertEqual(self.forwarded(), ["stays"])

    def test_the_client_leaves_as_the_connection_to_its_provider_opens(self):
        """The server's listen queue is full, so the connection for this request waits in the kernel at first."""
        for how, leave in LEAVES.items():
            with self.subTest(how), socket.create_server(("127.0.0.1", 0), backlog=0) as server:
                fillers = [socket.socket() for _ in range(3)]
                for filler in fillers:
                    self.addCleanup(filler.close)
                    filler.setblocking(False)
                    filler.connect_ex(server.getsockname())
                self.start(known=[entry("full", address_of(server))], settings=LONG_CONNECT_TIMEOUT)
                self.assertTrue(eventually(lambda: self.health() == 200))
                others = {filler.getsockname()[1] for filler in fillers}
                sock = self.connected(request_bytes("r"))
                self.assertTrue(eventually(lambda server=server, others=others: connecting_ports(server) - others))
                with self.paused():
                    server.settimeout(10)
                    up = next(s for s, (_, port) in iter(server.accept, None) if port not in others)
                    leave(sock)
                self.addCleanup(up.close)
                self.assertEqual(self.health(), 200)
                self.terminate()
                up.settimeout(10)
                self.assertEqual(up.recv(4096), b"")

    def test_a_burst_of_clients_leaves_while_the_program_is_stopped(self):
        self.start(ok)
        with self.paused():
            for number in range(200):
                sock = self.connected(request_bytes(f"r{number}"))
                list(LEAVES.values())[number % 2](sock)
        self.assertEqual(self.forwarded(), ["stays"])

    def test_the_client_leaves_during_a_long_upload(self):
        """A body that exceeds the memory budget is forwarded as it arrives.

        Nothing of it is forwarded if its client has left before, and the server does not wait for the rest of one that
        is cut off.
        """
        self.start(ok, limits={"cores": 1.0, "memory_mb": 40, "sockets": 256})
        self.assertTrue(eventually(lambda: self.health() == 200))
        for how, leave in LEAVES.items():
            with self.subTest(how):
                before = len(self.providers[0].ended_connections)
                sock = self.connected(request_bytes("breaks", ONCE, b"x" * (9 << 20))[: 2 << 20])
                self.assertTrue(eventually(lambda: self.most_received() >= 1 << 20))
                leave(sock)
                self.assertTrue(eventually(lambda b=before: len(self.providers[0].ended_connections) > b, 2))
                with self.paused():
                    sock = self.connected(request_bytes("late", ONCE, b"x" * (9 << 20))[: 1 << 16])
                    leave(sock)
                self.served("warm")
        self.assertEqual(self.forwarded(), ["breaks"] * 3 + ["stays"])

    def test_the_client_leaves_as_memory_for_its_body_becomes_free(self):
        """One long and many short bodies, all incomplete, take all the memory for bodies.

        A client whose request waits for memory leaves together with all of theirs.
        """
        self.start(ok, limits={"cores": 1.0, "memory_mb": 40, "sockets": 256})
        self.assertTrue(eventually(lambda: self.health() == 200))
        for how, leave in LEAVES.items():
            with self.subTest(how):
                connections = [self.connected(request_bytes("long", ONCE, b"x" * (7 << 20))[:4096])]
                connections += [
                    self.connected(request_bytes("short", ONCE, b"x" * (64 << 10))[:4096]) for _ in range(60)
                ]
                connections.append(self.connected(request_bytes("waits", ONCE, b"x" * 60_000)))
                self.assertEqual(self.health(), 200)  # sent later: all of them have been read
                with self.paused():
                    for sock in connections:
                        leave(sock)
                self.served("warm")
        self.assertEqual(self.forwarded(), ["stays"])

    def most_received(self):
        """The most bytes that a connection to the server has received, as the kernel counts them."""
        sizes = [0]
        for sock in self.providers[0].sockets:
            with suppress(OSError):
                sizes += struct.unpack_from("Q", sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 136), 128)
        return max(sizes)

    def test_the_client_leaves_while_a_long_response_is_forwarded(self):
        """Neither the client's connection stays open, nor that to the server, whose response still arrives."""
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
                sock = self.connected(request_bytes("long"))
                self.assertIn(b" 200 ", sock.recv(1 << 16))
                with self.paused():
                    leave(sock)
                    go_on.set()
                self.served("warm").close()
                self.assertTrue(eventually(lambda b=before: len(list(files.iterdir())) <= b))
        self.assertEqual(self.forwarded(), ["long"] * 2 + ["stays"])


class NothingToSendTest(unittest.TestCase):
    def test_a_request_whose_client_has_left_is_not_passed_to_the_balancer(self):
        """The balancer measures the traffic by the time between requests, and spaces attempts at a cold provider by it.

        A burst of requests whose clients have left would make it send them close together.
        """
        loop = Loop()
        back = Backend(loop, settings(), Options(), 9, 1 << 20)
        host = Host(loop, settings(), 1, back, lists=None)
        for has_left in (True, False):
            invocation = Invocation("r", settings().classes["push"], 1000 * MS, None)
            invocation.client_left = lambda has_left=has_left: has_left
            host.accept(invocation)
            self.assertEqual((invocation.open, bool(host.balancer.last_request_at)), (not has_left, not has_left))
            host.release(invocation)
            self.assertEqual(host.invocations, {})

    def test_an_idle_connection_is_not_used_for_a_body_that_was_forwarded_already(self):
        """If it were taken and released, it would count as idle from then on, for longer than its server allows."""
        loop, outcomes = Loop(), []
        back = Backend(loop, settings(), Options(), 9, 1 << 20)
        back.on_attempt_ended = lambda attempt, outcome, payload: outcomes.append(outcome)
        ours, theirs = socket.socketpair()
        for sock in (ours, theirs):
            self.addCleanup(sock.close)
        ours.setblocking(False)
        back.pool.set_address("s", "127.0.0.1:1")
        connection = ProviderConnection(back.pool, ours, "s", "127.0.0.1:1", back.connections.acquire_slot(back.pool))
        back.pool.release(connection)
        connection.idle_since = idle_since = loop.time - 1000 * MS
        upload = Upload(loop, theirs, Body(MemoryBudget(1 << 20)), 9 << 20, 1000 * MS)
        upload.begun = True
        request = HttpRequest(b"POST", b"/api", b"", False, upload)
        back.begin(ProviderAttempt(Invocation("r", settings().classes["push"], 1000 * MS, request), "s", 0, loop.time))
        self.assertEqual(outcomes, [Outcome.NOT_SENT])
        self.assertEqual([c.idle_since for c in back.pool.idle], [idle_since])


class ManyClientsTest(SidecarTest):
    """Many clients, or some that send much, besides an ordinary one."""

    connected = GoneTest.connected

    def test_idle_clients_take_all_connections_while_discovery_is_down_and_returns(self):
        """None of them leaves. The list that discovery has at its return is read, and a new client is served by the
        server in that list."""
        self.start(ok, ok, known=[], limits={"cores": 1.0, "memory_mb": 192, "sockets": 64})
        self.discovery.entries = self.entries[:1]
        self.discovery.change(*self.entries[:1])
        self.assertTrue(eventually(lambda: self.health() == 200))
        address = self.discovery.listener.getsockname()
        self.discovery.close()
        connections = [self.connected(request_bytes(f"idle{n}")) for n in range(40)]
        connections += [self.connected() for _ in range(200)]
        self.assertEqual(self.invoke()[0], 200)
        self.discovery.entries, self.discovery.whole = self.entries[1:], True
        self.discovery.index += 1
        self.discovery.listener = socket.create_server(address)
        threading.Thread(target=self.discovery._accept, daemon=True).start()
        self.assertTrue(eventually(lambda: self.invoke()[0] == 200 and self.providers[1].seen))
        self.assertEqual(len(connections), 240)

    def test_a_client_that_sends_requests_without_end_does_not_starve_the_others(self):
        """Health checks are answered at once, and their responses read as they arrive: there is always input."""
        self.start(ok)
        flood, over = self.connected(), threading.Event()

        def send():
            while not over.is_set():
                flood.sendall(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n" * 5000)

        def read():
            while flood.recv(1 << 20):
                pass

        threads = [threading.Thread(target=suppressed, args=(part,), daemon=True) for part in (send, read)]
        for thread in threads:
            thread.start()
        times = [self.timed() for _ in range(20)]
        over.set()
        flood.close()
        self.assertLess(sorted(times)[10], 0.2)

    def timed(self):
        """How long an ordinary request takes, in seconds."""
        began = time.monotonic()
        self.assertEqual(self.invoke()[0], 200)
        return time.monotonic() - began

    def memory(self):
        """The program's resident memory in MiB."""
        lines = Path(f"/proc/{self.program.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024

    def test_clients_that_send_much_and_leave_take_bounded_memory(self):
        """Too large bodies, incomplete ones, thousands of pipelined requests without reading a response, and heads that
        never end, on forty connections, twice."""
        self.start(ok)
        self.invoke()
        before = self.memory()
        payloads = (
            request_bytes("body", ONCE, b"x" * (20 << 20)),
            request_bytes("half", ONCE, b"x" * (4 << 20))[:-1],
            b"".join(request_bytes(f"p{n}") for n in range(3000)),
            b"GET /api HTTP/1.1\r\nX: " + b"x" * (8 << 20),
        )
        for leave in (socket.socket.close, reset):
            socks = [self.connected() for _ in range(40)]
            for number, sock in enumerate(socks):
                sock.setblocking(False)
                unsent = memoryview(payloads[number % 4])
                with suppress(OSError):
                    while unsent:
                        unsent = unsent[sock.send(unsent) :]
            self.assertLess(self.timed(), 1)
            for sock in socks:
                leave(sock)
            self.assertLess(self.timed(), 1)
        self.assertLess(self.memory() - before, 64)


def suppressed(function):
    """Call a function and ignore the errors of its connection."""
    with suppress(OSError):
        function()


if __name__ == "__main__":
    unittest.main()
