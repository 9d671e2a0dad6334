"""What is wrong with a configuration: every fault names its file, its path, the value and what was expected."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from loftweir.errors import LoftweirError

MISSING = "(missing)"
LONGEST = 80  # characters of a value that a fault repeats


class Fault(NamedTuple):
    file: str
    path: str  # keys joined by dots; empty: the file as a whole
    value: Any
    expected: str

    def __str__(self) -> str:
        shown = self.value if self.value == MISSING else repr(self.value)
        if len(shown) > LONGEST:
            shown = shown[:LONGEST] + "..."
        at = f"{self.file}: {self.path}" if self.path else self.file
        return f"{at}: got {shown}, expected {self.expected}"


class Faulty(LoftweirError, ValueError):
    """A configuration, or a scenario, can't be used: each of its `faults` has the file, the path, the value and what
    was expected."""

    remedy = "Mend each place that is named, in its file; `loftweir check` reads a configuration and starts nothing."

    def __init__(self, faults: Sequence[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = list(faults)
        self.where = ", ".join(dict.fromkeys(fault.file for fault in faults))
