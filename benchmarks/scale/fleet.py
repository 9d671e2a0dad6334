"""A fleet on loopback: voters and a few real sidecars as processes of the program, hollow ones beside them.

Each fleet has a loopback address and a folder of its own, and ends all of its processes, by their ids, when it is
closed. What processes share in cores is the caller's: they inherit its affinity.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import re
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from calendar import timegm
from collections.abc import Callable, Sequence
from contextlib import suppress
from multiprocessing.connection import Connection as Pipe
from multiprocessing.connection import wait
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from benchmarks.rig import ROOT, address_of
from benchmarks.scale import discovery, hollow
from benchmarks.scale.discovery import Change, Changed
from benchmarks.scale.hollow import LIST, WORD, Plan, Reached, Stand
from loftweir.config import operator
from loftweir.standins.faults import Links
from loftweir.standins.toy import SETTINGS

T = TypeVar("T")
FIRST_PORT = 10_000  # below those that the kernel gives to connections
SOCKETS_OF_A_VOTER, SOCKETS_OF_A_SIDECAR = 8192, 512
MEMORY_MB = 256
STARTED_WITHIN = 40.0  # seconds
CALL_WITHIN = 10.0
POLL_EVERY = 0.02
# Longer than the defaults: here a dozen processes share the cores, and an election would be the machine's doing.
TIMES = {"beat": "100ms", "election": "1s", "write_within": "5s"}
PLATFORM_SETTINGS: dict[str, Any] = SETTINGS | {"zone": discovery.ZONES[0], "dcs": discovery.ZONES}

_spawned = multiprocessing.get_context("spawn")  # fresh processes, so that their memory is their own


class Failed(Exception):
    """The fleet did not come to what was waited for."""


class Size(NamedTuple):
    hollow: int
    real: int = 3
    voters: int = 3
    entries: int = 0  # of discovery's list; 0: one for each sidecar
    cores: bool = False  # each hollow sidecar has a decision core
    a_process: int = 200  # hollow sidecars in one process
    regions: int = 1  # 2: the last voter and half of the processes of hollow sidecars are in a far one

    @property
    def listed(self) -> int:
        return self.entries or self.hollow + self.real + self.voters


class Spread(NamedTuple):
    """When a change had reached all. Times in seconds since the change was asked for."""

    number: int  # a word's index, a list's version
    size: int  # bytes of discovery's answer; 0 for a word
    accepted: float  # OK to the operator, or discovery has it
    first: float
    last: float


class Sidecar:
    """A process of the program. Its log tells when what was in force."""

    def __init__(self, name: str, folder: Path, listen: str, operators: str) -> None:
        self.name, self.folder, self.listen, self.operators = name, folder, listen, operators
        self.program: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        assert self.program is not None
        return self.program.pid

    def start(self) -> None:
        environment = os.environ | {
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "LOFTWEIR_OPERATOR": str(self.folder / "loftweir.toml"),
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log").open("ab") as errors:
            self.program = subprocess.Popen(
                [sys.executable, "-m", "loftweir"], env=environment, cwd=self.folder, stderr=errors
            )

    def kill(self) -> None:
        if self.program is not None:
            self.program.kill()
            self.program.wait()
            self.program = None

    def call(self, line: str) -> str:
        """An operator's call, and its answer; empty: none."""
        host, port = self.operators.split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=CALL_WITHIN) as sock:
                sock.sendall(line.encode() + b"\n")
                return b"".join(iter(lambda: sock.recv(4096), b"")).decode().rstrip("\n")
        except OSError:
            return ""

    def stands(self) -> dict[str, str]:
        answer = self.call("FLEET")
        return dict(pair.split("=", 1) for pair in answer.split()[1:]) if answer.startswith("OK ") else {}

    def knows_leader(self) -> bool:
        return self.stands().get("leader", "-") != "-"

    def logged(self, event: str) -> dict[int, float]:
        """When (Unix time, to a millisecond) each index was logged first."""
        found: dict[int, float] = {}
        pattern = re.compile(rf'"event": ?"{re.escape(event)}"')
        for line in (self.folder / "log").read_text().splitlines():
            if pattern.search(line):
                record = json.loads(line)
                found.setdefault(int(record["index"]), _unix(record["time"]))
        return found


def _unix(stamp: str) -> float:
    whole, _, rest = stamp.partition(".")
    moment = time.strptime(whole + "Z", "%Y-%m-%dT%H:%M:%SZ")
    return timegm(moment) + int(rest[:3]) / 1000


class HollowProcess:
    """A process of hollow sidecars, and the pipe to it."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.reached: dict[tuple[str, int], Reached] = {}
        self.process: BaseProcess | None = None

    @property
    def pid(self) -> int:
        assert self.process is not None and self.process.pid is not None
        return self.process.pid

    def start(self) -> None:
        self.reached = {}
        self.pipe, theirs = _spawned.Pipe()
        self.process = _spawned.Process(target=hollow.run, args=(self.plan, theirs), daemon=True)
        self.process.start()
        theirs.close()

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.join()
            self.pipe.close()
            self.process = None

    def take(self) -> None:
        """What it has said by now."""
        while self.pipe.poll():
            self._took(self.pipe.recv())

    def _took(self, said: Reached | dict[str, Stand]) -> dict[str, Stand] | None:
        if isinstance(said, Reached):
            self.reached[said.kind, said.number] = said
            return None
        return said

    def stands(self) -> dict[str, Stand]:
        self.pipe.send("stands")
        while True:
            stands = self._took(self.pipe.recv())
            if stands is not None:
                return stands


class Fleet:
    def __init__(self, size: Size) -> None:
        self.size = size
        self.run = int(time.time())
        self.host = f"127.{1 + secrets.randbelow(250)}.{secrets.randbelow(250)}.{1 + secrets.randbelow(250)}"
        self.port = FIRST_PORT
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.seats = {f"n{n}": self._free_address() for n in range(size.voters)}
        self.far_voter = f"n{size.voters - 1}" if size.regions > 1 else ""
        self.links = Links(self.host)
        # Where each voter is reached from the region that it is not in.
        self.across = {name: self.links.add(seat) for name, seat in self.seats.items()} if self.far_voter else {}
        self.members = discovery.members(size.listed)
        self.discovery_pipe, self.discovery_process, self.discovery_address = self._start_discovery()
        self.voters = {name: self._sidecar(name) for name in self.seats}
        self.followers = {name: self._sidecar(name) for name in (f"r{n}" for n in range(size.real))}
        groups = self._groups()
        self.hollows = [
            HollowProcess(self._plan(names, far=size.regions > 1 and 2 * number >= len(groups)))
            for number, names in enumerate(groups)
        ]
        self.words_said = 0

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.hollows:
            process.kill()
        for sidecar in [*self.followers.values(), *self.voters.values()]:
            sidecar.kill()
        self.discovery_process.kill()
        self.discovery_process.join()
        self.links.close()
        self.temporary.cleanup()

    # ---- making ---------------------------------------------------------------------------------

    def _free_address(self) -> str:
        while True:
            self.port += 1
            with suppress(OSError), socket.socket() as sock:
                sock.bind((self.host, self.port))
                return f"{self.host}:{self.port}"

    def _start_discovery(self) -> tuple[Pipe, BaseProcess, str]:
        host, port = self._free_address().split(":")
        listener = socket.create_server((host, int(port)))
        ours, theirs = _spawned.Pipe()
        process = _spawned.Process(target=discovery.serve, args=(listener, self.size.listed, theirs), daemon=True)
        process.start()
        address = address_of(listener)
        listener.close()
        theirs.close()
        return ours, process, address

    def _reached_at(self, voter: str, far: bool) -> str:
        """A voter's address for who is, or is not, in the far region."""
        return self.across[voter].address if self.across and (voter == self.far_voter) is not far else self.seats[voter]

    def _operator_file(self, folder: Path, far: bool) -> str:
        replication = TIMES | {
            "members": ", ".join(f"{name}={self._reached_at(name, far)}" for name in self.seats),
            "folder": str(folder / "replication"),
            "callers": self.size.hollow + self.size.real + 64,
        }
        lines = ["[log]", 'format = "json"', 'level = "debug"', "[replication]"]
        return "\n".join([*lines, *(f"{key} = {json.dumps(value)}" for key, value in replication.items()), ""])

    def _sidecar(self, name: str) -> Sidecar:
        folder = self.folder / name
        folder.mkdir()
        sidecar = Sidecar(name, folder, self._free_address(), self._free_address())
        config = {
            "name": name,
            "listen": sidecar.listen,
            "discovery": self.discovery_address,
            "operator": sidecar.operators,
            "seed": secrets.token_hex(8),
            "limits": {
                "cores": 1.0,
                "memory_mb": MEMORY_MB,
                "sockets": SOCKETS_OF_A_VOTER if name in self.seats else SOCKETS_OF_A_SIDECAR,
            },
            "known": self.members.snapshot(),
            "settings": PLATFORM_SETTINGS,
        }
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "loftweir.toml").write_text(self._operator_file(folder, name == self.far_voter))
        return sidecar

    def _groups(self) -> list[list[str]]:
        names = [f"h{n}" for n in range(self.size.hollow)]
        return [names[at : at + self.size.a_process] for at in range(0, len(names), self.size.a_process)]

    def _plan(self, names: list[str], far: bool) -> Plan:
        file = self.folder / "hollow.toml"
        file.write_text(self._operator_file(self.folder / "none", far))
        options = operator.load(str(file), {}).options
        known = self.members.snapshot() if self.size.cores else None
        return Plan(names, options, self.discovery_address, PLATFORM_SETTINGS, known, far)

    # ---- beginning ------------------------------------------------------------------------------

    def begin(self) -> None:
        """Starts all, and returns once each follows a voter and has discovery's list."""
        sidecars = [*self.voters.values(), *self.followers.values()]
        for sidecar in sidecars:
            sidecar.start()
        for sidecar in sidecars:
            self.wait(sidecar.knows_leader, f"{sidecar.name} has no leader")
        for process in self.hollows:
            process.start()
        index = self.say_word().number
        self.wait_reached(WORD, index)
        self.wait_reached(LIST, self.members.index)

    def wait(self, check: Callable[[], T], what: str, within: float = STARTED_WITHIN) -> T:
        until = time.monotonic() + within
        while not (found := check()):
            if time.monotonic() > until:
                raise Failed(what)
            time.sleep(POLL_EVERY)
        return found

    def leader(self) -> Sidecar:
        def find() -> list[Sidecar]:
            running = [voter for voter in self.voters.values() if voter.program is not None]
            return [voter for voter in running if voter.stands().get("role") == "leader"]

        return self.wait(find, "no leader")[0]

    # ---- changes --------------------------------------------------------------------------------

    def say_word(self) -> Spread:
        """A word to the fleet by way of a voter; it has been promised when this returns, and `last` is still open."""
        self.words_said += 1
        sidecar = next(voter for voter in self.voters.values() if voter.program is not None)
        asked_at = time.time()
        answer = sidecar.call(f"FLEET-DISABLE x{self.words_said}")
        accepted = time.time() - asked_at
        if not answer.startswith("OK "):
            raise Failed(f"the word was not taken: {answer}")
        return Spread(int(answer.rpartition(" ")[2]), 0, accepted, 0.0, 0.0)

    def word(self, among: Sequence[HollowProcess] = ()) -> Spread:
        """A word to the fleet, and when all hollow sidecars, or those named, had it."""
        asked_at = time.time()
        said = self.say_word()
        first, last = self.wait_reached(WORD, said.number, among=among)
        return said._replace(first=first - asked_at, last=last - asked_at)

    def list_change(self, number: int, whole: bool) -> Spread:
        """A change of discovery's list, and when all hollow sidecars had it."""
        name = discovery.entry_names(self.size.listed)[number % self.size.listed]
        status = "leaving" if self.members.entries[name]["status"] == "active" else "active"
        self.members.set_status(name, status)
        asked_at = time.time()
        self.discovery_pipe.send(Change(name, status, whole))
        changed: Changed = self.discovery_pipe.recv()
        first, last = self.wait_reached(LIST, changed.version)
        return Spread(changed.version, changed.size, changed.at / 1e9 - asked_at, first - asked_at, last - asked_at)

    def wait_reached(
        self, kind: str, index: int, within: float = STARTED_WITHIN, among: Sequence[HollowProcess] = ()
    ) -> tuple[float, float]:
        """When (Unix time) the first and the last hollow sidecar had a change."""
        processes = among or self.hollows
        until = time.monotonic() + within
        while lacking := [p for p in processes if (kind, index) not in p.reached]:
            if time.monotonic() > until:
                raise Failed(f"{kind} {index} has not reached {self.lacking(kind, index)}")
            for pipe in wait([p.pipe for p in lacking], timeout=1.0):
                next(p for p in lacking if p.pipe is pipe).take()
        reached = [p.reached[kind, index] for p in processes]
        if not reached:
            return time.time(), time.time()
        return min(r.first_at for r in reached) / 1e9, max(r.last_at for r in reached) / 1e9

    def lacking(self, kind: str, index: int) -> list[str]:
        """Names of the hollow sidecars that do not have a change."""
        stands = {name: stand for process in self.hollows for name, stand in process.stands().items()}
        return [name for name, s in stands.items() if (s.word if kind == WORD else s.version) < index]

    def in_force_at_real(self, kind: str, index: int) -> dict[str, float | None]:
        """When (Unix time) each real sidecar that follows had a change, by its log."""
        event = "replication.words" if kind == WORD else "discovery.list"
        found: dict[str, float | None] = {}
        for name, sidecar in self.followers.items():
            times = [at for logged, at in sidecar.logged(event).items() if logged >= index]
            found[name] = min(times, default=None)
        return found

    # ---- faults ---------------------------------------------------------------------------------

    def kill_leader(self) -> Sidecar:
        leader = self.leader()
        assert leader.program is not None
        leader.program.send_signal(signal.SIGKILL)
        leader.kill()
        return leader

    def stop(self, process: HollowProcess) -> None:
        """Its hollow sidecars stall, with their connections open, until `go_on`."""
        os.kill(process.pid, signal.SIGSTOP)

    def go_on(self, process: HollowProcess) -> None:
        os.kill(process.pid, signal.SIGCONT)

    def part_regions(self) -> None:
        """Nothing passes between the regions, and nobody is told. Discovery is reached from both."""
        for link in self.across.values():
            link.block()

    def join_regions(self) -> None:
        for link in self.across.values():
            link.heal()

    # ---- processes ------------------------------------------------------------------------------

    def process_names(self) -> dict[int, str]:
        """Of all processes that run, by pid."""
        sidecars = [*self.voters.values(), *self.followers.values()]
        names = {sidecar.pid: sidecar.name for sidecar in sidecars if sidecar.program is not None}
        hollows = {h.pid: f"hollow-{n}" for n, h in enumerate(self.hollows) if h.process is not None}
        assert self.discovery_process.pid is not None
        return names | hollows | {self.discovery_process.pid: "discovery"}

    def roles(self) -> dict[int, str]:
        """Of all processes that run, by pid."""
        leader = self.leader()
        roles = {v.pid: "leader" if v is leader else "voter" for v in self.voters.values() if v.program is not None}
        roles |= {f.pid: "real" for f in self.followers.values() if f.program is not None}
        roles |= {h.pid: "hollow" for h in self.hollows if h.process is not None}
        assert self.discovery_process.pid is not None
        return roles | {self.discovery_process.pid: "discovery"}
