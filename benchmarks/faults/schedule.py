"""Which parts fail when: a schedule of faults by a seed, as lines of text that can be played again.

A round is one to three faults that overlap; then all is healed, and the next begins soon after, whether the fleet has
come to rest or not. Only a fault that takes what a disk promised waits until every voter is one again and has all: more
than a minority of the disks may not be lost, and the copies promise no more than that.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import NamedTuple

from scene import eventually

from benchmarks.faults.client import Caller, Nothing, Unknown
from benchmarks.faults.fleet import Fleet, operator_call
from benchmarks.faults.load import PEN, WITHIN, Load
from loftweir.replication.machine import FencedWrite

LEADER = "leader"  # in the place of a name: who leads then
DAMAGES = ("flip", "tail", "lost", "version", "foreign")


class Fault(NamedTuple):
    """`at` and `lasts`: s, from the beginning of the round. `share`, 0 to 1, chooses what the kind leaves open."""

    round: int
    kind: str
    who: str
    at: float
    lasts: float
    share: float

    def __str__(self) -> str:
        return f"{self.round} {self.kind} {self.who} {self.at:.3f} {self.lasts:.3f} {self.share:.6f}"

    @classmethod
    def read(cls, line: str) -> Fault:
        number, kind, who, at, lasts, share = line.split()
        return cls(int(number), kind, who, float(at), float(lasts), float(share))


class Kind(NamedTuple):
    weight: int
    of: str  # "voter", "follower", "all" voters, or "-": nobody's process
    begin: Callable[[Play, Fault, str], None]
    end: Callable[[Play, Fault, str], None] | None = None
    takes_disk: bool = False


def schedule(seed: int, faults: int, voters: Iterable[str], followers: Iterable[str]) -> list[Fault]:
    """So many faults, in rounds."""
    random, found, number = Random(f"faults {seed}"), [], 0
    voters, followers = list(voters), list(followers)
    names, weights = list(KINDS), [kind.weight for kind in KINDS.values()]
    while len(found) < faults:
        number += 1
        for n in range(min(random.choices((1, 2, 3), (6, 3, 1))[0], faults - len(found))):
            (name,) = random.choices(names, weights)
            if n and KINDS[name].takes_disk:
                name = "kill"
            match KINDS[name].of:
                case "voter":
                    who = LEADER if random.random() < 0.4 else random.choice(voters)
                case "follower":
                    who = random.choice(followers)
                case _:
                    who = KINDS[name].of
            at, lasts = n * random.uniform(0, 0.4), random.uniform(0.1, 1.6)
            alone = who == "all"
            found.append(Fault(number, name, who, round(at, 3), round(lasts, 3), round(random.random(), 6)))
            if alone:
                break  # nobody is left for another
    return found


class Play:
    """Plays a schedule on a fleet, under a load."""

    def __init__(self, fleet: Fleet, load: Load, seed: int = 0) -> None:
        self.fleet, self.load = fleet, load
        self.random = Random(f"play {seed}")
        self.done: list[str] = []  # what was done, to whom
        self.skipped = 0

    def run(self, faults: list[Fault]) -> None:
        rounds: dict[int, list[Fault]] = {}
        for fault in faults:
            rounds.setdefault(fault.round, []).append(fault)
        for part in rounds.values():
            self._round(part)
            if self.fleet.oracle.problems:
                return

    def _round(self, faults: list[Fault]) -> None:
        if any(KINDS[f.kind].takes_disk for f in faults) and not eventually(self._safe, 60):
            self.fleet.oracle.problem("not every voter was one again within 60 s after all was healed")
            return
        began = time.monotonic()
        todo: list[tuple[float, int, Fault]] = []
        for fault in faults:
            todo += [(fault.at, 0, fault), (fault.at + fault.lasts, 1, fault)]
        chosen: dict[Fault, str] = {}
        for at, ends, fault in sorted(todo):
            time.sleep(max(0.0, began + at - time.monotonic()))
            kind = KINDS[fault.kind]
            if not ends:
                chosen[fault] = who = self._who(fault, set(chosen.values()))
                after = (time.monotonic_ns() - self.fleet.oracle.began) / 1e9
                self.done.append(f"{fault} # {after:.3f} {who or 'nobody'}")
                if who:
                    kind.begin(self, fault, who)
                else:
                    self.skipped += 1
            elif kind.end is not None and chosen[fault]:
                kind.end(self, fault, chosen[fault])
        self.fleet.resume()
        time.sleep(0.2 + 0.6 * faults[0].share)

    def _safe(self) -> bool:
        """Every voter is one, and has all that was promised."""
        promised = max((promise.index for promise in list(self.fleet.oracle.promises)), default=0)
        return self.fleet.whole() and all(self.fleet.index(name) >= promised for name in self.fleet.voters)

    def _who(self, fault: Fault, taken: set[str]) -> str:
        """Whom it meets: another, where that one is met by another fault of the round; empty: nobody is left."""
        who = fault.who
        if who == LEADER:
            leads = [name for name in self.fleet.voters if name not in self.fleet.down and self._leads(name)]
            who = leads[0] if leads else self.fleet.voters[int(fault.share * len(self.fleet.voters))]
        if who in ("-", "all"):
            return who
        if "all" in taken:
            return ""
        alike = self.fleet.voters if who in self.fleet.seats else [n for n in self.fleet.sidecars if n[0] == "f"]
        free = [name for name in alike if name not in taken and self.fleet.sidecars[name].program is not None]
        return who if who in free else free[int(fault.share * len(free))] if free else ""

    def _leads(self, name: str) -> bool:
        return self.fleet.sidecars[name].fleet_status().get("role") == "leader"

    # ---- choices ----

    def some(self, fault: Fault, most: bool) -> list[str]:
        """A majority of the voters, or a minority."""
        voters = self.fleet.voters
        return Random(f"{fault.share}").sample(voters, len(voters) // 2 + most)

    def links_of(self, who: str, into: bool = True) -> list:
        return [link for (a, b), link in self.fleet.link.items() if a == who or into and b == who]


def _start(play: Play, fault: Fault, who: str) -> None:
    if play.fleet.sidecars[who].program is None:
        play.fleet.start(who)


def _kill(play: Play, fault: Fault, who: str) -> None:
    play.fleet.kill(who)


def _terminate(play: Play, fault: Fault, who: str) -> None:
    code = play.fleet.terminate(who)
    if code:
        play.fleet.oracle.problem(f"{who} ended with {code} at SIGTERM")


def _kill_most(play: Play, fault: Fault, who: str) -> None:
    play.fleet.kill(*(play.some(fault, True) if fault.share < 0.7 else play.fleet.voters))


def _start_all(play: Play, fault: Fault, who: str) -> None:
    for name in play.fleet.voters:
        _start(play, fault, name)


def _stop(play: Play, fault: Fault, who: str) -> None:
    play.fleet.stop(who)


def _go_on(play: Play, fault: Fault, who: str) -> None:
    if play.fleet.sidecars[who].program is not None:
        play.fleet.go_on(who)


def _stop_most(play: Play, fault: Fault, who: str) -> None:
    play.fleet.stop(*(name for name in play.some(fault, True) if play.fleet.sidecars[name].program is not None))


def _go_on_all(play: Play, fault: Fault, who: str) -> None:
    for name in play.fleet.voters:
        _go_on(play, fault, name)


def _flap(play: Play, fault: Fault, who: str) -> None:
    """It comes and goes: its process, or its links."""
    for _ in range(3):
        if fault.share < 0.4:
            play.fleet.kill(who)
            time.sleep(0.1)
            play.fleet.start(who)
            time.sleep(0.3 * play.random.random())
        else:
            play.fleet.isolate(who)
            time.sleep(0.5 * play.random.random())
            play.fleet.heal()
            time.sleep(0.3 * play.random.random())


def _isolate(play: Play, fault: Fault, who: str) -> None:
    play.fleet.isolate(who, refused=fault.share < 0.3)


def _one_way(play: Play, fault: Fault, who: str) -> None:
    play.fleet.isolate(who, out=fault.share < 0.5, into=fault.share >= 0.5)


def _pair(play: Play, fault: Fault, who: str) -> None:
    others = [name for name in play.fleet.voters if name != who]
    other = others[int(fault.share * len(others))]
    play.fleet.part({who}, {other})
    play.fleet.part({other}, {who})


def _split(play: Play, fault: Fault, who: str) -> None:
    some = set(play.some(fault, False))
    play.fleet.split(some, set(play.fleet.voters) - some)


def _split_all(play: Play, fault: Fault, who: str) -> None:
    play.fleet.split(*({name} for name in play.fleet.voters))


def _heal(play: Play, fault: Fault, who: str) -> None:
    play.fleet.heal()


def _delay(play: Play, fault: Fault, who: str) -> None:
    for link in play.links_of(who):
        link.delay(0.02 + 0.5 * fault.share)


def _cut(play: Play, fault: Fault, who: str) -> None:
    for link in play.links_of(who):
        link.reset_after(play.random.randrange(1, 2000), backward=play.random.random() < 0.3)


def _garble(play: Play, fault: Fault, who: str) -> None:
    for link in play.links_of(who):
        link.corrupt(play.random.randrange(1, 2000), backward=play.random.random() < 0.3)


def _lose_voter(play: Play, fault: Fault, who: str) -> None:
    """The ways of a follower to some voters, and most likely to the one that it follows, fail."""
    for n, link in enumerate(play.links_of(who, into=False)):
        if n % 2 or fault.share < 0.5:
            (link.refuse if fault.share < 0.3 else link.block)()


def _wipe(play: Play, fault: Fault, who: str) -> None:
    play.fleet.kill(who)
    play.fleet.sidecars[who].wipe()


def _remove(play: Play, fault: Fault, who: str) -> None:
    """It is taken out while it is down, or while it runs."""
    if fault.share < 0.6:
        play.fleet.kill(who)
    others = [name for name in play.fleet.sidecars if name != who]
    operator_call(play.fleet.sidecars[others[int(fault.share * len(others))]], f"FLEET-REMOVE {who}", WITHIN)


def _damage(play: Play, fault: Fault, who: str) -> None:
    play.fleet.kill(who)
    play.fleet.damage(who, DAMAGES[int(fault.share * len(DAMAGES))], play.random.random())


def _lose_power(play: Play, fault: Fault, who: str) -> None:
    play.fleet.kill(who)
    play.fleet.lose_power(who, fault.share)


def _lose_all_power(play: Play, fault: Fault, who: str) -> None:
    play.fleet.kill(*play.fleet.voters)
    for name in play.fleet.voters:
        play.fleet.lose_power(name, play.random.random())


def _fill(play: Play, fault: Fault, who: str) -> None:
    """The disk of one is full while much is written."""
    fleet = play.fleet
    fleet.fill_disk(who)
    caller = Caller(fleet.seats, play.random)
    for n in range(6):
        try:
            caller.write(FencedWrite(PEN, play.load.token, "filler", bytes([n]) * 128 * 1024), 1)
        except (Nothing, Unknown):
            break
    caller.close()


def _restart(play: Play, fault: Fault, who: str) -> None:
    if play.fleet.sidecars[who].program is not None:
        play.fleet.kill(who)
    play.fleet.start(who)


def _break_sync(play: Play, fault: Fault, who: str) -> None:
    play.fleet.break_sync(who)


def _slow_sync(play: Play, fault: Fault, who: str) -> None:
    play.fleet.slow_sync(who, 0.02 + 0.4 * fault.share)


def _fast_sync(play: Play, fault: Fault, who: str) -> None:
    play.fleet.slow_sync(who, 0)


def _stop_holder(play: Play, fault: Fault, who: str) -> None:
    for n, process in enumerate(play.load.holders.values()):
        if n % 2 == (fault.share < 0.5):
            process.send_signal(signal.SIGSTOP)


def _holders_go_on(play: Play, fault: Fault, who: str) -> None:
    for process in play.load.holders.values():
        process.send_signal(signal.SIGCONT)


KINDS: dict[str, Kind] = {
    "kill": Kind(10, "voter", _kill, _start),
    "kill-most": Kind(3, "all", _kill_most, _start_all),
    "terminate": Kind(5, "voter", _terminate, _start),
    "stop": Kind(10, "voter", _stop, _go_on),
    "stop-most": Kind(3, "all", _stop_most, _go_on_all),
    "flap": Kind(4, "voter", _flap),
    "isolate": Kind(8, "voter", _isolate, _heal),
    "one-way": Kind(8, "voter", _one_way, _heal),
    "pair": Kind(6, "voter", _pair, _heal),
    "split": Kind(4, "-", _split, _heal),
    "split-all": Kind(2, "-", _split_all, _heal),
    "delay": Kind(6, "voter", _delay, _heal),
    "cut-frame": Kind(8, "voter", _cut),
    "bad-byte": Kind(4, "voter", _garble),
    "lost-voter": Kind(4, "follower", _lose_voter, _heal),
    "kill-follower": Kind(3, "follower", _kill, _start),
    "stop-follower": Kind(3, "follower", _stop, _go_on),
    "wipe": Kind(4, "voter", _wipe, _start, True),
    "damage": Kind(5, "voter", _damage, _start, True),
    "remove": Kind(3, "voter", _remove, _start, True),
    "power": Kind(4, "voter", _lose_power, _start),
    "power-all": Kind(2, "all", _lose_all_power, _start_all),
    "disk-full": Kind(3, "voter", _fill, _restart),
    "sync-fails": Kind(4, "voter", _break_sync, _restart),
    "sync-slow": Kind(4, "voter", _slow_sync, _fast_sync),
    "stop-holder": Kind(5, "-", _stop_holder, _holders_go_on),
}


def lines(faults: Iterable[Fault]) -> Iterator[str]:
    return map(str, faults)
