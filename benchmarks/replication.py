"""Measures replication on one machine: a write, a lost leader, a replaced machine, an override for a fleet.

    python -m benchmarks.replication [--writes 2000] [--leaders 20] [--behind 10000] [--followers 20]

Three voters run in processes of their own, with the default timeouts. Printed are:

- p50 and p99 of a write to a voter, beside those of a write with fdatasync alone on the same disk;
- median and worst time from SIGKILL of the leader to the next OK;
- the time from the start of a voter with an empty disk, `--behind` entries behind, until it has all of them and votes,
  and the slowest of the writes that went on meanwhile;
- median and worst time from the OK to an override until each of `--followers` observers shows it, over ten overrides.
"""

from __future__ import annotations

import argparse
import os
import statistics
import threading
import time
from collections.abc import Callable
from random import Random

from benchmarks.faults.client import ClusterClient, NotApplied, OutcomeUnknown, VoterConnection
from benchmarks.faults.fleet import Fleet, eventually
from loftweir.replication.machine import AcquireLease, Command, FencedWrite, Ok, encode
from loftweir.replication.wire import OutcomeCode, SubmitCommand

HOUR = 3_600_000_000_000  # ns
DATA = b"x" * 100  # the value of each write
ENTRY_SIZE = 250  # bytes of an entry on disk with such a value
OVERRIDES = 10


def ms(seconds: float) -> str:
    """The time as text in ms."""
    return f"{seconds * 1000:.2f} ms"


def timed(action: Callable[[], object]) -> float:
    """How long the action took, in s."""
    began = time.perf_counter()
    action()
    return time.perf_counter() - began


def percentiles(times: list[float]) -> str:
    """p50 and p99 as text."""
    parts = statistics.quantiles(times, n=100)
    return f"p50 {ms(parts[49])}, p99 {ms(parts[98])}"


class ReplicationBench(Fleet):
    """A fleet of three voters and the measurements on it."""

    keys = {}  # the defaults of all timeouts

    def start_fleet(self, followers: int = 0) -> None:
        """Starts the fleet, without the hooks of its disks, and acquires a lease to write under."""
        self.fleet(3, followers)
        for sidecar in self.sidecars.values():
            sidecar.startup_code = ""
        self.start_sidecars()
        self.client = ClusterClient(self.seats, Random(1))
        granted = self.client.write(AcquireLease("pen", "bench", HOUR), 10)
        assert isinstance(granted, Ok)
        self.token = granted.value

    def put(self, timeout: float = 10) -> None:
        """One replicated write."""
        result = self.client.write(FencedWrite("pen", self.token, "k", DATA), timeout)
        assert isinstance(result, Ok), result

    def sync_alone(self, count: int) -> list[float]:
        """Times of a write of one entry's size with its sync, on the same disk."""
        file = os.open(self.folder / "alone", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

        def one() -> None:
            os.write(file, b"x" * ENTRY_SIZE)
            os.fdatasync(file)

        times = [timed(one) for _ in range(count)]
        os.close(file)
        return times

    def writes(self, count: int) -> None:
        """Measures single writes."""
        sync_alone = self.sync_alone(count)
        for _ in range(50):
            self.put()
        times = [timed(self.put) for _ in range(count)]
        ratio = statistics.median(times) / statistics.median(sync_alone)
        print(f"a write with three members: {percentiles(times)}")
        print(f"fdatasync alone:            {percentiles(sync_alone)}; the median of a write is {ratio:.1f} of it")

    def lost_leaders(self, count: int) -> None:
        """Measures the time without service after the leader is killed."""
        times = []
        for _ in range(count):
            leader = self.leader()
            self.put()
            leader.program.kill()
            times.append(timed(lambda: self.put(30)))
            leader.kill()
            self.down.discard(leader.name)
            leader.start()
            if not eventually(self.all_voting, 30):
                raise SystemExit(f"{leader.name} did not vote again within 30 s")
        median, worst = statistics.median(times), max(times)
        print(f"leader killed, to the next OK, {count} runs: median {ms(median)}, worst {ms(worst)}")

    def replaced_machine(self, entries: int) -> None:
        """Measures how long a voter with an empty disk needs to catch up and vote, and the writes meanwhile."""
        leader = self.leader()
        connection, left = VoterConnection(self.seats[leader.name]), entries
        while left:
            part = min(left, 200)
            for number in range(entries - left + 1, entries - left + part + 1):
                command = Command("behind", number, FencedWrite("pen", self.token, f"k{number % 1000}", DATA))
                connection.send(SubmitCommand(number, encode(command)))
            for _ in range(part):
                outcome = connection.receive(10)
                assert outcome.how is OutcomeCode.DONE, outcome
            left -= part
        connection.close()
        before = [timed(self.put) for _ in range(500)]
        wiped = next(name for name in self.voters if name != leader.name)
        self.kill(wiped)
        self.sidecars[wiped].wipe()
        meanwhile: list[float] = []
        over = threading.Event()

        def write() -> None:
            while not over.is_set():
                meanwhile.append(timed(self.put))

        writer = threading.Thread(target=write)
        writer.start()
        began = time.perf_counter()
        self.start(wiped)
        done = eventually(lambda: self.all_voting() and self.index(wiped) >= entries, 120)
        took = time.perf_counter() - began
        over.set()
        writer.join()
        if not done:
            raise SystemExit(f"{wiped} did not catch up and vote within 120 s")
        usual, slowest = statistics.median(before), max(meanwhile)
        print(f"a machine replaced, {entries} entries behind: a full copy that votes after {took:.2f} s")
        print(
            f"  {len(meanwhile)} writes meanwhile: {percentiles(meanwhile)}, the slowest {ms(slowest)}: "
            f"{slowest / usual:.1f} of the median before, {ms(usual)}; the slowest of {len(before)} before "
            f"{ms(max(before))}"
        )

    def fleet_override(self) -> None:
        """Measures how long an override needs from its OK to each observer."""
        followers = [sidecar for name, sidecar in self.sidecars.items() if name not in self.seats]
        worst, each = [], []
        for n in range(OVERRIDES):
            shown: dict[str, float] = {}

            def wait_for_override(sidecar, name: str, shown: dict[str, float]) -> None:
                if eventually(lambda: name in sidecar.fleet_status().get("out", "").split(","), 30):
                    shown[sidecar.name] = time.perf_counter()

            answer = followers[n % len(followers)].call(f"FLEET-DISABLE s{n}")
            acknowledged_at = time.perf_counter()
            assert answer.startswith("OK"), answer
            threads = [threading.Thread(target=wait_for_override, args=(s, f"s{n}", shown)) for s in followers]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            if len(shown) < len(followers):
                raise SystemExit("not every observer showed the override within 30 s")
            each += [at - acknowledged_at for at in shown.values()]
            worst.append(max(shown.values()) - acknowledged_at)
        print(
            f"a word to the fleet at {len(followers)} followers, {OVERRIDES} words: from OK to one follower median "
            f"{ms(statistics.median(each))}, until all have it median {ms(statistics.median(worst))}, worst "
            f"{ms(max(worst))}"
        )


def main() -> None:
    """Runs each measurement on a fleet of its own; a count of 0 skips it."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--writes", type=int, default=2000)
    parser.add_argument("--leaders", type=int, default=20)
    parser.add_argument("--behind", type=int, default=10_000)
    parser.add_argument("--followers", type=int, default=20)
    arguments = parser.parse_args()
    parts: list[tuple[int, Callable[[ReplicationBench], None], int]] = [
        (arguments.writes, lambda bench: bench.writes(arguments.writes), 0),
        (arguments.leaders, lambda bench: bench.lost_leaders(arguments.leaders), 0),
        (arguments.behind, lambda bench: bench.replaced_machine(arguments.behind), 0),
        (arguments.followers, ReplicationBench.fleet_override, arguments.followers),
    ]
    for count, part, followers in parts:
        bench = ReplicationBench()
        try:
            if count:
                bench.start_fleet(followers)
                part(bench)
        except (NotApplied, OutcomeUnknown, AssertionError) as error:
            raise SystemExit(f"a measurement failed: {error!r}") from None
        finally:
            bench.doCleanups()


if __name__ == "__main__":
    main()
