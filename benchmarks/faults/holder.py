"""One process that acquires a lease and sends fenced writes under it as fast as it may.

It prints its history to stdout, one JSON object a line.

    python -m benchmarks.faults.holder '{"seats": {...}, "duty": "d", "name": "h0", "ttl": 2.0, "seed": 1}'

It ends when its stdin is closed. The harness stops it with SIGSTOP at any point.
"""

from __future__ import annotations

import json
import select
import sys
import time
from collections import deque
from random import Random

from benchmarks.faults.client import ClusterClient, NotApplied, OutcomeUnknown
from loftweir.lease.holder import LeaseHolder, LeaseWanted, ResponseReceived, SendOperation, Tick
from loftweir.replication.machine import (
    AcquireLease,
    AnyResult,
    FencedWrite,
    LeaseHeld,
    LeaseNotHeld,
    Ok,
    ReleaseLease,
    RenewLease,
    StaleToken,
)

WRITE_INTERVAL = 0.05  # s
RESPONSE_TIMEOUT = 0.4  # s

LeaseOperation = AcquireLease | RenewLease | ReleaseLease | FencedWrite


def record(op: list, invoked: int, returned: int | None, result: list | None) -> None:
    """Prints one call of the history; times in ns of the monotonic clock, None: not known."""
    print(json.dumps({"op": op, "invoked": invoked, "returned": returned, "result": result}), flush=True)


def result_record(result: AnyResult) -> list:
    """A result in the form of `loftweir.emulator.histories.lease`."""
    match result:
        case Ok():
            return ["ok", result.value]
        case LeaseHeld():
            return ["held", result.holder, result.token]
        case LeaseNotHeld():
            return ["not-held"]
        case StaleToken():
            return ["lower", result.highest]
    raise ValueError(result.text)


def operation_record(operation: LeaseOperation) -> list:
    """An operation in the form of `loftweir.emulator.histories.lease`."""
    match operation:
        case AcquireLease():
            return ["acquire", operation.holder]
        case RenewLease():
            return ["renew", operation.holder, operation.token]
        case ReleaseLease():
            return ["release", operation.holder, operation.token]
        case FencedWrite():
            return ["fenced", operation.token]


def submit(client: ClusterClient, operation: LeaseOperation, invoked: int) -> AnyResult | None:
    """Sends an operation and records the call, unless it had no effect; None: no result is known."""
    try:
        result = client.write(operation, RESPONSE_TIMEOUT)
    except NotApplied:
        return None
    except OutcomeUnknown:
        record(operation_record(operation), invoked, None, None)
        return None
    record(operation_record(operation), invoked, time.monotonic_ns(), result_record(result))
    return result


def main() -> None:
    """Runs the holder until stdin is closed."""
    arguments = json.loads(sys.argv[1])
    random = Random(arguments["seed"])
    client = ClusterClient(arguments["seats"], random)
    holder = LeaseHolder(arguments["duty"], arguments["name"], int(arguments["ttl"] * 1e9), random)
    actions = deque(holder.step(time.monotonic_ns(), LeaseWanted()))
    count = 0
    while not select.select([sys.stdin], [], [], WRITE_INTERVAL)[0]:
        actions.extend(holder.step(time.monotonic_ns(), Tick()))
        while actions:
            action = actions.popleft()
            if isinstance(action, SendOperation):
                result = submit(client, action.operation, time.monotonic_ns())
                actions.extend(holder.step(time.monotonic_ns(), ResponseReceived(action.request_id, result)))
        now = time.monotonic_ns()
        token = holder.valid_token(now)
        if token is not None:
            count += 1
            submit(client, FencedWrite(holder.lease_name, token, "last", f"{holder.name} {count}".encode()), now)


if __name__ == "__main__":
    main()
