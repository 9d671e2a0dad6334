"""Parses the platform's settings, path=value pairs or JSON, to `interface.Settings`. Both programs use it.

Parsing continues after a fault, so that all faults are reported at once.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple, TypeVar

from loftweir import interface as api
from loftweir.errors import LoftweirError

T = TypeVar("T")


class WireError(LoftweirError):
    """A line does not follow the simulator's protocol; it names the line, the field and the reason. `loftweir.adapter`
    exits with 1."""

    remedy = "Correct that line in the program that drives `python -m loftweir.adapter`, and start both again."


def parse_integer(field: str, text: str) -> int:
    """Parse a whole number; `-` is 0."""
    if text == "-":
        return 0
    try:
        return int(text)
    except ValueError:
        raise WireError(f"field {field}: {text!r} is not a whole number") from None


def parse_number(field: str, text: str) -> float:
    """Parse a finite number; `-` is 0."""
    if text == "-":
        return 0.0
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"field {field}: {text!r} is not a number") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise WireError(f"field {field}: {text!r} is not a finite number")
    return value


def parse_choice(field: str, text: str, known: dict[str, T]) -> T:
    """Return the value that a word stands for."""
    try:
        return known[text]
    except KeyError:
        raise WireError(f"field {field}: {text!r} is none of {', '.join(known)}") from None


class ValueFault(NamedTuple):
    """A value of the settings that can't be used."""

    path: str
    value: str | None  # None: there is no value
    expected: str


# The most faults that are reported: a wrong count of objects must not result in as many faults.
MAX_FAULTS = 100


class Values(ABC):
    """Settings by path, in any format. Unknown paths are ignored.

    A value that can't be read is added to `faults`, and a placeholder of its type is returned, so that parsing
    continues.
    """

    def __init__(self) -> None:
        self.faults: list[ValueFault] = []

    @abstractmethod
    def get(self, path: str) -> Any:
        """Return the value at a path; None: there is none."""

    @abstractmethod
    def as_integer(self, path: str, value: Any) -> int:
        """Convert a value, or raise WireError."""

    @abstractmethod
    def as_number(self, path: str, value: Any) -> float:
        """Convert a value, or raise WireError."""

    @abstractmethod
    def as_text(self, path: str, value: Any) -> str:
        """Convert a value, or raise WireError."""

    @abstractmethod
    def as_flag(self, path: str, value: Any) -> bool:
        """Convert a value, or raise WireError."""

    @abstractmethod
    def as_texts(self, path: str, value: Any) -> tuple[str, ...]:
        """Convert a value, or raise WireError."""

    @abstractmethod
    def count(self, path: str) -> int | None:
        """Return how many objects a list has; None: there is no list."""

    def add_fault(self, path: str, value: Any, expected: str) -> None:
        """Record a value that can't be used; `value` None: there is no value."""
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(ValueFault(path, None if value is None else str(value), expected))

    def read(self, path: str, default: T | None, convert: Callable[[str, Any], T], placeholder: T, expected: str) -> T:
        """Return the value at a path, its default, or the placeholder after a fault; `default` None: it is required."""
        value = self.get(path)
        if value is None and default is not None:
            return default
        try:
            if value is not None:
                return convert(path, value)
        except WireError:
            pass
        self.add_fault(path, value, expected)
        return placeholder

    def text(self, path: str) -> str:
        """Read a required text."""
        return self.read(path, None, self.as_text, "", "text")

    def integer(self, path: str, default: int | None = None) -> int:
        """Read a whole number."""
        return self.read(path, default, self.as_integer, 0, "a whole number")

    def number(self, path: str, default: float | None = None) -> float:
        """Read a finite number."""
        return self.read(path, default, self.as_number, 0.0, "a finite number")

    def flag(self, path: str) -> bool:
        """Read a flag, which is false by default."""
        return self.read(path, False, self.as_flag, False, "true or false")

    def texts(self, path: str) -> tuple[str, ...]:
        """Read a required list of texts."""
        return self.read(path, None, self.as_texts, (), "at least one name")

    def choice(self, path: str, known: dict[str, T], default: T | None = None) -> T:
        """Read a word, and return the value that it stands for."""

        def convert(path: str, value: Any) -> T:
            return parse_choice(path, self.as_text(path, value), known)

        return self.read(path, default, convert, next(iter(known.values())), f"one of {', '.join(known)}")


class PathValues(Values):
    """The path=value pairs of a LAUNCH line; `-` stands for an absent value."""

    def __init__(self, parts: Iterable[str]) -> None:
        super().__init__()
        self.values: dict[str, str] = {}
        for part in parts:
            path, sign, value = part.partition("=")
            if not sign:
                self.add_fault("", part, "path=value")
            self.values[path] = value

    def get(self, path: str) -> Any:
        """Return the value at a path; None: there is none."""
        value = self.values.get(path)
        return None if value == "-" else value

    def as_integer(self, path: str, value: str) -> int:
        """Convert a value to a whole number, or raise WireError."""
        return parse_integer(path, value)

    def as_number(self, path: str, value: str) -> float:
        """Convert a value to a finite number, or raise WireError."""
        return parse_number(path, value)

    def as_text(self, path: str, value: str) -> str:
        """Return a text that is not empty, or raise WireError."""
        if not value:
            raise WireError(f"field {path}: it is empty")
        return value

    def as_flag(self, path: str, value: str) -> bool:
        """Convert a value to a flag, or raise WireError."""
        return parse_choice(path, value, {"true": True, "false": False, "1": True, "0": False})

    def as_texts(self, path: str, value: str) -> tuple[str, ...]:
        """Convert a value to a list of texts, or raise WireError."""
        return tuple(self.as_text(path, part) for part in value.split(","))

    def count(self, path: str) -> int | None:
        """Return how many objects a list has; None: there is no list."""
        if self.get(f"{path}.count") is None:
            return None
        return min(self.integer(f"{path}.count"), len(self.values) + 1)


class Null:
    """A JSON null, which can't be converted to any type."""

    def __str__(self) -> str:
        return "null"


class JsonValues(Values):
    """Settings as a JSON object, in which each value has its own type: a text with digits is no number.

    A null does not stand for the default: a key that is present needs a value.
    """

    def __init__(self, data: Mapping[str, Any]) -> None:
        super().__init__()
        self.data = data
        self.not_objects: set[str] = set()  # reported paths whose values should be objects and are not

    def get(self, path: str) -> Any:
        """Return the value at a path; None: there is none."""
        value: Any = self.data
        names = path.split(".")
        for depth, name in enumerate(names):
            if isinstance(value, list) and name.isdigit():
                value = value[int(name)]
            elif not isinstance(value, dict):
                parent = ".".join(names[:depth])
                if parent not in self.not_objects:
                    self.add_fault(parent, value, "an object")
                    self.not_objects.add(parent)
                return None
            elif name not in value:
                return None
            else:
                value = value[name]
        return Null() if value is None else value

    def add_fault(self, path: str, value: Any, expected: str) -> None:
        """Record a fault, unless one of the objects that should contain the value was reported."""
        if not any(path.startswith(f"{parent}.") for parent in self.not_objects):
            super().add_fault(path, value, expected)

    def as_integer(self, path: str, value: Any) -> int:
        """Convert a value to a whole number, or raise WireError."""
        number = self.as_number(path, value)
        if not number.is_integer():
            raise WireError(f"field {path}: {value!r} is not a whole number")
        return int(value)

    def as_number(self, path: str, value: Any) -> float:
        """Convert a value to a finite number, or raise WireError."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise WireError(f"field {path}: {value!r} is not a number")
        return parse_number(path, str(value))

    def as_text(self, path: str, value: Any) -> str:
        """Return a text that is not empty, or raise WireError."""
        if not isinstance(value, str) or not value:
            raise WireError(f"field {path}: {value!r} is not text")
        return value

    def as_flag(self, path: str, value: Any) -> bool:
        """Convert a value to a flag, or raise WireError."""
        if value not in (0, 1) or isinstance(value, float):
            raise WireError(f"field {path}: {value!r} is neither true nor false")
        return bool(value)

    def as_texts(self, path: str, value: Any) -> tuple[str, ...]:
        """Convert a value to a list of texts, or raise WireError."""
        if not isinstance(value, list) or not value:
            raise WireError(f"field {path}: {value!r} is not a list of names")
        return tuple(self.as_text(path, part) for part in value)

    def count(self, path: str) -> int | None:
        """Return how many objects a list has; None: there is no list."""
        value = self.get(path)
        if value is None or isinstance(value, Null):
            return None
        if not isinstance(value, list):
            self.add_fault(path, value, "a list of objects")
            return 0
        return len(value)


def read_settings(parts: Iterable[str]) -> api.Settings:
    """Parse path=value pairs; raise WireError with the first fault."""
    settings, faults = settings_and_faults(PathValues(parts))
    if settings is None:
        path, value, expected = faults[0]
        what = f"required key {path} is missing" if value is None else f"{path}: {value!r} is not {expected}"
        raise WireError(f"field settings: {what}")
    return settings


def settings_and_faults(p: Values) -> tuple[api.Settings | None, list[ValueFault]]:
    """Return the settings and no faults, or None and all faults."""
    classes, tenants = read_classes(p), read_tenants(p)
    pushed = p.choice("discovery", {"push": True, "ask": False})
    safety = api.Safety(
        answer_grace=p.integer("safety.graceToAnswer"),
        drain_grace=p.integer("safety.stopSendingWithin"),
        cold_from=p.number("safety.coldFrom"),
        warm_within=p.integer("safety.warmWithin") or 1,  # 0: a provider is warm at once
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
            capacity_known=p.choice("weights", WEIGHTS, False),
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
        if p.faults:  # the error may be about the placeholder of a value that can't be read
            return None, p.faults
        places = {f"classes.{name}": f"profiles.{i}" for i, name in enumerate(classes)}
        places |= {f"tenants.{name}": f"accounts.{i}" for i, name in enumerate(tenants)}
        return None, [ValueFault(path_of(name, places), value, expected) for name, value, expected in error.faults]
    return (None, p.faults) if p.faults else (settings, [])


def read_classes(p: Values) -> dict[str, api.RequestClass]:
    """Read the request classes, by name.

    Scope and window of duplicate detection are required for each keyed class: with the widest scope as a default a
    request could run twice.
    """
    effects = {effect.value: effect for effect in api.Effect}
    scopes = {scope.value: scope for scope in api.Scope}
    classes: dict[str, api.RequestClass] = {}
    count = p.count("profiles")
    if not count and not p.faults:
        p.add_fault("profiles", count, "at least one class")
    for i in range(count or 0):
        at = f"profiles.{i}"
        effect = p.choice(f"{at}.effect", effects)
        keyed = effect is api.Effect.BY_KEY
        c = api.RequestClass(
            name=p.text(f"{at}.name"),
            effect=effect,
            aim=p.integer(f"{at}.target"),
            deadline=p.integer(f"{at}.hardLimit"),
            scope=p.choice(f"{at}.dedupScope", scopes, None if keyed else api.Scope.ALL),
            window=p.integer(f"{at}.window", None if keyed else 0),
            worth=p.number(f"{at}.worth", 1.0),
            late_worth=p.number(f"{at}.lateWorth", 1.0),
            aim_stretch=p.number(f"{at}.aimStretch", 0.0),
            stream=p.flag(f"{at}.stream"),
        )
        if c.name and c.name in classes:
            p.add_fault(f"{at}.name", c.name, "a name that no other class has")
        classes[c.name] = c
    return classes


def read_tenants(p: Values) -> dict[str, api.Tenant]:
    """Read the tenants, by name."""
    tenants: dict[str, api.Tenant] = {}
    for i in range(p.count("accounts") or 0):
        at = f"accounts.{i}"
        t = api.Tenant(p.text(f"{at}.name"), p.number(f"{at}.share", 0.0), p.number(f"{at}.quotaPerS", 0.0))
        if t.name and t.name in tenants:
            p.add_fault(f"{at}.name", t.name, "a name that no other tenant has")
        tenants[t.name] = t
    return tenants


# Whether weights are capacities. `live` is the capacity divided by the provider's requests in flight.
WEIGHTS = {"silent": False, "nominal": True, "rough": True, "live": False}

# The paths of the settings that `interface.Settings` checks itself, by their names there.
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
    """Return the path of a setting by its name in `Settings`; `places` has the paths of classes and tenants."""
    parent, _, field = name.rpartition(".")
    if parent in places:
        return f"{places[parent]}.{PATHS.get(field, field)}"
    return PATHS.get(name, name)
