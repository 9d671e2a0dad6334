"""Five sidecars killed together and started again while discovery is down: each comes back on its snapshot."""

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


def said(name):
    return lambda head, body: http_response(200, name.encode())


class Fleet(unittest.TestCase):
    """Sidecars, each with a folder of its own, beside providers and discovery; all but `far` in the sidecars' zone."""

    def setUp(self):
        self.catalog = StubDiscovery()
        self.old, self.new, self.leaving = StubServer(said("old")), StubServer(said("new")), StubServer(said("leaving"))
        self.far = StubServer(said("far"))
        for party in (self.catalog, self.old, self.new, self.leaving, self.far):
            self.addCleanup(party.close)
        self.catalog.entries = [entry("s-old", self.old.address)]
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.programs = {}

    def config(self, number):
        with listener() as free:
            listen = address_of(free)
        return {
            "name": f"n{number}",
            "listen": listen,
            "discovery": self.catalog.address,
            "seed": f"{number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": json.loads(list_body(0, self.catalog.entries, True)),  # what the platform gives, now and after
            "settings": SETTINGS,
        }

    def launch(self, number, config, write_apart="10ms"):
        own = self.folder / f"n{number}"
        own.mkdir(exist_ok=True)
        (own / "config.json").write_text(json.dumps(config), encoding="utf-8")
        environment = {
            "RELAY_CONFIG": str(own / "config.json"),
            "RELAY_DISCOVERY": self.catalog.address,
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(own),
            "LOFTWEIR_STATE_KEEP": "on",
            "LOFTWEIR_STATE_WRITE_APART": write_apart,
        }
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
        return eventually(lambda: self.served_by(config["listen"]) == (200, answer), seconds)

    def logged(self, number, event):
        log = (self.folder / f"n{number}" / "log").read_text()
        return [json.loads(line) for line in log.splitlines() if f'"{event}"' in line]

    def started(self, sidecars=SIDECARS):
        """All serve the old provider, as the platform's list has it."""
        configs = {n: self.config(n) for n in range(sidecars)}
        for number, config in configs.items():
            self.launch(number, config)
        for config in configs.values():
            self.assertEqual(self.serves(config, b"old"), True)
        return configs

    def started_beside(self, data, config):
        """One sidecar that finds `data` in its snapshot's place; it serves the old provider all the same."""
        (self.folder / "n0").mkdir()
        (self.folder / "n0" / "loftweir-snapshot").write_bytes(data)
        self.launch(0, config)
        self.assertEqual(self.serves(config, b"old"), True)
        self.assertEqual([self.served_by(config["listen"]) for _ in range(5)], [(200, b"old")] * 5)

    def restart(self, configs, moved, *lost):
        """The list moves on, is kept, and all sidecars are killed; discovery and `lost` are down at the new start."""
        self.catalog.entries = moved
        self.catalog.change(entry("s-old", self.old.address, status="left"), *moved)
        for number in configs:
            self.assertEqual(eventually(lambda n=number: self.snapshot_index(n) == 1, 15), True, number)
        for program in self.programs.values():
            program.send_signal(signal.SIGKILL)
        for program in self.programs.values():
            program.wait(10)
        self.catalog.fail(True)
        for party in (self.old, *lost):
            party.close()
        began = time.monotonic()
        for number, config in configs.items():
            self.launch(number, config)  # the platform gives its old list again
        return began


class MassRestart(Fleet):
    def test_all_come_back_on_their_snapshots_with_discovery_down_and_a_drain_kept(self):
        configs = self.started()
        # The old provider leaves, a new one comes, a third drains.
        moved = [entry("s-new", self.new.address), entry("s-leaving", self.leaving.address, status="leaving")]
        before = len(self.leaving.seen)
        began = self.restart(configs, moved)
        for number, config in configs.items():
            self.assertEqual(self.serves(config, b"new", 15), True, number)
        self.back_in = time.monotonic() - began  # until the last of them serves: benchmarks/restart.py
        for number, config in configs.items():
            for _ in range(5):
                self.assertEqual(self.served_by(config["listen"]), (200, b"new"))
            taken = self.logged(number, "state.taken")
            self.assertEqual([t["choice"] for t in taken], ["given", "snapshot"])
            self.assertEqual(taken[-1]["index"], 1)
        self.assertEqual(len(self.leaving.seen), before)

    def test_a_restart_during_the_loss_of_the_own_zone_serves_from_the_other(self):
        configs = self.started()
        self.restart(configs, [entry("s-new", self.new.address), entry("s-far", self.far.address, zone="b")], self.new)
        for config in configs.values():
            self.assertEqual(self.serves(config, b"far", 15), True)
            self.assertEqual([self.served_by(config["listen"]) for _ in range(8)], [(200, b"far")] * 8)


class Untrusted(Fleet):
    def test_a_torn_snapshot_is_set_aside_and_the_start_goes_on_with_the_given_list(self):
        self.started_beside(b'loftweir-snapshot 1 0000abcd\n{"epoch": 4, "index": 9, "taken', self.config(0))
        (damaged,) = self.logged(0, "state.damaged")
        self.assertIn("cut short", damaged["why"])
        self.assertTrue((self.folder / "n0" / "loftweir-snapshot.damaged").exists())
        self.assertEqual(eventually(lambda: self.snapshot_index(0) == 0), True)  # written anew, whole

    def test_a_snapshot_older_than_the_given_list_is_not_sent_by(self):
        config = self.config(0)
        config["known"] = json.loads(list_body(5, self.catalog.entries, True))
        entries = [Entry("s-new", self.new.address, "a", "m", 0, "ready", 1.0, 0)]
        self.started_beside(encode(Snapshot(2, 3, time.time_ns(), entries)), config)
        self.assertEqual([t["choice"] for t in self.logged(0, "state.taken")], ["stale"])
        self.assertEqual(self.new.seen, [])

    def test_a_change_that_waits_to_be_written_is_written_at_sigterm(self):
        config = self.config(0)
        self.launch(0, config, write_apart="60s")
        self.assertEqual(self.serves(config, b"old"), True)  # its start is written, the next change waits a minute
        self.catalog.entries = [entry("s-new", self.new.address)]
        self.catalog.change(entry("s-old", self.old.address, status="left"), *self.catalog.entries)
        self.assertEqual(self.serves(config, b"new"), True)
        self.assertEqual(self.snapshot_index(0), 0)
        self.programs[0].send_signal(signal.SIGTERM)
        self.programs[0].wait(10)
        self.assertEqual(self.snapshot_index(0), 1)
