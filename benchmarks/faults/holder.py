"""One process that wants a duty and acts under its lease, as fast as it may; what it did goes to stdout, a line each.

    python -m benchmarks.faults.holder '{"seats": {...}, "duty": "d", "name": "h0", "ttl": 2.0, "seed": 1}'

It ends when its stdin does. The harness stops it, with SIGSTOP, in the middle of whatever it does.
"""

from __future__ import annotations

import json
import select
import sys
import time
from collections import deque
from random import Random

from benchmarks.faults.client import Caller, Nothing, Unknown
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

ACT_EVERY = 0.05  # s
ANSWERED_WITHIN = 0.4  # s


def told(op: list, invoked: int, returned: int | None, result: list | None) -> None:
    print(json.dumps({"op": op, "invoked": invoked, "returned": returned, "result": result}), flush=True)


def in_words(result: AnyResult) -> list:
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


def op_of(act: AcquireLease | RenewLease | ReleaseLease | FencedWrite) -> list:
    match act:
        case AcquireLease():
            return ["acquire", act.holder]
        case RenewLease():
            return ["renew", act.holder, act.token]
        case ReleaseLease():
            return ["release", act.holder, act.token]
        case FencedWrite():
            return ["fenced", act.token]


def said(caller: Caller, act: AcquireLease | RenewLease | ReleaseLease | FencedWrite, invoked: int) -> AnyResult | None:
    try:
        result = caller.write(act, ANSWERED_WITHIN)
    except Nothing:
        return None
    except Unknown:
        told(op_of(act), invoked, None, None)
        return None
    told(op_of(act), invoked, time.monotonic_ns(), in_words(result))
    return result


def main() -> None:
    wanted = json.loads(sys.argv[1])
    random = Random(wanted["seed"])
    caller = Caller(wanted["seats"], random)
    holder = LeaseHolder(wanted["duty"], wanted["name"], int(wanted["ttl"] * 1e9), random)
    todo = deque(holder.step(time.monotonic_ns(), LeaseWanted()))
    count = 0
    while not select.select([sys.stdin], [], [], ACT_EVERY)[0]:
        todo.extend(holder.step(time.monotonic_ns(), Tick()))
        while todo:
            action = todo.popleft()
            if isinstance(action, SendOperation):
                result = said(caller, action.operation, time.monotonic_ns())
                todo.extend(holder.step(time.monotonic_ns(), ResponseReceived(action.request_id, result)))
        now = time.monotonic_ns()
        token = holder.valid_token(now)
        if token is not None:
            count += 1
            said(caller, FencedWrite(holder.lease_name, token, "last", f"{holder.name} {count}".encode()), now)


if __name__ == "__main__":
    main()
