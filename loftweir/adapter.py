"""The simulator's wire: lines in, events to the balancers, actions out. No decision is made here.

Run as ``python -m loftweir.adapter``. Malformed input ends the process with a message on standard error
that names the line, the field and the reason; standard output carries nothing but the wire.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from typing import TextIO

from loftweir import interface as api
from loftweir.balance import Balancer
from loftweir.settings import WireError, choice, integer, number, read_settings

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
MARKS_COST_HINT, MARKS_CLIENT_RETRY, MARKS_WRITE = 1, 2, 4


def load_report(text: str) -> tuple[float, ...] | None:
    if text == "-":
        return None
    return tuple(number("feedback", value) for value in text.split(","))


# ---- events -------------------------------------------------------------------------------------


def read_request(f: Sequence[str]) -> api.Event:
    marks = integer("opts", f[7])
    return api.Request(
        id=f[1],
        class_name=f[2],
        time_left=integer("patienceLeft", f[5]),
        tenant=None if f[3] in ("-", "0") else f[3],
        key=None if f[4] == "-" else f[4],
        cost_hint=integer("sizeHint", f[6]) if marks & MARKS_COST_HINT else 0,
        client_retry=bool(marks & MARKS_CLIENT_RETRY),
        write=bool(marks & MARKS_WRITE),
    )


def read_done(f: Sequence[str]) -> api.Event:
    return api.AttemptEnded(
        request_id=f[1],
        attempt=integer("try", f[6]),
        provider=f[5],
        outcome=OUTCOMES.get(f[3], api.Outcome.UNKNOWN),
        elapsed=integer("costTime", f[2]),
        request_ended=f[4] == "1",
        load=load_report(f[7]),
    )


def read_streaming(f: Sequence[str]) -> api.Event:
    return api.StreamStarted(f[1], integer("try", f[2]), f[3], integer("costTime", f[4]))


def read_probe(f: Sequence[str]) -> api.Event:
    outcome = OUTCOMES.get(f[2], api.Outcome.UNKNOWN)
    return api.ProbeEnded(f[1], outcome, integer("costTime", f[3]), load_report(f[4]))


def read_whisper(f: Sequence[str]) -> api.Event:
    try:
        return api.PeerMessage(integer("src", f[1]), b"" if f[2] == "-" else bytes.fromhex(f[2]))
    except ValueError:
        raise WireError(f"field data: {f[2]!r} is not hex digits") from None


# name: (number of fields, reader)
EVENTS: dict[str, tuple[int, Callable[[Sequence[str]], api.Event]]] = {
    "REQUEST": (7, read_request),
    "DONE": (7, read_done),
    "STREAMING": (4, read_streaming),
    "CANCELLED_BY_CLIENT": (1, lambda f: api.RequestCancelled(f[1])),
    "PROBE_DONE": (4, read_probe),
    "WHISPER": (2, read_whisper),
}


def read_entry(line: str) -> api.Endpoint:
    f = line.split("\t")
    if f[0] != "M" or len(f) != 8:
        raise WireError(f"expected an M line with 7 fields, got {line!r}")
    return api.Endpoint(
        address=f[1],
        zone=f[2],
        kind=f[3],
        cell=integer("stripe", f[4]),
        lifecycle=choice("lifecycle", f[5], LIFECYCLES),
        weight=number("capacityHint", f[6]),
        started_at=integer("bootTime", f[7]),
    )


# ---- actions ------------------------------------------------------------------------------------

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
    """Hosts the balancers of one process and turns one batch of lines into one reply."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.rosters: dict[int, tuple[api.Endpoint, ...]] = {}

    def run(self, lines: TextIO, out: TextIO) -> None:
        line_number = 0
        batch: list[str] = []
        for line in lines:
            line_number += 1
            line = line.rstrip("\r\n")
            batch.append(line)
            if line == "GO":
                out.write("".join(self.answer(batch, line_number - len(batch))))
                out.flush()
                batch = []
        if any(batch):
            raise WireError(f"line {line_number}: the input ended inside a batch")

    def answer(self, batch: list[str], lines_before: int = 0) -> list[str]:
        reply: list[str] = []
        at = 0
        try:
            while at < len(batch) - 1 and not batch[at]:
                at += 1  # an empty line between two batches
            head = batch[at].split("\t")
            if head[0] != "TURN" or len(head) != 2:
                raise WireError(f"expected TURN with 1 field, got {batch[at]!r}")
            now = integer("clock", head[1])
            self.pending: list[api.Event] = []
            who: int | None = None
            at += 1
            while (line := batch[at]) != "GO":
                f = line.split("\t")
                name = f[0]
                if name == "ROSTER":
                    self.need(f, 2)
                    count = integer("entries", f[2])
                    roster_id = integer("setId", f[1])
                    entries = []
                    for at in range(at + 1, at + 1 + count):  # noqa: B020 - errors name the entry's own line
                        entries.append(read_entry(batch[at]))
                    self.rosters[roster_id] = tuple(entries)
                elif name == "TO":
                    self.need(f, 1)
                    self.decide(now, who, reply)
                    who = integer("who", f[1])
                elif who is None:
                    raise WireError(f"{name} comes before any TO")
                elif name == "LAUNCH":
                    self.decide(now, who, reply)
                    if len(f) < 2:
                        raise WireError("LAUNCH needs a seed")
                    self.balancers[who] = Balancer(read_settings(f[2:]), integer("seed", f[1]))
                elif name == "RETIRE":
                    self.need(f, 0)
                    self.decide(now, who, reply)
                    self.known(who)
                    del self.balancers[who]
                else:
                    self.known(who)
                    self.pending.append(self.read_event(name, f, line))
                at += 1
            self.decide(now, who, reply)
        except WireError as error:
            raise WireError(f"line {lines_before + at + 1}: {batch[at].split(chr(9))[0]}: {error}") from None
        reply.append("READY\n")
        return reply

    @staticmethod
    def need(f: Sequence[str], count: int) -> None:
        if len(f) != count + 1:
            raise WireError(f"has {len(f) - 1} fields, needs {count}")

    def known(self, who: int) -> None:
        if who not in self.balancers:
            raise WireError(f"instance {who} was never launched")

    def read_event(self, name: str, f: list[str], line: str) -> api.Event:
        if name == "DEADLINE_HIT":  # its one field is text and goes to the end of the line
            return api.TimerFired(line.partition("\t")[2])
        if name == "TARGETS":
            self.need(f, 3)
            kind = choice("mode", f[2], UPDATES)
            entries: tuple[api.Endpoint, ...] = ()
            if kind is not api.UpdateKind.FAILED:
                roster_id = integer("setId", f[3])
                if roster_id not in self.rosters:
                    raise WireError(f"field setId: no ROSTER {roster_id} came before")
                entries = self.rosters[roster_id]
            return api.MembershipUpdate(kind, entries, integer("version", f[1]))
        if name not in EVENTS:
            raise WireError("unknown message")
        count, read = EVENTS[name]
        self.need(f, count)
        return read(f)

    def decide(self, now: int, who: int | None, reply: list[str]) -> None:
        """Hands the events read so far to their balancer and writes what it does."""
        if not self.pending or who is None:
            return
        events, self.pending = self.pending, []
        reply.append(f"CONTEXT\t{who}\n")
        try:
            actions = self.balancers[who].handle(now, events)
        except Exception as error:  # the wire's way to say that the decision code failed
            print(f"instance {who}: {error!r}", file=sys.stderr)
            reply.append(f"GIVE_IN\t{type(error).__name__}: {' '.join(str(error).split())}\n")
            return
        reply.extend([WRITERS[type(action)](action) for action in actions])


def main() -> int:
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
