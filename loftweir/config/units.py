"""Parses and formats durations, sizes and shares, and checks the texts of the operator's file.

Inside the program durations are whole nanoseconds, sizes whole bytes, and shares parts of one.
"""

from __future__ import annotations

import re
from enum import Enum

# Nanoseconds.
DURATIONS = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000, "h": 3_600_000_000_000}
# Bytes.
SIZES = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
QUANTITY = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?) ?([A-Za-z%]+)", re.ASCII)


class Unit(Enum):
    """What a key's value measures. The values of this type are the texts with which messages name it."""

    DURATION = 'a duration such as "250ms" or "5s"'
    SIZE = 'a size such as "64KiB" or "4MiB"'
    SHARE = 'a share such as "12.5%"'
    COUNT = "a whole number"
    CHOICE = "one of"
    TEXT = "text"


def parse_quantity(unit: Unit, text: object) -> int | float:
    """Parses a quantity to base units (ns, bytes, parts of one); a ValueError says what was expected.

    Durations and sizes must be whole in base units: "0.5ns" is rejected.
    """
    match = QUANTITY.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(unit.value)
    number, suffix = match.groups()
    if unit is Unit.SHARE:
        if suffix != "%":
            raise ValueError(unit.value)
        return float(number) / 100
    scale = (DURATIONS if unit is Unit.DURATION else SIZES).get(suffix)
    if scale is None:
        raise ValueError(unit.value)
    whole, _, part = number.partition(".")
    # Computed in integers: with floats, 4.35 s could be one nanosecond less than 4350 ms.
    value, remainder = divmod(int(whole + part) * scale, int(10 ** len(part)))
    if remainder:
        raise ValueError(f"{unit.value}, in whole {'nanoseconds' if unit is Unit.DURATION else 'bytes'}")
    return value


def format_quantity(unit: Unit, value: object) -> object:
    """Formats a value in base units as the file has it, in the largest unit in which it is whole."""
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
    """Splits an address of the form host:port; raises ValueError if it is not one."""
    host, sign, port = address.rpartition(":")
    if not sign or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)


LABEL = "[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"  # RFC 1123, section 2.1; case does not matter
NAME = rf"{LABEL}(?:\.{LABEL})*"


def parse_label(text: str) -> str:
    """Returns a site's name in lower case; an empty one is allowed. A ValueError says what was expected."""
    if text and not re.fullmatch(LABEL, text):
        raise ValueError("a label of RFC 1123 (letters, digits and hyphens), for example bergen")
    return text.lower()


def parse_service(text: str) -> str:
    """Returns a service's name in lower case; an empty one is allowed. A ValueError says what was expected."""
    if text and not re.fullmatch(f"{NAME}@{NAME}", text):
        raise ValueError("a service's name, for example orders@shop")
    return text.lower()


def check_address(text: str) -> str:
    """Checks an address to listen at; an empty one is allowed. A ValueError says what was expected."""
    if text:
        split_host_port(text)
    return text


MEMBER_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
MIN_MEMBERS = 3  # with fewer there is no majority once one is lost
MAX_MEMBERS = 5  # more make every write slower


def parse_members(text: str) -> dict[str, str]:
    """Parses the voting members, "n0=127.0.0.1:7101, n1=...", to addresses by name, ordered by name.

    An empty text means that there is no replication. A ValueError names the part that is wrong.
    """
    members: dict[str, str] = {}
    for part in text.split(",") if text.strip() else ():
        name, _, address = (piece.strip() for piece in part.partition("="))
        if not MEMBER_NAME.fullmatch(name):
            raise ValueError(f"name=host:port for each member, not {part.strip()[:40]!r}")
        if name in members:
            raise ValueError(f"each member once, {name} is named twice")
        try:
            split_host_port(address)
        except ValueError:
            raise ValueError(f"host:port after {name}=, not {address[:40]!r}") from None
        if address in members.values():
            raise ValueError(f"a separate address after {name}=, {address} belongs to another member")
        members[name] = address
    if members and not MIN_MEMBERS <= len(members) <= MAX_MEMBERS:
        raise ValueError(f"{MIN_MEMBERS} to {MAX_MEMBERS} members as name=host:port, not {len(members)}")
    return dict(sorted(members.items()))


def check_plain_text(text: str) -> str:
    """Checks that a text can be printed on one line of a log; a ValueError says what was expected."""
    if not text.isprintable() or len(text) > 1024:
        raise ValueError("plain text of up to 1024 characters")
    return text
