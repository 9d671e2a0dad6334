"""The record of operators' overrides, as a value that processes can merge, and its form in a file. No I/O, no clock.

Each override has the time of its command. The later one wins, and of two with the same time the stricter; merging is
therefore commutative, associative and idempotent, and only a later command cancels an override. A new command gets a
time above all that is known for the same provider or for the drain (`next_time`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import ujson

from loftweir.state.sealed import Damaged, seal, unseal

FILE_NAME = b"loftweir-operators"
VERSION = 1
HOUR = 3_600_000_000_000  # ns


class Override(NamedTuple):
    """The last command for a provider, or for the drain. A later one is greater, at the same time the stricter one."""

    at: int = 0  # Unix time, ns; 0: there was no command
    active: bool = False


class OverrideRecord(NamedTuple):
    """All overrides of one sidecar: for each id whether the provider is disabled, and whether the sidecar drains."""

    overrides: Mapping[str, Override] = {}
    drain: Override = Override()

    def merged(self, other: OverrideRecord) -> OverrideRecord:
        """The record with the winner of each pair of overrides."""
        overrides = dict(self.overrides)
        for name, override in other.overrides.items():
            overrides[name] = max(overrides.get(name, override), override)
        return OverrideRecord(overrides, max(self.drain, other.drain))

    def with_override(self, name: str, on: bool, now: int) -> OverrideRecord:
        """The record after a command that disables (`on`) or enables a provider."""
        at = next_time(self.overrides.get(name, Override()), now)
        return self._replace(overrides={**self.overrides, name: Override(at, on)})

    def with_drain(self, on: bool, now: int) -> OverrideRecord:
        """The record after a command that begins (`on`) or ends the drain."""
        return self._replace(drain=Override(next_time(self.drain, now), on))

    def is_disabled(self, name: str) -> bool:
        """Whether a provider is disabled by this record."""
        return self.overrides.get(name, Override()).active

    def pruned(self, now: int) -> OverrideRecord:
        """The record without ids enabled more than an hour ago: no process is that far behind."""
        kept = {name: each for name, each in self.overrides.items() if each.active or each.at > now - HOUR}
        return self._replace(overrides=kept)


def next_time(override: Override, now: int) -> int:
    """The time of a command that replaces `override`: now, or just above a time that is ahead of this clock."""
    return max(now, override.at + 1)


def encode(record: OverrideRecord) -> bytes:
    """Returns the contents of the file for a record."""
    value = {
        "bans": {name: list(override) for name, override in sorted(record.overrides.items())},
        "drain": list(record.drain),
    }
    body = ujson.dumps(value).encode()
    return seal(FILE_NAME, VERSION, body)


def decode(data: bytes) -> OverrideRecord:
    """Returns the record in a file's contents; raises `Damaged` if they can't be trusted."""
    body = unseal(FILE_NAME, VERSION, data)
    try:
        value = ujson.loads(body)
        overrides = {str(name): _override(pair) for name, pair in value["bans"].items()}
        return OverrideRecord(overrides, _override(value["drain"]))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise Damaged(f"not in its form: {error!r}") from None


def _override(pair: Any) -> Override:
    at, active = pair
    if isinstance(at, bool) or not isinstance(at, int) or not isinstance(active, bool):
        raise ValueError(pair)
    return Override(at, active)


def changed_names(old: OverrideRecord, new: OverrideRecord) -> Iterable[str]:
    """The ids whose override differs between two records."""
    return sorted(n for n in {*old.overrides, *new.overrides} if old.overrides.get(n) != new.overrides.get(n))
