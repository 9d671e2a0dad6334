"""A seeded soak of one sidecar: mixed servers, ordinary callers, often a crowd, signals in series, an early SIGKILL.

`PYTHONPATH=. python tests/soak.py FIRST COUNT` plays so many seeds and prints a line for each. A play checks from
outside the process: resident memory below the limit, no process that ends by itself, every ordinary request answered in
time, no request that must run once run twice.
"""

import asyncio
import json
import random
import signal
import sys
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from crowd_scene import KIB, MIB, CrowdClient, CrowdSidecar, answer_with, head, resident, served_after
from test_memory_limit import MEGABYTE, PICTURES, crowd_member

RUNS_FOR = 4.0  # seconds before the first SIGTERM
LONGEST_DEADLINE = 3.0  # seconds, of the settings' classes
KILL_AFTER = LONGEST_DEADLINE + 0.7  # seconds from SIGTERM: the earliest time at which SIGKILL may come
NEW_CONNECTIONS_FOR = 0.3  # seconds from SIGTERM in which new connections come
LATE = 0.5  # seconds past its deadline from which on a final answer is lost


@dataclass
class Play:
    """What one seed draws, and what was seen."""

    seed: int
    memory_mb: int
    sockets: int
    crowd: list
    callers: int
    answers: list
    statuses: Counter = field(default_factory=Counter)
    faults: list = field(default_factory=list)
    terminated_at: float = 0.0
    killed: bool = False


def draw(seed):
    """Draw a play from a seed."""
    dice = random.Random(seed)
    memory_mb, sockets = dice.choice([(32, 1024), (32, 256), (48, 1024), (64, 512), (192, 1024)])
    names = dice.sample(sorted(PICTURES), dice.randint(1, 3)) if dice.random() < 0.6 else []
    size = dice.randint(20, sockets // 2 - 20)
    answers = [
        dice.choice([served_after(0.0), served_after(dice.uniform(0.1, 1.5)), answer_with(dice.randint(1, 200) * KIB)])
        for _ in range(4)
    ]
    crowd = [PICTURES[dice.choice(names)] for _ in range(size)] if names else []
    return Play(seed, memory_mb, sockets, crowd, dice.randint(4, 10), answers), dice


async def ordinary_caller(play, sidecar, dice, number):
    """Send one request after another on a connection for as long as it stays open, until SIGKILL."""
    loop = asyncio.get_running_loop()
    client, count = None, 0
    try:
        while not play.killed:
            if client is None:
                if play.terminated_at and loop.time() > play.terminated_at + NEW_CONNECTIONS_FOR:
                    return
                client = CrowdClient(sidecar.address)
                try:
                    await client.connect()
                except OSError:
                    return
            count += 1
            client = await request_once(play, sidecar, client, dice, f"s{play.seed}-{number}-{count}")
            await asyncio.sleep(dice.uniform(0.0, 0.1))
    finally:
        if client is not None:
            client.close()


async def request_once(play, sidecar, client, dice, request_id):
    """Send one request; return its connection, None if that has ended."""
    deadline = dice.uniform(0.5, LONGEST_DEADLINE)
    if dice.random() < 0.5:
        request = head(0, "status-read", int(deadline * 1000), method=b"GET", request_id=request_id)
    else:
        request = head(2, "apply-submit", int(deadline * 1000), request_id=request_id) + b"{}"
    status, reason = 0, "closed"
    try:
        await client.send(request)  # before the wait, which would begin a turn of this loop later
        status, _ = await asyncio.wait_for(client.response(), deadline + LATE)
    except TimeoutError:
        reason = "late"
    except OSError as error:
        reason = type(error).__name__
    if status:
        play.statuses[status] += 1
        return client
    client.close()
    ran = sum(server.ran[request_id] for server in sidecar.servers)
    play.statuses[reason] += 1
    # A close between requests may cross one that is not read; it must not have been forwarded then.
    if ran or reason == "late" or (play.killed and reason != "closed"):
        play.faults.append(f"{request_id}: no answer ({reason}), run {ran} times")
    return None


async def send_signals(play, sidecar, dice):
    """Send reloads, then SIGTERM, in some plays with more signals behind it; SIGKILL at the earliest time."""
    loop, program = asyncio.get_running_loop(), sidecar.program
    until = loop.time() + RUNS_FOR
    while loop.time() < until:
        await asyncio.sleep(dice.uniform(0.2, 1.5))
        for _ in range(dice.choice([0, 1, 5])):
            program.send_signal(signal.SIGHUP)
    if program.poll() is not None:
        play.faults.append(f"the process ended by itself with {program.returncode}")
        play.killed = True
        return
    play.terminated_at = loop.time()
    program.send_signal(signal.SIGTERM)
    kill_at = play.terminated_at + KILL_AFTER
    while loop.time() < kill_at and program.poll() is None:
        note_peak(play, program)
        if dice.random() < 0.1:
            program.send_signal(dice.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGINT]))
        await asyncio.sleep(0.05)
    play.killed = True
    program.kill()
    program.wait()


def note_peak(play, program):
    """Check the highest resident memory so far."""
    with suppress(OSError, StopIteration):  # it has just ended
        peak = resident(program.pid) * MIB
        play.statuses["peak"] = max(play.statuses["peak"], int(peak))


async def run(play, dice):
    """Play one seed."""
    answers = iter(play.answers)
    async with CrowdSidecar(play.answers[0], play.memory_mb, play.sockets) as sidecar:
        for server in sidecar.servers:
            server.answer = next(answers)
        callers = [ordinary_caller(play, sidecar, dice, number) for number in range(play.callers)]
        tasks = [asyncio.create_task(caller) for caller in callers]
        ended = Counter()
        tasks += [asyncio.create_task(crowd_member(sidecar, picture, ended)) for picture in play.crowd]
        await send_signals(play, sidecar, dice)
        await asyncio.sleep(0.1)
        for task in tasks[play.callers :]:
            task.cancel()
        await asyncio.wait(tasks[: play.callers], timeout=LONGEST_DEADLINE + 2 * LATE)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        counts = Counter()
        for server in sidecar.servers:
            counts.update(server.once)
        play.faults += [f"{name}: run {count} times" for name, count in counts.items() if count > 1]
        if play.statuses["peak"] >= play.memory_mb * MEGABYTE:
            play.faults.append(f"resident memory {play.statuses['peak'] / MEGABYTE:.1f} of {play.memory_mb} MB")
        if "coroutine.broken" in sidecar.log():
            play.faults.append(sidecar.log())


def play_seed(seed):
    """Play a seed and return it."""
    play, dice = draw(seed)
    asyncio.run(run(play, dice))
    return play


def main():
    """Play the seeds that the arguments name."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, first + count):
        play = play_seed(seed)
        failed += bool(play.faults)
        limits = f"{play.memory_mb} MB, {play.sockets} sockets, crowd {len(play.crowd)}"
        print(seed, limits, json.dumps(play.statuses), "FAULTS" if play.faults else "ok", play.faults[:3], flush=True)
    print(f"{count} seeds, {failed} with faults")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
