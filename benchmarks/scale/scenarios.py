"""The scenarios: idle, changes, restarts, partitions, stalls, a killed leader, stub sidecars beside real ones."""

from __future__ import annotations

import statistics
import threading
import time
from collections.abc import Callable

from benchmarks.scale.fleet import ChangeTimes, Fleet, RunFailed, Size, StubProcess
from benchmarks.scale.hollow import LIST, OVERRIDE
from benchmarks.scale.points import TimeRow, UsageRow, machine, usage_rows
from benchmarks.scale.usage import Sample, sample, usage_difference

SETTLE_TIME = 2.0  # s
# Phases, as the CSV files name them.
IDLE = "idle"
OVERRIDES = "words"
LISTS_WHOLE = "lists-whole"
LISTS_CHANGES = "lists-changes"
RESTART = "restart"
LEADER = "leader"
BESIDE = "beside"
STALLED = "stalled"
ZONE = "zone"
REGION = "region"
CHANGE_PHASES = (OVERRIDES, LISTS_CHANGES, LISTS_WHOLE)
CHANGE_INTERVAL = 0.2  # s between two changes
LOG_TIMEOUT = 5.0  # s for the log lines of real sidecars, once all stub sidecars have a change
LOG_POLL_INTERVAL = 0.05  # s
PEAK_WINDOW = 0.25  # s over which a peak of traffic is averaged
OVERRIDE_INTERVAL = 0.05  # s between two overrides of an `OverrideWriter`

Rows = tuple[list[UsageRow], list[TimeRow]]


def _sample(fleet: Fleet) -> Sample:
    return sample(list(fleet.roles()))


def idle(fleet: Fleet, seconds: float) -> Rows:
    """Measures a fleet without changes."""
    time.sleep(SETTLE_TIME)
    first = _sample(fleet)
    time.sleep(seconds)
    return usage_rows(fleet, IDLE, first, _sample(fleet)), []


def changes(fleet: Fleet, phase: str, count: int, seconds: float) -> Rows:
    """Makes changes one after another, up to `count` or until the time is over."""
    once: dict[str, Callable[[int], ChangeTimes]] = {
        OVERRIDES: lambda number: fleet.timed_override(),
        LISTS_WHOLE: lambda number: fleet.timed_list_change(number, whole=True),
        LISTS_CHANGES: lambda number: fleet.timed_list_change(number, whole=False),
    }
    kind = OVERRIDE if phase == OVERRIDES else LIST
    until = time.monotonic() + seconds
    first = _sample(fleet)
    measured: list[tuple[float, ChangeTimes]] = []
    while len(measured) < count and time.monotonic() < until:
        called_at = time.time()
        measured.append((called_at, once[phase](len(measured))))
        time.sleep(CHANGE_INTERVAL)
    usage = usage_rows(fleet, phase, first, _sample(fleet), len(measured))
    return usage, [_time_row(fleet, phase, kind, n, at, s) for n, (at, s) in enumerate(measured)]


def _received_at_real(fleet: Fleet, kind: str, number: int) -> dict[str, float | None]:
    """When each real sidecar received a change that all stub sidecars have. Raises `RunFailed` if one lacks it.

    The times are those of their logs, which nothing orders with what the stub sidecars report.
    """
    until = time.monotonic() + LOG_TIMEOUT
    while True:
        received = fleet.received_at_real(kind, number)
        lacking = [name for name, at in received.items() if at is None]
        if not lacking:
            return received
        if time.monotonic() > until:
            raise RunFailed(f"{kind} {number} has not reached {lacking}")
        time.sleep(LOG_POLL_INTERVAL)


def _time_row(fleet: Fleet, phase: str, kind: str, number: int, called_at: float, times: ChangeTimes) -> TimeRow:
    at_real = _received_at_real(fleet, kind, times.number)
    last_real = max((at - called_at for at in at_real.values() if at is not None), default=0.0)
    size = fleet.size
    return TimeRow(
        fleet.run,
        phase, size.hollow, size.real, size.voters, number, times.size, round(times.accepted, 4),
        round(times.first, 4), round(times.last, 4), round(last_real, 4), *machine(),
    )  # fmt: skip


def _recovery_row(
    fleet: Fleet, phase: str, size: int, accepted: float, called_at: float, reached: tuple[float, float]
) -> TimeRow:
    """A row of stub sidecars alone: `reached` is when the first and the last of them had every change."""
    fleet_size, (first_at, last_at) = fleet.size, reached
    return TimeRow(
        fleet.run, phase, fleet_size.hollow, fleet_size.real, fleet_size.voters, 0, size, accepted,
        round(first_at - called_at, 4), round(last_at - called_at, 4), 0.0, *machine(),
    )  # fmt: skip


class PeakRates:
    """The highest rate at which each process sent, over `PEAK_WINDOW`, until `end`."""

    def __init__(self, pids: list[int]) -> None:
        self.pids = pids
        self.peaks_by_pid: dict[int, float] = dict.fromkeys(pids, 0.0)  # bytes a second
        self.stopping = threading.Event()
        self.before = sample(pids)  # sampled before the thread runs, so that the first window starts now
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        before = self.before
        while not self.stopping.wait(PEAK_WINDOW):
            now = sample(self.pids)
            used = usage_difference(before, now)
            for pid in self.pids:
                sent = sum(c.bytes_out for (owner, _), c in used.traffic.items() if owner == pid)
                self.peaks_by_pid[pid] = max(self.peaks_by_pid[pid], sent / used.seconds)
            before = now

    def end(self) -> dict[int, float]:
        """Stops sampling and returns the peaks by pid, in bytes a second."""
        self.stopping.set()
        self.thread.join()
        return self.peaks_by_pid


def restart(fleet: Fleet, restarted: StubProcess, overrides: int) -> Rows:
    """Ends all stub sidecars of one process at once and restarts them at once, without any state."""
    while fleet.override_count < overrides:
        fleet.submit_override()
    index = fleet.submit_override().number
    fleet.wait_reached(OVERRIDE, index)
    restarted.kill()
    time.sleep(SETTLE_TIME)
    roles = fleet.roles()
    serving = [pid for pid, role in roles.items() if role in ("leader", "voter", "discovery")]
    first, peaks = _sample(fleet), PeakRates(serving)
    called_at = time.time()
    restarted.start()
    followed = fleet.wait_reached(OVERRIDE, index, among=[restarted])
    listed = fleet.wait_reached(LIST, fleet.members.index, among=[restarted])
    peaks_by_pid = peaks.end()
    usage = usage_rows(fleet, RESTART, first, _sample(fleet))
    for pid, rate in peaks_by_pid.items():
        print(f"restart: {roles[pid]} sent {rate / 1000:.0f} kB/s at the most, over {PEAK_WINDOW} s")
    size = len(restarted.plan.names)
    rows = [
        _recovery_row(fleet, f"{RESTART}-{OVERRIDE}", size, 0.0, called_at, followed),
        _recovery_row(fleet, f"{RESTART}-{LIST}", size, 0.0, called_at, listed),
    ]
    return usage, rows


def zone(fleet: Fleet, lost: StubProcess, overrides: int) -> Rows:
    """Loses a zone: the stub sidecars of one process and a voter that does not lead end at once.

    An override is set; then all of them restart, the voter with its files.
    """
    while fleet.override_count < overrides:
        fleet.submit_override()
    voter = next(voter for voter in fleet.voters.values() if voter is not fleet.leader())
    others = [process for process in fleet.stubs if process is not lost]
    called_at = time.time()
    voter.kill()
    lost.kill()
    without = fleet.submit_override().number
    reached = fleet.wait_reached(OVERRIDE, without, among=others)
    rows = [_recovery_row(fleet, f"{ZONE}-others", fleet.size.hollow - len(lost.plan.names), 0.0, called_at, reached)]
    time.sleep(SETTLE_TIME)
    roles = fleet.roles()
    serving = [pid for pid, role in roles.items() if role in ("leader", "voter", "discovery")]
    first, peaks = _sample(fleet), PeakRates(serving)
    called_at = time.time()
    voter.start()
    lost.start()
    followed = fleet.wait_reached(OVERRIDE, without, among=[lost])
    listed = fleet.wait_reached(LIST, fleet.members.index, among=[lost])
    fleet.wait(lambda: int(voter.status().get("index", 0)) >= without, f"{voter.name} is behind")
    voted_at = time.time()
    for pid, rate in peaks.end().items():
        print(f"zone: {roles[pid]} sent {rate / 1000:.0f} kB/s at the most, over {PEAK_WINDOW} s")
    size = len(lost.plan.names)
    for what, times in ((OVERRIDE, followed), (LIST, listed), ("voter", (voted_at, voted_at))):
        rows.append(_recovery_row(fleet, f"{ZONE}-{what}", size, 0.0, called_at, times))
    return usage_rows(fleet, ZONE, first, _sample(fleet)), rows


def region(fleet: Fleet, overrides: int, seconds: float) -> Rows:
    """Partitions two regions, sets overrides in the near one, which has a majority, and heals the partition.

    The far region has to reject an override.
    """
    near = [process for process in fleet.stubs if not process.plan.far]
    far = [process for process in fleet.stubs if process.plan.far]
    far_voter = fleet.voters[fleet.far_voter]
    fleet.partition_regions()
    refused_at = time.time()
    answer = far_voter.call("FLEET-DISABLE refused")
    refused_within = time.time() - refused_at
    if "NoMajority" not in answer:
        raise RunFailed(f"the far region answered: {answer}")
    rows: list[TimeRow] = []
    for number in range(overrides):
        called_at = time.time()
        times = fleet.timed_override(among=near)
        rows.append(_time_row(fleet, REGION, OVERRIDE, number, called_at, times))
        time.sleep(max(0.0, called_at + seconds / overrides - time.time()))
    age = far_voter.status().get("age_ms", "-")
    roles = fleet.roles()
    voting = [pid for pid, role in roles.items() if role in ("leader", "voter")]
    first, peaks = _sample(fleet), PeakRates(voting)
    called_at = time.time()
    fleet.heal_regions()
    back = fleet.wait_reached(OVERRIDE, times.number, among=far)
    time.sleep(2 * PEAK_WINDOW)
    for pid, rate in peaks.end().items():
        print(f"joined: {roles[pid]} sent {rate / 1000:.0f} kB/s at the most, over {PEAK_WINDOW} s")
    disabled = [state.out for process in fleet.stubs for state in process.states().values()]
    lacking = sum(not {f"x{n + 1}" for n in range(fleet.override_count)} <= out for out in disabled)
    if lacking or any("refused" in out for out in disabled):
        raise RunFailed(f"{lacking} stub sidecars lack an acknowledged override, or one has the rejected one")
    print(f"the far region refused a word in {refused_within:.2f} s; it knew of {age} ms ago when the regions joined")
    sidecars = sum(len(process.plan.names) for process in far)
    rows.append(_recovery_row(fleet, f"{REGION}-back", sidecars, round(refused_within, 4), called_at, back))
    return usage_rows(fleet, f"{REGION}-back", first, _sample(fleet)), rows


def stalled(fleet: Fleet, stopped: StubProcess, count: int) -> Rows:
    """Stops all stub sidecars of one process, with open connections, while overrides are set, and resumes them.

    The times of the overrides are those of all other stub sidecars.
    """
    others = [process for process in fleet.stubs if process is not stopped]
    fleet.stop(stopped)
    rows = []
    for number in range(count):
        called_at = time.time()
        times = fleet.timed_override(among=others)
        time.sleep(CHANGE_INTERVAL)
        rows.append(_time_row(fleet, STALLED, OVERRIDE, number, called_at, times))
    roles = fleet.roles()
    first, peaks = _sample(fleet), PeakRates([pid for pid, role in roles.items() if role in ("leader", "voter")])
    called_at = time.time()
    fleet.resume(stopped)
    back = fleet.wait_reached(OVERRIDE, times.number, among=[stopped])
    time.sleep(2 * PEAK_WINDOW)
    peaks_by_pid = peaks.end()
    for pid, rate in peaks_by_pid.items():
        print(f"back: {roles[pid]} sent {rate / 1000:.0f} kB/s at the most, over {PEAK_WINDOW} s")
    rows.append(_recovery_row(fleet, f"{STALLED}-back", len(stopped.plan.names), 0.0, called_at, back))
    return usage_rows(fleet, f"{STALLED}-back", first, _sample(fleet)), rows


class OverrideWriter:
    """Sets overrides one after another by way of a real sidecar without a vote, and keeps those acknowledged."""

    def __init__(self, fleet: Fleet) -> None:
        self.sidecar = next(iter(fleet.followers.values()))
        self.acknowledged: dict[str, float] = {}  # when each OK arrived, monotonic time in s
        self.rejected: list[str] = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        number = 0
        while not self.stopping.wait(OVERRIDE_INTERVAL):
            number += 1
            name = f"y{number}"
            answer = self.sidecar.call(f"FLEET-DISABLE {name}")
            if answer.startswith("OK "):
                self.acknowledged[name] = time.monotonic()
            else:
                self.rejected.append(answer)

    def end(self) -> None:
        """Stops, after the override that is in flight."""
        self.stopping.set()
        self.thread.join()

    def longest_gap(self) -> float:
        """The longest time between two OKs, in s."""
        times = list(self.acknowledged.values())
        return max((later - earlier for earlier, later in zip(times, times[1:], strict=False)), default=0.0)


def leader_killed(fleet: Fleet, seconds: float) -> Rows:
    """Kills the leader while overrides are set; no sidecar may lack an acknowledged override."""
    writer = OverrideWriter(fleet)
    time.sleep(seconds / 2)
    killed = fleet.kill_leader()
    time.sleep(seconds / 2)
    writer.end()
    called_at = time.time()
    last_override = fleet.submit_override()
    first, last = fleet.wait_reached(OVERRIDE, last_override.number)
    states = {name: state for process in fleet.stubs for name, state in process.states().items()}
    lost = {name for name, state in states.items() if writer.acknowledged.keys() - state.out}
    if lost:
        raise RunFailed(f"acknowledged overrides are missing at {len(lost)} stub sidecars")
    print(
        f"leader {killed.name} killed: {len(writer.acknowledged)} words promised, {len(writer.rejected)} refused, none "
        f"of the promised missing at {len(states)} hollow sidecars; longest without an OK {writer.longest_gap():.2f} s"
    )
    gap = round(writer.longest_gap(), 4)
    row = _recovery_row(fleet, LEADER, len(writer.acknowledged), gap, called_at, (first, last))
    return [], [row]


def summary(rows: list[TimeRow]) -> str:
    """Median and worst time of a phase's changes, as a line of text."""
    if not rows:
        return ""
    lasts, reals = sorted(r.last for r in rows), sorted(r.last_real for r in rows)
    return (
        f"{rows[0].phase}: {len(rows)} changes, to the last of {rows[0].hollow} hollow "
        f"{statistics.median(lasts) * 1000:.0f} ms median, {lasts[-1] * 1000:.0f} ms worst; to the last of "
        f"{rows[0].real} real {statistics.median(reals) * 1000:.0f} ms median, {reals[-1] * 1000:.0f} ms worst"
    )


def run_phases(size: Size, phases: tuple[str, ...], count: int, idle_for: float, changes_for: float) -> Rows:
    """Takes one fleet through idle and the phases of changes."""
    times: list[TimeRow] = []
    with Fleet(size) as fleet:
        fleet.start()
        usage, _ = idle(fleet, idle_for)
        for phase in phases:
            phase_usage, phase_times = changes(fleet, phase, count, changes_for)
            print(summary(phase_times), flush=True)
            usage += phase_usage
            times += phase_times
    return usage, times
