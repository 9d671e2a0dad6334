"""The one reader of the platform's settings, for both programs: path=value pairs to `interface.Settings`.

It reads on past a fault, so that all of them are known at once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeVar

from loftweir import interface as api
from loftweir.errors import Trouble

T = TypeVar("T")


class WireError(Trouble):
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



class Wrong(NamedTuple):
    """One fault of the settings: where, what stood there (None: nothing) and what was expected."""

    path: str
    value: str | None
    expected: str


MOST_FAULTS = 100  # a count that lies must not make a list of its own length


class Pairs:
    """The path=value pairs of a LAUNCH line; unknown paths are never looked at.

    What can't be read is kept in `wrong`, and something of its type is given back in its place: reading goes on.
    """

    def __init__(self, parts: Iterable[str]) -> None:
        self.values: dict[str, str] = {}
        self.wrong: list[Wrong] = []
        for part in parts:
            path, sign, value = part.partition("=")
            if not sign:
                self.wrong.append(Wrong("", part, "path=value"))
            self.values[path] = value

    def read(self, path: str, default: str | None, read: Callable[[str], T], instead: T, expected: str) -> T:
        value = self.values.get(path, default)
        if value is not None:
            try:
                return read(value)
            except WireError:
                pass
        if len(self.wrong) < MOST_FAULTS:
            self.wrong.append(Wrong(path, value, expected))
        return instead

    def text(self, path: str, default: str | None = None) -> str:
        return self.read(path, default, str, "", "text")

    def integer(self, path: str, default: int | None = None) -> int:
        text = None if default is None else str(default)
        return self.read(path, text, lambda value: integer(path, value), 0, "a whole number")

    def number(self, path: str, default: float | None = None) -> float:
        text = None if default is None else str(default)
        return self.read(path, text, lambda value: number(path, value), 0.0, "a finite number")

    def flag(self, path: str, default: bool = False) -> bool:
        known = {"true": True, "false": False, "1": True, "0": False}
        return self.member(path, known, "true" if default else "false")

    def member(self, path: str, known: dict[str, T], default: str | None = None) -> T:
        first = next(iter(known.values()))
        expected = f"one of {', '.join(name for name in known if name not in ('', '-'))}"
        return self.read(path, default, lambda value: choice(path, value, known), first, expected)

    def count(self, path: str, default: int | None = 0) -> int:
        return min(self.integer(f"{path}.count", default), len(self.values) + 1)


def read_settings(parts: Iterable[str]) -> api.Settings:
    """The settings; a WireError names the first fault."""
    settings, wrong = settings_and_faults(parts)
    if settings is None:
        path, value, expected = wrong[0]
        what = f"required key {path} is missing" if value is None else f"{path}: {value!r} is not {expected}"
        raise WireError(f"field settings: {what}")
    return settings


def settings_and_faults(parts: Iterable[str]) -> tuple[api.Settings | None, list[Wrong]]:
    """The settings, or None and all that is wrong with them."""
    p = Pairs(parts)
    effects = {effect.value: effect for effect in api.Effect}
    scopes = {scope.value: scope for scope in api.Scope}
    classes = {}
    for i in range(p.count("profiles", None)):
        at = f"profiles.{i}"
        c = api.RequestClass(
            name=p.text(f"{at}.name"),
            effect=p.member(f"{at}.effect", effects),
            aim=p.integer(f"{at}.target"),
            deadline=p.integer(f"{at}.hardLimit"),
            scope=p.member(f"{at}.dedupScope", scopes | {"": api.Scope.ALL, "-": api.Scope.ALL}, "all"),
            window=p.integer(f"{at}.window", 0),
            worth=p.number(f"{at}.worth", 1.0),
            late_worth=p.number(f"{at}.lateWorth", 0.0),
            aim_stretch=p.number(f"{at}.aimStretch", 0.0),
            stream=p.flag(f"{at}.stream"),
        )
        classes[c.name] = c
    tenants = {}
    for i in range(p.count("accounts")):
        at = f"accounts.{i}"
        t = api.Tenant(p.text(f"{at}.name"), p.number(f"{at}.share", 0.0), p.number(f"{at}.quotaPerS", 0.0))
        tenants[t.name] = t
    safety = api.Safety(
        answer_grace=p.integer("safety.graceToAnswer"),
        drain_grace=p.integer("safety.stopSendingWithin"),
        cold_from=p.number("safety.coldFrom"),
        warm_within=p.integer("safety.warmWithin"),
        fall_multiple=p.number("safety.fallMultiple"),
        fall_after=p.integer("safety.fall"),
        ask_within=p.integer("safety.askWithin", 0),
    )
    try:
        settings = api.Settings(
            zone=p.text("zone"),
            zones=tuple(p.text("dcs").split(",")),
            classes=classes,
            safety=safety,
            balancers=p.integer("balancers", 1),
            me=p.integer("me", 0),
            tenants=tenants,
            discovery_pushes=p.member("discovery", {"push": True, "ask": False}),
            capacity_known=p.text("weights", "silent") not in ("silent", "live"),
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
        names = {c.name: f"profiles.{i}" for i, c in enumerate(classes.values())}
        return None, [Wrong(path_of(name, names), value, expected) for name, value, expected in error.faults]
    return (None, p.wrong) if p.wrong else (settings, [])


# The paths of what `interface.Settings` checks by itself.
PATHS = {
    "zones": "dcs",
    "classes": "profiles",
    "max_attempts": "allowed.maxAttempts",
    "connect_timeout": "allowed.connectTimeout",
    "conn_idle": "allowed.connIdle",
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
}


def path_of(name: str, classes: dict[str, str]) -> str:
    if name.startswith("classes."):
        class_name, _, field = name.removeprefix("classes.").rpartition(".")
        return f"{classes[class_name]}.{PATHS.get(field, field)}"
    return PATHS.get(name, name)
