"""What is played: idle, changes, a mass restart, the leader's end, hollow sidecars beside real ones."""

from __future__ import annotations

import statistics
import threading
import time
from collections.abc import Callable

from benchmarks.scale.fleet import Failed, Fleet, HollowProcess, Size, Spread
from benchmarks.scale.hollow import LIST, WORD
from benchmarks.scale.points import TimeRow, UsageRow, machine, usage_rows
from benchmarks.scale.usage import Sample, between, sample

SETTLE = 2.0  # seconds
IDLE, WORDS, LISTS_WHOLE, LISTS_CHANGES = "idle", "words", "lists-whole", "lists-changes"
RESTART, LEADER, BESIDE, STALLED, ZONE, REGION = "restart", "leader", "beside", "stalled", "zone", "region"
KINDS = (WORDS, LISTS_CHANGES, LISTS_WHOLE)
CHANGES_APART = 0.2
PEAK_WINDOW = 0.25  # seconds over which a peak of traffic is taken
WORD_EVERY = 0.05

Rows = tuple[list[UsageRow], list[TimeRow]]


def _sample(fleet: Fleet) -> Sample:
    return sample(list(fleet.roles()))


def idle(fleet: Fleet, seconds: float) -> Rows:
    time.sleep(SETTLE)
    first = _sample(fleet)
    time.sleep(seconds)
    return usage_rows(fleet, IDLE, first, _sample(fleet)), []


def changes(fleet: Fleet, phase: str, count: int, seconds: float) -> Rows:
    """So many changes, one after another, or as many as go into the time."""
    once: dict[str, Callable[[int], Spread]] = {
        WORDS: lambda number: fleet.word(),
        LISTS_WHOLE: lambda number: fleet.list_change(number, whole=True),
        LISTS_CHANGES: lambda number: fleet.list_change(number, whole=False),
    }
    kind = WORD if phase == WORDS else LIST
    until = time.monotonic() + seconds
    first = _sample(fleet)
    spreads: list[tuple[float, Spread]] = []
    while len(spreads) < count and time.monotonic() < until:
        asked_at = time.time()
        spreads.append((asked_at, once[phase](len(spreads))))
        time.sleep(CHANGES_APART)
    usage = usage_rows(fleet, phase, first, _sample(fleet), len(spreads))
    return usage, [_time_row(fleet, phase, kind, n, at, s) for n, (at, s) in enumerate(spreads)]


def _time_row(fleet: Fleet, phase: str, kind: str, number: int, asked_at: float, spread: Spread) -> TimeRow:
    at_real = fleet.in_force_at_real(kind, spread.number)
    lacking = [name for name, at in at_real.items() if at is None]
    if lacking:
        raise Failed(f"{kind} {spread.number} has not reached {lacking}")
    last_real = max((at - asked_at for at in at_real.values() if at is not None), default=0.0)
    size = fleet.size
    return TimeRow(
        fleet.run,
        phase, size.hollow, size.real, size.voters, number, spread.size, round(spread.accepted, 4),
        round(spread.first, 4), round(spread.last, 4), round(last_real, 4), *machine(),
    )  # fmt: skip


def _recovery_row(
    fleet: Fleet, phase: str, size: int, accepted: float, asked_at: float, reached: tuple[float, float]
) -> TimeRow:
    """Of hollow sidecars alone: `reached` is when the first and the last of them had all."""
    fleet_size, (first_at, last_at) = fleet.size, reached
    return TimeRow(
        fleet.run, phase, fleet_size.hollow, fleet_size.real, fleet_size.voters, 0, size, accepted,
        round(first_at - asked_at, 4), round(last_at - asked_at, 4), 0.0, *machine(),
    )  # fmt: skip


class Peaks:
    """The most bytes that each process sent in `PEAK_WINDOW`, from the beginning to `end`."""

    def __init__(self, pids: list[int]) -> None:
        self.pids = pids
        self.most: dict[int, float] = dict.fromkeys(pids, 0.0)  # bytes a second
        self.over = threading.Event()
        self.before = sample(pids)  # here: what follows at once is in the first window
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        before = self.before
        while not self.over.wait(PEAK_WINDOW):
            now = sample(self.pids)
            used = between(before, now)
            for pid in self.pids:
                sent = sum(c.bytes_out for (owner, _), c in used.traffic.items() if owner == pid)
                self.most[pid] = max(self.most[pid], sent / used.seconds)
            before = now

    def end(self) -> dict[int, float]:
        self.over.set()
        self.thread.join()
        return self.most


def restart(fleet: Fleet, restarted: HollowProcess, words: int) -> Rows:
    """All hollow sidecars of one process end together and come back together, with nothing remembered."""
    while fleet.words_said < words:
        fleet.say_word()
    index = fleet.say_word().number
    fleet.wait_reached(WORD, index)
    restarted.kill()
    time.sleep(SETTLE)
    roles = fleet.roles()
    serving = [pid for pid, role in roles.items() if role in ("leader", "voter", "discovery")]
    first, peaks = _sample(fleet), Peaks(serving)
    asked_at = time.time()
    restarted.start()
    followed = fleet.wait_reached(WORD, index, among=[restarted])
    listed = fleet.wait_reached(LIST, fleet.members.index, among=[restarted])
    most = peaks.end()
    usage = usage_rows(fleet, RESTART, first, _sample(fleet))
    for pid, rate in most.items():
        print(f"restart: {roles[pid]} sent {rate / 1000:.0f} kB/s at the most, over {PEAK_WINDOW} s")
    size = len(restarted.plan.names)
    rows = [
        _recovery_row(fleet, f"{RESTART}-{WORD}", size, 0.0, asked_at, followed),
        _recovery_row(fleet, f"{RESTART}-{LIST}", size, 0.0, asked_at, listed),
    ]
    return usage, rows


def zone(fleet: Fleet, lost: HollowProcess, words: int) -> Rows:
    """The hollow sidecars of one process and a voter that does not lead end together; a word is said; all come back,
    the voter with its files."""
    while fleet.words_said < words:
        fleet.say_word()
    voter = next(voter for voter in fleet.voters.values() if voter is not fleet.leader())
    others = [process for process in fleet.hollows if process is not lost]
    asked_at = time.time()
    voter.kill()
    lost.kill()
    without = fleet.say_word().number
    reached = fleet.wait_reached(WORD, without, among=others)
    rows = [_recovery_row(fleet, f"{ZONE}-others", fleet.size.hollow - len(lost.plan.names), 0.0, asked_at, reached)]
    time.sleep(SETTLE)
    roles = fleet.roles()
    serving = [pid for pid, role in roles.items() if role in ("leader", "voter", "discovery")]
    first, peaks = _sample(fleet), Peaks(serving)
    asked_at = time.time()
    voter.start()
    lost.start()
    followed = fleet.wait_reached(WORD, without, among=[lost])
    listed = fleet.wait_reached(LIST, fleet.members.index, among=[lost])
    fleet.wait(lambda: int(voter.stands().get("index", 0)) >= without, f"{voter.name} is behind")
    voted_at = time.time()
    for pid, rate in peaks.end().items():
        print(f"zone: {roles[pid]} sent {rate / 1000:.0f} kB/s at the most, over {PEAK_WINDOW} s")
    size = len(lost.plan.names)
    for what, times in ((WORD, followed), (LIST, listed), ("voter", (voted_at, voted_at))):
        rows.append(_recovery_row(fleet, f"{ZONE}-{what}", size, 0.0, asked_at, times))
    return usage_rows(fleet, ZONE, first, _sample(fleet)), rows


def region(fleet: Fleet, words: int, seconds: float) -> Rows:
    """Two regions are cut off from each other while words are said in the near one, which has a majority; a word in the
    far one has to be refused. Then they are joined."""
    near = [process for process in fleet.hollows if not process.plan.far]
    far = [process for process in fleet.hollows if process.plan.far]
    far_voter = fleet.voters[fleet.far_voter]
    fleet.part_regions()
    refused_at = time.time()
    answer = far_voter.call("FLEET-DISABLE refused")
    refused_within = time.time() - refused_at
    if "NoMajority" not in answer:
        raise Failed(f"the far region answered: {answer}")
    rows: list[TimeRow] = []
    for number in range(words):
        asked_at = time.time()
        spread = fleet.word(among=near)
        rows.append(_time_row(fleet, REGION, WORD, number, asked_at, spread))
        time.sleep(max(0.0, asked_at + seconds / words - time.time()))
    age = far_voter.stands().get("age_ms", "-")
    roles = fleet.roles()
    voting = [pid for pid, role in roles.items() if role in ("leader", "voter")]
    first, peaks = _sample(fleet), Peaks(voting)
    asked_at = time.time()
    fleet.join_regions()
    back = fleet.wait_reached(WORD, spread.number, among=far)
    time.sleep(2 * PEAK_WINDOW)
    for pid, rate in peaks.end().items():
        print(f"joined: {roles[pid]} sent {rate / 1000:.0f} kB/s at the most, over {PEAK_WINDOW} s")
    outs = [stand.out for process in fleet.hollows for stand in process.stands().values()]
    lacking = sum(not {f"x{n + 1}" for n in range(fleet.words_said)} <= out for out in outs)
    if lacking or any("refused" in out for out in outs):
        raise Failed(f"{lacking} hollow sidecars lack a promised word, or one has the refused one")
    print(f"the far region refused a word in {refused_within:.2f} s; it knew of {age} ms ago when the regions joined")
    sidecars = sum(len(process.plan.names) for process in far)
    rows.append(_recovery_row(fleet, f"{REGION}-back", sidecars, round(refused_within, 4), asked_at, back))
    return usage_rows(fleet, f"{REGION}-back", first, _sample(fleet)), rows


def stalled(fleet: Fleet, stopped: HollowProcess, count: int) -> Rows:
    """All hollow sidecars of one process stand still, with their connections open, while words are said; then they go
    on. The times of the words are of all the others."""
    others = [process for process in fleet.hollows if process is not stopped]
    fleet.stop(stopped)
    rows = []
    for number in range(count):
        asked_at = time.time()
        spread = fleet.word(among=others)
        time.sleep(CHANGES_APART)
        rows.append(_time_row(fleet, STALLED, WORD, number, asked_at, spread))
    roles = fleet.roles()
    first, peaks = _sample(fleet), Peaks([pid for pid, role in roles.items() if role in ("leader", "voter")])
    asked_at = time.time()
    fleet.go_on(stopped)
    back = fleet.wait_reached(WORD, spread.number, among=[stopped])
    time.sleep(2 * PEAK_WINDOW)
    most = peaks.end()
    for pid, rate in most.items():
        print(f"back: {roles[pid]} sent {rate / 1000:.0f} kB/s at the most, over {PEAK_WINDOW} s")
    rows.append(_recovery_row(fleet, f"{STALLED}-back", len(stopped.plan.names), 0.0, asked_at, back))
    return usage_rows(fleet, f"{STALLED}-back", first, _sample(fleet)), rows


class Writer:
    """Words to the fleet, one after another, by way of a real sidecar that follows; keeps what was promised."""

    def __init__(self, fleet: Fleet) -> None:
        self.sidecar = next(iter(fleet.followers.values()))
        self.promised: dict[str, float] = {}  # when each OK came, monotonic
        self.refused: list[str] = []
        self.over = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        number = 0
        while not self.over.wait(WORD_EVERY):
            number += 1
            name = f"y{number}"
            answer = self.sidecar.call(f"FLEET-DISABLE {name}")
            if answer.startswith("OK "):
                self.promised[name] = time.monotonic()
            else:
                self.refused.append(answer)

    def end(self) -> None:
        self.over.set()
        self.thread.join()

    def longest_gap(self) -> float:
        times = list(self.promised.values())
        return max((later - earlier for earlier, later in zip(times, times[1:], strict=False)), default=0.0)


def leader_killed(fleet: Fleet, seconds: float) -> Rows:
    """SIGKILL to the leader while words are said; nothing that was promised may be missing at any sidecar."""
    writer = Writer(fleet)
    time.sleep(seconds / 2)
    killed = fleet.kill_leader()
    time.sleep(seconds / 2)
    writer.end()
    asked_at = time.time()
    said = fleet.say_word()
    first, last = fleet.wait_reached(WORD, said.number)
    stands = {name: stand for process in fleet.hollows for name, stand in process.stands().items()}
    lost = {name for name, stand in stands.items() if writer.promised.keys() - stand.out}
    if lost:
        raise Failed(f"promised words are missing at {len(lost)} hollow sidecars")
    print(
        f"leader {killed.name} killed: {len(writer.promised)} words promised, {len(writer.refused)} refused, none "
        f"of the promised missing at {len(stands)} hollow sidecars; longest without an OK {writer.longest_gap():.2f} s"
    )
    gap = round(writer.longest_gap(), 4)
    row = _recovery_row(fleet, LEADER, len(writer.promised), gap, asked_at, (first, last))
    return [], [row]


def shown(rows: list[TimeRow]) -> str:
    """Median and worst of a phase's changes."""
    if not rows:
        return ""
    lasts, reals = sorted(r.last for r in rows), sorted(r.last_real for r in rows)
    return (
        f"{rows[0].phase}: {len(rows)} changes, to the last of {rows[0].hollow} hollow "
        f"{statistics.median(lasts) * 1000:.0f} ms median, {lasts[-1] * 1000:.0f} ms worst; to the last of "
        f"{rows[0].real} real {statistics.median(reals) * 1000:.0f} ms median, {reals[-1] * 1000:.0f} ms worst"
    )


def of_phases(size: Size, phases: tuple[str, ...], count: int, idle_for: float, changes_for: float) -> Rows:
    """One fleet through idle and kinds of changes."""
    times: list[TimeRow] = []
    with Fleet(size) as fleet:
        fleet.begin()
        usage, _ = idle(fleet, idle_for)
        for phase in phases:
            phase_usage, phase_times = changes(fleet, phase, count, changes_for)
            print(shown(phase_times), flush=True)
            usage += phase_usage
            times += phase_times
    return usage, times
