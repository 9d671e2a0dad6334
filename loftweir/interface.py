"""What goes into a balancer and what comes out: settings, events, actions and outcomes.

All times are integer nanoseconds on a clock that only goes forward. Fields that end in `_at` are points on that clock;
all other times are durations. The types have no behaviour beyond checking the settings.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from loftweir.errors import LoftweirError


class Effect(Enum):
    """Whether a request that may already have run may be retried or rejected."""

    REPEATABLE = "repeatable"  # it may be retried and rejected freely
    ONCE = "once"  # once it may have run, it is neither retried nor rejected
    BY_KEY = "by_key"  # it may be retried only inside the scope that drops duplicates of its key, within the window


class Scope(Enum):
    """Which providers drop duplicates of a BY_KEY request that one of them has run."""

    ALL = "all"  # all providers
    ZONE = "zone"  # the providers of the same zone
    CELL = "cell"  # the providers of the same cell


class Outcome(Enum):
    """How an attempt or a probe ended; `never_ran` is True where the outcome proves that the request did not run."""

    OK = "ok", False
    ERROR = "error", False
    FULL = "full", True  # returned unprocessed: the provider's queue is full, or the provider is draining
    TIMED_OUT = "timed_out", False
    CONNECT_FAILED = "connect_failed", True
    RESET = "reset", False
    CANCELLED = "cancelled", False
    NOT_SENT = "not_sent", True
    UNKNOWN = "unknown", False  # an outcome that this version does not know: the request may have run

    def __init__(self, label: str, never_ran: bool) -> None:
        self.label = label
        self.never_ran = never_ran


class Lifecycle(Enum):
    """The state of a provider as discovery lists it."""

    READY = "ready"
    DRAINING = "draining"  # it finishes the requests that it has; no new ones may be sent to it
    GONE = "gone"  # it has left the list


class UpdateKind(Enum):
    """What an update of the endpoint list contains."""

    FULL = "full"  # the whole list; an endpoint that is not in it is gone
    CHANGES = "changes"  # only the endpoints that changed
    REMEMBERED = "remembered"  # the whole list as it was stored before a restart; it may be stale
    FAILED = "failed"  # no list: a call to discovery failed or the subscription broke; the previous list stays in use


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One provider as discovery lists it."""

    address: str  # the provider's name in all events and actions
    zone: str
    kind: str
    cell: int
    lifecycle: Lifecycle
    weight: float = 1.0  # its capacity relative to other endpoints; see Settings.capacity_known
    started_at: int = 0  # 0: it started long ago and is warm
    reenabled: bool = False  # operators had disabled it and have enabled it again


# ---- events -------------------------------------------------------------------------------------


@dataclass(slots=True)
class MembershipUpdate:
    """Discovery returned an endpoint list or changes to it, or a call to it failed."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0
    list_age: int | None = None  # FAILED: for how long a change may have gone unnoticed by now; None: not known
    response_pending: bool = False  # FAILED: discovery may still respond to a call that was given up


@dataclass(slots=True)
class Request:
    """A client sent a request; the balancer owes exactly one final answer to it."""

    id: str
    class_name: str
    time_left: int  # how long the client still waits for the answer to this request
    tenant: str | None = None  # None: of no tenant
    key: str | None = None  # equal keys mark duplicates of one request; None: no key
    cost_hint: int = 0  # expected work on a standard core; 0: not known
    client_retry: bool = False  # the client sent it before and retries
    write: bool = False
    request_class: RequestClass | None = None  # the class as of the request's arrival; None: the settings' current one
    # The share of new requests, at the mean worth, that this sidecar's own process has no capacity for now.
    reject_share: float = 0.0


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from now on. Requests in flight keep the class with which they arrived."""

    settings: Settings


@dataclass(slots=True)
class StreamStarted:
    """The first part of a streamed response arrived from an attempt's provider."""

    request_id: str
    attempt: int  # the attempt's number within its request, from 0
    provider: str
    elapsed: int  # since the attempt began


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; every attempt ends exactly once."""

    request_id: str
    attempt: int  # the attempt's number within its request, from 0
    provider: str
    outcome: Outcome
    elapsed: int  # since the attempt began
    request_ended: bool  # the request needs no further attempt: it has its final answer, or its client is gone
    load: tuple[float, ...] | None = None  # the provider's load report; None: it sent none


@dataclass(slots=True)
class RequestCancelled:
    """The client cancelled a request or disconnected: it no longer waits for the final answer."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that a `Timer` action started is due."""

    tag: str  # as in the action


@dataclass(slots=True)
class ProbeEnded:
    """A probe that a `Probe` action started ended."""

    provider: str
    outcome: Outcome
    elapsed: int  # since the probe began
    load: tuple[float, ...] | None = None  # the provider's load report; None: it sent none


@dataclass(slots=True)
class PeerMessage:
    """A message from another balancer arrived."""

    sender: int  # the sender's number among the balancers; see Settings.me
    data: bytes


Event = (
    MembershipUpdate
    | SettingsChanged
    | Request
    | StreamStarted
    | AttemptEnded
    | RequestCancelled
    | TimerFired
    | ProbeEnded
    | PeerMessage
)


# ---- actions ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Attempt:
    """Send a request to a provider. A request's attempts are numbered from 0 in the order of these actions."""

    request_id: str
    provider: str
    give_up_at: int  # the attempt times out then
    send_by: int = 0  # a point in time: unless its last byte is written before, it is not sent; 0: `give_up_at`


@dataclass(slots=True)
class Reject:
    """Final answer: rejected. It promises that a retry by the client does no harm."""

    request_id: str
    retry_after: int = 0  # how long the client should wait before it retries; 0: no advice


@dataclass(slots=True)
class Fail:
    """Final answer: failed. It does not tell whether the request took effect."""

    request_id: str


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request_id: str
    attempt: int  # the attempt's number within its request, from 0


@dataclass(slots=True)
class Timer:
    """Start a timer, which results in a `TimerFired` event with the same tag."""

    delay: int
    tag: str
    request_id: str = ""  # if set, the timer is dropped once that request has its final answer


@dataclass(slots=True)
class Watch:
    """Start or stop watching discovery for changes of the endpoint list."""

    on: bool = True


@dataclass(slots=True)
class FetchList:
    """Fetch the whole endpoint list from discovery once."""


@dataclass(slots=True)
class Probe:
    """Probe a provider, which results in a `ProbeEnded` event."""

    provider: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a provider."""

    provider: str


@dataclass(slots=True)
class SendPeer:
    """Send a message to another balancer, where it arrives as a `PeerMessage` event."""

    to: int | None  # the receiver's number among the balancers; None: all other balancers
    data: bytes


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Attempt | Reject | Fail | Cancel | Timer | Watch | FetchList | Probe | CloseIdle | SendPeer | Log


# ---- settings -----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What a class of requests requires and what its answers are worth."""

    name: str
    effect: Effect
    aim: int  # the latency target: an answer within this time has its full worth
    deadline: int  # how long a client waits in all, over all its retries
    scope: Scope = Scope.ALL  # BY_KEY: which providers drop duplicates
    window: int = 0  # BY_KEY: how long the scope remembers a key, from the first attempt that may have run
    worth: float = 1.0  # the worth of an answer relative to other classes
    late_worth: float = 1.0  # the share of the worth that is left after the aim; 0: attempts are given up at the aim
    aim_stretch: float = 0.0  # the aim grows by this many times the request's work
    stream: bool = False  # its responses are streamed

    @property
    def retryable_anywhere(self) -> bool:
        """Whether a request that may have run can be sent again, to any provider, with no second effect."""
        return self.effect is Effect.REPEATABLE or (self.effect is Effect.BY_KEY and self.scope is Scope.ALL)


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant's share of the capacity and its quota."""

    name: str
    share: float = 0.0  # the tenant's part of the capacity
    quota_per_s: float = 0.0  # requests a second over all balancers together; 0: no quota


@dataclass(slots=True, frozen=True)
class Safety:
    """The parameters of the safety rules that every balancer follows on its own."""

    answer_grace: int  # a final answer is due at most this long after the client's deadline
    drain_grace: int  # attempts to a provider that drains or is gone stop within this time of the list that says so
    cold_from: float  # the share of its full capacity, or more, that a provider has when it starts; above 0, at most 1
    warm_within: int  # a provider has its full capacity this long after its start
    fall_multiple: float  # a cold provider fails when sent more than this many times its current capacity
    fall_after: int  # it fails after so much load for this long
    ask_within: int = 0  # with no subscription, the list must be fetched at least this often


class SettingFault(NamedTuple):
    """A setting that can't be used."""

    name: str  # in `Settings`
    value: str
    expected: str  # what the value must be


class SettingsError(LoftweirError, ValueError):
    """The platform's settings can be read but not used: each of the `faults` names a figure, its value and what it must
    be."""

    remedy = "Bring each figure that is named within what is said it must be, under `settings` in the platform's file."

    def __init__(self, faults: list[SettingFault]) -> None:
        super().__init__("; ".join(f"settings: {name}: must be {expected}" for name, _, expected in faults))
        self.faults = faults
        self.where = ", ".join(name for name, _, _ in faults)


# The longest time that a setting may name, in nanoseconds: a platform that stores times in 64 bits can't mean more.
MAX_DURATION = 2**63 - 1


@dataclass(slots=True, frozen=True)
class Settings:
    """The platform's settings of one balancer. Creating one raises SettingsError for values that can't be used."""

    zone: str  # the balancer's own zone; one of `zones`
    zones: tuple[str, ...]
    classes: Mapping[str, RequestClass]  # by name
    safety: Safety
    balancers: int = 1  # how many balancers send requests to the same providers
    me: int = 0  # this balancer's number among them, from 0
    tenants: Mapping[str, Tenant] = field(default_factory=dict)  # by name
    discovery_pushes: bool = True  # discovery sends changes by subscription; False: the list has to be fetched
    capacity_known: bool = True  # the endpoints' weights are capacities that can be compared
    warm_keys: bool = False  # a provider needs less work for a key that it served lately
    max_attempts: int = 1  # of one request, the first included
    second_copies: bool = False  # hedged attempts are allowed
    may_cancel: bool = False  # `Cancel` actions are allowed
    may_probe: bool = False  # `Probe` actions are allowed
    may_message_peers: bool = False  # `SendPeer` actions are allowed
    retry_after: bool = False  # rejections may tell clients how long to wait before a retry
    max_retry_after: int = 0  # the longest such time
    over_share_worth: float = 1.0  # the worth of requests beyond their tenant's share
    cross_zone_cost: float = 0.0  # the cost of sending a request to another zone
    tick: int = 0  # the platform's time quantum; 0: none
    connect_timeout: int = 250_000_000  # 250 ms; a connection that is not open by then has failed
    conn_idle: int = 5_000_000_000  # 5 s; the provider closes a connection that is idle for this long

    def __post_init__(self) -> None:
        faults = [SettingFault(name, str(value), wrong) for name, value, wrong in self._faults() if wrong]
        if faults:
            raise SettingsError(faults)

    def _faults(self) -> list[tuple[str, object, str]]:
        """Return the name and value of each checked setting and what it must be, which is empty for a valid value."""
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
        times = [(name, value) for name, value in above + not_below if isinstance(value, int) and value > MAX_DURATION]
        return [
            ("zone", self.zone, "" if self.zone in self.zones else f"one of zones {self.zones!r}"),
            ("classes", len(self.classes), "" if self.classes else "at least one class"),
            ("balancers", self.balancers, "" if self.balancers >= 1 else "1 or more"),
            ("me", self.me, "" if 0 <= self.me < self.balancers else "from 0 to balancers - 1"),
            ("max_attempts", self.max_attempts, "" if self.max_attempts >= 1 else "1 or more"),
            ("safety.cold_from", s.cold_from, "" if 0 < s.cold_from <= 1 else "above 0 and at most 1"),
            *((name, value, "" if value > 0 else "above 0") for name, value in above),
            *((name, value, "" if value >= 0 else "0 or more") for name, value in not_below),
            *((name, value, f"at most {MAX_DURATION}") for name, value in times),
        ]
