"""Ready after a restart: processes of the program started together, discovery down at first and then crowded.

From the start of each process to its first `GET /_health` that answers 200. Discovery refuses connections for a while,
then answers few calls at a time, each slowly, and the others with 503; watches that wait take no room, as their callers
have been served.
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

ALLOWED = 10.0  # the operators': nine in ten of the restarted are ready within it
ASK_WITHIN = 10_000_000_000


class Crowded(StubDiscovery):
    """Discovery that is down until `comes_back`, and has room for few callers then."""

    def __init__(self, room=4, slow=0.2):
        self.room, self.slow, self.inside = room, slow, 0
        self.turned_away = self.asked = 0
        self.gate = threading.Lock()
        super().__init__()
        self.listener.shutdown(socket.SHUT_RDWR)  # ends the wait for callers
        self.listener.close()
        self.listener = self.bound()

    def bound(self):
        """Its port, bound and with nobody who listens: it refuses."""
        host, port = self.address.split(":")
        for _ in range(500):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with suppress(OSError):
                sock.bind((host, int(port)))
                return sock
            sock.close()
            time.sleep(0.01)
        raise OSError(f"{self.address} is still taken")

    def comes_back(self):
        self.listener.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _respond(self, head, body):
        if "after=" in head.split()[1]:
            return super()._respond(head, body)
        with self.gate:
            self.asked += 1
            if self.inside >= self.room:
                self.turned_away += 1
                return http_response(503)
            self.inside += 1
        time.sleep(self.slow)
        with self.gate:
            self.inside -= 1
        return super()._respond(head, body)


class Restarted(unittest.TestCase):
    """`number` processes, started together; what each is given as `known` is the platform's list, or none."""

    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.provider, self.discovery = StubServer(ok), Crowded()
        for party in (self.provider, self.discovery):
            self.addCleanup(party.close)
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
        """Seconds to ready of each that was within the time; discovery comes back `down` after the first start."""
        began = time.monotonic()
        back = threading.Timer(down, self.discovery.comes_back)
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
        """Seconds of processor time that the processes have used, the mean."""
        ticks = []
        for program, _, _ in self.programs.values():
            fields = Path(f"/proc/{program.pid}/stat").read_text().rpartition(") ")[2].split()
            ticks.append(int(fields[11]) + int(fields[12]))
        return sum(ticks) / len(ticks) / os.sysconf("SC_CLK_TCK")


class Ready(Restarted):
    def test_with_a_list_of_the_platform_discovery_need_not_be_up(self):
        known = self.discovery.entries
        self.assertEqual(len(self.ready_in(8, known, down=60)), 8)

    def test_with_no_list_nine_in_ten_are_ready_in_time_beside_a_discovery_that_is_down_and_then_crowded(self):
        times = self.ready_in(10, [], down=3)
        self.assertGreaterEqual(len(times), 9, times)
        self.assertGreater(times[0], 2.5)  # not before discovery was back: it was


if __name__ == "__main__":
    number, down, room, slow, listed = (float(a) for a in sys.argv[1:6])
    case = Ready()
    case.folder = Path(tempfile.mkdtemp())
    case.provider, case.discovery = StubServer(ok), Crowded(int(room), slow)
    case.discovery.entries = [entry("s0", case.provider.address)]
    times = case.ready_in(int(number), case.discovery.entries if listed else [], down, 20)
    median, ninth = times[len(times) // 2], times[int(number * 0.9) - 1] if len(times) >= number * 0.9 else None
    print(
        f"{int(number)} processes, down {down} s, room {room:.0f} x {slow} s, {'list' if listed else 'no list'}: ready "
        f"{len(times)}, median {median:.1f}, ninth tenth {ninth}, worst {times[-1]:.1f}, within 10 s "
        f"{sum(t <= 10 for t in times)}; cpu {case.cpu():.2f} s each; calls {case.discovery.asked}, turned away "
        f"{case.discovery.turned_away}"
    )
    case.doCleanups()
