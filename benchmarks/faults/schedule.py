"""Random schedules of faults from a seed, as lines of text that can be replayed, and the runner that injects them.

A round is one to three faults that overlap. Then everything is healed, and the next round begins soon after, whether or
not the fleet has settled. Only a fault that destroys data on a disk waits until every voter votes again and has all
acknowledged entries: replication keeps its promises only while fewer than a majority of the disks are lost.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from scene import eventually

from benchmarks.faults.client import ClusterClient, NotApplied, OutcomeUnknown
from benchmarks.faults.fleet import Fleet, operator_call
from benchmarks.faults.load import RESPONSE_TIMEOUT, VALUES_LEASE, Load
from loftweir.replication.machine import FencedWrite

LEADER = "leader"  # as a target: the voter that leads when the fault begins
ALL = "all"  # as a target: all voters
NO_PROCESS = "-"  # as a target: the fault concerns no process, but links or the holders of the load
DAMAGES = ("flip", "tail", "lost", "version", "foreign")  # kinds of damage of `Fleet.damage`


class Fault(NamedTuple):
    """One fault of a schedule."""

    round: int
    kind: str  # a key of `FAULT_KINDS`
    target: str  # a sidecar's name, `LEADER`, `ALL` or `NO_PROCESS`
    start: float  # s since the beginning of the round
    duration: float  # s
    share: float  # 0 to 1; decides what the kind leaves open

    def __str__(self) -> str:
        return f"{self.round} {self.kind} {self.target} {self.start:.3f} {self.duration:.3f} {self.share:.6f}"

    @classmethod
    def read(cls, line: str) -> Fault:
        """The fault that was written as this line."""
        number, kind, target, start, duration, share = line.split()
        return cls(int(number), kind, target, float(start), float(duration), float(share))


class FaultKind(NamedTuple):
    """How a kind of fault is chosen, begun and ended."""

    weight: int  # relative frequency in a schedule
    target: str  # "voter", "follower" (a sidecar without a vote), `ALL` or `NO_PROCESS`
    begin: Callable[[ScheduleRunner, Fault, str], None]
    end: Callable[[ScheduleRunner, Fault, str], None] | None = None
    destroys_disk: bool = False


def schedule(seed: int, faults: int, voters: Iterable[str], followers: Iterable[str]) -> list[Fault]:
    """The given number of faults, in rounds."""
    random, found, number = Random(f"faults {seed}"), [], 0
    voters, followers = list(voters), list(followers)
    names, weights = list(FAULT_KINDS), [kind.weight for kind in FAULT_KINDS.values()]
    while len(found) < faults:
        number += 1
        for n in range(min(random.choices((1, 2, 3), (6, 3, 1))[0], faults - len(found))):
            (name,) = random.choices(names, weights)
            if n and FAULT_KINDS[name].destroys_disk:
                name = "kill"
            match FAULT_KINDS[name].target:
                case "voter":
                    target = LEADER if random.random() < 0.4 else random.choice(voters)
                case "follower":
                    target = random.choice(followers)
                case _:
                    target = FAULT_KINDS[name].target
            start, duration = n * random.uniform(0, 0.4), random.uniform(0.1, 1.6)
            found.append(Fault(number, name, target, round(start, 3), round(duration, 3), round(random.random(), 6)))
            if target == ALL:
                break  # no voter is left for another fault
    return found


class ScheduleRunner:
    """Injects the faults of a schedule into a fleet under load."""

    def __init__(self, fleet: Fleet, load: Load, seed: int = 0) -> None:
        self.fleet, self.load = fleet, load
        self.random = Random(f"play {seed}")
        self.done: list[str] = []  # each fault with its time and the sidecar that it hit
        self.skipped = 0

    def run(self, faults: list[Fault]) -> None:
        """Runs the schedule; ends early after the round in which a violation was found."""
        rounds: dict[int, list[Fault]] = {}
        for fault in faults:
            rounds.setdefault(fault.round, []).append(fault)
        for round_faults in rounds.values():
            self._run_round(round_faults)
            if self.fleet.oracle.problems:
                return

    def _run_round(self, faults: list[Fault]) -> None:
        if any(FAULT_KINDS[f.kind].destroys_disk for f in faults) and not eventually(self._is_fully_replicated, 60):
            self.fleet.oracle.problem("not every voter voted again within 60 s after all faults were healed")
            return
        began = time.monotonic()
        events: list[tuple[float, int, Fault]] = []
        for fault in faults:
            events += [(fault.start, 0, fault), (fault.start + fault.duration, 1, fault)]
        chosen: dict[Fault, str] = {}
        for at, ends, fault in sorted(events):
            time.sleep(max(0.0, began + at - time.monotonic()))
            kind = FAULT_KINDS[fault.kind]
            if not ends:
                chosen[fault] = target = self._choose_target(fault, set(chosen.values()))
                elapsed = (time.monotonic_ns() - self.fleet.oracle.began) / 1e9
                self.done.append(f"{fault} # {elapsed:.3f} {target or 'nobody'}")
                if target:
                    kind.begin(self, fault, target)
                else:
                    self.skipped += 1
            elif kind.end is not None and chosen[fault]:
                kind.end(self, fault, chosen[fault])
        self.fleet.restore()
        time.sleep(0.2 + 0.6 * faults[0].share)

    def _is_fully_replicated(self) -> bool:
        """Whether every voter votes and has every acknowledged entry."""
        promised = max((promise.index for promise in list(self.fleet.oracle.promises)), default=0)
        return self.fleet.all_voting() and all(self.fleet.index(name) >= promised for name in self.fleet.voters)

    def _choose_target(self, fault: Fault, taken: set[str]) -> str:
        """The sidecar to hit: another of the same kind if the scheduled one is hit by another fault of the round.

        Empty: none is left.
        """
        target = fault.target
        if target == LEADER:
            leaders = [name for name in self.fleet.voters if name not in self.fleet.down and self._leads(name)]
            target = leaders[0] if leaders else self.fleet.voters[int(fault.share * len(self.fleet.voters))]
        if target in (NO_PROCESS, ALL):
            return target
        if ALL in taken:
            return ""
        alike = self.fleet.voters if target in self.fleet.seats else [n for n in self.fleet.sidecars if n[0] == "f"]
        free = [name for name in alike if name not in taken and self.fleet.sidecars[name].program is not None]
        return target if target in free else free[int(fault.share * len(free))] if free else ""

    def _leads(self, name: str) -> bool:
        return self.fleet.sidecars[name].fleet_status().get("role") == "leader"

    # ---- choices ----

    def sample_voters(self, fault: Fault, majority: bool) -> list[str]:
        """A majority of the voters, or a minority."""
        voters = self.fleet.voters
        return Random(f"{fault.share}").sample(voters, len(voters) // 2 + majority)

    def links_of(self, name: str, into: bool = True) -> list:
        """The links of a sidecar to voters, and those of others to it (`into`)."""
        pairs = self.fleet.link.items()
        return [link for (sender, receiver), link in pairs if sender == name or into and receiver == name]


# ---- kinds of faults: each function begins or ends one of them ----------------------------------


def _start(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    if runner.fleet.sidecars[target].program is None:
        runner.fleet.start(target)


def _kill(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.kill(target)


def _terminate(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    code = runner.fleet.terminate(target)
    if code:
        runner.fleet.oracle.problem(f"{target} ended with {code} at SIGTERM")


def _kill_most(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.kill(*(runner.sample_voters(fault, majority=True) if fault.share < 0.7 else runner.fleet.voters))


def _start_all(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    for name in runner.fleet.voters:
        _start(runner, fault, name)


def _stop(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.stop(target)


def _resume(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    if runner.fleet.sidecars[target].program is not None:
        runner.fleet.resume(target)


def _stop_most(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    sidecars = runner.fleet.sidecars
    chosen = runner.sample_voters(fault, majority=True)
    runner.fleet.stop(*(name for name in chosen if sidecars[name].program is not None))


def _resume_all(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    for name in runner.fleet.voters:
        _resume(runner, fault, name)


def _flap(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    """The process of the target, or its links, fail and recover three times."""
    for _ in range(3):
        if fault.share < 0.4:
            runner.fleet.kill(target)
            time.sleep(0.1)
            runner.fleet.start(target)
            time.sleep(0.3 * runner.random.random())
        else:
            runner.fleet.isolate(target)
            time.sleep(0.5 * runner.random.random())
            runner.fleet.heal()
            time.sleep(0.3 * runner.random.random())


def _isolate(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.isolate(target, refused=fault.share < 0.3)


def _one_way(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.isolate(target, out=fault.share < 0.5, into=fault.share >= 0.5)


def _block_pair(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    others = [name for name in runner.fleet.voters if name != target]
    other = others[int(fault.share * len(others))]
    runner.fleet.block({target}, {other})
    runner.fleet.block({other}, {target})


def _split(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    group = set(runner.sample_voters(fault, majority=False))
    runner.fleet.split(group, set(runner.fleet.voters) - group)


def _split_all(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.split(*({name} for name in runner.fleet.voters))


def _heal(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.heal()


def _delay(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    for link in runner.links_of(target):
        link.delay(0.02 + 0.5 * fault.share)


def _reset_frame(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    for link in runner.links_of(target):
        link.reset_after(runner.random.randrange(1, 2000), backward=runner.random.random() < 0.3)


def _corrupt(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    for link in runner.links_of(target):
        link.corrupt(runner.random.randrange(1, 2000), backward=runner.random.random() < 0.3)


def _block_followed(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    """The links of an observer to some voters fail, most likely including the voter that it follows."""
    for n, link in enumerate(runner.links_of(target, into=False)):
        if n % 2 or fault.share < 0.5:
            (link.refuse if fault.share < 0.3 else link.block)()


def _wipe(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.kill(target)
    runner.fleet.sidecars[target].wipe()


def _remove(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    """Removes a member while it is down, or while it runs."""
    if fault.share < 0.6:
        runner.fleet.kill(target)
    others = [name for name in runner.fleet.sidecars if name != target]
    sidecar = runner.fleet.sidecars[others[int(fault.share * len(others))]]
    operator_call(sidecar, f"FLEET-REMOVE {target}", RESPONSE_TIMEOUT)


def _damage(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.kill(target)
    runner.fleet.damage(target, DAMAGES[int(fault.share * len(DAMAGES))], runner.random.random())


def _lose_power(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.kill(target)
    runner.fleet.lose_power(target, fault.share)


def _lose_all_power(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.kill(*runner.fleet.voters)
    for name in runner.fleet.voters:
        runner.fleet.lose_power(name, runner.random.random())


def _fill_disk(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    """Fills the disk of one voter while large values are written."""
    fleet = runner.fleet
    fleet.fill_disk(target)
    client = ClusterClient(fleet.seats, runner.random)
    for n in range(6):
        try:
            client.write(FencedWrite(VALUES_LEASE, runner.load.token, "filler", bytes([n]) * 128 * 1024), 1)
        except (NotApplied, OutcomeUnknown):
            break
    client.close()


def _restart(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    if runner.fleet.sidecars[target].program is not None:
        runner.fleet.kill(target)
    runner.fleet.start(target)


def _break_sync(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.break_sync(target)


def _slow_sync(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.slow_sync(target, 0.02 + 0.4 * fault.share)


def _restore_sync(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    runner.fleet.slow_sync(target, 0)


def _stop_holders(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    for n, process in enumerate(runner.load.holders.values()):
        if n % 2 == (fault.share < 0.5):
            process.send_signal(signal.SIGSTOP)


def _resume_holders(runner: ScheduleRunner, fault: Fault, target: str) -> None:
    for process in runner.load.holders.values():
        process.send_signal(signal.SIGCONT)


FAULT_KINDS: dict[str, FaultKind] = {
    "kill": FaultKind(10, "voter", _kill, _start),
    "kill-most": FaultKind(3, ALL, _kill_most, _start_all),
    "terminate": FaultKind(5, "voter", _terminate, _start),
    "stop": FaultKind(10, "voter", _stop, _resume),
    "stop-most": FaultKind(3, ALL, _stop_most, _resume_all),
    "flap": FaultKind(4, "voter", _flap),
    "isolate": FaultKind(8, "voter", _isolate, _heal),
    "one-way": FaultKind(8, "voter", _one_way, _heal),
    "pair": FaultKind(6, "voter", _block_pair, _heal),
    "split": FaultKind(4, NO_PROCESS, _split, _heal),
    "split-all": FaultKind(2, NO_PROCESS, _split_all, _heal),
    "delay": FaultKind(6, "voter", _delay, _heal),
    "cut-frame": FaultKind(8, "voter", _reset_frame),
    "bad-byte": FaultKind(4, "voter", _corrupt),
    "lost-voter": FaultKind(4, "follower", _block_followed, _heal),
    "kill-follower": FaultKind(3, "follower", _kill, _start),
    "stop-follower": FaultKind(3, "follower", _stop, _resume),
    "wipe": FaultKind(4, "voter", _wipe, _start, destroys_disk=True),
    "damage": FaultKind(5, "voter", _damage, _start, destroys_disk=True),
    "remove": FaultKind(3, "voter", _remove, _start, destroys_disk=True),
    "power": FaultKind(4, "voter", _lose_power, _start),
    "power-all": FaultKind(2, ALL, _lose_all_power, _start_all),
    "disk-full": FaultKind(3, "voter", _fill_disk, _restart),
    "sync-fails": FaultKind(4, "voter", _break_sync, _restart),
    "sync-slow": FaultKind(4, "voter", _slow_sync, _restore_sync),
    "stop-holder": FaultKind(5, NO_PROCESS, _stop_holders, _resume_holders),
}
