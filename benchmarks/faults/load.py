"""The load on a fleet while its parts fail: operators, writers, holders of a lease, and readers of all state.

Operators set overrides at the operators' address of any sidecar. Writers write and read values straight at the voters,
under one lease that is never released. Holders (processes of their own) compete for one lease and write under it.
Providers and keys change every few seconds, so that the history of each stays short enough to check.
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

from benchmarks.faults.client import ClusterClient, NotApplied, OutcomeUnknown, VoterConnection, follow
from benchmarks.faults.fleet import PROVIDERS, Fleet, operator_call
from benchmarks.faults.oracle import FENCED_WRITE_GRACE, PROMISED
from loftweir.emulator.histories import AcceptedOperation, Call
from loftweir.replication.machine import AcquireLease, FencedWrite, Ok, SetOverride
from loftweir.replication.wire import ConnectionKind, FencedValueQuery

VALUES_LEASE = "pen"  # the lease that all writers write under
HOLDERS_LEASE = "duty"  # the lease that the holders compete for
HOUR = 3_600_000_000_000  # ns
KEY_PERIOD = 4.0  # s, after which other providers and keys are used
PROVIDERS_AT_A_TIME = 2
KEYS_AT_A_TIME = 3
RESPONSE_TIMEOUT = 3.0  # s


class Load:
    """Invariant: every call that was started is in the oracle's history, unless it certainly had no effect."""

    def __init__(self, fleet: Fleet, seed: int, operators: int = 2, writers: int = 2, holders: int = 0):
        self.fleet, self.oracle, self.random = fleet, fleet.oracle, Random(seed)
        self.stopping = threading.Event()
        self.final_index = 0  # once it is set, the log readers end when they have every entry up to it
        self.began = time.monotonic()
        self.token = 0
        self.keys: set[str] = set()
        self.providers: set[str] = set()
        self.threads = [
            *(threading.Thread(target=self._run, args=(self._operator, f"o{n}")) for n in range(operators)),
            *(threading.Thread(target=self._run, args=(self._writer, f"c{n}")) for n in range(writers)),
            threading.Thread(target=self._run, args=(self._poll_views, "")),
        ]
        self.log_readers = [threading.Thread(target=self._run, args=(self._read_log, name)) for name in fleet.voters]
        self.holders = {f"h{n}": self._start_holder(f"h{n}") for n in range(holders)}
        self.seeds = {thread: self.random.random() for thread in [*self.threads, *self.log_readers]}

    def _run(self, body, name: str) -> None:
        try:
            body(name, Random(self.seeds[threading.current_thread()]))
        except Exception as error:  # a fault of the harness, or a malformed response
            self.oracle.problem(f"{body.__name__} {name}: {error!r}")

    def start(self) -> Load:
        """Acquires the writers' lease and starts all threads."""
        client = ClusterClient(self.fleet.seats, self.random)
        granted = client.write(AcquireLease(VALUES_LEASE, f"harness {secrets.token_hex(4)}", HOUR), 20)
        assert isinstance(granted, Ok), granted
        client.close()
        self.token = granted.value
        self.oracle.began = time.monotonic_ns()
        for thread in [*self.threads, *self.log_readers]:
            thread.daemon = True
            thread.start()
        return self

    def stop(self) -> None:
        """Starts no more calls, and waits until all that were started have ended."""
        self.stopping.set()
        self._join(self.threads)
        for process in self.holders.values():
            process.stdin.close()
        for name, process in self.holders.items():
            process.wait(10)
            self._record_holder(name, (self.fleet.folder / f"{name}.out").read_text())

    def _join(self, threads: list[threading.Thread]) -> None:
        for thread in threads:
            thread.join(30)
            if thread.is_alive():
                self.oracle.problem("a thread of the harness did not end")

    def _period(self) -> int:
        """The number of the present period of providers and keys."""
        return int((time.monotonic() - self.began) / KEY_PERIOD)

    # ---- operators ------------------------------------------------------------------------------

    def _operator(self, name: str, random: Random) -> None:
        while not self.stopping.is_set():
            number = self._period() * PROVIDERS_AT_A_TIME + random.randrange(PROVIDERS_AT_A_TIME)
            provider = f"s{number % PROVIDERS}"
            self.set_override(name, random.choice(list(self.fleet.sidecars)), provider, random.random() < 0.5)
            self.stopping.wait(random.uniform(0.02, 0.1))

    def set_override(self, client: str, sidecar: str, provider: str, disabled: bool) -> str:
        """Disables or enables a provider for the fleet by way of one sidecar, and returns the response."""
        self.providers.add(provider)
        life, response = self.fleet.lives[sidecar], ""
        with self.oracle.call(self.oracle.overrides, client, provider, ("set", disabled)):
            command = "FLEET-DISABLE" if disabled else "FLEET-ENABLE"
            response, sent = operator_call(self.fleet.sidecars[sidecar], f"{command} {provider}", RESPONSE_TIMEOUT)
            if not response and sent or "ERR OutcomeUnknown" in response:
                raise OutcomeUnknown(response)
            if not response or response.startswith(("ERR NoMajority", "ERR no such upstream")):
                raise NotApplied(response)
            promised = PROMISED(response)
            if promised is None:
                self.oracle.problem(f"{sidecar} answered {response!r}")
                raise OutcomeUnknown(response)
        if response.startswith("OK"):
            self.oracle.promise(int(response.split()[-1]), SetOverride(provider, disabled, 0), sidecar, life)
        return response

    # ---- writers --------------------------------------------------------------------------------

    def _writer(self, name: str, random: Random) -> None:
        client, count = ClusterClient(self.fleet.seats, random), 0
        while not self.stopping.is_set():
            key = f"{self._period()}-{random.randrange(KEYS_AT_A_TIME)}"
            self.keys.add(key)
            if random.random() < 0.6:
                count += 1
                self.put(name, client, key, f"{name}-{count}".encode())
            else:
                self.get(name, client, key)
            self.stopping.wait(random.uniform(0.01, 0.05))
        client.close()

    def put(self, name: str, client: ClusterClient, key: str, value: bytes) -> int:
        """Writes a value and returns the index of its entry; 0: none is known."""
        operation, index = FencedWrite(VALUES_LEASE, self.token, key, value), 0
        with self.oracle.call(self.oracle.values, name, key, ("set", value)):
            result = client.write(operation, RESPONSE_TIMEOUT)
            if not isinstance(result, Ok):
                self.oracle.problem(f"a fenced write was rejected: {result}")
                raise OutcomeUnknown(result.text)
            index = result.index
        if index:
            self.oracle.promise(index, operation)
        return index

    def get(self, name: str, client: ClusterClient, key: str) -> None:
        """Reads a value and records the call."""
        with self.oracle.call(self.oracle.values, name, key, ("get",)) as result:
            found = msgspec.msgpack.decode(client.read(FencedValueQuery(VALUES_LEASE, key), RESPONSE_TIMEOUT))
            result.append(found[0] if found else None)

    # ---- readers --------------------------------------------------------------------------------

    def _read_log(self, voter: str, random: Random) -> None:
        """Records every entry that a voter reports, from the first on."""
        connection, index, until = None, 0, None
        while not self.final_index or index < self.final_index:
            if self.final_index:
                until = until or time.monotonic() + 20
                if time.monotonic() > until:
                    self.oracle.problem(f"{voter} has reported the log up to {index}, not up to {self.final_index}")
                    break
            try:
                connection = connection or VoterConnection(
                    self.fleet.seats[voter], ConnectionKind.FOLLOWER, "watcher", timeout=0.5
                )
                response = follow(connection, index, 200_000_000)
            except OSError:
                connection = connection.close() if connection else None
                time.sleep(0.05)
                continue
            if response.whole:  # the earlier entries were compacted here; other voters have reported them
                index = response.index
            for entry in response.entries:
                if entry.index != index + 1:
                    self.oracle.problem(f"{voter} reported entry {entry.index} after {index}")
                index = entry.index
                self.oracle.entry(voter, entry.index, entry.data)
        if connection:
            connection.close()

    def _poll_views(self, _: str, random: Random) -> None:
        """Reads the state that each sidecar shows, in turn."""
        while not self.stopping.is_set():
            self.fleet.members()
            for name in list(self.fleet.sidecars):
                self.read_view(name, 0.5)
                self.stopping.wait(0.005)

    def read_view(self, name: str, timeout: float) -> int:
        """Records the state that a sidecar shows now, and returns its index; -1: none was read."""
        life, asked = self.fleet.lives[name], time.monotonic_ns()
        response, _ = operator_call(self.fleet.sidecars[name], "FLEET", timeout)
        if not response.startswith("OK ") or life != self.fleet.lives[name]:
            return -1
        status = dict(pair.split("=", 1) for pair in response.split()[1:])
        self.fleet.update_role(name, status["role"])
        disabled = frozenset(status["out"].split(",")) - {"-"}
        self.oracle.view(name, life, int(status["index"]), disabled, asked)
        return int(status["index"])

    # ---- holders --------------------------------------------------------------------------------

    def _start_holder(self, name: str) -> subprocess.Popen:
        arguments = {
            "seats": self.fleet.seats,
            "duty": HOLDERS_LEASE,
            "name": name,
            "ttl": 2.0,
            "seed": self.random.random(),
        }
        with (self.fleet.folder / f"{name}.out").open("wb") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.faults.holder", json.dumps(arguments)],
                stdin=subprocess.PIPE,
                stdout=out,
                cwd=ROOT,
            )
        self.fleet.addCleanup(process.wait, 10)
        self.fleet.addCleanup(process.kill)
        return process

    def _record_holder(self, name: str, lines: str) -> None:
        """Records the calls that a holder's process has printed."""
        for line in lines.splitlines():
            record = json.loads(line)
            op, result, invoked, returned = record["op"], record["result"], record["invoked"], record["returned"]
            op, result = tuple(op), tuple(result) if result else None
            self.oracle.leases.append(Call(name, invoked, returned, op, result, HOLDERS_LEASE))
            if op[0] != "fenced" or result is None:
                continue
            if result[0] == "ok":
                self.oracle.accepted.append(AcceptedOperation(HOLDERS_LEASE, op[1], invoked, returned))
            elif returned - invoked < FENCED_WRITE_GRACE:
                self.oracle.problem(f"{name} had a valid lease, and its write under token {op[1]} got {result}")

    # ---- the end --------------------------------------------------------------------------------

    def finish(self, seconds: float = 60) -> None:
        """Restores the fleet and ends the load; the final state of every sidecar is recorded as reads."""
        fleet, oracle = self.fleet, self.oracle
        fleet.restore()
        if not fleet.settled(seconds):
            oracle.problem("the fleet did not settle in time after all faults were healed")
        for name in fleet.sidecars:
            if self.set_override("last", name, f"s{PROVIDERS - 1}", True)[:2] != "OK":
                oracle.problem(f"after all faults were healed, {name} could not write")
        self.stop()
        last = max((promise.index for promise in oracle.promises), default=0)
        client = ClusterClient(fleet.seats, self.random)
        for key in sorted(self.keys):
            with suppress(NotApplied):
                self.get("end", client, key)
        client.close()
        for name in fleet.sidecars:
            if not eventually(lambda name=name: self.read_view(name, 2) >= last, seconds):
                oracle.problem(f"{name} does not have every acknowledged write, up to index {last}")
            else:
                self._record_final_view(name)
        self.final_index = max(last, *(view.index for view in oracle.views))
        self._join(self.log_readers)

    def _record_final_view(self, sidecar: str) -> None:
        """Records the last view of a sidecar as a read of every override."""
        view = next(v for v in reversed(self.oracle.views) if v.sidecar == sidecar)
        for provider in sorted(self.providers):
            with self.oracle.call(self.oracle.overrides, sidecar, provider, ("get",)) as result:
                result.append(provider in view.disabled)
