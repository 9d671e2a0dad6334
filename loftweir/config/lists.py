"""Reads lists of providers in discovery's form, which the platform's `known` has too. No I/O."""

from __future__ import annotations

from typing import Any

from loftweir.config.faults import MISSING
from loftweir.errors import LoftweirError
from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind

MS = 1_000_000  # ns
LIFECYCLES = {"active": Lifecycle.READY, "leaving": Lifecycle.DRAINING, "left": Lifecycle.GONE}


class NotAList(LoftweirError, ValueError):
    """A list of providers is not in discovery's form; the text names each place, its value and what was expected."""

    remedy = (
        "Check that discovery's address is that of discovery itself, and that each entry of its list, or of `known` in "
        "the platform's file, has the fields that are named."
    )

    def __init__(self, faults: list[tuple[str, Any, str]]) -> None:
        super().__init__("; ".join(f"{path}: got {value!r}, expected {expected}" for path, value, expected in faults))
        self.faults = faults
        self.where = ", ".join(path for path, _, _ in faults)


def read_list(data: Any, kind: UpdateKind | None = None) -> tuple[MembershipUpdate, dict[str, str]]:
    """Reads a list and the address of each provider; raises `NotAList` if it is not in discovery's form.

    The name is the provider's identity everywhere; the address is used only for connecting to it.
    """
    if not isinstance(data, dict) or not isinstance(data.get("endpoints"), list):
        at = ("endpoints", data.get("endpoints", MISSING)) if isinstance(data, dict) else ("", data)
        raise NotAList([(*at, "discovery's list, with endpoints")])
    faults: list[tuple[str, Any, str]] = []
    endpoints, addresses = [], {}
    for number, entry in enumerate(data["endpoints"]):
        fields: dict[str, Any] = {}
        for name, read, expected in FIELDS:
            value = entry.get(name, MISSING) if isinstance(entry, dict) else MISSING
            try:
                fields[name] = read(value)
            except (ValueError, KeyError, TypeError, OverflowError):
                faults.append((f"endpoints.{number}.{name}", value, expected))
        if len(fields) < len(FIELDS):
            continue
        endpoints.append(
            Endpoint(
                address=fields["name"],
                zone=fields["zone"],
                kind=fields["type"],
                cell=fields["group"],
                lifecycle=fields["status"],
                weight=fields["weight"],
                started_at=fields["since_ms"] * MS,
            )
        )
        addresses[fields["name"]] = fields["address"]
    try:
        index = int(data["index"])
        if kind is None:
            kind = UpdateKind.FULL if data["snapshot"] else UpdateKind.CHANGES
    except (KeyError, ValueError, TypeError):
        faults.append(("index", data.get("index", MISSING), "a whole number, and snapshot beside it"))
    if faults or kind is None:
        raise NotAList(faults)
    return MembershipUpdate(kind, tuple(endpoints), index), addresses


def text(value: Any) -> str:
    """A value as text; raises ValueError if it is missing, nested or null."""
    if value == MISSING or isinstance(value, dict | list) or value is None:
        raise ValueError
    return str(value)


# The fields of an entry: name, conversion, and what is expected.
FIELDS = (
    ("name", text, "text"),
    ("address", text, "host:port"),
    ("zone", text, "text"),
    ("type", text, "text"),
    ("group", int, "a whole number"),
    ("status", LIFECYCLES.__getitem__, f"one of {', '.join(LIFECYCLES)}"),
    ("weight", float, "a number"),
    ("since_ms", int, "Unix time in milliseconds"),
)
