"""Durations, sizes and shares as people write them, and back. Whole nanoseconds, bytes and parts of one inside."""

from __future__ import annotations

import re
from enum import Enum

DURATIONS = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000, "h": 3_600_000_000_000}
SIZES = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
QUANTITY = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?) ?([A-Za-z%]+)", re.ASCII)


class Unit(Enum):
    """What a key's value measures; the value is how `check` names what it expected."""

    DURATION = 'a duration such as "250ms" or "5s"'
    SIZE = 'a size such as "64KiB" or "4MiB"'
    SHARE = 'a share such as "12.5%"'
    COUNT = "a whole number"
    CHOICE = "one of"
    TEXT = "text"


def parse_quantity(unit: Unit, text: object) -> int | float:
    """A written quantity in base units (ns, bytes, parts of one); a ValueError says what was expected.

    Durations and sizes must come out whole: "0.5ns" is no time that a clock tells.
    """
    found = QUANTITY.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(unit.value)
    number, suffix = found.groups()
    if unit is Unit.SHARE:
        if suffix != "%":
            raise ValueError(unit.value)
        return float(number) / 100
    scale = (DURATIONS if unit is Unit.DURATION else SIZES).get(suffix)
    if scale is None:
        raise ValueError(unit.value)
    whole, _, part = number.partition(".")
    # By whole numbers: 4.35 s is 4350 ms, and not one nanosecond less for the sake of a float.
    value, rest = divmod(int(whole + part) * scale, int(10 ** len(part)))
    if rest:
        raise ValueError(f"{unit.value}, in whole {'nanoseconds' if unit is Unit.DURATION else 'bytes'}")
    return value


def format_quantity(unit: Unit, value: object) -> object:
    """A value in base units as the file has it: in the largest unit that keeps it whole."""
    if unit is Unit.SHARE and isinstance(value, float):
        return f"{value * 100:.10g}%"
    if unit in (Unit.DURATION, Unit.SIZE) and isinstance(value, int):
        scales = DURATIONS if unit is Unit.DURATION else SIZES
        if value == 0:
            return "0s" if unit is Unit.DURATION else "0B"
        suffix = [name for name, scale in scales.items() if value % scale == 0][-1]
        return f"{value // scales[suffix]}{suffix}"
    return value


def split_host_port(address: str) -> tuple[str, int]:
    """An address as the platform writes it; a ValueError where it is none."""
    host, sign, port = address.rpartition(":")
    if not sign or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)


LABEL = "[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"  # RFC 1123, section 2.1; compared without case
NAME = rf"{LABEL}(?:\.{LABEL})*"


def parse_label(text: str) -> str:
    """A site's name, in small letters; empty stays so. A ValueError where it is none."""
    if text and not re.fullmatch(LABEL, text):
        raise ValueError("a label of RFC 1123: letters, digits and hyphens, as bergen")
    return text.lower()


def parse_service(text: str) -> str:
    """A service's name, in small letters; empty stays so. A ValueError where it is none."""
    if text and not re.fullmatch(f"{NAME}@{NAME}", text):
        raise ValueError("a service's name as orders@shop")
    return text.lower()


def check_address(text: str) -> str:
    """Where to listen; empty stays so. A ValueError where it is no host:port."""
    if text:
        split_host_port(text)
    return text


MEMBER_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
MIN_MEMBERS, MAX_MEMBERS = 3, 5  # seats: fewer keep nothing when one is lost, more make every write slower


def parse_members(text: str) -> dict[str, str]:
    """The members that vote, "n0=127.0.0.1:7101, n1=...": name to address, in the order of names; none: no copies.
    A ValueError names the place that is wrong."""
    found: dict[str, str] = {}
    for part in text.split(",") if text.strip() else ():
        name, _, address = (piece.strip() for piece in part.partition("="))
        if not MEMBER_NAME.fullmatch(name):
            raise ValueError(f"name=host:port for each member, not {part.strip()[:40]!r}")
        if name in found:
            raise ValueError(f"each member once, {name} is there twice")
        try:
            split_host_port(address)
        except ValueError:
            raise ValueError(f"host:port behind {name}=, not {address[:40]!r}") from None
        if address in found.values():
            raise ValueError(f"an address of its own behind {name}=, {address} is another's")
        found[name] = address
    if found and not MIN_MEMBERS <= len(found) <= MAX_MEMBERS:
        raise ValueError(f"{MIN_MEMBERS} to {MAX_MEMBERS} members as name=host:port, not {len(found)}")
    return dict(sorted(found.items()))


def check_plain_text(text: str) -> str:
    """A word for a name or a path; a ValueError where it holds what no line of a log should."""
    if not text.isprintable() or len(text) > 1024:
        raise ValueError("plain text of up to 1024 characters")
    return text
