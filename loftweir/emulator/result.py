"""The result of a run as plain values: totals, and counts for each second."""

from __future__ import annotations

from dataclasses import astuple, dataclass
from typing import NamedTuple

from loftweir.emulator.oracle import Breach


@dataclass(slots=True)
class SecondCount:
    """Running counts of the requests that were first sent in one second. The fields are those of `Span`, in order."""

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
    """The results of the requests that were first sent in one second of the run."""

    asked: int  # requests
    served: int
    refused: int  # rejected
    failed: int
    worth: float  # of the answers
    in_time: int  # served within the latency target
    timed_out: int  # not served, and given up at the deadline or later, whatever the last answer was
    worth_asked: float  # of the requests
    overdriven: float  # share of the nodes that are overdriven at the end of the second

    def goodput(self) -> float:
        """The worth of the answers divided by that of the requests; 1 if there were none."""
        return self.worth / self.worth_asked if self.worth_asked else 1.0


class Result(NamedTuple):
    """The result of a run. Plain values: equal runs give equal results in any process."""

    scenario: str
    seed: int
    goodput: float  # worth of the answers divided by that of the requests; a late answer has its class's late worth
    asked: int  # requests
    served: int
    in_time: int  # served within the latency target
    refused: int  # rejected
    failed: int
    unanswered: int
    attempts: int
    executions: int
    by_class: dict[str, float]  # goodput
    by_node: dict[str, int]  # finished jobs
    seconds: list[Span]
    latencies_ms: list[float]  # 1,000 quantiles of the served requests, from the client's first sending
    breaches: dict[str, int]  # number by rule
    shown: list[Breach]  # the first breaches of each rule
    events: int  # of the simulation's clock

    def sound(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.breaches.values())
