"""Scenario files: the simulated systems and the faults that are injected, in TOML. All errors of a file are reported.

All times are in ns here; in the file they have units, as in the operator's file.
"""

from __future__ import annotations

from collections.abc import Mapping
from difflib import get_close_matches
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec

from loftweir.config.faults import MISSING, Fault, Faulty
from loftweir.config.operator import convert_value
from loftweir.config.spec import HOUR, MS, SECOND, Spec, choice, count, duration, share
from loftweir.interface import Effect, RequestClass, Safety, Scope, Settings

KINDS = (  # of injected faults
    "hang", "crash", "cut", "slow", "errors", "class_fails", "drain", "replace", "zone_loss", "stale", "no_discovery",
    "surge", "partition", "cold_return",
)  # fmt: skip


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """A table of a scenario file."""


Text = Annotated[str, "text"]
Number = Annotated[float, "number"]


class Class(Table, frozen=True, kw_only=True):
    """A class of requests, as clients send them and nodes execute them."""

    name: Text
    effect: Annotated[str, choice("", "repeatable", "once", "by_key")]
    scope: Annotated[str, choice("", "all", "zone", "cell")] = "all"
    window: Annotated[int, duration("", 0, HOUR)] = 0
    aim: Annotated[int, duration("", MS, HOUR)] = 600 * MS  # latency target
    deadline: Annotated[int, duration("", MS, HOUR)] = 3 * SECOND
    worth: Number = 1.0
    late_worth: Annotated[float, share("", 0.0, 1.0)] = 0.2
    work: Annotated[int, duration("", 1, HOUR)] = 100 * MS  # mean, on a core of speed 1
    cv: Number = 0.5  # coefficient of variation of the work if it is lognormal; it is 1 if exponential
    law: Annotated[str, choice("", "lognormal", "exponential", "fixed")] = "lognormal"  # distribution of the work
    part: Number = 1.0  # of the requests, relative to the other classes


class Nodes(Table, frozen=True, kw_only=True):
    """Nodes of one zone with the same properties."""

    zone: Text
    count: Annotated[int, count("", 1, 10_000)] = 1
    cores: Annotated[int, count("", 1, 1024)] = 1
    speed_from: Number = 1.0  # each node's speed is drawn between the two
    speed_to: Number = 1.0
    queue: Annotated[int, count("", 0, 1_000_000)] = 64  # requests that may wait for a core; more are rejected
    slots: Annotated[int, count("", 0, 100_000)] = 0  # requests running at once, sharing the cores; 0: one per core
    cells: Annotated[int, count("", 1, 64)] = 1
    first_cell: Annotated[int, count("", 0, 10_000)] = 0
    weight: Number = 0.0  # in discovery's list; 0: the number of cores times the true speed
    cold: Annotated[str, choice("", "no", "yes")] = "no"  # whether they start cold at the start of the run


class Instances(Table, frozen=True, kw_only=True):
    """Balancers of one zone, with their clients."""

    zone: Text
    count: Annotated[int, count("", 1, 100_000)] = 1
    rate: Number = 20.0  # requests per second of each instance
    rate_cv: Number = 0.0  # coefficient of variation of the instances' rates, lognormal
    arrivals: Annotated[str, choice("", "poisson", "steady", "bursty", "diurnal")] = "poisson"
    period: Annotated[int, duration("", MS, 24 * HOUR)] = 20 * SECOND  # of bursty and diurnal arrivals
    depth: Annotated[float, share("", 0.0, 1.0)] = 0.5  # of the variation around the mean rate
    retries: Annotated[int, count("", 0, 10)] = 2  # of a client
    back_off: Annotated[int, duration("", 0, HOUR)] = 200 * MS  # doubles with each retry; jittered by half
    obeys: Annotated[float, share("", 0.0, 1.0)] = 1.0  # share of the clients that respect Retry-After
    patience: Annotated[float, share("", 0.01, 1.0)] = 0.6  # a client's timeout for one sending, of the deadline
    starts: Annotated[int, duration("", 0, HOUR)] = 0  # time over which the instances' starts are spread


class World(Table, frozen=True, kw_only=True):
    """Network delays, discovery, and the values of the rules."""

    near: Annotated[int, duration("", 0, SECOND)] = MS // 5  # one-way delay within a zone
    far: Annotated[int, duration("", 0, SECOND)] = MS  # one-way delay between zones
    connect: Annotated[int, duration("", 0, SECOND)] = MS // 2  # to connect, if there is no connection yet
    lag: Annotated[int, duration("", 0, HOUR)] = SECOND  # until a change of a node is in the list
    discovery_rate: Number = 2000.0  # calls per second that discovery can answer
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
    overdue: Annotated[str, choice("", "runs_on", "stops")] = "runs_on"  # work whose attempt has timed out


class Connections(Table, frozen=True, kw_only=True):
    """The cost of connections for a server. Off by default: then a first attempt is delayed by `world.connect`.

    If connections are costly, all attempts of an instance to a node share one connection, which stays open for the run.
    """

    costly: Annotated[str, choice("", "no", "yes")] = "no"
    work: Annotated[int, duration("", 0, SECOND)] = 10 * MS  # of the handshake, on a core of speed 1
    round_trips: Annotated[int, count("", 0, 10)] = 2
    cap_per_core: Annotated[int, count("", 1, 1_000_000)] = 1_000_000  # connections; more are refused
    full_tax: Annotated[float, share("", 0.0, 0.99)] = 0.0  # share of a server's pace lost at the cap


class Overdrive(Table, frozen=True, kw_only=True):
    """When an overfull server slows down, and when it recovers (`overdrive`). Off by default."""

    share: Annotated[float, share("", 0.0, 1.0)] = 0.0  # of the servers that can become overdriven
    at: Number = 5.0  # requests in flight per core; with more a server is overfull
    over: Annotated[int, duration("", MS, HOUR)] = 2 * SECOND  # overfull without a break until it is overdriven
    slower: Number = 2.5  # factor by which its work then takes longer
    below: Annotated[float, share("", 0.0, 1.0)] = 0.3  # use of its cores with which it recovers
    rest: Annotated[int, duration("", MS, HOUR)] = 4 * SECOND  # time over which that use is measured
    most: Annotated[int, duration("", MS, HOUR)] = 25 * SECOND  # until it recovers whatever its use


class InjectedFault(Table, frozen=True, kw_only=True):
    """A fault that starts at `at`, counted from the first request, and lasts for `lasts`."""

    kind: Annotated[str, choice("", *KINDS)]
    at: Annotated[int, duration("", 0, 24 * HOUR)]
    lasts: Annotated[int, duration("", 0, 24 * HOUR)] = 10 * SECOND
    zone: Text = ""  # empty: every zone
    part: Annotated[float, share("", 0.0, 1.0)] = 1.0  # of the zone's nodes
    factor: Number = 1.0  # of the speed or the rate, the share of errors, or the seconds that the list is later
    class_name: Text = ""
    balancers: Annotated[str, choice("", "stay", "go")] = "stay"  # whether a lost zone loses its balancers too


class Scenario(Table, frozen=True, kw_only=True):
    """A whole scenario file."""

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
    """Converts the content of a file; raises `Faulty` with all of its errors."""
    faults: list[Fault] = []
    scenario = _convert_table(Scenario, data, file, "", faults)
    if scenario is not None:
        faults += [Fault(file, path, value, expected) for path, value, expected in _contradictions(scenario)]
    if faults or scenario is None:
        raise Faulty(faults)
    assert isinstance(scenario, Scenario)
    return scenario


def _convert_table(kind: type[Any], data: Any, file: str, path: str, faults: list[Fault]) -> Any:
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
        values[name] = _convert_field(hints[name], raw, file, at, faults)
    for field in msgspec.structs.fields(kind):
        if field.required and field.name not in data:
            at = f"{path}.{field.name}" if path else field.name
            faults.append(Fault(file, at, MISSING, "a value: this key is needed"))
    return kind(**values) if len(faults) == before else None


def _convert_field(hint: Any, raw: Any, file: str, at: str, faults: list[Fault]) -> Any:
    if get_origin(hint) is tuple:
        if not isinstance(raw, list):
            faults.append(Fault(file, at, raw, "a list of tables"))
            return None
        return tuple(_convert_table(get_args(hint)[0], item, file, f"{at}.{n}", faults) for n, item in enumerate(raw))
    if isinstance(hint, type):
        return _convert_table(hint, raw, file, at, faults)
    base, meta = get_args(hint)[:2]
    try:
        if isinstance(meta, Spec):
            return convert_value(meta, raw)
        return msgspec.convert(raw, base, strict=True)
    except (ValueError, msgspec.ValidationError) as error:
        expected = str(error) if isinstance(meta, Spec) else f"a {meta}" if meta == "number" else "text"
        faults.append(Fault(file, at, raw, expected))
        return None


def _contradictions(scenario: Scenario) -> list[tuple[str, Any, str]]:
    """Values that are valid on their own but not together: path, value, and what is expected."""
    zones = {nodes.zone for nodes in scenario.nodes} | {i.zone for i in scenario.instances}
    names = {c.name for c in scenario.classes}
    found: list[tuple[str, Any, str]] = []
    for key, rows in (("classes", scenario.classes), ("nodes", scenario.nodes), ("instances", scenario.instances)):
        if not rows:
            found.append((key, [], "at least one"))
    for n, c in enumerate(scenario.classes):
        if c.effect == "by_key" and c.window <= 0:
            found.append((f"classes.{n}.window", c.window, "above 0 for by_key"))
        if c.part < 0 or c.worth < 0 or c.cv < 0:
            found.append((f"classes.{n}", c.name, "part, worth and cv of 0 or more"))
    for n, nodes in enumerate(scenario.nodes):
        if not 0 < nodes.speed_from <= nodes.speed_to:
            found.append((f"nodes.{n}.speed_from", nodes.speed_from, "above 0 and at most speed_to"))
        if nodes.weight < 0:
            found.append((f"nodes.{n}.weight", nodes.weight, "0 or more"))
        if 0 < nodes.slots < nodes.cores:
            found.append((f"nodes.{n}.slots", nodes.slots, "0, or cores or more"))
    for n, i in enumerate(scenario.instances):
        if i.rate < 0 or i.rate_cv < 0:
            found.append((f"instances.{n}.rate", i.rate, "0 or more, and so rate_cv"))
    if scenario.overdrive.at < 0 or scenario.overdrive.slower < 1:
        found.append(("overdrive", scenario.overdrive.slower, "at of 0 or more, slower of 1 or more"))
    for n, fault in enumerate(scenario.troubles):
        if fault.zone and fault.zone not in zones:
            found.append((f"troubles.{n}.zone", fault.zone, f"one of {', '.join(sorted(zones))}"))
        if fault.kind == "class_fails" and fault.class_name not in names:
            found.append((f"troubles.{n}.class_name", fault.class_name, f"one of {', '.join(sorted(names))}"))
        if fault.factor < 0:
            found.append((f"troubles.{n}.factor", fault.factor, "0 or more"))
    return found


def settings_of(scenario: Scenario, zone: str, me: int, balancers: int) -> Settings:
    """The settings that the platform would give to an instance of this scenario."""
    world = scenario.world
    zones = sorted({n.zone for n in scenario.nodes} | {i.zone for i in scenario.instances})
    classes = {
        c.name: RequestClass(
            c.name, Effect(c.effect), c.aim, c.deadline, Scope(c.scope), c.window, c.worth, c.late_worth
        )
        for c in scenario.classes
    }
    safety = Safety(
        world.answer_grace,
        world.drain_grace,
        world.cold_from,
        world.warm_within,
        world.fall_multiple,
        world.fall_after,
        world.ask_within,
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
        max_attempts=world.max_attempts,
        retry_after=world.max_retry_after > 0,
        max_retry_after=world.max_retry_after,
        connect_timeout=world.connect_timeout,
    )
