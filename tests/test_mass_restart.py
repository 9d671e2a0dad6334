"""Five sidecars are killed together and restarted while discovery is down: each starts with its snapshot."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from scene import (
    ROOT,
    SETTINGS,
    StubDiscovery,
    StubServer,
    address_of,
    entry,
    eventually,
    http_response,
    list_body,
    listener,
)

from loftweir.state.snapshot import Entry, Snapshot, decode, encode

SIDECARS = 5


def answering(name):
    """The answer of a server that responds with its name."""
    return lambda head, body: http_response(200, name.encode())


class Fleet(unittest.TestCase):
    """Sidecars, each with a folder of its own, with providers and a discovery. Only `far` is in another zone."""

    def setUp(self):
        self.discovery = StubDiscovery()
        self.old, self.new, self.leaving = (
            StubServer(answering("old")),
            StubServer(answering("new")),
            StubServer(answering("leaving")),
        )
        self.far = StubServer(answering("far"))
        for server in (self.discovery, self.old, self.new, self.leaving, self.far):
            self.addCleanup(server.close)
        self.discovery.entries = [entry("s-old", self.old.address)]
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.programs = {}
        self.environment = {}

    def config(self, number):
        with listener() as free:
            listen = address_of(free)
        return {
            "name": f"n{number}",
            "listen": listen,
            "discovery": self.discovery.address,
            "seed": f"{number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": json.loads(
                list_body(0, self.discovery.entries, True)
            ),  # the platform's list, also after a restart
            "settings": SETTINGS,
        }

    def launch(self, number, config, write_apart="10ms"):
        own = self.folder / f"n{number}"
        own.mkdir(exist_ok=True)
        (own / "config.json").write_text(json.dumps(config), encoding="utf-8")
        environment = {
            "RELAY_CONFIG": str(own / "config.json"),
            "RELAY_DISCOVERY": self.discovery.address,
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(own),
            "LOFTWEIR_STATE_KEEP": "on",
            "LOFTWEIR_STATE_WRITE_APART": write_apart,
        } | self.environment
        with (own / "log").open("ab") as log:
            program = subprocess.Popen([sys.executable, "-m", "loftweir"], env=os.environ | environment, stderr=log)
        self.addCleanup(program.wait, 10)
        self.addCleanup(program.kill)
        self.programs[number] = program

    def served_by(self, listen):
        client = http.client.HTTPConnection(listen, timeout=10)
        try:
            headers = {"Req-Id": os.urandom(8).hex(), "Req-Kind": "status-read", "Req-Deadline-Ms": "2000"}
            client.request("GET", "/api", headers=headers)
            answer = client.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            client.close()

    def snapshot_index(self, number):
        try:
            return decode((self.folder / f"n{number}" / "loftweir-snapshot").read_bytes()).index
        except (OSError, ValueError):
            return -1

    def serves(self, config, answer, seconds=10):
        """Wait until a sidecar's request is answered by a certain provider."""
        return eventually(lambda: self.served_by(config["listen"]) == (200, answer), seconds)

    def logged(self, number, event):
        log = (self.folder / f"n{number}" / "log").read_text()
        return [json.loads(line) for line in log.splitlines() if f'"{event}"' in line]

    def start_sidecars(self, sidecars=SIDECARS):
        """Start sidecars; all use the old provider, which is in the platform's list."""
        configs = {n: self.config(n) for n in range(sidecars)}
        for number, config in configs.items():
            self.launch(number, config)
        for config in configs.values():
            self.assertEqual(self.serves(config, b"old"), True)
        return configs

    def start_with_snapshot(self, data, config):
        """Start a sidecar that finds `data` in place of its snapshot, and check that it still uses the old provider."""
        (self.folder / "n0").mkdir()
        (self.folder / "n0" / "loftweir-snapshot").write_bytes(data)
        self.launch(0, config)
        self.assertEqual(self.serves(config, b"old"), True)
        self.assertEqual([self.served_by(config["listen"]) for _ in range(5)], [(200, b"old")] * 5)

    def restart(self, configs, moved, *lost):
        """Change the list, wait until it is stored, kill all sidecars and restart them.

        Discovery and the servers in `lost` are down by then. Returns when the restart began.
        """
        self.discovery.entries = moved
        self.discovery.change(entry("s-old", self.old.address, status="left"), *moved)
        for number in configs:
            self.assertEqual(eventually(lambda n=number: self.snapshot_index(n) == 1, 15), True, number)
        for program in self.programs.values():
            program.send_signal(signal.SIGKILL)
        for program in self.programs.values():
            program.wait(10)
        self.discovery.fail(True)
        for server in (self.old, *lost):
            server.close()
        began = time.monotonic()
        for number, config in configs.items():
            self.launch(number, config)  # with the platform's old list
        return began


class MassRestart(Fleet):
    def test_all_restart_with_their_snapshots_while_discovery_is_down_and_a_drain_is_kept(self):
        configs = self.start_sidecars()
        # The old provider leaves, a new one is listed, a third one drains.
        moved = [entry("s-new", self.new.address), entry("s-leaving", self.leaving.address, status="leaving")]
        before = len(self.leaving.seen)
        began = self.restart(configs, moved)
        for number, config in configs.items():
            self.assertEqual(self.serves(config, b"new", 15), True, number)
        self.restart_time = time.monotonic() - began  # until the last one serves; used by benchmarks/restart.py
        for number, config in configs.items():
            for _ in range(5):
                self.assertEqual(self.served_by(config["listen"]), (200, b"new"))
            taken = self.logged(number, "state.taken")
            self.assertEqual([t["choice"] for t in taken], ["given", "snapshot"])
            self.assertEqual(taken[-1]["index"], 1)
        self.assertEqual(len(self.leaving.seen), before)

    def test_a_restart_after_the_loss_of_the_own_zone_uses_the_other_zone(self):
        configs = self.start_sidecars()
        self.restart(configs, [entry("s-new", self.new.address), entry("s-far", self.far.address, zone="b")], self.new)
        for config in configs.values():
            self.assertEqual(self.serves(config, b"far", 15), True)
            self.assertEqual([self.served_by(config["listen"]) for _ in range(8)], [(200, b"far")] * 8)


class OldSnapshot(Fleet):
    def test_a_provider_that_was_drained_is_not_used_again_because_the_snapshot_is_old(self):
        """Guards against a drained provider that a start with discovery down takes from the platform's older list."""
        self.environment = {"LOFTWEIR_STATE_TRUST_FOR": "1s"}
        self.discovery.entries += [entry("s-leaving", self.leaving.address), entry("s-new", self.new.address)]
        config = self.config(0)
        self.launch(0, config)
        self.assertTrue(self.serves(config, b"leaving"))
        self.discovery.change(
            entry("s-leaving", self.leaving.address, status="leaving"), entry("s-new", self.new.address, status="left")
        )
        self.assertTrue(eventually(lambda: self.snapshot_index(0) == 1))
        self.discovery.fail(True)
        for _ in range(2):  # the second start has the same snapshot
            self.programs[0].kill()
            self.programs[0].wait(10)
            time.sleep(1.2)
            self.launch(0, config)
            self.assertTrue(self.serves(config, b"old"))
            self.assertEqual({self.served_by(config["listen"]) for _ in range(30)}, {(200, b"old")})
            self.assertEqual(self.logged(0, "state.taken")[-1]["choice"], "old")
        self.assertEqual(self.snapshot_index(0), 1)


class UnusableSnapshot(Fleet):
    def test_a_truncated_snapshot_is_renamed_and_the_start_uses_the_given_list(self):
        self.start_with_snapshot(b'loftweir-snapshot 1 0000abcd\n{"epoch": 4, "index": 9, "taken', self.config(0))
        (damaged,) = self.logged(0, "state.damaged")
        self.assertIn("cut short", damaged["why"])
        self.assertTrue((self.folder / "n0" / "loftweir-snapshot.damaged").exists())
        self.assertEqual(eventually(lambda: self.snapshot_index(0) == 0), True)  # it has been written again

    def test_a_snapshot_older_than_the_given_list_is_not_used(self):
        config = self.config(0)
        config["known"] = json.loads(list_body(5, self.discovery.entries, True))
        entries = [Entry("s-new", self.new.address, "a", "m", 0, "ready", 1.0, 0)]
        self.start_with_snapshot(encode(Snapshot(2, 3, time.time_ns(), entries)), config)
        self.assertEqual([t["choice"] for t in self.logged(0, "state.taken")], ["stale"])
        self.assertEqual(self.new.seen, [])

    def test_a_change_that_waits_to_be_written_is_written_at_sigterm(self):
        config = self.config(0)
        self.launch(0, config, write_apart="60s")
        # The first list is written at once, the next change waits a minute.
        self.assertEqual(self.serves(config, b"old"), True)
        self.discovery.entries = [entry("s-new", self.new.address)]
        self.discovery.change(entry("s-old", self.old.address, status="left"), *self.discovery.entries)
        self.assertEqual(self.serves(config, b"new"), True)
        self.assertEqual(self.snapshot_index(0), 0)
        self.programs[0].send_signal(signal.SIGTERM)
        self.programs[0].wait(10)
        self.assertEqual(self.snapshot_index(0), 1)
