"""The operators' calls as lines of text: what may be said, and how it is answered. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from loftweir.errors import LoftweirError

MAX_LINE_BYTES = 1024  # bytes of a line; an id has 64 at most


class Verb(Enum):
    READY = "READY"
    DISABLE = "DISABLE"
    ENABLE = "ENABLE"
    DRAIN = "DRAIN"
    UNDRAIN = "UNDRAIN"
    FLEET = "FLEET"
    FLEET_DISABLE = "FLEET-DISABLE"
    FLEET_ENABLE = "FLEET-ENABLE"
    FLEET_REMOVE = "FLEET-REMOVE"
    ROUTES = "ROUTES"


# The arguments that each command takes; one in brackets may be left out.
ARGUMENTS: Mapping[Verb, tuple[str, ...]] = {
    Verb.READY: (),
    Verb.DISABLE: ("ID",),
    Verb.ENABLE: ("ID",),
    Verb.DRAIN: (),
    Verb.UNDRAIN: (),
    Verb.FLEET: (),
    Verb.FLEET_DISABLE: ("ID",),
    Verb.FLEET_ENABLE: ("ID",),
    Verb.FLEET_REMOVE: ("NAME",),
    Verb.ROUTES: ("[SERVICE]",),
}


class OperatorCommand(NamedTuple):
    verb: Verb
    id: str = ""  # or a member's or service's name


class No(LoftweirError):
    """An operator's call is not done: the answer is ERR, and why in one line."""

    remedy = (
        "Do what the line names, then make the call again: another command or id, room in `$TMPDIR`, a moment's "
        "wait for `not yet`, or the new process where this one comes to its end."
    )


def parse_command(line: bytes) -> OperatorCommand:
    """A line without its end; `No` where it is not a call."""
    if len(line) > MAX_LINE_BYTES:
        raise No(f"a line has {MAX_LINE_BYTES} bytes at most")
    try:
        text = line.decode("utf-8")
    except UnicodeDecodeError:
        raise No("not text in UTF-8") from None
    if not text.isprintable():
        raise No("not plain text")
    name, *arguments = text.split()[:4] or [""]
    try:
        command = Verb(name)
    except ValueError:
        raise No(f"no such call, known are {', '.join(verb.value for verb in Verb)}") from None
    wanted = ARGUMENTS[command]
    if not sum(not name.startswith("[") for name in wanted) <= len(arguments) <= len(wanted):
        raise No(f"usage: {' '.join((command.value, *wanted))}")
    return OperatorCommand(command, *arguments)


def ok_answer(text: str = "") -> bytes:
    return f"OK {text}".strip().encode() + b"\n"


def error_answer(reason: No) -> bytes:
    return b"ERR " + " ".join(str(reason).split()).encode() + b"\n"
