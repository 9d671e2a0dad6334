"""A fleet of real sidecars for tests: voters and observers, each a process that can be killed, stopped and wiped.

The address by which one sidecar reaches a member can be set for each pair (`address_overrides`), so that a test can
put a proxy between them.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from contextlib import suppress
from pathlib import Path

from scene import READ, ROOT, SETTINGS, StubDiscovery, StubServer, entry, eventually, list_body, ok

from loftweir.standins.addresses import Addresses


class Sidecar:
    """One sidecar of the fleet. Its files remain when its process ends, and the next process starts with them."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.folder = fleet.folder / name
        self.folder.mkdir()
        (self.folder / "tmp").mkdir()
        self.replication_folder = self.folder / "copies"  # a voter's folder
        self.listen, self.operator_address = fleet.unused_address(), fleet.unused_address()
        self.program = None
        self.startup_code = ""  # code that runs before the program
        self.extra_config = ""  # additional text for the operator's file

    def start(self, **replication):
        """`replication`: further keys of that section in the operator's file."""
        keys = {"members": self.fleet.members_of(self.name), "folder": str(self.replication_folder)}
        keys |= self.fleet.keys | replication
        if not self.fleet.replication_on:
            keys = {}
        lines = ["[log]", 'level = "debug"', "[replication]", *(f"{k} = {json.dumps(v)}" for k, v in keys.items())]
        (self.folder / "loftweir.toml").write_text("\n".join([*lines, self.extra_config, ""]), encoding="utf-8")
        (self.folder / "sitecustomize.py").write_text(self.startup_code, encoding="utf-8")
        catalog = self.fleet.catalog
        config = {
            "name": self.name,
            "listen": self.listen,
            "discovery": catalog.address,
            "operator": self.operator_address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.fleet.sockets},
            "known": json.loads(list_body(catalog.index, catalog.entries, True)),
            "settings": SETTINGS,
        }
        (self.folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
        settings = {
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "LOFTWEIR_OPERATOR": str(self.folder / "loftweir.toml"),
            "PYTHONPATH": f"{self.folder}:{ROOT}",
            "TMPDIR": str(self.folder / "tmp"),
        }
        with (self.folder / "log").open("ab") as errors:
            self.program = subprocess.Popen(
                [sys.executable, "-m", "loftweir"], env=os.environ | settings, stderr=errors, cwd=self.folder
            )
        return self

    def ready(self):
        """Whether the sidecar reports that it is ready."""
        return self.call("READY") == "OK"

    def signal(self, number):
        """Sends a signal to the process."""
        self.program.send_signal(number)

    def kill(self):
        """Sends SIGKILL and waits for the end."""
        if self.program is not None:
            self.program.kill()
            self.program.wait(10)
            self.program = None

    def terminate(self):
        """Sends SIGTERM and returns the exit code."""
        self.program.terminate()
        code = self.program.wait(20)
        self.program = None
        return code

    def stop(self):
        """Stops the process until `resume`."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Continues a stopped process."""
        self.signal(signal.SIGCONT)

    def wipe(self):
        """Deletes the voter's folder; only while the process does not run."""
        assert self.program is None
        shutil.rmtree(self.replication_folder, ignore_errors=True)

    def call(self, line, timeout=10):
        """Sends one line to the operators' address and returns the answer; empty: none."""
        host, port = self.operator_address.split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=timeout) as sock:
                sock.sendall(line.encode() + b"\n")
                return b"".join(iter(lambda: sock.recv(4096), b"")).decode().rstrip("\n")
        except OSError:
            return ""

    def fleet_status(self):
        """The answer to FLEET by key; empty: none."""
        answer = self.call("FLEET", 2)
        return dict(pair.split("=", 1) for pair in answer.split()[1:]) if answer.startswith("OK ") else {}

    def log(self):
        """The text that the sidecar has logged."""
        return (self.folder / "log").read_text()

    def logged(self, event):
        """The records of an event in the log."""
        records = [json.loads(line) for line in self.log().splitlines() if line.endswith("}")]
        return [record for record in records if record["event"] == event]

    def send_request(self, timeout=5):
        """Sends one request through the sidecar and returns the status."""
        host, port = self.listen.split(":")
        head = [f"GET /api HTTP/1.1\r\nHost: x\r\nReq-Id: {os.urandom(8).hex()}\r\nReq-Kind: {READ}"]
        head += ["Req-Deadline-Ms: 2000", "Connection: close", "", ""]
        with socket.create_connection((host, int(port)), timeout=timeout) as sock:
            sock.sendall("\r\n".join(head).encode())
            return int(b"".join(iter(lambda: sock.recv(65536), b"")).split(b" ", 2)[1])


class FleetScene(unittest.TestCase):
    """`fleet` makes the sidecars by name; a test starts those that it needs. All of them end with the test."""

    replication_on = True  # False: the operator's file names no members
    sockets = 512
    keys = {"beat": "100ms", "election": "800ms"}  # long, as a loaded machine starves processes

    def fleet(self, voters=3, followers=2, providers=2):
        """Makes the sidecars, the stub discovery and the stub providers; `followers` is the number of observers."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.addresses = Addresses()
        self.catalog = StubDiscovery()
        self.providers = [StubServer(ok) for _ in range(providers)]
        for stub in (self.catalog, *self.providers):
            self.addCleanup(stub.close)
        self.catalog.entries = [entry(f"s{n}", p.address) for n, p in enumerate(self.providers)]
        self.voters = [f"n{n}" for n in range(voters)]
        self.seats = {name: self.unused_address() for name in self.voters}
        # By (sidecar, member): the address by which one reaches the other, if it is not the member's own.
        self.address_overrides = {}
        self.sidecars = {n: Sidecar(self, n) for n in [*self.voters, *(f"f{n}" for n in range(followers))]}
        self.addCleanup(lambda: [sidecar.kill() for sidecar in self.sidecars.values()])
        return self.sidecars

    def operator(self, name, line):
        """The answer of one sidecar to an operator's command."""
        return self.sidecars[name].call(line)

    def unused_address(self):
        """An address on which nothing listens."""
        return self.addresses.unused()

    def members_of(self, name):
        """The list of members in one sidecar's file."""
        return ", ".join(f"{n}={self.address_overrides.get((name, n), address)}" for n, address in self.seats.items())

    def start_sidecars(self, *names):
        """Starts the named sidecars, or all, and waits until they serve and know a leader."""
        chosen = [self.sidecars[name] for name in names or self.sidecars]
        for sidecar in chosen:
            sidecar.start()
        for sidecar in chosen:
            self.wait(lambda sidecar=sidecar: sidecar.ready() and self.knows_leader(sidecar), 20)
        return chosen

    def knows_leader(self, sidecar):
        """Whether the sidecar knows of a leader."""
        return sidecar.fleet_status().get("leader", "-") != "-"

    def leader(self, seconds=10):
        """The sidecar that leads."""

        def find():
            running = [s for s in self.sidecars.values() if s.program is not None]
            return [s for s in running if s.fleet_status().get("role") == "leader"]

        return self.wait(find, seconds)[0]

    def wait(self, check, seconds=20):
        """Waits until the check returns a true value, and returns that; fails with the logs of all sidecars."""
        result = eventually(check, seconds)
        if not result:
            for sidecar in self.sidecars.values():
                with suppress(OSError):
                    print(f"---- {sidecar.name}\n{sidecar.log()[-4000:]}")
            self.fail("the condition was not met in time")
        return result
