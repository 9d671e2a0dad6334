"""Checks whether the library pysyncobj could be the engine of the replicated state, one property a check.

    python -m benchmarks.engine_trial [--only abcdef]        (about 100 s)

It needs `pip install pysyncobj==0.3.17 cryptography` (exit code 2 if pysyncobj is missing); nothing else in this tree
does. The library is observed from outside: by its public names, by wrapped calls to the operating system in the
members' processes, and by the traffic through a relay between them. Members, relays and stub peers are on loopback and
end with the command. Temporary files must be on a real disk. The findings are in docs/design/replication-engine.md.
"""

from __future__ import annotations

import argparse
import json
import mmap
import os
import pickle
import resource
import select
import shutil
import socket
import statistics
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from contextlib import ExitStack, suppress
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

from loftweir.standins.addresses import Addresses

ROOT = Path(__file__).parent.parent
TESTED_VERSION = "0.3.17"  # of pysyncobj
# Configurations of the library; times in s.
FAST_ELECTIONS = {"raftMinTimeout": 0.4, "raftMaxTimeout": 0.8, "connectionRetryTime": 0.2}
NO_ELECTIONS = {"raftMinTimeout": 60.0, "raftMaxTimeout": 61.0, "connectionTimeout": 70.0}  # never becomes a candidate
SYNC_CALLS = ("fsync", "fdatasync", "msync")
ADDRESSES = Addresses()
RESOURCES = ExitStack()  # everything that a check has started; `main` closes it after the check
Findings = Iterator[tuple[str, bool, str]]  # the property, whether the library has it, and the evidence


# ---- a member in a process of its own: one command a line on stdin, one response a line on stdout


def run_member(options: dict[str, Any]) -> None:
    """Runs one member until stdin is closed."""
    counts: Counter[str] = Counter()
    failing_calls: set[str] = set()
    slowest, tick = 0.0, options.get("tick")

    def wrapped(name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any) -> Any:
            counts[name] += 1
            if name in failing_calls:
                raise OSError(28, f"{name}: no space left (injected)")
            return real(*args)

        return call

    mmap.mmap = type("Map", (mmap.mmap,), {"flush": wrapped("msync", mmap.mmap.flush)})  # type: ignore[misc]
    for name in ("fsync", "fdatasync", "fork"):
        setattr(os, name, wrapped(name, getattr(os, name)))
    import pysyncobj  # imported here, so that it uses the wrapped calls
    from pysyncobj.journal import FileJournal
    from pysyncobj.transport import TCPTransport

    class Counted(TCPTransport):  # type: ignore[misc]
        def send(self, node: Any, message: Any) -> Any:
            counts["own transport"] += 1
            if options.get("wrapped"):  # nothing is sent before the journal is on disk
                fd = os.open(options["conf"]["journalFile"], os.O_RDONLY)
                try:
                    os.fsync(fd)
                finally:
                    os.close(fd)
            return super().send(node, message)

        def setOnMessageReceivedCallback(self, callback: Any) -> None:  # noqa: N802 (the library's name)
            def strict(*args: Any) -> None:
                try:
                    callback(*args)
                except OSError:  # a half-processed message: exit, and lose what the journal has not stored
                    os._exit(3)

            super().setOnMessageReceivedCallback(strict if options.get("wrapped") and callback else callback)

    class State(pysyncobj.SyncObj):  # type: ignore[misc]
        def __init__(self) -> None:
            conf = dict(options["conf"], autoTick=not tick)
            if options.get("own_serializer"):
                conf["serializer"] = lambda name, data: counts.update(["own serializer"])
                conf["deserializer"] = lambda name: ()
            made = pysyncobj.SyncObjConf(**conf)
            super().__init__(options["me"], options["others"], made, transportClass=Counted)
            self.kept: dict[str, Any] = {}  # attributes that are set after __init__ are part of its snapshots

        @pysyncobj.replicated
        def put(self, key: str, value: Any) -> str:
            self.kept[key] = value
            return "OK"

        @pysyncobj.replicated
        def add(self, key: str) -> int:
            self.kept[key] = self.kept.get(key, 0) + 1
            return int(self.kept[key])

    state = State()
    poll = select.epoll()
    poll.register(0, select.EPOLLIN)

    def run_loop_once() -> bool:
        """One turn of a loop like the sidecar's: waits for its own events, then calls the library's tick."""
        nonlocal slowest
        ready = bool(poll.poll(tick or 1))
        if tick:
            start = time.monotonic()
            state.doTick(0)
            slowest = max(slowest, time.monotonic() - start)
        return ready

    def call(method: str, args: list[Any], timeout: float = 5) -> tuple[str, float]:
        done: list[Any] = []
        finished, start = threading.Event(), time.monotonic()

        def on_result(value: Any, why: int) -> None:
            done.append((str(value) if why == 0 else f"failed {why}", time.monotonic() - start))
            finished.set()

        getattr(state, method)(*args, callback=on_result)
        while not done and time.monotonic() < start + timeout:
            run_loop_once() if tick else finished.wait(timeout)
        return done[0] if done else ("unknown", timeout)

    answers: dict[str, Callable[..., Any]] = {
        "call": call,
        "calls": lambda number: [call("put", [f"k{n}", n]) for n in range(number)],
        # Does not wait for the result.
        "join": lambda name: state.addNodeToCluster(name, callback=lambda value, why: None),
        "seen": lambda: dict(counts),
        "break": lambda *names: failing_calls.update(names),
        "limit": lambda size: resource.setrlimit(resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY)),
        "status": lambda: {key: str(value) for key, value in state.getStatus().items()},
        "kept": lambda key: state.kept.get(key),
        "compact": state.forceLogCompaction,
        # The library's own flush, to check that the wrappers count it.
        "control": lambda path: FileJournal(path).flush(),
        "cost": lambda: (
            f"longest tick {slowest * 1e3:.1f} ms, {threading.active_count()} threads, "
            + "".join(kind for value in vars(state).values() if (kind := type(value).__name__).endswith("Poller"))
        ),
    }
    while True:
        if run_loop_once():
            if not (line := sys.stdin.readline()):
                os._exit(0)
            what, *args = json.loads(line)
            print(json.dumps(answers[what](*args)), flush=True)


class Member:
    """A member's process, and the pipes to it."""

    def __init__(self, **options: Any) -> None:
        command = [sys.executable, "-W", "ignore", "-m", "benchmarks.engine_trial", "member", json.dumps(options)]
        pipe, null = subprocess.PIPE, subprocess.DEVNULL
        self.process = subprocess.Popen(command, cwd=ROOT, stdin=pipe, stdout=pipe, stderr=null, text=True)
        RESOURCES.callback(self.kill)

    def ask(self, *question: Any) -> Any:
        """The member's response, or None if its process has ended."""
        with suppress(BrokenPipeError):
            print(json.dumps(question), file=self.process.stdin, flush=True)
        line = self.process.stdout.readline()  # type: ignore[union-attr]
        return json.loads(line) if line else None

    def put(self, key: str, value: Any) -> str:
        """The outcome of one write, "OK" if it succeeded."""
        return str(self.ask("call", "put", [key, value])[0])

    def put_until_ok(self, key: str, value: Any) -> bool:
        """Retries a write up to five times until it is OK, as it may fail just after an election."""
        return any(self.put(key, value) == "OK" for _ in range(5))

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.process.kill()
        self.process.wait()

    def cpu(self) -> float:
        """Seconds of CPU time so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# ---- the wire format: a length of four bytes, then a pickle compressed with zlib (seen on the relay)


def frame(message: Any) -> bytes:
    """A message as it is sent."""
    packed = zlib.compress(pickle.dumps(message, 2))
    return struct.pack("<I", len(packed)) + packed


def frames(data: bytes) -> Iterator[Any]:
    """The messages of all complete frames."""
    while len(data) >= 4 and len(data) >= 4 + (size := struct.unpack("<I", data[:4])[0]):
        yield pickle.loads(zlib.decompress(data[4 : 4 + size]))  # only data of this trial's own members
        data = data[4 + size :]


def temporary_folder() -> Path:
    """A folder that is deleted after the check."""
    return Path(RESOURCES.enter_context(tempfile.TemporaryDirectory(ignore_cleanup_errors=True)))


def free_address() -> tuple[str, int]:
    """An unused address."""
    host, port = ADDRESSES.unused().split(":")
    return host, int(port)


class Fleet:
    """Members, each behind a relay.

    A relay learns from the first frame who connects, can block a direction, and records all traffic.
    """

    def __init__(self, number: int, max_members: int = 0, options: dict[str, Any] | None = None, **conf: Any) -> None:
        self.blocked: set[tuple[int, int]] = set()
        self.passed: dict[tuple[int, int], bytearray] = defaultdict(bytearray)
        self.folder, self.number = temporary_folder(), number
        self.options, self.conf = options or {}, {**FAST_ELECTIONS, **conf}
        self.relays = [socket.create_server((f"127.0.0.{11 + n}", 0)) for n in range(max(max_members, number))]
        self.names = ["{}:{}".format(*relay.getsockname()) for relay in self.relays]
        self.member_addresses = [free_address() for _ in self.relays]
        self.members: dict[int, Member] = {}
        for n, relay in enumerate(self.relays):
            RESOURCES.callback(relay.close)
            threading.Thread(target=self.accept, args=(n,), daemon=True).start()
        self.start(*range(number))

    def start(self, *numbers: int) -> None:
        """Starts these members, after killing those that run."""
        for n in numbers:
            if n in self.members:
                self.members[n].kill()
        for n in numbers:
            home = self.folder / str(n)
            home.mkdir(exist_ok=True)
            files = {"journalFile": str(home / "journal"), "fullDumpFile": str(home / "dump")}
            conf = {"bindAddress": "{}:{}".format(*self.member_addresses[n]), **files, **self.conf}
            others = [name for name in self.names[: max(self.number, n + 1)] if name != self.names[n]]
            self.members[n] = Member(me=self.names[n], others=others, conf=conf, **self.options)

    def leader(self, *among: int) -> int:
        """The number of the member that the given ones, or all, name as leader."""
        for _ in range(250):
            statuses = [self.members[n].ask("status") for n in among or self.members]
            leaders = {status["leader"] if int(status["commit_idx"]) > 1 else "none" for status in statuses}
            if len(leaders) == 1 and (name := leaders.pop()) in self.names:
                return self.names.index(name)
            time.sleep(0.05)
        raise TimeoutError("no leader")

    def partition(self, *isolated: int) -> None:
        """Blocks all traffic between these members and the others."""
        every = range(len(self.relays))
        self.blocked |= {(m, n) for m in every for n in every if (m in isolated) != (n in isolated)}

    def kept(self, key: str, *among: int) -> list[Any]:
        """The value that each of the given members, or each of all, has stored."""
        return [self.members[n].ask("kept", key) for n in among or self.members]

    def accept(self, to: int) -> None:
        """Accepts connections for a member, each served by a thread."""
        with suppress(OSError):
            while True:
                threading.Thread(target=self.join, args=(self.relays[to].accept()[0], to), daemon=True).start()

    def join(self, near: socket.socket, to: int) -> None:
        """Relays one connection until it ends."""
        with near, suppress(OSError), socket.create_connection(self.member_addresses[to]) as far:
            first = near.recv(65536)
            dialer = next((n for n, name in enumerate(self.names) if name in list(frames(first))), -1)
            far.sendall(first)
            back = threading.Thread(target=self.pump, args=(far, near, (to, dialer)), daemon=True)
            back.start()
            self.pump(near, far, (dialer, to))
            back.join()

    def pump(self, reads: socket.socket, writes: socket.socket, direction: tuple[int, int]) -> None:
        """Copies and records one direction, while it is not blocked."""
        with suppress(OSError):
            while True:
                if direction in self.blocked or not select.select([reads], [], [], 0.02)[0]:
                    time.sleep(0.001)
                elif data := reads.recv(1 << 20):
                    self.passed[direction] += data
                    writes.sendall(data)
                else:
                    break
        for end in (reads, writes):
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)


PEERS = ["127.0.0.91:1", "127.0.0.92:1"]  # greater than the member's name, so that the peers connect to it


def start_lone_member(to: tuple[str, int], own_serializer: bool = False, **conf: Any) -> Member:
    """A member whose two peers are stubs."""
    return Member(me="{}:{}".format(*to), others=PEERS, conf={**NO_ELECTIONS, **conf}, own_serializer=own_serializer)


def connect_as_peer(name: Any, to: tuple[str, int]) -> socket.socket:
    """The connection of a stub peer, opened as soon as the member listens."""
    for _ in range(250):
        with suppress(ConnectionRefusedError):
            sock = socket.create_connection(to)
            RESOURCES.callback(sock.close)
            sock.sendall(frame(name))
            time.sleep(0.1)
            return sock
        time.sleep(0.02)
    raise TimeoutError("the member does not listen")


def votes(sock: socket.socket, term: int) -> bool:
    """Whether the member grants its vote in this term to the peer of this socket."""
    sock.sendall(frame({"type": "request_vote", "term": term, "last_log_index": 1, "last_log_term": 0}))
    received = b""
    while select.select([sock], [], [], 0.5)[0] and (data := sock.recv(65536)):
        received += data
    return {"type": "response_vote", "term": term} in list(frames(received))


# ---- the checks: the docstring is the printed title


def a_stored() -> Findings:
    """Stored on a majority before OK"""
    for options in ({}, {"wrapped": True}):
        label = "a transport of ours that syncs and ends at errors: " if options else ""
        fleet = Fleet(3, options=options)
        leader, members = fleet.leader(), fleet.members
        before = [sum(m.ask("seen").get(name, 0) for name in SYNC_CALLS) for m in members.values()]
        results = [members[n].put(f"a{n}", n) for n in members]
        after = [sum(m.ask("seen").get(name, 0) for name in SYNC_CALLS) for m in members.values()]
        calls = [late - early for early, late in zip(before, after, strict=True)]
        msyncs = members[0].ask("seen").get("msync", 0)
        members[0].ask("control", str(fleet.folder / "control"))
        control = members[0].ask("seen").get("msync", 0) - msyncs
        yield (
            f"{label}synced before OK",
            sum(map(bool, calls)) > 1,
            f"{results}; calls of {'+'.join(SYNC_CALLS)} {calls}; a flush that the trial called is counted {control}",
        )
        for each in members.values():
            each.ask("break", *SYNC_CALLS)
        ok = members[leader].put("b", 1)
        yield f"{label}no OK where every sync raises", ok != "OK", f"the caller got {ok}"
        fleet.start(0, 1, 2)
        fleet.leader()
        time.sleep(0.5)
        kept = fleet.kept("a0")
        yield f"{label}kept over SIGKILL of all", kept == [0, 0, 0], f"read back {kept}"
        fleet = Fleet(3, options=options)
        leader = fleet.leader()
        others = [n for n in range(3) if n != leader]
        for n in others:
            fleet.members[n].ask("limit", 1100)
        ok = fleet.members[leader].put("full", "much" * 750)
        fleet.members[leader].kill()
        fleet.start(*others)
        fleet.leader(*others)
        time.sleep(0.5)
        kept = fleet.kept("full", *others)
        yield (
            f"{label}no OK where two of three disks are full",
            ok != "OK" or any(kept),
            f"{ok}; both started again: {kept}",
        )


def b_vote() -> Findings:
    """Term and vote kept"""
    for files in ({}, {"journalFile": str(temporary_folder() / "journal")}):
        to = free_address()
        first = start_lone_member(to, **files)
        granted = votes(connect_as_peer(PEERS[0], to), 5)
        first.kill()
        again = start_lone_member(to, **files)
        other, term = connect_as_peer(PEERS[1], to), again.ask("status")["raft_term"]
        twice, later = votes(other, 5), votes(other, 6)
        yield (
            f"vote kept over SIGKILL with {[*files] or 'no file'}",
            granted and later and not twice,
            f"voted in term 5: {granted}; started with term {term}; in 5 for another: {twice}, in 6: {later}",
        )
    again.ask("limit", 0)
    full = votes(other, 7)
    yield "no vote where it can't be stored", not full, f"disk full, voted in 7: {full}"
    again.kill()
    Path(files["journalFile"] + ".meta").write_bytes(b"")
    term = (start_lone_member(to, **files).ask("status") or {}).get("raft_term", "none")
    yield "an emptied vote file is found out", term == "none", f"started with term {term}"


def c_wiped() -> Findings:
    """A wiped disk"""
    fleet = Fleet(3)
    fleet.leader()
    fleet.members[2].kill()
    fleet.leader(0, 1)
    ok = fleet.members[0].put_until_ok("first", 1)
    fleet.partition(0)  # unreachable, with its disk intact
    fleet.members[1].kill()
    shutil.rmtree(fleet.folder / "1")
    fleet.start(1, 2)
    try:
        fleet.leader(1, 2)
    except TimeoutError:
        return (yield "a wiped member does not count", True, "no leader among the wiped and the stale member")
    second = fleet.members[2].put_until_ok("second", 2)
    fleet.blocked.clear()
    fleet.leader()
    time.sleep(1)
    healed = fleet.kept("first"), fleet.kept("second")
    fleet.start(0, 1, 2)
    fleet.leader()
    time.sleep(1)
    started = fleet.kept("first"), fleet.kept("second")
    logs = [fleet.members[n].ask("status")["log_len"] for n in range(3)]
    yield (
        "an acknowledged write outlives one wiped disk",
        healed == started == ([1] * 3, [2] * 3),
        f"first write OK {ok}; then the wiped and the stale member elect and say OK {second} to a second; the two on "
        f"the three members, healed: {healed}, all started again: {started}, lengths of the logs {logs}",
    )


class CraftedPickle:
    """An object whose pickle makes a folder when it is loaded."""

    def __init__(self, path: Path) -> None:
        self.path = str(path)

    def __reduce__(self) -> Any:
        return os.mkdir, (self.path,)


def d_wire() -> Findings:
    """What travels"""
    for conf in ({"password": "a shared secret"}, {}):
        to, home = free_address(), temporary_folder()
        running = start_lone_member(to, own_serializer=True, fullDumpFile=str(home / "dump"), **conf)
        connect_as_peer(CraftedPickle(home / "made"), to)  # in place of the peer's name
        time.sleep(0.5)
        made, alive = (home / "made").exists(), running.ask("status") is not None
        yield (
            f"a stranger's pickle is not loaded, {[*conf] or 'as configured at first'}",
            not made and alive,
            f"the folder it makes is there: {made}; the member answers: {alive}",
        )
    entry = {"commit_index": 2, "entries": [(b"\0" + pickle.dumps(CraftedPickle(home / "within"), 2), 2, 9)]}
    connect_as_peer(PEERS[0], to).sendall(
        frame({"type": "append_entries", "term": 9, "prevLogIdx": 1, "prevLogTerm": 0, **entry})
    )
    time.sleep(0.5)
    made = (home / "within").exists()
    yield "a command in the log is not loaded as a pickle", not made, f"the folder it makes is there: {made}"
    fleet = Fleet(3, options={"own_serializer": True})
    leader = fleet.members[fleet.leader()]
    leader.put("k", "v")
    leader.ask("compact")
    time.sleep(0.5)
    sent, counts = [m for data in fleet.passed.values() for m in frames(bytes(data))], leader.ask("seen")
    yield (
        "conf's serializer replaces the wire's",
        not sent,
        f"it was called for {counts.get('own serializer', 0)} snapshot; all {len(sent)} messages were pickles",
    )
    count = counts.get("own transport", 0)
    yield "transportClass puts a transport of ours in its place", count > 0, f"{count} messages went through it"


IMPORT = """
import sys, time, os
sys.modules.update(dict.fromkeys(sys.argv[1:]))
rss = lambda: int(open("/proc/self/statm").read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
start, before = time.monotonic(), rss()
import pysyncobj
print((time.monotonic() - start) * 1e3, rss() - before)
"""


def e_loop() -> Findings:
    """Beside an epoll loop"""
    for hidden in ([], ["cryptography"]):
        command = [sys.executable, "-W", "ignore", "-c", IMPORT, *hidden]
        runs = [subprocess.run(command, capture_output=True, check=True).stdout.split() for _ in range(5)]
        took, grew = (statistics.median(float(run[n]) for run in runs) for n in (0, 1))
        name = f"import {'without' if hidden else 'with'} cryptography under 150 ms and 10 MB"
        yield name, took < 150 and grew < 10, f"{took:.0f} ms, {grew:.1f} MB"
    batch, frequent = {"appendEntriesUseBatch": False}, {"appendEntriesPeriod": 0.01}
    for tick, conf in ((0, {}), (0, batch), (0.001, {}), (0.01, {}), (0.05, {}), (0.01, batch), (0.001, frequent)):
        RESOURCES.close()
        fleet = Fleet(3, options={"tick": tick}, **conf)
        leader, members = fleet.leader(), fleet.members.values()
        before = sum(m.cpu() for m in members)
        time.sleep(2)
        idle = (sum(m.cpu() for m in members) - before) / 6
        here, there = (
            statistics.median(took for _, took in fleet.members[n].ask("calls", 11)) * 1e3
            for n in (leader, (leader + 1) % 3)
        )
        label = (f"doTick each {tick * 1e3:.0f} ms" if tick else "its own thread") + (f" {conf}" if conf else "")
        yield (
            f"{label}: a write under 150 ms, idle under 3%",
            max(here, there) < 150 and idle < 0.03,
            f"at the leader {here:.0f} ms, at another {there:.0f} ms, idle {idle:.1%} of a core a member, "
            f"{fleet.members[leader].ask('cost')}",
        )


def f_rest() -> Findings:
    """Membership, snapshots, reads, sessions"""
    fleet = Fleet(3, max_members=5, dynamicMembershipChange=True)
    leader = fleet.leader()
    first, old = fleet.members[leader], [n for n in range(3) if n != leader]
    fleet.partition(*old)
    fleet.start(3, 4)
    first.ask("join", fleet.names[3])
    time.sleep(0.6)
    between = first.ask("status")
    waiting = int(between["log_len"]) - int(between["commit_idx"])
    first.ask("join", fleet.names[4])
    time.sleep(0.6)
    peers = first.ask("status")["partner_nodes_count"]
    fleet.leader(*old)
    sides = first.put_until_ok("k", "one"), fleet.members[old[0]].put_until_ok("k", "other")
    yield (
        "a second change of members waits for the first",
        waiting == 1 and peers == "3",
        f"taken with {waiting} uncommitted, {peers} peers; then OK on both sides of a partition: {sides}",
    )
    fleet = Fleet(3, logCompactionBatchSize=16384)
    leader = fleet.leader()
    late = (leader + 1) % 3
    fleet.members[late].kill()
    for n in range(40):
        fleet.members[leader].put(f"k{n}", os.urandom(5000).hex())
    fleet.members[leader].ask("compact")
    time.sleep(1)
    fleet.passed.clear()
    fleet.start(late)
    fleet.leader()
    time.sleep(1)
    sent = [m for m in frames(bytes(fleet.passed[leader, late])) if isinstance(m, dict) and m.get("serialized")]
    whole, forks = len(fleet.kept("k0", late)[0] or "") == 10000, fleet.members[leader].ask("seen").get("fork", 0)
    yield (
        "a snapshot goes in pieces",
        whole and len(sent) > 5,
        f"{len(sent)} pieces of at most 16384 bytes, whole on arrival: {whole}; made in {forks} fork of the process",
    )
    fleet = Fleet(3)
    leader = fleet.leader()
    others = [n for n in range(3) if n != leader]
    fleet.members[leader].put_until_ok("k", "old")
    fleet.partition(leader)
    fleet.leader(*others)
    fleet.members[others[0]].put_until_ok("k", "new")
    status, read = fleet.members[leader].ask("status"), fleet.kept("k", leader)[0]
    yield (
        "a replaced leader does not answer reads",
        read != "old" or status["has_quorum"] == "False",
        f"it reads {read!r}, leader in its own eyes: {status['state'] == '2'}, has_quorum {status['has_quorum']}",
    )
    fleet = Fleet(3, raftMinTimeout=2.0, raftMaxTimeout=3.0)
    leader = fleet.leader()
    other = fleet.members[(leader + 1) % 3]
    other.ask("call", "add", ["n"])
    fleet.blocked.add((leader, (leader + 1) % 3))
    first_try = other.ask("call", "add", ["n"], 0.8)[0]
    fleet.blocked.clear()
    time.sleep(0.5)
    again = other.ask("call", "add", ["n"])[0]
    yield "a retry after an unknown outcome counts once", again == "2", f"second add: {first_try}, tried again: {again}"


CHECKS = {check.__name__[0]: check for check in (a_stored, b_vote, c_wiped, d_wire, e_loop, f_rest)}


def main() -> None:
    """Runs the chosen checks and prints a line for each."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--only", default="".join(CHECKS))
    only = parser.parse_args().only
    try:
        installed = version("pysyncobj")
    except PackageNotFoundError:
        print(f"pysyncobj is not here: pip install pysyncobj=={TESTED_VERSION} cryptography", file=sys.stderr)
        raise SystemExit(2) from None
    print(f"pysyncobj {installed} (the trial is written for {TESTED_VERSION}); + passes, - fails")
    for letter in only:
        check, start = CHECKS[letter], time.monotonic()
        with RESOURCES:
            found = list(check())
        good, took = sum(passed for _, passed, _ in found), time.monotonic() - start
        evidence_text = "; ".join(f"{'+' if passed else '-'} {what} ({evidence})" for what, passed, evidence in found)
        print(f"{letter}. {check.__doc__}: passes {good} of {len(found)}, in {took:.0f} s: {evidence_text}", flush=True)


if __name__ == "__main__":
    run_member(json.loads(sys.argv[2])) if sys.argv[1:2] == ["member"] else main()
