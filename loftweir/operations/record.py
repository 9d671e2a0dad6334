"""What the operators have said, as a value that processes can merge, and its form in a file. No I/O, no clock.

Each command has the time at which it was given. The later one holds, and of two of one time the stricter: so merging is
commutative, associative and idempotent, and nothing but a later command takes one back. Whoever gives one gives it a
time above all that it knows of the same thing (`after`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import ujson

from loftweir.state.sealed import Damaged, seal, unseal

HEAD = b"loftweir-operators"
VERSION = 1
HOUR = 3_600_000_000_000


class LastCommand(NamedTuple):
    """Later commands are greater, and of two of one time the stricter."""

    at: int = 0  # Unix time, ns; 0: nothing was ever said
    on: bool = False


class Record(NamedTuple):
    """All that holds: for each id whether it is out, and whether the sidecar is drained."""

    bans: Mapping[str, LastCommand] = {}
    drain: LastCommand = LastCommand()

    def merged(self, other: Record) -> Record:
        bans = dict(self.bans)
        for name, command in other.bans.items():
            bans[name] = max(bans.get(name, command), command)
        return Record(bans, max(self.drain, other.drain))

    def ban(self, name: str, on: bool, now: int) -> Record:
        return self._replace(bans={**self.bans, name: LastCommand(after(self.bans.get(name, LastCommand()), now), on)})

    def drained(self, on: bool, now: int) -> Record:
        return self._replace(drain=LastCommand(after(self.drain, now), on))

    def banned(self, name: str) -> bool:
        return self.bans.get(name, LastCommand()).on

    def pruned(self, now: int) -> Record:
        """Without ids called back long ago: no process is so far behind."""
        return self._replace(bans={n: w for n, w in self.bans.items() if w.on or w.at > now - HOUR})


def after(command: LastCommand, now: int) -> int:
    return max(now, command.at + 1)


def written(record: Record) -> bytes:
    value = {
        "bans": {name: list(command) for name, command in sorted(record.bans.items())},
        "drain": list(record.drain),
    }
    body = ujson.dumps(value).encode()
    return seal(HEAD, VERSION, body)


def read(data: bytes) -> Record:
    body = unseal(HEAD, VERSION, data)
    try:
        value = ujson.loads(body)
        return Record(
            {str(name): _last_command(pair) for name, pair in value["bans"].items()}, _last_command(value["drain"])
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise Damaged(f"not in its form: {error!r}") from None


def _last_command(pair: Any) -> LastCommand:
    at, on = pair
    if isinstance(at, bool) or not isinstance(at, int) or not isinstance(on, bool):
        raise ValueError(pair)
    return LastCommand(at, on)


def changed(old: Record, new: Record) -> Iterable[str]:
    """The ids of which something else holds now."""
    return sorted(n for n in {*old.bans, *new.bans} if old.bans.get(n) != new.bans.get(n))
