"""One client that sends at full speed: the others get their answers in time, and the process's memory stays bounded."""

import asyncio
import itertools
import json
import multiprocessing
import select
import socket
import time
from contextlib import suppress

import pytest
from crowd_scene import CrowdClient, CrowdSidecar, head, resident, served

FLOOD_SECONDS = 4.0
CALLERS = 4
DEADLINE = 1.0  # seconds, of an ordinary request
LATE = 0.5  # seconds past its deadline from which on a final answer is lost
MOST_GROWTH = 8.0  # MiB of resident memory
LEAST_SENT = 2000  # requests of the flood
BATCH = 50  # requests in one write


def health_checks(number):
    return b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"


def reads(number):
    return head(0, "status-read", method=b"GET", request_id=f"f{number}")


def small_chunks(number):
    return head(None, "apply-submit", request_id=f"f{number}") + b"1\r\nx\r\n" * 20 + b"0\r\n\r\n"


def endless_chunks(number):
    if number % 100_000 == 0:
        return head(None, "apply-submit", request_id=f"f{number}")
    return b"1\r\nx\r\n"


def new_field_names(number):
    return head(0, "status-read", method=b"GET", fields=b"x-%d: 1\r\n" % number, request_id=f"f{number}")


def new_keys(number):
    fields = b"Req-Key: k%d\r\nReq-Owner: o%d\r\n" % (number, number)
    return head(0, "status-read", method=b"GET", fields=fields, request_id=f"f{number}")


def unknown_classes(number):
    return head(0, f"class-{number}", method=b"GET", request_id=f"f{number}")


def unknown_paths(number):
    return b"GET /p%d HTTP/1.1\r\nHost: h\r\n\r\n" % number


def no_http(number):
    return b"\x00\xff%d\r\n\r\n" % number


def blank_lines(number):
    return b"\r\n" * 50


def one_id(number):
    return head(0, "status-read", method=b"GET", request_id="same")


def short_deadlines(number):
    return head(0, "status-read", method=b"GET", deadline_ms=1, request_id=f"f{number}")


FLOODS = [
    health_checks,
    reads,
    small_chunks,
    endless_chunks,
    new_field_names,
    new_keys,
    unknown_classes,
    unknown_paths,
    no_http,
    blank_lines,
    one_id,
    short_deadlines,
]


def flood(address, make, seconds, sent):
    """Send at full speed and read all answers; connect again whenever the connection ends. `sent` counts requests."""
    host, port = address.split(":")
    numbers = itertools.count()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with suppress(OSError), socket.create_connection((host, int(port)), timeout=1) as sock:
            sock.setblocking(False)
            data = b""
            while time.monotonic() < until:
                if not data:
                    data = b"".join(make(next(numbers)) for _ in range(BATCH))
                    sent.value += BATCH
                readable, writable, _ = select.select([sock], [sock], [], 0.1)
                if readable and not sock.recv(1 << 20):
                    break
                if writable:
                    data = data[sock.send(data) :]


async def ordinary_caller(address, until, times):
    """Send small requests one after another; note how long each one takes, None if it has no final answer in time."""
    loop = asyncio.get_running_loop()
    client = CrowdClient(address)
    await client.connect()
    while loop.time() < until:
        began = loop.time()
        status = 0
        with suppress(OSError, TimeoutError):
            request = head(0, "status-read", int(DEADLINE * 1000), method=b"GET")
            status = await asyncio.wait_for(client.ask(request), DEADLINE + LATE)
        times.append((status, loop.time() - began))
        if not status:
            client.close()
            client = CrowdClient(address)
            await client.connect()
        await asyncio.sleep(0.05)
    client.close()


async def play(make):
    """Play one flood; return the statuses and times of ordinary requests, and the growth of memory in MiB."""
    async with CrowdSidecar(served, memory_mb=192) as sidecar:
        before = resident(sidecar.program.pid)
        sent = multiprocessing.Value("i", 0)
        process = multiprocessing.Process(target=flood, args=(sidecar.address, make, FLOOD_SECONDS, sent))
        process.start()
        times = []
        until = asyncio.get_running_loop().time() + FLOOD_SECONDS
        await asyncio.gather(*(ordinary_caller(sidecar.address, until, times) for _ in range(CALLERS)))
        process.join(5)
        assert sidecar.program.poll() is None, sidecar.log()
        return times, resident(sidecar.program.pid) - before, sent.value


@pytest.mark.parametrize("make", FLOODS, ids=lambda make: make.__name__)
def test_a_client_that_floods_one_connection_makes_no_other_wait_and_takes_bounded_memory(make):
    times, growth, sent = asyncio.run(play(make))
    slowest = sorted(took for _, took in times)[-1]
    statuses = [status for status, _ in times]
    print(
        json.dumps(
            {
                "slowest": round(slowest, 3),
                "served": statuses.count(200),
                "all": len(times),
                "mib": growth,
                "sent": sent,
            }
        )
    )
    assert sent > LEAST_SENT
    assert 0 not in statuses, times
    assert statuses.count(200) >= 0.9 * len(times), statuses
    assert growth < MOST_GROWTH
