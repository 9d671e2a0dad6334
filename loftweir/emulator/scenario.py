"""A scenario: what the world is made of and what goes wrong in it, as a TOML file. Every fault of a file is named.

All times are ns inside; in the file they carry units, as in the operator's file.
"""

from __future__ import annotations

from collections.abc import Mapping
from difflib import get_close_matches
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec

from loftweir.config.faults import MISSING, Fault, Faulty
from loftweir.config.model import HOUR, MS, SECOND, Spec, choice, count, duration, share
from loftweir.config.operator import convert_value
from loftweir.interface import Effect, RequestClass, Safety, Scope, Settings

KINDS = (
    "hang", "crash", "cut", "slow", "errors", "class_fails", "drain", "replace", "zone_loss", "stale", "no_discovery",
    "surge", "partition", "cold_return",
)  # fmt: skip


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """A table of the file."""


Text = Annotated[str, "text"]
Number = Annotated[float, "number"]


class Class(Table, frozen=True, kw_only=True):
    """A class of requests."""

    name: Text
    effect: Annotated[str, choice("", "repeatable", "once", "by_key")]
    scope: Annotated[str, choice("", "all", "zone", "cell")] = "all"
    window: Annotated[int, duration("", 0, HOUR)] = 0
    aim: Annotated[int, duration("", MS, HOUR)] = 600 * MS
    deadline: Annotated[int, duration("", MS, HOUR)] = 3 * SECOND
    worth: Number = 1.0
    late_worth: Annotated[float, share("", 0.0, 1.0)] = 0.2
    work: Annotated[int, duration("", 1, HOUR)] = 100 * MS  # mean, on a core of speed 1
    cv: Number = 0.5  # of the work's distribution, lognormal; exactly 1 with `exponential`
    law: Annotated[str, choice("", "lognormal", "exponential", "fixed")] = "lognormal"
    part: Number = 1.0  # of the requests, against the other classes'


class Nodes(Table, frozen=True, kw_only=True):
    """Nodes of one zone and make."""

    zone: Text
    count: Annotated[int, count("", 1, 10_000)] = 1
    cores: Annotated[int, count("", 1, 1024)] = 1
    speed_from: Number = 1.0
    speed_to: Number = 1.0
    queue: Annotated[int, count("", 0, 1_000_000)] = 64  # that wait for a core; more are declined
    slots: Annotated[int, count("", 0, 100_000)] = 0  # in work at once, sharing the cores; 0: one to a core
    cells: Annotated[int, count("", 1, 64)] = 1
    first_cell: Annotated[int, count("", 0, 10_000)] = 0
    weight: Number = 0.0  # as the list says it; 0: its cores times its true speed
    cold: Annotated[str, choice("", "no", "yes")] = "no"  # at the start of the run


class Instances(Table, frozen=True, kw_only=True):
    """Balancers of one zone, with their clients."""

    zone: Text
    count: Annotated[int, count("", 1, 100_000)] = 1
    rate: Number = 20.0  # requests a second of each
    rate_cv: Number = 0.0  # of the rates among them, lognormal
    arrivals: Annotated[str, choice("", "poisson", "steady", "bursty", "diurnal")] = "poisson"
    period: Annotated[int, duration("", MS, 24 * HOUR)] = 20 * SECOND  # of bursts and days
    depth: Annotated[float, share("", 0.0, 1.0)] = 0.5  # how far the rate swings about its mean
    retries: Annotated[int, count("", 0, 10)] = 2
    back_off: Annotated[int, duration("", 0, HOUR)] = 200 * MS  # doubled with each retry, jittered by half
    obeys: Annotated[float, share("", 0.0, 1.0)] = 1.0  # of clients that wait for Retry-After
    patience: Annotated[float, share("", 0.01, 1.0)] = 0.6  # of the deadline, for one try
    starts: Annotated[int, duration("", 0, HOUR)] = 0  # spread over so long


class World(Table, frozen=True, kw_only=True):
    """Delays, discovery and the rules' figures."""

    near: Annotated[int, duration("", 0, SECOND)] = MS // 5  # one way
    far: Annotated[int, duration("", 0, SECOND)] = MS
    connect: Annotated[int, duration("", 0, SECOND)] = MS // 2  # for a call that finds no warm connection
    lag: Annotated[int, duration("", 0, HOUR)] = SECOND  # of the list
    discovery_rate: Number = 2000.0  # calls a second that it can take
    ask_within: Annotated[int, duration("", MS, HOUR)] = 5 * SECOND
    answer_grace: Annotated[int, duration("", 0, HOUR)] = 20 * MS
    drain_grace: Annotated[int, duration("", 0, HOUR)] = 750 * MS
    cold_from: Annotated[float, share("", 0.01, 1.0)] = 0.14
    warm_within: Annotated[int, duration("", MS, HOUR)] = 24 * SECOND
    fall_multiple: Number = 2.5
    fall_after: Annotated[int, duration("", MS, HOUR)] = SECOND
    max_attempts: Annotated[int, count("", 1, 10)] = 3
    max_retry_after: Annotated[int, duration("", 0, HOUR)] = 2 * SECOND
    connect_timeout: Annotated[int, duration("", MS, HOUR)] = 250 * MS
    overdue: Annotated[str, choice("", "runs_on", "stops")] = "runs_on"  # work that nobody waits for any more


class Connections(Table, frozen=True, kw_only=True):
    """What a connection costs its server. Off by default: a call that finds none is delayed by `world.connect`.

    Where they are costly, the calls of an instance to a node share one connection, and it stays for the run.
    """

    costly: Annotated[str, choice("", "no", "yes")] = "no"
    work: Annotated[int, duration("", 0, SECOND)] = 10 * MS  # of the handshake, on a core of speed 1
    round_trips: Annotated[int, count("", 0, 10)] = 2
    cap_per_core: Annotated[int, count("", 1, 1_000_000)] = 1_000_000  # more are not accepted
    full_tax: Annotated[float, share("", 0.0, 0.99)] = 0.0  # the part of a server's pace that a full table takes


class Overdrive(Table, frozen=True, kw_only=True):
    """When a server that is held too full slows down, and when it recovers (`overdrive`). Off by default."""

    share: Annotated[float, share("", 0.0, 1.0)] = 0.0  # of the servers that are prone to it
    at: Number = 5.0  # requests held per core: more are too many
    over: Annotated[int, duration("", MS, HOUR)] = 2 * SECOND  # for so long without a break
    slower: Number = 2.5  # how many times longer its work takes then
    below: Annotated[float, share("", 0.0, 1.0)] = 0.3  # of its cores: use that lets it recover
    rest: Annotated[int, duration("", MS, HOUR)] = 4 * SECOND  # over so long
    most: Annotated[int, duration("", MS, HOUR)] = 25 * SECOND  # after so long it recovers anyway


class InjectedFault(Table, frozen=True, kw_only=True):
    """Something that goes wrong, from `at` for `lasts`."""

    kind: Annotated[str, choice("", *KINDS)]
    at: Annotated[int, duration("", 0, 24 * HOUR)]
    lasts: Annotated[int, duration("", 0, 24 * HOUR)] = 10 * SECOND
    zone: Text = ""  # empty: every zone
    part: Annotated[float, share("", 0.0, 1.0)] = 1.0  # of the nodes there
    factor: Number = 1.0  # of speed, rate, or the part of errors
    class_name: Text = ""
    balancers: Annotated[str, choice("", "stay", "go")] = "stay"


class Scenario(Table, frozen=True, kw_only=True):
    name: Text
    about: Text = ""
    seconds: Annotated[int, count("", 1, 86_400)] = 30
    world: World = World()
    connections: Connections = Connections()
    overdrive: Overdrive = Overdrive()
    classes: tuple[Class, ...]
    nodes: tuple[Nodes, ...]
    instances: tuple[Instances, ...]
    troubles: tuple[InjectedFault, ...] = ()


def decode(data: Mapping[str, Any], file: str = "scenario") -> Scenario:
    """A scenario, or a `Faulty` with everything that is wrong with it."""
    faults: list[Fault] = []
    made = _table(Scenario, data, file, "", faults)
    if made is not None:
        faults += [Fault(file, path, value, expected) for path, value, expected in _contradictions(made)]
    if faults or made is None:
        raise Faulty(faults)
    assert isinstance(made, Scenario)
    return made


def _table(kind: type[Any], data: Any, file: str, path: str, faults: list[Fault]) -> Any:
    if not isinstance(data, Mapping):
        faults.append(Fault(file, path, data, "a table"))
        return None
    hints = get_type_hints(kind, include_extras=True)
    before, values = len(faults), {}
    for name, raw in data.items():
        at = f"{path}.{name}" if path else name
        if name not in hints:
            close = get_close_matches(name, list(hints), 1, 0.5)
            faults.append(Fault(file, at, raw, "a known key" + (f"; did you mean {close[0]}?" if close else "")))
            continue
        values[name] = _value(hints[name], raw, file, at, faults)
    for field in msgspec.structs.fields(kind):
        if field.required and field.name not in data:
            at = f"{path}.{field.name}" if path else field.name
            faults.append(Fault(file, at, MISSING, "a value: this key is needed"))
    return kind(**values) if len(faults) == before else None


def _value(hint: Any, raw: Any, file: str, at: str, faults: list[Fault]) -> Any:
    if get_origin(hint) is tuple:
        if not isinstance(raw, list):
            faults.append(Fault(file, at, raw, "a list of tables"))
            return None
        return tuple(_table(get_args(hint)[0], item, file, f"{at}.{n}", faults) for n, item in enumerate(raw))
    if isinstance(hint, type):
        return _table(hint, raw, file, at, faults)
    base, meta = get_args(hint)[:2]
    try:
        if isinstance(meta, Spec):
            return convert_value(meta, raw)
        return msgspec.convert(raw, base, strict=True)
    except (ValueError, msgspec.ValidationError) as error:
        expected = str(error) if isinstance(meta, Spec) else f"a {meta}" if meta == "number" else "text"
        faults.append(Fault(file, at, raw, expected))
        return None


def _contradictions(s: Scenario) -> list[tuple[str, Any, str]]:
    zones = {nodes.zone for nodes in s.nodes} | {i.zone for i in s.instances}
    names = {c.name for c in s.classes}
    found: list[tuple[str, Any, str]] = []
    for key, rows in (("classes", s.classes), ("nodes", s.nodes), ("instances", s.instances)):
        if not rows:
            found.append((key, [], "at least one"))
    for n, c in enumerate(s.classes):
        if c.effect == "by_key" and c.window <= 0:
            found.append((f"classes.{n}.window", c.window, "above 0 for by_key"))
        if c.part < 0 or c.worth < 0 or c.cv < 0:
            found.append((f"classes.{n}", c.name, "part, worth and cv of 0 or more"))
    for n, nodes in enumerate(s.nodes):
        if not 0 < nodes.speed_from <= nodes.speed_to:
            found.append((f"nodes.{n}.speed_from", nodes.speed_from, "above 0 and at most speed_to"))
        if nodes.weight < 0:
            found.append((f"nodes.{n}.weight", nodes.weight, "0 or more"))
        if 0 < nodes.slots < nodes.cores:
            found.append((f"nodes.{n}.slots", nodes.slots, "0, or cores or more"))
    for n, i in enumerate(s.instances):
        if i.rate < 0 or i.rate_cv < 0:
            found.append((f"instances.{n}.rate", i.rate, "0 or more, and so rate_cv"))
    if s.overdrive.at < 0 or s.overdrive.slower < 1:
        found.append(("overdrive", s.overdrive.slower, "at of 0 or more, slower of 1 or more"))
    for n, t in enumerate(s.troubles):
        if t.zone and t.zone not in zones:
            found.append((f"troubles.{n}.zone", t.zone, f"one of {', '.join(sorted(zones))}"))
        if t.kind == "class_fails" and t.class_name not in names:
            found.append((f"troubles.{n}.class_name", t.class_name, f"one of {', '.join(sorted(names))}"))
        if t.factor < 0:
            found.append((f"troubles.{n}.factor", t.factor, "0 or more"))
    return found


def settings_of(scenario: Scenario, zone: str, me: int, balancers: int) -> Settings:
    """What the platform would tell an instance of this world."""
    w = scenario.world
    zones = sorted({n.zone for n in scenario.nodes} | {i.zone for i in scenario.instances})
    classes = {
        c.name: RequestClass(
            c.name, Effect(c.effect), c.aim, c.deadline, Scope(c.scope), c.window, c.worth, c.late_worth
        )
        for c in scenario.classes
    }
    safety = Safety(
        w.answer_grace, w.drain_grace, w.cold_from, w.warm_within, w.fall_multiple, w.fall_after, w.ask_within
    )
    return Settings(
        zone=zone,
        zones=tuple(zones),
        classes=classes,
        safety=safety,
        balancers=balancers,
        me=me,
        discovery_pushes=False,
        capacity_known=True,
        max_attempts=w.max_attempts,
        retry_after=w.max_retry_after > 0,
        max_retry_after=w.max_retry_after,
        connect_timeout=w.connect_timeout,
    )
