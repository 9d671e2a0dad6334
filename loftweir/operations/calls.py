"""Operators' commands as lines of text: their syntax, and the form of the answers. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from loftweir.errors import LoftweirError

MAX_LINE_BYTES = 1024  # an id has 64 bytes at most


class Verb(Enum):
    """The first word of a command."""

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


# The arguments of each verb; those in brackets are optional.
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
    """One command of an operator; `id` names a provider, a member or a service, as the verb needs it."""

    verb: Verb
    id: str = ""


class No(LoftweirError):
    """An operator's command was not carried out: the answer is ERR with the reason in one line."""

    remedy = (
        "Correct what the line names and repeat the command: use another command or id, free space in `$TMPDIR`, wait "
        "a moment after `not yet`, or ask the new process if this one is stopping."
    )


def parse_command(line: bytes) -> OperatorCommand:
    """Parses a line without its end; raises `No` if it is not a command."""
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
        verb = Verb(name)
    except ValueError:
        raise No(f"no such call, known are {', '.join(verb.value for verb in Verb)}") from None
    expected = ARGUMENTS[verb]
    required = sum(not argument.startswith("[") for argument in expected)
    if not required <= len(arguments) <= len(expected):
        raise No(f"usage: {' '.join((verb.value, *expected))}")
    return OperatorCommand(verb, *arguments)


def ok_answer(text: str = "") -> bytes:
    """The line that answers a command that was carried out."""
    return f"OK {text}".strip().encode() + b"\n"


def error_answer(reason: No) -> bytes:
    """The line that answers a command that was not carried out."""
    return b"ERR " + " ".join(str(reason).split()).encode() + b"\n"
