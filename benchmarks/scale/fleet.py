"""A fleet on loopback: voters and a few real sidecars as processes of the program, and processes of stub sidecars.

Each fleet has a loopback address and a folder of its own. When it is closed, it ends all of its processes by their ids.
The processes inherit the CPU affinity of their creator.
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
from multiprocessing.connection import Connection as Pipe
from multiprocessing.connection import wait
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from benchmarks.rig import ROOT, address_of
from benchmarks.scale import discovery, hollow
from benchmarks.scale.discovery import EntryChange, ListVersion
from benchmarks.scale.hollow import LIST, OVERRIDE, ChangeReached, StubPlan, StubState
from loftweir.config import operator
from loftweir.standins.addresses import Addresses
from loftweir.standins.faults import Links
from loftweir.standins.toy import SETTINGS

T = TypeVar("T")
VOTER_SOCKETS = 8192  # limit of a voter, which has a connection from each sidecar
SIDECAR_SOCKETS = 512  # limit of every other sidecar
MEMORY_MB = 256  # limit of each sidecar
START_TIMEOUT = 40.0  # s
CALL_TIMEOUT = 10.0  # s, of an operator's command
POLL_INTERVAL = 0.02  # s
# Longer than the defaults: a dozen processes share the cores, and a busy machine must not cause an election.
REPLICATION_TIMEOUTS = {"beat": "100ms", "election": "1s", "write_within": "5s"}
PLATFORM_SETTINGS: dict[str, Any] = SETTINGS | {"zone": discovery.ZONES[0], "dcs": discovery.ZONES}

_spawned = multiprocessing.get_context("spawn")  # new processes, so that they share no memory with this one


class RunFailed(Exception):
    """The fleet did not reach the expected state in time."""


class Size(NamedTuple):
    """The numbers of sidecars of a fleet, and what the stub sidecars do."""

    hollow: int  # stub sidecars
    real: int = 3
    voters: int = 3
    entries: int = 0  # of the endpoint list; 0: one for each sidecar
    cores: bool = False  # each stub sidecar has a balancer
    per_process: int = 200  # stub sidecars in one process
    regions: int = 1  # 2: the last voter and half of the processes of stub sidecars are in a far region

    @property
    def listed(self) -> int:
        """The number of entries of the endpoint list."""
        return self.entries or self.hollow + self.real + self.voters


class ChangeTimes(NamedTuple):
    """When a change had reached the stub sidecars, in seconds since the call for it."""

    number: int  # an override's index, a list's version
    size: int  # bytes of discovery's response; 0 for an override
    accepted: float  # until OK, or until discovery has it
    first: float
    last: float


class Sidecar:
    """A process of the program. Its log shows when each change was in force."""

    def __init__(self, name: str, folder: Path, listen: str, operator_address: str) -> None:
        self.name, self.folder, self.listen, self.operator_address = name, folder, listen, operator_address
        self.program: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id; the sidecar has to run."""
        assert self.program is not None
        return self.program.pid

    def start(self) -> None:
        """Starts the process."""
        environment = os.environ | {
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "LOFTWEIR_OPERATOR": str(self.folder / "loftweir.toml"),
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log").open("ab") as log:
            self.program = subprocess.Popen(
                [sys.executable, "-m", "loftweir"], env=environment, cwd=self.folder, stderr=log
            )

    def kill(self) -> None:
        """Kills the process, if it runs."""
        if self.program is not None:
            self.program.kill()
            self.program.wait()
            self.program = None

    def call(self, line: str) -> str:
        """Sends an operator's command and returns the response; empty: none."""
        host, port = self.operator_address.split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=CALL_TIMEOUT) as sock:
                sock.sendall(line.encode() + b"\n")
                return b"".join(iter(lambda: sock.recv(4096), b"")).decode().rstrip("\n")
        except OSError:
            return ""

    def status(self) -> dict[str, str]:
        """The response to FLEET by key; empty: none."""
        answer = self.call("FLEET")
        return dict(pair.split("=", 1) for pair in answer.split()[1:]) if answer.startswith("OK ") else {}

    def knows_leader(self) -> bool:
        """Whether it follows a cluster with a leader."""
        return self.status().get("leader", "-") != "-"

    def logged(self, event: str) -> dict[int, float]:
        """When each index was first logged with this event, in Unix time to a millisecond."""
        found: dict[int, float] = {}
        pattern = re.compile(rf'"event": ?"{re.escape(event)}"')
        for line in (self.folder / "log").read_text().splitlines():
            if pattern.search(line):
                record = json.loads(line)
                found.setdefault(int(record["index"]), _unix_time(record["time"]))
        return found


def _unix_time(stamp: str) -> float:
    """The time of a log record in s."""
    whole, _, rest = stamp.partition(".")
    moment = time.strptime(whole + "Z", "%Y-%m-%dT%H:%M:%SZ")
    return timegm(moment) + int(rest[:3]) / 1000


class StubProcess:
    """A process of stub sidecars, and the pipe to it."""

    def __init__(self, plan: StubPlan) -> None:
        self.plan = plan
        self.reached: dict[tuple[str, int], ChangeReached] = {}
        self.process: BaseProcess | None = None

    @property
    def pid(self) -> int:
        """The process id; the process has to run."""
        assert self.process is not None and self.process.pid is not None
        return self.process.pid

    def start(self) -> None:
        """Starts the process; its stub sidecars remember nothing of an earlier one."""
        self.reached = {}
        self.pipe, child_pipe = _spawned.Pipe()
        self.process = _spawned.Process(target=hollow.run, args=(self.plan, child_pipe), daemon=True)
        self.process.start()
        child_pipe.close()

    def kill(self) -> None:
        """Kills the process, if it runs."""
        if self.process is not None:
            self.process.kill()
            self.process.join()
            self.pipe.close()
            self.process = None

    def take(self) -> None:
        """Stores the reports that have arrived."""
        while self.pipe.poll():
            self._store(self.pipe.recv())

    def _store(self, message: ChangeReached | dict[str, StubState]) -> dict[str, StubState] | None:
        """Stores a report; returns the message if it is not a report but the response with all states."""
        if isinstance(message, ChangeReached):
            self.reached[message.kind, message.number] = message
            return None
        return message

    def states(self) -> dict[str, StubState]:
        """The state of each stub sidecar by name."""
        self.pipe.send("states")
        while True:
            states = self._store(self.pipe.recv())
            if states is not None:
                return states


class Fleet:
    """Voters (`n0`, ...), real sidecars without a vote (`r0`, ...) and stub sidecars (`h0`, ...); a context manager."""

    def __init__(self, size: Size) -> None:
        self.size = size
        self.run = int(time.time())
        self.addresses = Addresses()
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.seats = {f"n{n}": self.addresses.unused() for n in range(size.voters)}
        self.far_voter = f"n{size.voters - 1}" if size.regions > 1 else ""
        self.links = Links(self.addresses)
        # The link by which each voter is reached from the region that it is not in.
        self.region_links = {name: self.links.add(seat) for name, seat in self.seats.items()} if self.far_voter else {}
        self.members = discovery.members(size.listed)
        self.discovery_pipe, self.discovery_process, self.discovery_address = self._start_discovery()
        self.voters = {name: self._sidecar(name) for name in self.seats}
        self.followers = {name: self._sidecar(name) for name in (f"r{n}" for n in range(size.real))}
        groups = self._groups()
        self.stubs = [
            StubProcess(self._plan(names, far=size.regions > 1 and 2 * number >= len(groups)))
            for number, names in enumerate(groups)
        ]
        self.override_count = 0

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.stubs:
            process.kill()
        for sidecar in [*self.followers.values(), *self.voters.values()]:
            sidecar.kill()
        self.discovery_process.kill()
        self.discovery_process.join()
        self.links.close()
        self.temporary.cleanup()

    # ---- setup ----------------------------------------------------------------------------------

    def _start_discovery(self) -> tuple[Pipe, BaseProcess, str]:
        listener = self.addresses.listener()
        pipe, child_pipe = _spawned.Pipe()
        process = _spawned.Process(target=discovery.serve, args=(listener, self.size.listed, child_pipe), daemon=True)
        process.start()
        address = address_of(listener)
        listener.close()
        child_pipe.close()
        return pipe, process, address

    def _address_from(self, voter: str, far: bool) -> str:
        """A voter's address as seen from the far region, or from the near one."""
        is_in_other_region = (voter == self.far_voter) is not far
        return self.region_links[voter].address if self.region_links and is_in_other_region else self.seats[voter]

    def _operator_file(self, folder: Path, far: bool) -> str:
        replication = REPLICATION_TIMEOUTS | {
            "members": ", ".join(f"{name}={self._address_from(name, far)}" for name in self.seats),
            "folder": str(folder / "replication"),
            "callers": self.size.hollow + self.size.real + 64,
        }
        lines = ["[log]", 'format = "json"', 'level = "debug"', "[replication]"]
        return "\n".join([*lines, *(f"{key} = {json.dumps(value)}" for key, value in replication.items()), ""])

    def _sidecar(self, name: str) -> Sidecar:
        folder = self.folder / name
        folder.mkdir()
        sidecar = Sidecar(name, folder, self.addresses.unused(), self.addresses.unused())
        config = {
            "name": name,
            "listen": sidecar.listen,
            "discovery": self.discovery_address,
            "operator": sidecar.operator_address,
            "seed": secrets.token_hex(8),
            "limits": {
                "cores": 1.0,
                "memory_mb": MEMORY_MB,
                "sockets": VOTER_SOCKETS if name in self.seats else SIDECAR_SOCKETS,
            },
            "known": self.members.snapshot(),
            "settings": PLATFORM_SETTINGS,
        }
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "loftweir.toml").write_text(self._operator_file(folder, name == self.far_voter))
        return sidecar

    def _groups(self) -> list[list[str]]:
        names = [f"h{n}" for n in range(self.size.hollow)]
        return [names[at : at + self.size.per_process] for at in range(0, len(names), self.size.per_process)]

    def _plan(self, names: list[str], far: bool) -> StubPlan:
        file = self.folder / "hollow.toml"
        file.write_text(self._operator_file(self.folder / "none", far))
        options = operator.load(str(file), {}).options
        known = self.members.snapshot() if self.size.cores else None
        return StubPlan(names, options, self.discovery_address, PLATFORM_SETTINGS, known, far)

    # ---- start ----------------------------------------------------------------------------------

    def start(self) -> None:
        """Starts all processes, and returns when each sidecar follows a voter and has the endpoint list."""
        sidecars = [*self.voters.values(), *self.followers.values()]
        for sidecar in sidecars:
            sidecar.start()
        for sidecar in sidecars:
            self.wait(sidecar.knows_leader, f"{sidecar.name} has no leader")
        for process in self.stubs:
            process.start()
        index = self.submit_override().number
        self.wait_reached(OVERRIDE, index)
        self.wait_reached(LIST, self.members.index)

    def wait(self, check: Callable[[], T], what: str, timeout: float = START_TIMEOUT) -> T:
        """Polls until the check gives a true value, and returns it. Raises `RunFailed`."""
        until = time.monotonic() + timeout
        while not (found := check()):
            if time.monotonic() > until:
                raise RunFailed(what)
            time.sleep(POLL_INTERVAL)
        return found

    def leader(self) -> Sidecar:
        """The voter that leads."""

        def find() -> list[Sidecar]:
            running = [voter for voter in self.voters.values() if voter.program is not None]
            return [voter for voter in running if voter.status().get("role") == "leader"]

        return self.wait(find, "no leader")[0]

    # ---- changes --------------------------------------------------------------------------------

    def submit_override(self) -> ChangeTimes:
        """Sets an override by way of a voter and returns after its OK; `first` and `last` are not filled in."""
        self.override_count += 1
        sidecar = next(voter for voter in self.voters.values() if voter.program is not None)
        called_at = time.time()
        answer = sidecar.call(f"FLEET-DISABLE x{self.override_count}")
        accepted = time.time() - called_at
        if not answer.startswith("OK "):
            raise RunFailed(f"the override was rejected: {answer}")
        return ChangeTimes(int(answer.rpartition(" ")[2]), 0, accepted, 0.0, 0.0)

    def timed_override(self, among: Sequence[StubProcess] = ()) -> ChangeTimes:
        """Sets an override, and measures when the stub sidecars of all processes, or of the given ones, have it."""
        called_at = time.time()
        times = self.submit_override()
        first, last = self.wait_reached(OVERRIDE, times.number, among=among)
        return times._replace(first=first - called_at, last=last - called_at)

    def timed_list_change(self, number: int, whole: bool) -> ChangeTimes:
        """Changes one entry of the endpoint list, and measures when all stub sidecars have it."""
        name = discovery.entry_names(self.size.listed)[number % self.size.listed]
        status = "leaving" if self.members.entries[name]["status"] == "active" else "active"
        self.members.set_status(name, status)
        called_at = time.time()
        self.discovery_pipe.send(EntryChange(name, status, whole))
        changed: ListVersion = self.discovery_pipe.recv()
        first, last = self.wait_reached(LIST, changed.version)
        accepted = changed.at / 1e9 - called_at
        return ChangeTimes(changed.version, changed.size, accepted, first - called_at, last - called_at)

    def wait_reached(
        self, kind: str, index: int, timeout: float = START_TIMEOUT, among: Sequence[StubProcess] = ()
    ) -> tuple[float, float]:
        """When the first and the last stub sidecar received a change, in Unix time."""
        processes = among or self.stubs
        until = time.monotonic() + timeout
        while lacking := [p for p in processes if (kind, index) not in p.reached]:
            if time.monotonic() > until:
                raise RunFailed(f"{kind} {index} has not reached {self.lacking(kind, index)}")
            for pipe in wait([p.pipe for p in lacking], timeout=1.0):
                next(p for p in lacking if p.pipe is pipe).take()
        reached = [p.reached[kind, index] for p in processes]
        if not reached:
            return time.time(), time.time()
        return min(r.first_at for r in reached) / 1e9, max(r.last_at for r in reached) / 1e9

    def lacking(self, kind: str, index: int) -> list[str]:
        """The names of the stub sidecars that lack a change."""
        states = {name: state for process in self.stubs for name, state in process.states().items()}
        return [name for name, s in states.items() if (s.override if kind == OVERRIDE else s.version) < index]

    def received_at_real(self, kind: str, index: int) -> dict[str, float | None]:
        """When each real sidecar without a vote received a change, by its log, in Unix time; None: not yet."""
        event = "replication.words" if kind == OVERRIDE else "discovery.list"
        found: dict[str, float | None] = {}
        for name, sidecar in self.followers.items():
            times = [at for logged, at in sidecar.logged(event).items() if logged >= index]
            found[name] = min(times, default=None)
        return found

    # ---- faults ---------------------------------------------------------------------------------

    def kill_leader(self) -> Sidecar:
        """Kills the leader and returns it."""
        leader = self.leader()
        assert leader.program is not None
        leader.program.send_signal(signal.SIGKILL)
        leader.kill()
        return leader

    def stop(self, process: StubProcess) -> None:
        """Stops the process: its stub sidecars stall, with open connections, until `resume`."""
        os.kill(process.pid, signal.SIGSTOP)

    def resume(self, process: StubProcess) -> None:
        """Lets a stopped process continue."""
        os.kill(process.pid, signal.SIGCONT)

    def partition_regions(self) -> None:
        """Silently drops all traffic between the regions. Discovery stays reachable from both."""
        for link in self.region_links.values():
            link.block()

    def heal_regions(self) -> None:
        """Ends the partition."""
        for link in self.region_links.values():
            link.heal()

    # ---- processes ------------------------------------------------------------------------------

    def process_names(self) -> dict[int, str]:
        """The names of all processes that run, by pid."""
        sidecars = [*self.voters.values(), *self.followers.values()]
        names = {sidecar.pid: sidecar.name for sidecar in sidecars if sidecar.program is not None}
        stubs = {h.pid: f"hollow-{n}" for n, h in enumerate(self.stubs) if h.process is not None}
        assert self.discovery_process.pid is not None
        return names | stubs | {self.discovery_process.pid: "discovery"}

    def roles(self) -> dict[int, str]:
        """The roles of all processes that run, by pid."""
        leader = self.leader()
        roles = {v.pid: "leader" if v is leader else "voter" for v in self.voters.values() if v.program is not None}
        roles |= {f.pid: "real" for f in self.followers.values() if f.program is not None}
        roles |= {h.pid: "hollow" for h in self.stubs if h.process is not None}
        assert self.discovery_process.pid is not None
        return roles | {self.discovery_process.pid: "discovery"}
