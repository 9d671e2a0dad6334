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

FILE_NAME = b"loftweir-operators"
VERSION = 1
HOUR = 3_600_000_000_000


class Override(NamedTuple):
    """Later commands are greater, and of two of one time the stricter."""

    at: int = 0  # Unix time, ns; 0: nothing was ever said
    active: bool = False


class OverrideRecord(NamedTuple):
    """All that holds: for each id whether it is out, and whether the sidecar is drained."""

    overrides: Mapping[str, Override] = {}
    drain: Override = Override()

    def merged(self, other: OverrideRecord) -> OverrideRecord:
        bans = dict(self.overrides)
        for name, command in other.overrides.items():
            bans[name] = max(bans.get(name, command), command)
        return OverrideRecord(bans, max(self.drain, other.drain))

    def with_override(self, name: str, on: bool, now: int) -> OverrideRecord:
        return self._replace(
            overrides={**self.overrides, name: Override(next_time(self.overrides.get(name, Override()), now), on)}
        )

    def with_drain(self, on: bool, now: int) -> OverrideRecord:
        return self._replace(drain=Override(next_time(self.drain, now), on))

    def is_disabled(self, name: str) -> bool:
        return self.overrides.get(name, Override()).active

    def pruned(self, now: int) -> OverrideRecord:
        """Without ids called back long ago: no process is so far behind."""
        return self._replace(overrides={n: w for n, w in self.overrides.items() if w.active or w.at > now - HOUR})


def next_time(command: Override, now: int) -> int:
    return max(now, command.at + 1)


def encode(record: OverrideRecord) -> bytes:
    value = {
        "bans": {name: list(command) for name, command in sorted(record.overrides.items())},
        "drain": list(record.drain),
    }
    body = ujson.dumps(value).encode()
    return seal(FILE_NAME, VERSION, body)


def decode(data: bytes) -> OverrideRecord:
    body = unseal(FILE_NAME, VERSION, data)
    try:
        value = ujson.loads(body)
        return OverrideRecord(
            {str(name): _last_command(pair) for name, pair in value["bans"].items()}, _last_command(value["drain"])
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise Damaged(f"not in its form: {error!r}") from None


def _last_command(pair: Any) -> Override:
    at, on = pair
    if isinstance(at, bool) or not isinstance(at, int) or not isinstance(on, bool):
        raise ValueError(pair)
    return Override(at, on)


def changed_names(old: OverrideRecord, new: OverrideRecord) -> Iterable[str]:
    """The ids of which something else holds now."""
    return sorted(n for n in {*old.overrides, *new.overrides} if old.overrides.get(n) != new.overrides.get(n))
