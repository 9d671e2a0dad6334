"""What the copies cost, on one machine: a write, a lost leader, a replaced machine, a word to a fleet.

    python -m benchmarks.replication [--writes 2000] [--leaders 20] [--behind 10000] [--followers 20]

Three voters in processes of their own, with the times of the configuration as they come. Printed are: p50 and p99 of a
write to a voter, beside a write with fdatasync alone on the same disk; the time from the leader's SIGKILL to the next
OK, median and worst; the time from the start of a machine whose disk is empty, with so many entries behind it, until it
has all and votes, and the slowest write of those that went on meanwhile; the time from OK for a word to the fleet until
each of so many follower processes shows it, median and worst over ten words.
"""

from __future__ import annotations

import argparse
import os
import statistics
import threading
import time
from collections.abc import Callable
from random import Random

from benchmarks.faults.client import Caller, Line, Nothing, Unknown
from benchmarks.faults.fleet import Fleet, eventually
from loftweir.replication.machine import AcquireLease, Command, FencedWrite, Ok, encode
from loftweir.replication.wire import OutcomeCode, SubmitCommand

HOUR = 3_600_000_000_000
DATA = b"x" * 100
WORDS = 10


def ms(seconds: float) -> str:
    return f"{seconds * 1000:.2f} ms"


def timed(what: Callable[[], object]) -> float:
    began = time.perf_counter()
    what()
    return time.perf_counter() - began


def cuts(times: list[float]) -> str:
    parts = statistics.quantiles(times, n=100)
    return f"p50 {ms(parts[49])}, p99 {ms(parts[98])}"


class Bench(Fleet):
    keys = {}  # the times as they come

    def up(self, followers: int = 0) -> None:
        self.fleet(3, followers)
        for sidecar in self.sidecars.values():
            sidecar.startup_code = ""
        self.start_sidecars()
        self.caller = Caller(self.seats, Random(1))
        granted = self.caller.write(AcquireLease("pen", "bench", HOUR), 10)
        assert isinstance(granted, Ok)
        self.token = granted.value

    def put(self, within: float = 10) -> None:
        result = self.caller.write(FencedWrite("pen", self.token, "k", DATA), within)
        assert isinstance(result, Ok), result

    def alone(self, count: int) -> list[float]:
        """A write of as many bytes as an entry has, and its sync, on the same disk."""
        file = os.open(self.folder / "alone", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

        def one() -> None:
            os.write(file, b"x" * 250)
            os.fdatasync(file)

        times = [timed(one) for _ in range(count)]
        os.close(file)
        return times

    def writes(self, count: int) -> None:
        alone = self.alone(count)
        for _ in range(50):
            self.put()
        times = [timed(self.put) for _ in range(count)]
        ratio = statistics.median(times) / statistics.median(alone)
        print(f"a write with three members: {cuts(times)}")
        print(f"fdatasync alone:            {cuts(alone)}; the median of a write is {ratio:.1f} of it")

    def lost_leaders(self, count: int) -> None:
        times = []
        for _ in range(count):
            leader = self.leader()
            self.put()
            leader.program.kill()
            times.append(timed(lambda: self.put(30)))
            leader.kill()
            self.down.discard(leader.name)
            leader.start()
            if not eventually(self.whole, 30):
                raise SystemExit(f"{leader.name} did not come back")
        median, worst = statistics.median(times), max(times)
        print(f"leader killed, to the next OK, {count} runs: median {ms(median)}, worst {ms(worst)}")

    def replaced(self, entries: int) -> None:
        leader = self.leader()
        line, left = Line(self.seats[leader.name]), entries
        while left:
            part = min(left, 200)
            for number in range(entries - left + 1, entries - left + part + 1):
                order = Command("behind", number, FencedWrite("pen", self.token, f"k{number % 1000}", DATA))
                line.say(SubmitCommand(number, encode(order)))
            for _ in range(part):
                outcome = line.next(10)
                assert outcome.how is OutcomeCode.DONE, outcome
            left -= part
        line.close()
        before = [timed(self.put) for _ in range(500)]
        away = next(name for name in self.voters if name != leader.name)
        self.kill(away)
        self.sidecars[away].wipe()
        meanwhile: list[float] = []
        over = threading.Event()

        def write() -> None:
            while not over.is_set():
                meanwhile.append(timed(self.put))

        writer = threading.Thread(target=write)
        writer.start()
        began = time.perf_counter()
        self.start(away)
        done = eventually(lambda: self.whole() and self.index(away) >= entries, 120)
        took = time.perf_counter() - began
        over.set()
        writer.join()
        if not done:
            raise SystemExit(f"{away} was not taken in")
        usual, slowest = statistics.median(before), max(meanwhile)
        print(f"a machine replaced, {entries} entries behind: a full copy that votes after {took:.2f} s")
        print(
            f"  {len(meanwhile)} writes meanwhile: {cuts(meanwhile)}, the slowest {ms(slowest)}: "
            f"{slowest / usual:.1f} of the median before, {ms(usual)}; the slowest of {len(before)} before "
            f"{ms(max(before))}"
        )

    def fleet_word(self) -> None:
        followers = [sidecar for name, sidecar in self.sidecars.items() if name not in self.seats]
        worst, all_ = [], []
        for n in range(WORDS):
            shown: dict[str, float] = {}

            def look(sidecar, name: str, shown: dict[str, float]) -> None:
                if eventually(lambda: name in sidecar.fleet_status().get("out", "").split(","), 30):
                    shown[sidecar.name] = time.perf_counter()

            answer = followers[n % len(followers)].call(f"FLEET-DISABLE s{n}")
            said = time.perf_counter()
            assert answer.startswith("OK"), answer
            threads = [threading.Thread(target=look, args=(s, f"s{n}", shown)) for s in followers]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            if len(shown) < len(followers):
                raise SystemExit("not every follower had the word within 30 s")
            all_ += [at - said for at in shown.values()]
            worst.append(max(shown.values()) - said)
        print(
            f"a word to the fleet at {len(followers)} followers, {WORDS} words: from OK to one follower median "
            f"{ms(statistics.median(all_))}, until all have it median {ms(statistics.median(worst))}, worst "
            f"{ms(max(worst))}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--writes", type=int, default=2000)
    parser.add_argument("--leaders", type=int, default=20)
    parser.add_argument("--behind", type=int, default=10_000)
    parser.add_argument("--followers", type=int, default=20)
    wanted = parser.parse_args()
    parts: list[tuple[int, Callable[[Bench], None], int]] = [
        (wanted.writes, lambda bench: bench.writes(wanted.writes), 0),
        (wanted.leaders, lambda bench: bench.lost_leaders(wanted.leaders), 0),
        (wanted.behind, lambda bench: bench.replaced(wanted.behind), 0),
        (wanted.followers, Bench.fleet_word, wanted.followers),
    ]
    for count, part, followers in parts:
        bench = Bench()
        try:
            if count:
                bench.up(followers)
                part(bench)
        except (Nothing, Unknown, AssertionError) as error:
            raise SystemExit(f"a part failed: {error!r}") from None
        finally:
            bench.doCleanups()


if __name__ == "__main__":
    main()
