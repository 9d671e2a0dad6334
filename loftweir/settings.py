"""The one reader of the platform's settings, for both programs: path=value pairs or JSON to `interface.Settings`.

It reads on past a fault, so that all of them are known at once.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple, TypeVar

from loftweir import interface as api
from loftweir.errors import LoftweirError

T = TypeVar("T")


class WireError(LoftweirError):
    """A line is not of the simulator's wire, and `loftweir.adapter` ends with 1: which line and field, and why."""

    remedy = "Mend that line where it is written, in what drives `python -m loftweir.adapter`, and start both again."


def integer(field: str, text: str) -> int:
    if text == "-":
        return 0
    try:
        return int(text)
    except ValueError:
        raise WireError(f"field {field}: {text!r} is not a whole number") from None


def number(field: str, text: str) -> float:
    if text == "-":
        return 0.0
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"field {field}: {text!r} is not a number") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise WireError(f"field {field}: {text!r} is not a finite number")
    return value


def choice(field: str, text: str, known: dict[str, T]) -> T:
    try:
        return known[text]
    except KeyError:
        raise WireError(f"field {field}: {text!r} is none of {', '.join(known)}") from None


class ValueFault(NamedTuple):
    """One fault of the settings: where, what stood there (None: nothing) and what was expected."""

    path: str
    value: str | None
    expected: str


MOST_FAULTS = 100  # a count that lies must not make a list of its own length


class Values(ABC):
    """Settings by their paths, wherever they stand; what is not looked for is never looked at.

    What can't be read is kept in `wrong`, and something of its type is given back in its place: reading goes on.
    """

    def __init__(self) -> None:
        self.wrong: list[ValueFault] = []

    @abstractmethod
    def get(self, path: str) -> Any:
        """What stands there; None: nothing."""

    @abstractmethod
    def as_integer(self, path: str, value: Any) -> int: ...

    @abstractmethod
    def as_number(self, path: str, value: Any) -> float: ...

    @abstractmethod
    def as_text(self, path: str, value: Any) -> str: ...

    @abstractmethod
    def as_flag(self, path: str, value: Any) -> bool: ...

    @abstractmethod
    def as_texts(self, path: str, value: Any) -> tuple[str, ...]: ...

    @abstractmethod
    def count(self, path: str) -> int | None:
        """How many objects a list has; None: there is none."""

    def fault(self, path: str, value: Any, expected: str) -> None:
        if len(self.wrong) < MOST_FAULTS:
            self.wrong.append(ValueFault(path, None if value is None else str(value), expected))

    def read(self, path: str, default: T | None, read: Callable[[str, Any], T], instead: T, expected: str) -> T:
        value = self.get(path)
        if value is None and default is not None:
            return default
        try:
            if value is not None:
                return read(path, value)
        except WireError:
            pass
        self.fault(path, value, expected)
        return instead

    def text(self, path: str) -> str:
        return self.read(path, None, self.as_text, "", "text")

    def integer(self, path: str, default: int | None = None) -> int:
        return self.read(path, default, self.as_integer, 0, "a whole number")

    def number(self, path: str, default: float | None = None) -> float:
        return self.read(path, default, self.as_number, 0.0, "a finite number")

    def flag(self, path: str) -> bool:
        return self.read(path, False, self.as_flag, False, "true or false")

    def texts(self, path: str) -> tuple[str, ...]:
        return self.read(path, None, self.as_texts, (), "at least one name")

    def member(self, path: str, known: dict[str, T], default: T | None = None) -> T:
        def read(path: str, value: Any) -> T:
            return choice(path, self.as_text(path, value), known)

        return self.read(path, default, read, next(iter(known.values())), f"one of {', '.join(known)}")


class PathValues(Values):
    """The path=value pairs of a LAUNCH line; `-` is an absent one."""

    def __init__(self, parts: Iterable[str]) -> None:
        super().__init__()
        self.values: dict[str, str] = {}
        for part in parts:
            path, sign, value = part.partition("=")
            if not sign:
                self.fault("", part, "path=value")
            self.values[path] = value

    def get(self, path: str) -> Any:
        value = self.values.get(path)
        return None if value == "-" else value

    def as_integer(self, path: str, value: str) -> int:
        return integer(path, value)

    def as_number(self, path: str, value: str) -> float:
        return number(path, value)

    def as_text(self, path: str, value: str) -> str:
        if not value:
            raise WireError(f"field {path}: it is empty")
        return value

    def as_flag(self, path: str, value: str) -> bool:
        return choice(path, value, {"true": True, "false": False, "1": True, "0": False})

    def as_texts(self, path: str, value: str) -> tuple[str, ...]:
        return tuple(self.as_text(path, part) for part in value.split(","))

    def count(self, path: str) -> int | None:
        if self.get(f"{path}.count") is None:
            return None
        return min(self.integer(f"{path}.count"), len(self.values) + 1)


class Null:
    """What stands in JSON as null: nothing can be read from it."""

    def __str__(self) -> str:
        return "null"


class JsonValues(Values):
    """The same as an object of JSON, each value of its own kind: no number from the same digits as text. A null is no
    default: where a key is said, its value is due."""

    def __init__(self, data: Mapping[str, Any]) -> None:
        super().__init__()
        self.data = data
        self.told: set[str] = set()  # places that are no objects, and stand in the paths of others

    def get(self, path: str) -> Any:
        value: Any = self.data
        names = path.split(".")
        for depth, name in enumerate(names):
            if isinstance(value, list) and name.isdigit():
                value = value[int(name)]
            elif not isinstance(value, dict):
                at = ".".join(names[:depth])
                if at not in self.told:
                    self.fault(at, value, "an object")
                    self.told.add(at)
                return None
            elif name not in value:
                return None
            else:
                value = value[name]
        return Null() if value is None else value

    def fault(self, path: str, value: Any, expected: str) -> None:
        if not any(path.startswith(f"{at}.") for at in self.told):  # told already, by what it was to be in
            super().fault(path, value, expected)

    def as_integer(self, path: str, value: Any) -> int:
        number = self.as_number(path, value)
        if not number.is_integer():
            raise WireError(f"field {path}: {value!r} is not a whole number")
        return int(value)

    def as_number(self, path: str, value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise WireError(f"field {path}: {value!r} is not a number")
        return number(path, str(value))

    def as_text(self, path: str, value: Any) -> str:
        if not isinstance(value, str) or not value:
            raise WireError(f"field {path}: {value!r} is not text")
        return value

    def as_flag(self, path: str, value: Any) -> bool:
        if value not in (0, 1) or isinstance(value, float):
            raise WireError(f"field {path}: {value!r} is neither true nor false")
        return bool(value)

    def as_texts(self, path: str, value: Any) -> tuple[str, ...]:
        if not isinstance(value, list) or not value:
            raise WireError(f"field {path}: {value!r} is not a list of names")
        return tuple(self.as_text(path, part) for part in value)

    def count(self, path: str) -> int | None:
        value = self.get(path)
        if value is None or isinstance(value, Null):
            return None
        if not isinstance(value, list):
            self.fault(path, value, "a list of objects")
            return 0
        return len(value)


def read_settings(parts: Iterable[str]) -> api.Settings:
    """The settings; a WireError names the first fault."""
    settings, wrong = settings_and_faults(PathValues(parts))
    if settings is None:
        path, value, expected = wrong[0]
        what = f"required key {path} is missing" if value is None else f"{path}: {value!r} is not {expected}"
        raise WireError(f"field settings: {what}")
    return settings


def settings_and_faults(p: Values) -> tuple[api.Settings | None, list[ValueFault]]:
    """The settings, or None and all that is wrong with them."""
    classes, tenants = read_classes(p), read_tenants(p)
    pushed = p.member("discovery", {"push": True, "ask": False})
    safety = api.Safety(
        answer_grace=p.integer("safety.graceToAnswer"),
        drain_grace=p.integer("safety.stopSendingWithin"),
        cold_from=p.number("safety.coldFrom"),
        warm_within=p.integer("safety.warmWithin") or 1,  # 0: warm at once
        fall_multiple=p.number("safety.fallMultiple"),
        fall_after=p.integer("safety.fall"),
        ask_within=p.integer("safety.askWithin", 0 if pushed else None),
    )
    try:
        settings = api.Settings(
            zone=p.text("zone"),
            zones=p.texts("dcs"),
            classes=classes,
            safety=safety,
            balancers=p.integer("balancers", 1),
            me=p.integer("me", 0),
            tenants=tenants,
            discovery_pushes=pushed,
            capacity_known=p.member("weights", WEIGHTS, False),
            warm_keys=p.flag("familyInfo.warmKeys"),
            max_attempts=p.integer("allowed.maxAttempts", 1),
            second_copies=p.flag("allowed.secondCopies"),
            may_cancel=p.flag("allowed.cancel"),
            may_probe=p.flag("allowed.probes"),
            may_message_peers=p.flag("allowed.peerMessages"),
            retry_after=p.flag("allowed.retryAfter"),
            max_retry_after=p.integer("allowed.maxRetryAfter", 0),
            over_share_worth=p.number("overShareWorth", 1.0),
            cross_zone_cost=p.number("costs.crossZone", 0.0),
            tick=p.integer("quantum", 0),
            connect_timeout=p.integer("allowed.connectTimeout", 250_000_000),
            conn_idle=p.integer("allowed.connIdle", 5_000_000_000),
        )
    except api.SettingsError as error:
        if p.wrong:  # what stands in for values that can't be read is no fault of its own
            return None, p.wrong
        places = {f"classes.{name}": f"profiles.{i}" for i, name in enumerate(classes)}
        places |= {f"tenants.{name}": f"accounts.{i}" for i, name in enumerate(tenants)}
        return None, [ValueFault(path_of(name, places), value, expected) for name, value, expected in error.faults]
    return (None, p.wrong) if p.wrong else (settings, [])


def read_classes(p: Values) -> dict[str, api.RequestClass]:
    """Classes by name. Where a repeat is dropped, and for how long, is told of each keyed class: the widest scope as a
    default would let a request run twice."""
    effects = {effect.value: effect for effect in api.Effect}
    scopes = {scope.value: scope for scope in api.Scope}
    classes: dict[str, api.RequestClass] = {}
    count = p.count("profiles")
    if not count and not p.wrong:
        p.fault("profiles", count, "at least one class")
    for i in range(count or 0):
        at = f"profiles.{i}"
        effect = p.member(f"{at}.effect", effects)
        keyed = effect is api.Effect.BY_KEY
        c = api.RequestClass(
            name=p.text(f"{at}.name"),
            effect=effect,
            aim=p.integer(f"{at}.target"),
            deadline=p.integer(f"{at}.hardLimit"),
            scope=p.member(f"{at}.dedupScope", scopes, None if keyed else api.Scope.ALL),
            window=p.integer(f"{at}.window", None if keyed else 0),
            worth=p.number(f"{at}.worth", 1.0),
            late_worth=p.number(f"{at}.lateWorth", 1.0),
            aim_stretch=p.number(f"{at}.aimStretch", 0.0),
            stream=p.flag(f"{at}.stream"),
        )
        if c.name and c.name in classes:
            p.fault(f"{at}.name", c.name, "a name that no other class has")
        classes[c.name] = c
    return classes


def read_tenants(p: Values) -> dict[str, api.Tenant]:
    tenants: dict[str, api.Tenant] = {}
    for i in range(p.count("accounts") or 0):
        at = f"accounts.{i}"
        t = api.Tenant(p.text(f"{at}.name"), p.number(f"{at}.share", 0.0), p.number(f"{at}.quotaPerS", 0.0))
        if t.name and t.name in tenants:
            p.fault(f"{at}.name", t.name, "a name that no other tenant has")
        tenants[t.name] = t
    return tenants


# Whether a weight is a size: `live` is the size over what the server holds.
WEIGHTS = {"silent": False, "nominal": True, "rough": True, "live": False}

# The paths of what `interface.Settings` checks by itself.
PATHS = {
    "zones": "dcs",
    "classes": "profiles",
    "max_attempts": "allowed.maxAttempts",
    "connect_timeout": "allowed.connectTimeout",
    "conn_idle": "allowed.connIdle",
    "max_retry_after": "allowed.maxRetryAfter",
    "over_share_worth": "overShareWorth",
    "cross_zone_cost": "costs.crossZone",
    "tick": "quantum",
    "safety.answer_grace": "safety.graceToAnswer",
    "safety.drain_grace": "safety.stopSendingWithin",
    "safety.cold_from": "safety.coldFrom",
    "safety.warm_within": "safety.warmWithin",
    "safety.fall_multiple": "safety.fallMultiple",
    "safety.fall_after": "safety.fall",
    "safety.ask_within": "safety.askWithin",
    "aim": "target",
    "deadline": "hardLimit",
    "late_worth": "lateWorth",
    "aim_stretch": "aimStretch",
    "quota_per_s": "quotaPerS",
}


def path_of(name: str, places: dict[str, str]) -> str:
    """The path of a figure by its name in `Settings`; `places` has those of classes and tenants."""
    of, _, field = name.rpartition(".")
    if of in places:
        return f"{places[of]}.{PATHS.get(field, field)}"
    return PATHS.get(name, name)
