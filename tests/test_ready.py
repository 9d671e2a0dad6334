"""Ready after a restart: several processes start together, while discovery is down at first and then busy.

The time runs from the start of each process to its first `GET /_health` that answers 200. Discovery refuses connections
for a while, then answers few calls at a time, each slowly, and the others with 503. Watches that wait do not count, as
their sidecars have their list.
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from contextlib import suppress
from pathlib import Path

from scene import ROOT, SETTINGS, StubDiscovery, StubServer, address_of, entry, http_response, list_body, listener, ok

ALLOWED = 10.0  # seconds; the operators require that nine of ten restarted processes are ready by then
ASK_WITHIN = 10_000_000_000  # ns


class SlowDiscovery(StubDiscovery):
    """A discovery that is down until `come_up`, and then answers `room` calls at a time, each in `slow` seconds."""

    def __init__(self, room=4, slow=0.2):
        self.room, self.slow, self.inside = room, slow, 0
        self.refused = self.calls = 0
        self.gate = threading.Lock()
        super().__init__()
        self.listener.shutdown(socket.SHUT_RDWR)  # ends the thread that accepts
        self.listener.close()
        self.listener = self.bound_socket()

    def bound_socket(self):
        """A socket bound to its port that does not listen, so that connections are refused."""
        host, port = self.address.split(":")
        for _ in range(500):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with suppress(OSError):
                sock.bind((host, int(port)))
                return sock
            sock.close()
            time.sleep(0.01)
        raise OSError(f"{self.address} is still in use")

    def come_up(self):
        self.listener.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _respond(self, head, body):
        if "after=" in head.split()[1]:
            return super()._respond(head, body)
        with self.gate:
            self.calls += 1
            if self.inside >= self.room:
                self.refused += 1
                return http_response(503)
            self.inside += 1
        time.sleep(self.slow)
        with self.gate:
            self.inside -= 1
        return super()._respond(head, body)


class RestartTest(unittest.TestCase):
    """Starts processes of the program together; `known` is the platform's list for each, which may be empty."""

    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.provider, self.discovery = StubServer(ok), SlowDiscovery()
        for server in (self.provider, self.discovery):
            self.addCleanup(server.close)
        self.discovery.entries = [entry("s0", self.provider.address)]

    def launch(self, n, known):
        own = self.folder / f"n{n}"
        own.mkdir()
        with listener() as free:
            listen = address_of(free)
        safety = SETTINGS["safety"] | {"askWithin": ASK_WITHIN}
        config = {
            "name": f"n{n}",
            "listen": listen,
            "discovery": self.discovery.address,
            "seed": f"{n + 1:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": json.loads(list_body(0, known, True)),
            "settings": SETTINGS | {"safety": safety},
        }
        (own / "config.json").write_text(json.dumps(config), encoding="utf-8")
        environment = {"RELAY_CONFIG": str(own / "config.json"), "PYTHONPATH": str(ROOT), "TMPDIR": str(own)}
        environment["RELAY_DISCOVERY"] = self.discovery.address
        with (own / "log").open("ab") as log:
            program = subprocess.Popen([sys.executable, "-m", "loftweir"], env=os.environ | environment, stderr=log)
        self.addCleanup(program.wait, 10)
        self.addCleanup(program.kill)
        return program, listen

    @staticmethod
    def healthy(listen):
        host, port = listen.split(":")
        with suppress(OSError), socket.create_connection((host, int(port)), timeout=1) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return sock.recv(64).startswith(b"HTTP/1.1 200")
        return False

    def ready_in(self, number, known, down, within=ALLOWED):
        """Start processes; return the seconds until each was ready, of those within the time.

        Discovery comes up `down` seconds after the first start.
        """
        began = time.monotonic()
        back = threading.Timer(down, self.discovery.come_up)
        back.start()
        self.addCleanup(back.cancel)
        self.programs = {}
        for n in range(number):
            program, listen = self.launch(n, known)
            self.programs[n] = program, listen, time.monotonic()
        waiting, times = set(self.programs), []
        while waiting and time.monotonic() < began + within + 1:
            for n in list(waiting):
                _, listen, since = self.programs[n]
                if self.healthy(listen):
                    times.append(time.monotonic() - since)
                    waiting.discard(n)
            time.sleep(0.05)
        return sorted(t for t in times if t <= within)

    def cpu(self):
        """The mean processor time that the processes have used, in seconds."""
        ticks = []
        for program, _, _ in self.programs.values():
            fields = Path(f"/proc/{program.pid}/stat").read_text().rpartition(") ")[2].split()
            ticks.append(int(fields[11]) + int(fields[12]))
        return sum(ticks) / len(ticks) / os.sysconf("SC_CLK_TCK")


class ReadyTest(RestartTest):
    def test_with_a_list_from_the_platform_discovery_is_not_needed(self):
        known = self.discovery.entries
        self.assertEqual(len(self.ready_in(8, known, down=60)), 8)

    def test_without_a_list_nine_of_ten_are_ready_in_time_with_a_discovery_that_is_down_and_then_slow(self):
        times = self.ready_in(10, [], down=3)
        self.assertGreaterEqual(len(times), 9, times)
        self.assertGreater(times[0], 2.5)  # none was ready before discovery was up


if __name__ == "__main__":
    number, down, room, slow, listed = (float(a) for a in sys.argv[1:6])
    case = ReadyTest()
    case.folder = Path(tempfile.mkdtemp())
    case.provider, case.discovery = StubServer(ok), SlowDiscovery(int(room), slow)
    case.discovery.entries = [entry("s0", case.provider.address)]
    times = case.ready_in(int(number), case.discovery.entries if listed else [], down, 20)
    median, ninth = times[len(times) // 2], times[int(number * 0.9) - 1] if len(times) >= number * 0.9 else None
    print(
        f"{int(number)} processes, down {down} s, room {room:.0f} x {slow} s, {'list' if listed else 'no list'}: ready "
        f"{len(times)}, median {median:.1f}, ninth tenth {ninth}, worst {times[-1]:.1f}, within 10 s "
        f"{sum(t <= 10 for t in times)}; cpu {case.cpu():.2f} s each; calls {case.discovery.calls}, refused "
        f"{case.discovery.refused}"
    )
    case.doCleanups()
