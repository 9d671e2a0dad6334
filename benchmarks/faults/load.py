"""What goes on while the fleet's parts fail: operators, callers, holders of a lease, and who looks at all of it.

Operators say words at the operators' address of any sidecar; callers write and read values straight at the voters,
under one lease that is never let go; holders (processes of their own) want one duty and act under it. Names and keys
are taken anew after a while, so that the part of the history that belongs to one stays short.
"""

from __future__ import annotations

import json
import secrets
import subprocess
import sys
import threading
import time
from contextlib import suppress
from random import Random

import msgspec
from scene import ROOT, eventually

from benchmarks.faults.client import Caller, Line, Nothing, Unknown, news
from benchmarks.faults.fleet import PROVIDERS, Fleet, operator_call
from benchmarks.faults.oracle import MAY_BE_LATE, PROMISED
from loftweir.emulator.histories import AcceptedOperation as Acted
from loftweir.emulator.histories import Call
from loftweir.replication.machine import AcquireLease, FencedWrite, Ok, SetOverride
from loftweir.replication.wire import ConnectionKind, FencedValueQuery

PEN, DUTY = "pen", "duty"  # the lease that callers write under, and the one that holders want
HOUR = 3_600_000_000_000
ANEW = 4.0  # s, after which other names and keys are taken
NAMES, KEYS = 2, 3  # at a time
WITHIN = 3.0  # s for an answer
RIGHT = ("", "no such upstream")


class Load:
    """Invariant: every call that was begun is in the oracle's history, unless it certainly did nothing."""

    def __init__(self, fleet: Fleet, seed: int, operators: int = 2, callers: int = 2, holders: int = 0):
        self.fleet, self.oracle, self.random = fleet, fleet.oracle, Random(seed)
        self.over = threading.Event()
        self.goal = 0  # once it is set, watchers end when they have all up to there
        self.began = time.monotonic()
        self.token = 0
        self.keys: set[str] = set()
        self.names: set[str] = set()
        self.threads = [
            *(threading.Thread(target=self._run, args=(self._operator, f"o{n}")) for n in range(operators)),
            *(threading.Thread(target=self._run, args=(self._caller, f"c{n}")) for n in range(callers)),
            threading.Thread(target=self._run, args=(self._viewer, "")),
        ]
        self.watchers = [threading.Thread(target=self._run, args=(self._watcher, name)) for name in fleet.voters]
        self.holders = {f"h{n}": self._holder(f"h{n}") for n in range(holders)}
        self.seeds = {thread: self.random.random() for thread in [*self.threads, *self.watchers]}

    def _run(self, what, name: str) -> None:
        try:
            what(name, Random(self.seeds[threading.current_thread()]))
        except Exception as error:  # a fault of the harness, or an answer in a form that is none
            self.oracle.problem(f"{what.__name__} {name}: {error!r}")

    def start(self) -> Load:
        pen = Caller(self.fleet.seats, self.random)
        granted = pen.write(AcquireLease(PEN, f"harness {secrets.token_hex(4)}", HOUR), 20)
        assert isinstance(granted, Ok), granted
        pen.close()
        self.token = granted.value
        self.oracle.began = time.monotonic_ns()
        for thread in [*self.threads, *self.watchers]:
            thread.daemon = True
            thread.start()
        return self

    def stop(self) -> None:
        """Nothing more is asked; all that was has come to an end."""
        self.over.set()
        self._join(self.threads)
        for process in self.holders.values():
            process.stdin.close()
        for name, process in self.holders.items():
            process.wait(10)
            self._held(name, (self.fleet.folder / f"{name}.out").read_text())

    def _join(self, threads: list[threading.Thread]) -> None:
        for thread in threads:
            thread.join(30)
            if thread.is_alive():
                self.oracle.problem("a thread of the harness did not end")

    def _epoch(self) -> int:
        return int((time.monotonic() - self.began) / ANEW)

    # ---- operators ------------------------------------------------------------------------------

    def _operator(self, name: str, random: Random) -> None:
        while not self.over.is_set():
            provider = f"s{(self._epoch() * NAMES + random.randrange(NAMES)) % PROVIDERS}"
            self.say(name, random.choice(list(self.fleet.sidecars)), provider, random.random() < 0.5)
            self.over.wait(random.uniform(0.02, 0.1))

    def say(self, client: str, where: str, provider: str, out: bool) -> str:
        """One word at one sidecar; what was answered."""
        self.names.add(provider)
        life, answer = self.fleet.lives[where], ""
        with self.oracle.call(self.oracle.words, client, provider, ("set", out)):
            word = "FLEET-DISABLE" if out else "FLEET-ENABLE"
            answer, sent = operator_call(self.fleet.sidecars[where], f"{word} {provider}", WITHIN)
            if not answer and sent or "ERR OutcomeUnknown" in answer:
                raise Unknown(answer)
            if not answer or answer.startswith(("ERR NoMajority", "ERR no such upstream")):
                raise Nothing(answer)
            promised = PROMISED(answer)
            if promised is None:
                self.oracle.problem(f"{where} answered {answer!r}")
                raise Unknown(answer)
        if answer.startswith("OK"):
            self.oracle.promise(int(answer.split()[-1]), SetOverride(provider, out, 0), where, life)
        return answer

    # ---- callers --------------------------------------------------------------------------------

    def _caller(self, name: str, random: Random) -> None:
        caller, count = Caller(self.fleet.seats, random), 0
        while not self.over.is_set():
            key = f"{self._epoch()}-{random.randrange(KEYS)}"
            self.keys.add(key)
            if random.random() < 0.6:
                count += 1
                self.put(name, caller, key, f"{name}-{count}".encode())
            else:
                self.get(name, caller, key)
            self.over.wait(random.uniform(0.01, 0.05))
        caller.close()

    def put(self, client: str, caller: Caller, key: str, value: bytes) -> int:
        """The index of its entry; 0: not known to have any."""
        act, index = FencedWrite(PEN, self.token, key, value), 0
        with self.oracle.call(self.oracle.values, client, key, ("set", value)):
            result = caller.write(act, WITHIN)
            if not isinstance(result, Ok):
                self.oracle.problem(f"a value was not taken: {result}")
                raise Unknown(result.text)
            index = result.index
        if index:
            self.oracle.promise(index, act)
        return index

    def get(self, client: str, caller: Caller, key: str) -> None:
        with self.oracle.call(self.oracle.values, client, key, ("get",)) as result:
            found = msgspec.msgpack.decode(caller.read(FencedValueQuery(PEN, key), WITHIN))
            result.append(found[0] if found else None)

    # ---- who looks ------------------------------------------------------------------------------

    def _watcher(self, voter: str, random: Random) -> None:
        """Takes all that a voter tells, from the first entry on."""
        line, index, until = None, 0, None
        while not self.goal or index < self.goal:
            if self.goal:
                until = until or time.monotonic() + 20
                if time.monotonic() > until:
                    self.oracle.problem(f"{voter} has told the log up to {index}, and not up to {self.goal}")
                    break
            try:
                line = line or Line(self.fleet.seats[voter], ConnectionKind.FOLLOWER, "watcher", within=0.5)
                told = news(line, index, 200_000_000)
            except OSError:
                line = line.close() if line else None
                time.sleep(0.05)
                continue
            if told.whole:  # all before was let go, and others have told it
                index = told.index
            for one in told.entries:
                if one.index != index + 1:
                    self.oracle.problem(f"{voter} told entry {one.index} after {index}")
                index = one.index
                self.oracle.told(voter, one.index, one.data)
        if line:
            line.close()

    def _viewer(self, _: str, random: Random) -> None:
        while not self.over.is_set():
            self.fleet.members()
            for name in list(self.fleet.sidecars):
                self.look(name, 0.5)
                self.over.wait(0.005)

    def look(self, name: str, within: float) -> int:
        """What a sidecar shows now; its index, or -1."""
        life, asked = self.fleet.lives[name], time.monotonic_ns()
        answer, _ = operator_call(self.fleet.sidecars[name], "FLEET", within)
        if not answer.startswith("OK ") or life != self.fleet.lives[name]:
            return -1
        stands = dict(pair.split("=", 1) for pair in answer.split()[1:])
        self.fleet.votes(name, stands["role"])
        out = frozenset(stands["out"].split(",")) - {"-"}
        self.oracle.seen(name, life, int(stands["index"]), out, asked)
        return int(stands["index"])

    # ---- holders --------------------------------------------------------------------------------

    def _holder(self, name: str) -> subprocess.Popen:
        wanted = {"seats": self.fleet.seats, "duty": DUTY, "name": name, "ttl": 2.0, "seed": self.random.random()}
        with (self.fleet.folder / f"{name}.out").open("wb") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.faults.holder", json.dumps(wanted)],
                stdin=subprocess.PIPE,
                stdout=out,
                cwd=ROOT,
            )
        self.fleet.addCleanup(process.wait, 10)
        self.fleet.addCleanup(process.kill)
        return process

    def _held(self, name: str, lines: str) -> None:
        for line in lines.splitlines():
            said = json.loads(line)
            op, result, invoked, returned = said["op"], said["result"], said["invoked"], said["returned"]
            op, result = tuple(op), tuple(result) if result else None
            self.oracle.leases.append(Call(name, invoked, returned, op, result, DUTY))
            if op[0] != "fenced" or result is None:
                continue
            if result[0] == "ok":
                self.oracle.acts.append(Acted(DUTY, op[1], invoked, returned))
            elif returned - invoked < MAY_BE_LATE:
                self.oracle.problem(f"{name} might act under token {op[1]}, and it held nothing: {result}")

    # ---- the end --------------------------------------------------------------------------------

    def finish(self, seconds: float = 60) -> None:
        """All is healed: what every sidecar has in the end goes into the history, each as a read."""
        fleet, oracle = self.fleet, self.oracle
        fleet.resume()
        if not fleet.settled(seconds):
            oracle.problem("it did not settle within its time after all was healed")
        for name in fleet.sidecars:
            if self.say("last", name, f"s{PROVIDERS - 1}", True)[:2] != "OK":
                oracle.problem(f"after all was healed, {name} could not write")
        self.stop()
        last = max((promise.index for promise in oracle.promises), default=0)
        caller = Caller(fleet.seats, self.random)
        for key in sorted(self.keys):
            with suppress(Nothing):
                self.get("end", caller, key)
        caller.close()
        for name in fleet.sidecars:
            if not eventually(lambda name=name: self.look(name, 2) >= last, seconds):
                oracle.problem(f"{name} does not have all that was promised, up to index {last}")
            else:
                self._final(name)
        self.goal = max(last, *(view.index for view in oracle.views))
        self._join(self.watchers)

    def _final(self, sidecar: str) -> None:
        """The last that a sidecar shows is a read of every word."""
        view = next(v for v in reversed(self.oracle.views) if v.sidecar == sidecar)
        for provider in sorted(self.names):
            with self.oracle.call(self.oracle.words, sidecar, provider, ("get",)) as result:
                result.append(provider in view.out)
