"""Crowds of clients that hold memory: the process stays under its limit, as the kernel counts it, and serves others."""

import asyncio
import http.client
import json
import os
import threading
from collections import Counter
from contextlib import suppress
from typing import NamedTuple

import pytest
from crowd_scene import (
    KIB,
    MIB,
    CrowdClient,
    CrowdSidecar,
    answer_with,
    head,
    many_field_answer,
    resident,
    served_after,
    short_fields,
)

from loftweir.net.memory import BudgetSizes

MEGABYTE = 1_000_000  # bytes
CLIENTS = 480
WAVES = 2
WAVE_SECONDS = 8.0
DEADLINE = 2.0  # seconds, of an ordinary request
LATE_STATUS = -1  # in place of the status of a final answer that did not come in time
LEAST_REQUESTS = 5  # of the ordinary caller, beside the crowd or right after it
LATE = 0.5  # seconds past its deadline from which on a final answer is lost


async def send_slow_head(client, fields):
    """Send a head with these fields in twenty pieces over 1.6 s."""
    data = head(2, fields=fields) + b"{}"
    await client.send(data, len(data) // 20, 0.08)
    await client.response()


async def slow_head_of_long_fields(client):
    await send_slow_head(client, b"".join(b"x%d: %s\r\n" % (n, b"y" * 70) for n in range(90)))


async def slow_head_of_short_fields(client):
    await send_slow_head(client, short_fields(15 * KIB))


def head_of_short_fields(size, filled):
    """Send a head at once; `filled`: each field has a value, so that it is in the common form."""

    async def behave(client):
        fields = b"".join(b"%x: 1\r\n" % n for n in range(size // 8)) if filled else short_fields(size)
        await client.send(head(2, fields=fields) + b"{}")
        await client.response()

    return behave


def half_body(size):
    half = b"x" * (size // 2)

    async def behave(client):
        await client.send(head(size))
        await client.send(half)
        await client.read()

    return behave


def half_chunk(size):
    async def behave(client):
        await client.send(head() + b"%x\r\n" % size + b"x" * (size // 2))
        await client.read()

    return behave


def slow_body(size):
    async def behave(client):
        await client.send(head(size) + b"x" * (size // 2))
        await client.send(b"x" * (size - size // 2), size // 20, 0.2)
        await client.response()

    return behave


async def read_slowly(client):
    await client.send(head(2) + b"{}")
    await client.read_slowly(16 * KIB, client.loop.time() + 6)


async def pipeline_half_a_request(client):
    await client.send(head(2) + b"{}" + head(60_000) + b"x" * 59_000)
    await client.read()
    await asyncio.sleep(2)


async def everything_at_once(client):
    crowd = [picture.behave for name, picture in PICTURES.items() if name != "all_together"]
    await crowd[client.sock.fileno() % len(crowd)](client)


class Picture(NamedTuple):
    behave: object  # what each client of the crowd does
    answer: object = served_after(1.0)
    receive_buffer: int = 0  # of each client, in bytes; 0: the system's


PICTURES = {
    "slow_head_of_long_fields": Picture(slow_head_of_long_fields),
    "slow_head_of_short_fields": Picture(slow_head_of_short_fields),
    "common_head_of_short_fields": Picture(head_of_short_fields(8000, filled=True)),
    "head_of_short_fields_15k": Picture(head_of_short_fields(15_000, filled=False)),
    "head_of_short_fields_60k": Picture(head_of_short_fields(60_000, filled=False)),
    "half_body_64k": Picture(half_body(64 * KIB)),
    "half_body_1m": Picture(half_body(MIB)),
    "half_body_8m": Picture(half_body(8 * MIB)),
    "half_chunk_64k": Picture(half_chunk(64 * KIB)),
    "half_chunk_1m": Picture(half_chunk(MIB)),
    "slow_body_200k": Picture(slow_body(200 * KIB)),
    "pipelined_half_request": Picture(pipeline_half_a_request),
    "slow_reader_64k": Picture(read_slowly, answer_with(64 * KIB), 4 * KIB),
    "slow_reader_1m": Picture(read_slowly, answer_with(MIB), 4 * KIB),
    "slow_reader_of_chunks_60k": Picture(read_slowly, answer_with(60 * KIB, chunk=KIB), 4 * KIB),
    "slow_reader_of_chunks_1m": Picture(read_slowly, answer_with(MIB, chunk=16 * KIB), 4 * KIB),
    "slow_reader_of_many_fields": Picture(read_slowly, many_field_answer, 4 * KIB),
    "all_together": Picture(everything_at_once, answer_with(MIB, chunk=16 * KIB), 4 * KIB),
}


async def crowd_member(sidecar, picture, ended):
    """One client of the crowd."""
    client = CrowdClient(sidecar.address, picture.receive_buffer)
    try:
        await client.connect()
        await picture.behave(client)
        ended["ended"] += 1
    except OSError as error:
        ended[type(error).__name__] += 1
    finally:
        client.close()


def ordinary_caller(address, stopped, statuses):
    """Send small requests one after another, in a thread as the crowd keeps its loop busy."""
    client = http.client.HTTPConnection(address, timeout=DEADLINE + LATE)
    while not stopped.is_set():
        statuses[ask(client) or ask(client)] += 1  # a close between requests may cross one: it is then sent once more
        stopped.wait(0.1)
    client.close()


def ask(client):
    """Send a request; return its status, 0 if its connection ended, LATE_STATUS if it has no final answer in time."""
    fields = {"Req-Id": os.urandom(8).hex(), "Req-Kind": "status-read", "Req-Deadline-Ms": str(int(DEADLINE * 1000))}
    try:
        client.request("GET", "/api", headers=fields)
        response = client.getresponse()
        response.read()
        return response.status
    except TimeoutError:
        client.close()
        return LATE_STATUS
    except (OSError, http.client.HTTPException):
        client.close()
        return 0


async def play(picture, memory_mb, sockets=1024, **changes):
    """Play waves of a crowd; return the peak of resident memory in bytes, and the statuses of ordinary requests."""
    async with CrowdSidecar(picture.answer, memory_mb, sockets, **changes) as sidecar:
        statuses, ended = Counter(), Counter()
        stopped = threading.Event()
        caller = threading.Thread(target=ordinary_caller, args=(sidecar.address, stopped, statuses))
        caller.start()
        for _ in range(WAVES):
            crowd = asyncio.gather(*(crowd_member(sidecar, picture, ended) for _ in range(CLIENTS)))
            with suppress(TimeoutError):
                await asyncio.wait_for(crowd, WAVE_SECONDS)
        until = asyncio.get_running_loop().time() + WAVE_SECONDS
        while statuses.total() < LEAST_REQUESTS and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.1)
        stopped.set()
        await asyncio.to_thread(caller.join)
        assert sidecar.program.poll() is None, sidecar.log()
        peak = resident(sidecar.program.pid) * MIB
        print(json.dumps({"peak_mb": round(peak / MEGABYTE, 1), "statuses": statuses, "crowd": ended}))
        return peak, statuses


@pytest.mark.parametrize("name", PICTURES)
def test_a_crowd_of_clients_does_not_take_the_process_over_its_memory_limit(name):
    peak, statuses = asyncio.run(play(PICTURES[name], memory_mb=32))
    assert peak < 32 * MEGABYTE
    assert not statuses[0] and not statuses[LATE_STATUS], statuses  # every ordinary request has its final answer
    assert statuses.total() >= LEAST_REQUESTS, statuses


@pytest.mark.parametrize("name", ["common_head_of_short_fields", "head_of_short_fields_60k", "all_together"])
def test_a_crowd_whose_requests_stay_for_long_does_not_take_the_process_over_its_memory_limit(name):
    picture = PICTURES[name]._replace(answer=served_after(20.0))
    peak, _ = asyncio.run(play(picture, memory_mb=64, long_deadlines=True))
    assert peak < 64 * MEGABYTE


@pytest.mark.parametrize(
    ("limit", "resident", "clients"), [(32, 20, 512), (32, 20, 128), (32, 31, 512), (48, 40, 2048), (192, 24, 512)]
)
def test_the_budgets_leave_room_for_what_is_resident_and_for_each_connection(limit, resident, clients):
    limit, resident = limit * MIB, resident * MIB
    wanted = BudgetSizes(limit // 4, limit // 8)
    fitted = wanted.fitted(limit, resident, clients)
    assert 0 < fitted.requests <= wanted.requests and 0 < fitted.answers <= wanted.answers
    in_no_budget = resident + clients * 14 * KIB
    if in_no_budget + limit // 8 < limit:
        assert in_no_budget + sum(fitted) < limit
    if in_no_budget + sum(wanted) + limit // 8 < limit:
        assert fitted == wanted


def test_a_limit_below_what_the_program_takes_at_rest_changes_no_budget():
    wanted = BudgetSizes(4 * MIB, 2 * MIB)
    assert wanted.fitted(16 * MIB, 20 * MIB, 128) == wanted
