"""What the type of a key says beside its Python type: unit, meaning, bounds, and whether a reload applies it."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from loftweir.config.units import Unit, check_plain_text, format_quantity

# Durations in nanoseconds.
MS = 1_000_000
SECOND = 1_000_000_000
MINUTE = 60 * SECOND
HOUR = 60 * MINUTE

# Sizes in bytes.
KIB = 1024
MIB = 1024**2
GIB = 1024**3


class Spec(NamedTuple):
    """The unit, meaning and bounds of one key."""

    unit: Unit
    about: str
    least: float = 0
    most: float = float("inf")
    live: bool = True
    choices: tuple[str, ...] = ()
    check: Callable[[str], object] = check_plain_text  # for text; its ValueError says what was expected

    def expected(self) -> str:
        """What a value has to be, for messages."""
        if self.unit is Unit.TEXT:
            return "text"
        if self.unit is Unit.CHOICE:
            return f"one of {', '.join(self.choices)}"
        least, most = format_quantity(self.unit, self.least), format_quantity(self.unit, self.most)
        return f"{self.unit.value}, from {least} to {most}"


def duration(about: str, least: int, most: int, live: bool = True) -> Spec:
    """A key with a duration in nanoseconds."""
    return Spec(Unit.DURATION, about, least, most, live)


def size(about: str, least: int, most: int, live: bool = True) -> Spec:
    """A key with a size in bytes."""
    return Spec(Unit.SIZE, about, least, most, live)


def share(about: str, least: float, most: float, live: bool = True) -> Spec:
    """A key with a share from 0 to 1, written in percent."""
    return Spec(Unit.SHARE, about, float(least), float(most), live)


def count(about: str, least: int, most: int, live: bool = True) -> Spec:
    """A key with a whole number."""
    return Spec(Unit.COUNT, about, least, most, live)


def choice(about: str, *choices: str, live: bool = True) -> Spec:
    """A key with one of several words."""
    return Spec(Unit.CHOICE, about, live=live, choices=choices)


def text(about: str, check: Callable[[str], object] = check_plain_text, live: bool = True) -> Spec:
    """A key with text that `check` accepts."""
    return Spec(Unit.TEXT, about, live=live, check=check)


class Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A table of the file."""
