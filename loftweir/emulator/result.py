"""What comes of a run: its figures as plain values, in all and for each second."""

from __future__ import annotations

from dataclasses import astuple, dataclass
from typing import NamedTuple

from loftweir.emulator.oracle import Breach


@dataclass(slots=True)
class SecondCount:
    """What has come so far of the requests of one second."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    worth: float = 0.0
    in_time: int = 0
    timed_out: int = 0
    worth_asked: float = 0.0
    overdriven: float = 0.0

    def span(self) -> Span:
        return Span(*astuple(self))


class Span(NamedTuple):
    """One second of the run: what came of the requests that were asked in it."""

    asked: int
    served: int
    refused: int
    failed: int
    worth: float
    in_time: int
    timed_out: int  # of those not served: lost at their deadline, whatever they were answered then
    worth_asked: float
    overdriven: float  # the part of the nodes that is overdriven at its end

    def goodput(self) -> float:
        """The worth answered over the worth asked for, 1 where nothing was asked for."""
        return self.worth / self.worth_asked if self.worth_asked else 1.0


class Result(NamedTuple):
    """What came of a run. Plain values: equal runs give equal results, in any process."""

    scenario: str
    seed: int
    goodput: float  # worth answered in time over worth asked for
    asked: int
    served: int
    in_time: int
    refused: int
    failed: int
    unanswered: int
    attempts: int
    executions: int
    by_class: dict[str, float]
    by_node: dict[str, int]
    seconds: list[Span]
    latencies_ms: list[float]  # of those served, from the client's first try, by the 1,000 quantiles
    breaches: dict[str, int]
    shown: list[Breach]
    events: int

    def sound(self) -> bool:
        return not any(self.breaches.values())
