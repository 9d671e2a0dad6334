"""The simulator's line protocol: it turns lines into events for the balancers, and their actions into lines.

Run as ``python -m loftweir.adapter``. Malformed input ends the process with a message on standard error that names the
line, the field and the reason; standard output carries nothing but the protocol. No decision is made here.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from typing import TextIO

from loftweir import interface as api
from loftweir.balance import Balancer
from loftweir.settings import WireError, parse_choice, parse_integer, parse_number, read_settings

OUTCOMES = {
    "done": api.Outcome.OK,
    "err": api.Outcome.ERROR,
    "busy": api.Outcome.FULL,
    "etimedout": api.Outcome.TIMED_OUT,
    "econnrefused": api.Outcome.CONNECT_FAILED,
    "econnreset": api.Outcome.RESET,
    "ecanceled": api.Outcome.CANCELLED,
    "skipped": api.Outcome.NOT_SENT,
}
LIFECYCLES = {
    "live": api.Lifecycle.READY,
    "quiescing": api.Lifecycle.DRAINING,
    "dead": api.Lifecycle.GONE,
}
UPDATES = {
    "Partial": api.UpdateKind.CHANGES,
    "Complete": api.UpdateKind.FULL,
    "Persisted": api.UpdateKind.REMEMBERED,
    "Error": api.UpdateKind.FAILED,
}

# Bits of a request's field `opts`.
COST_HINT = 1  # the field sizeHint has a meaning
CLIENT_RETRY = 2
WRITE = 4


def parse_load(text: str) -> tuple[float, ...] | None:
    """Parse a provider's load report; `-`: it sent none."""
    if text == "-":
        return None
    return tuple(parse_number("feedback", value) for value in text.split(","))


# ---- events -------------------------------------------------------------------------------------


def read_request(fields: Sequence[str]) -> api.Event:
    """Read a REQUEST line."""
    options = parse_integer("opts", fields[7])
    return api.Request(
        id=fields[1],
        class_name=fields[2],
        time_left=parse_integer("patienceLeft", fields[5]),
        tenant=None if fields[3] in ("-", "0") else fields[3],
        key=None if fields[4] == "-" else fields[4],
        cost_hint=parse_integer("sizeHint", fields[6]) if options & COST_HINT else 0,
        client_retry=bool(options & CLIENT_RETRY),
        write=bool(options & WRITE),
    )


def read_done(fields: Sequence[str]) -> api.Event:
    """Read a DONE line."""
    return api.AttemptEnded(
        request_id=fields[1],
        attempt=parse_integer("try", fields[6]),
        provider=fields[5],
        outcome=OUTCOMES.get(fields[3], api.Outcome.UNKNOWN),
        elapsed=parse_integer("costTime", fields[2]),
        request_ended=fields[4] == "1",
        load=parse_load(fields[7]),
    )


def read_streaming(fields: Sequence[str]) -> api.Event:
    """Read a STREAMING line."""
    return api.StreamStarted(
        fields[1], parse_integer("try", fields[2]), fields[3], parse_integer("costTime", fields[4])
    )


def read_probe(fields: Sequence[str]) -> api.Event:
    """Read a PROBE_DONE line."""
    outcome = OUTCOMES.get(fields[2], api.Outcome.UNKNOWN)
    return api.ProbeEnded(fields[1], outcome, parse_integer("costTime", fields[3]), parse_load(fields[4]))


def read_whisper(fields: Sequence[str]) -> api.Event:
    """Read a WHISPER line: a message from another balancer."""
    try:
        return api.PeerMessage(parse_integer("src", fields[1]), b"" if fields[2] == "-" else bytes.fromhex(fields[2]))
    except ValueError:
        raise WireError(f"field data: {fields[2]!r} is not hex digits") from None


# By the line's name: the number of its fields, and the function that reads it.
EVENTS: dict[str, tuple[int, Callable[[Sequence[str]], api.Event]]] = {
    "REQUEST": (7, read_request),
    "DONE": (7, read_done),
    "STREAMING": (4, read_streaming),
    "CANCELLED_BY_CLIENT": (1, lambda fields: api.RequestCancelled(fields[1])),
    "PROBE_DONE": (4, read_probe),
    "WHISPER": (2, read_whisper),
}


def read_entry(line: str) -> api.Endpoint:
    """Read an M line: one endpoint of a ROSTER."""
    fields = line.split("\t")
    if fields[0] != "M" or len(fields) != 8:
        raise WireError(f"expected an M line with 7 fields, got {line!r}")
    return api.Endpoint(
        address=fields[1],
        zone=fields[2],
        kind=fields[3],
        cell=parse_integer("stripe", fields[4]),
        lifecycle=parse_choice("lifecycle", fields[5], LIFECYCLES),
        weight=parse_number("capacityHint", fields[6]),
        started_at=parse_integer("bootTime", fields[7]),
    )


# ---- actions ------------------------------------------------------------------------------------

# By the type of an action: the function that formats its line.
WRITERS: dict[type, Callable[..., str]] = {
    api.Attempt: lambda a: f"ATTEMPT\t{a.request_id}\t{a.provider}\t{a.give_up_at}\n",
    api.Reject: lambda a: f"SAY_NO\t{a.request_id}\t{a.retry_after}\n",
    api.Fail: lambda a: f"SURRENDER\t{a.request_id}\n",
    api.Cancel: lambda a: f"ABANDON\t{a.request_id}\t{a.attempt}\n",
    api.Timer: lambda a: f"TIMER\t{a.delay}\t{a.tag}\n",
    api.Watch: lambda a: f"FOLLOW\t{int(a.on)}\n",
    api.FetchList: lambda a: "READ_LIST\n",
    api.Probe: lambda a: f"SOUND_OUT\t{a.provider}\n",
    api.CloseIdle: lambda a: f"RELEASE\t{a.provider}\n",
    api.SendPeer: lambda a: f"SIGNAL\t{'*' if a.to is None else a.to}\t{a.data.hex() or '-'}\n",
    api.Log: lambda a: f"JOURNAL_LINE\t{' '.join(a.text.split())}\n",
}


# ---- batches ------------------------------------------------------------------------------------


class Adapter:
    """Hosts the balancers of one process and answers each batch of lines with one reply."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}  # by the instance's number
        self.rosters: dict[int, tuple[api.Endpoint, ...]] = {}  # endpoint lists by their number, which may be reused
        self.pending: list[api.Event] = []  # events read for the current instance and not handled yet

    def run(self, lines: TextIO, out: TextIO) -> None:
        """Answer batches until the input ends."""
        line_number = 0
        batch: list[str] = []
        for line in lines:
            line_number += 1
            line = line.rstrip("\r\n")
            batch.append(line)
            if line == "GO":
                out.write("".join(self.process_batch(batch, line_number - len(batch))))
                out.flush()
                batch = []
        if any(batch):
            raise WireError(f"line {line_number}: the input ended inside a batch")

    def process_batch(self, batch: list[str], lines_before: int = 0) -> list[str]:
        """Process one batch and return the reply; `lines_before` is the number of lines before it, for messages."""
        reply: list[str] = []
        at = 0
        try:
            while at < len(batch) - 1 and not batch[at]:
                at += 1  # an empty line between two batches
            head = batch[at].split("\t")
            if head[0] != "TURN" or len(head) != 2:
                raise WireError(f"expected TURN with 1 field, got {batch[at]!r}")
            now = parse_integer("clock", head[1])
            self.pending = []
            instance: int | None = None
            at += 1
            while (line := batch[at]) != "GO":
                fields = line.split("\t")
                name = fields[0]
                if name == "ROSTER":
                    self.check_field_count(fields, 2)
                    count = parse_integer("entries", fields[2])
                    roster_id = parse_integer("setId", fields[1])
                    entries = []
                    for at in range(at + 1, at + 1 + count):  # noqa: B020 - errors name the entry's own line
                        entries.append(read_entry(batch[at]))
                    self.rosters[roster_id] = tuple(entries)
                elif name == "TO":
                    self.check_field_count(fields, 1)
                    self.flush(now, instance, reply)
                    instance = parse_integer("who", fields[1])
                elif instance is None:
                    raise WireError(f"{name} comes before any TO")
                elif name == "LAUNCH":
                    self.flush(now, instance, reply)
                    if len(fields) < 2:
                        raise WireError("LAUNCH needs a seed")
                    self.balancers[instance] = Balancer(read_settings(fields[2:]), parse_integer("seed", fields[1]))
                elif name == "RETIRE":
                    self.check_field_count(fields, 0)
                    self.flush(now, instance, reply)
                    self.check_launched(instance)
                    del self.balancers[instance]
                else:
                    self.check_launched(instance)
                    self.pending.append(self.read_event(name, fields, line))
                at += 1
            self.flush(now, instance, reply)
        except WireError as error:
            raise WireError(f"line {lines_before + at + 1}: {batch[at].split(chr(9))[0]}: {error}") from None
        reply.append("READY\n")
        return reply

    @staticmethod
    def check_field_count(fields: Sequence[str], count: int) -> None:
        """Raise WireError if the line has another number of fields."""
        if len(fields) != count + 1:
            raise WireError(f"has {len(fields) - 1} fields, needs {count}")

    def check_launched(self, instance: int) -> None:
        """Raise WireError if the instance was not launched."""
        if instance not in self.balancers:
            raise WireError(f"instance {instance} was never launched")

    def read_event(self, name: str, fields: list[str], line: str) -> api.Event:
        """Read the event of a line; `f` is its fields, the name first."""
        if name == "DEADLINE_HIT":  # its one field is text and goes to the end of the line
            return api.TimerFired(line.partition("\t")[2])
        if name == "TARGETS":
            self.check_field_count(fields, 3)
            kind = parse_choice("mode", fields[2], UPDATES)
            entries: tuple[api.Endpoint, ...] = ()
            if kind is not api.UpdateKind.FAILED:
                roster_id = parse_integer("setId", fields[3])
                if roster_id not in self.rosters:
                    raise WireError(f"field setId: no ROSTER {roster_id} came before")
                entries = self.rosters[roster_id]
            return api.MembershipUpdate(kind, entries, parse_integer("version", fields[1]))
        if name not in EVENTS:
            raise WireError("unknown message")
        count, read = EVENTS[name]
        self.check_field_count(fields, count)
        return read(fields)

    def flush(self, now: int, instance: int | None, reply: list[str]) -> None:
        """Pass the pending events to the current instance's balancer and add its actions to the reply."""
        if not self.pending or instance is None:
            return
        events, self.pending = self.pending, []
        reply.append(f"CONTEXT\t{instance}\n")
        try:
            actions = self.balancers[instance].handle(now, events)
        except Exception as error:  # reported in the protocol's own way
            print(f"instance {instance}: {error!r}", file=sys.stderr)
            reply.append(f"GIVE_IN\t{type(error).__name__}: {' '.join(str(error).split())}\n")
            return
        reply.extend([WRITERS[type(action)](action) for action in actions])


def main() -> int:
    """Run the adapter on standard input and output; return the exit status."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        Adapter().run(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"loftweir.adapter: {error}\n{error.remedy}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
