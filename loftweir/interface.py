"""What goes into a balancer and what comes out: settings, events, actions, outcomes.

All times are integer nanoseconds on a clock that only goes forward. Fields that end in `_at` are points
on that clock; all other times are lengths. The types carry no behaviour beyond checking the settings.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from loftweir.errors import LoftweirError


class Effect(Enum):
    """What may happen to a request that has possibly run already."""

    REPEATABLE = "repeatable"  # repeat and refuse freely
    ONCE = "once"  # never a second attempt, never a refusal
    BY_KEY = "by_key"  # repeat only inside the scope that drops repeats, within the window


class Scope(Enum):
    """Which servers drop the repeats of a BY_KEY request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended. Only some outcomes prove that it never ran."""

    OK = "ok", False
    ERROR = "error", False
    FULL = "full", True  # sent back unseen: the queue is full, or the server drains
    TIMED_OUT = "timed_out", False
    CONNECT_FAILED = "connect_failed", True
    RESET = "reset", False
    CANCELLED = "cancelled", False
    NOT_SENT = "not_sent", True
    UNKNOWN = "unknown", False  # an outcome this version has no name for: it may have run

    def __init__(self, label: str, never_ran: bool) -> None:
        self.label = label
        self.never_ran = never_ran


class Lifecycle(Enum):
    READY = "ready"
    DRAINING = "draining"  # finishes its work; nothing new may be sent
    GONE = "gone"


class UpdateKind(Enum):
    FULL = "full"  # the whole list; what is not in it is gone
    CHANGES = "changes"  # the changed entries only
    REMEMBERED = "remembered"  # the whole list as last held before a restart; may be stale
    FAILED = "failed"  # a call failed or the subscription broke; the old list stays


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server as discovery lists it."""

    address: str
    zone: str
    kind: str
    cell: int
    lifecycle: Lifecycle
    weight: float = 1.0
    started_at: int = 0  # 0: long ago
    called_back: bool = False  # operators had taken it out, and say that it may serve again


# ---- events -------------------------------------------------------------------------------------


@dataclass(slots=True)
class MembershipUpdate:
    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0
    age: int | None = None  # FAILED: how long news may have been owed by now; None: not known
    heard: bool = False  # FAILED: a call that was given up may still be answered


@dataclass(slots=True)
class Request:
    id: str
    class_name: str
    patience: int  # how long the client still waits for this try
    tenant: str | None = None
    key: str | None = None
    cost_hint: int = 0  # expected work on a standard core; 0: not known
    client_retry: bool = False
    write: bool = False
    cls: RequestClass | None = None  # as it was when the request came; None: as the settings have it now
    shed: float = 0.0  # the part of new work, at the mean worth, that this balancer's own process can't carry now


@dataclass(slots=True)
class SettingsChanged:
    """Other settings hold from now on. What is under way keeps the class with which it came."""

    settings: Settings


@dataclass(slots=True)
class StreamStarted:
    request_id: str
    attempt: int
    server: str
    elapsed: int


@dataclass(slots=True)
class AttemptEnded:
    request_id: str
    attempt: int
    server: str
    outcome: Outcome
    elapsed: int
    request_over: bool
    load: tuple[float, ...] | None = None


@dataclass(slots=True)
class ClientGone:
    request_id: str


@dataclass(slots=True)
class TimerFired:
    tag: str


@dataclass(slots=True)
class ProbeEnded:
    server: str
    outcome: Outcome
    elapsed: int
    load: tuple[float, ...] | None = None


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: bytes


Event = (
    MembershipUpdate
    | SettingsChanged
    | Request
    | StreamStarted
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
)


# ---- actions ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Attempt:
    request_id: str
    server: str
    give_up_at: int
    send_by: int = 0  # its last byte is written before then, or it is not sent; 0: by `give_up_at`


@dataclass(slots=True)
class Refuse:
    """Final answer: no, and a new try does no harm."""

    request_id: str
    retry_after: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about the effect."""

    request_id: str


@dataclass(slots=True)
class Cancel:
    request_id: str
    attempt: int


@dataclass(slots=True)
class Timer:
    delay: int
    tag: str
    request_id: str = ""  # not empty: of no interest once that request has its final answer


@dataclass(slots=True)
class Watch:
    on: bool = True


@dataclass(slots=True)
class FetchList:
    pass


@dataclass(slots=True)
class Probe:
    server: str


@dataclass(slots=True)
class CloseIdle:
    server: str


@dataclass(slots=True)
class SendPeer:
    to: int | None  # None: every peer
    data: bytes


@dataclass(slots=True)
class Log:
    text: str


Action = Attempt | Refuse | Fail | Cancel | Timer | Watch | FetchList | Probe | CloseIdle | SendPeer | Log


# ---- settings -----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class RequestClass:
    name: str
    effect: Effect
    aim: int  # an answer within this time has its full worth
    deadline: int  # what a client waits in all, over all its tries
    scope: Scope = Scope.ALL
    window: int = 0  # BY_KEY: how long the scope remembers, from the first attempt that may have run
    worth: float = 1.0
    late_worth: float = 1.0  # the part of the worth left after the aim; 0: an attempt is given up at the aim
    aim_stretch: float = 0.0  # the aim grows by this many times the request's work
    stream: bool = False

    @property
    def repeats_anywhere(self) -> bool:
        """Whether a request that may have run can be sent again, to any server, with no second effect."""
        return self.effect is Effect.REPEATABLE or (self.effect is Effect.BY_KEY and self.scope is Scope.ALL)


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    share: float = 0.0
    quota_per_s: float = 0.0  # over all balancers together; 0: none


@dataclass(slots=True, frozen=True)
class Safety:
    """The figures of the rules every balancer keeps on its own."""

    answer_grace: int
    drain_grace: int
    cold_from: float  # a server starts at this part of its capacity or more
    warm_within: int
    fall_multiple: float  # a cold server falls over when sent more than this many times what it can do
    fall_after: int  # ... for this long
    ask_within: int = 0  # with no subscription, the list must be asked for at least this often


class SettingFault(NamedTuple):
    """One figure that can't be used: its name in `Settings`, its value, and what it must be."""

    name: str
    value: str
    expected: str


class SettingsError(LoftweirError, ValueError):
    """The platform's settings can be read but not used: each of the `faults` names a figure, its value and what it must
    be."""

    remedy = "Bring each figure that is named within what is said it must be, under `settings` in the platform's file."

    def __init__(self, faults: list[SettingFault]) -> None:
        super().__init__("; ".join(f"settings: {name}: must be {expected}" for name, _, expected in faults))
        self.faults = faults
        self.where = ", ".join(name for name, _, _ in faults)


LONGEST = 2**63 - 1  # ns of any time: what a platform with 64 bits for it can mean


@dataclass(slots=True, frozen=True)
class Settings:
    zone: str
    zones: tuple[str, ...]
    classes: Mapping[str, RequestClass]
    safety: Safety
    balancers: int = 1
    me: int = 0
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    discovery_pushes: bool = True
    capacity_known: bool = True  # weights of endpoints are comparable sizes
    warm_keys: bool = False  # a server needs less work for a key it met lately
    max_attempts: int = 1
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_message_peers: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    over_share_worth: float = 1.0
    cross_zone_cost: float = 0.0
    tick: int = 0
    connect_timeout: int = 250_000_000  # a connection that is not up by then has failed
    conn_idle: int = 5_000_000_000  # a connection idle for this long is closed by the server

    def __post_init__(self) -> None:
        faults = [SettingFault(name, str(value), wrong) for name, value, wrong in self._faults() if wrong]
        if faults:
            raise SettingsError(faults)

    def _faults(self) -> list[tuple[str, object, str]]:
        """Every figure that is checked: its name, its value, and what it must be; empty: it is."""
        s = self.safety
        above: list[tuple[str, float]] = [("connect_timeout", self.connect_timeout), ("conn_idle", self.conn_idle)]
        above += [("safety.fall_multiple", s.fall_multiple), ("safety.warm_within", s.warm_within)]
        not_below: list[tuple[str, float]] = [
            (name, getattr(self, name)) for name in ("tick", "max_retry_after", "over_share_worth", "cross_zone_cost")
        ]
        not_below += [(f"safety.{name}", getattr(s, name)) for name in ("answer_grace", "drain_grace", "fall_after")]
        (not_below if self.discovery_pushes else above).append(("safety.ask_within", s.ask_within))
        for c in self.classes.values():
            above += [(f"classes.{c.name}.aim", c.aim), (f"classes.{c.name}.deadline", c.deadline)]
            (above if c.effect is Effect.BY_KEY else not_below).append((f"classes.{c.name}.window", c.window))
            not_below += [(f"classes.{c.name}.{n}", getattr(c, n)) for n in ("worth", "late_worth", "aim_stretch")]
        for t in self.tenants.values():
            not_below += [(f"tenants.{t.name}.{n}", getattr(t, n)) for n in ("share", "quota_per_s")]
        times = [(name, value) for name, value in above + not_below if isinstance(value, int) and value > LONGEST]
        return [
            ("zone", self.zone, "" if self.zone in self.zones else f"one of zones {self.zones!r}"),
            ("classes", len(self.classes), "" if self.classes else "at least one class"),
            ("balancers", self.balancers, "" if self.balancers >= 1 else "1 or more"),
            ("me", self.me, "" if 0 <= self.me < self.balancers else "from 0 to balancers - 1"),
            ("max_attempts", self.max_attempts, "" if self.max_attempts >= 1 else "1 or more"),
            ("safety.cold_from", s.cold_from, "" if 0 < s.cold_from <= 1 else "above 0 and at most 1"),
            *((name, value, "" if value > 0 else "above 0") for name, value in above),
            *((name, value, "" if value >= 0 else "0 or more") for name, value in not_below),
            *((name, value, f"at most {LONGEST}") for name, value in times),
        ]
