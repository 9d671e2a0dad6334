"""Faults of a configuration: each names its file, its path, the value and what was expected."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from loftweir.errors import LoftweirError

MISSING = "(missing)"
MAX_VALUE_CHARACTERS = 80  # of a value in a fault's text


class Fault(NamedTuple):
    """One value that can't be used."""

    file: str
    path: str  # keys joined by dots; empty for the file as a whole
    value: Any
    expected: str

    def __str__(self) -> str:
        shown = self.value if self.value == MISSING else repr(self.value)
        if len(shown) > MAX_VALUE_CHARACTERS:
            shown = shown[:MAX_VALUE_CHARACTERS] + "..."
        at = f"{self.file}: {self.path}" if self.path else self.file
        return f"{at}: got {shown}, expected {self.expected}"


class Faulty(LoftweirError, ValueError):
    """A configuration or a scenario can't be used; each of its `faults` has the file, the path, the value and what was
    expected."""

    remedy = "Correct each value that is named, in its file; `loftweir check` checks a configuration without starting."

    def __init__(self, faults: Sequence[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = list(faults)
        self.where = ", ".join(dict.fromkeys(fault.file for fault in faults))
