"""The reference of the operator's file, from the types in `model`: as Markdown, and as an annotated TOML."""

from __future__ import annotations

import textwrap
from inspect import getdoc

from loftweir.config.model import Key, keys, sections
from loftweir.config.units import Unit, format_quantity

WIDTH = 100


def example(key: Key) -> str:
    """The default as the file has it: what an example shows is what holds without it."""
    value = format_quantity(key.spec.unit, key.default)
    return f'"{value}"' if isinstance(value, str) else str(value)


def bounds(key: Key) -> str:
    if key.spec.unit is Unit.CHOICE:
        return ", ".join(f"`{choice}`" for choice in key.spec.choices)
    if key.spec.unit is Unit.TEXT:
        return key.spec.expected()
    return f"{format_quantity(key.spec.unit, key.spec.least)} to {format_quantity(key.spec.unit, key.spec.most)}"


def of(section: str) -> list[Key]:
    return [key for key in keys() if key.section == section]


def markdown() -> str:
    lines = [
        "# Reference of the operator's file",
        "",
        "Made by `loftweir config reference`; [configuration.md](configuration.md) says how it is used. An "
        "environment variable goes before the file. A reload (SIGHUP) changes what is `live`; the rest waits for "
        "the next start.",
    ]
    for section, kind in sections().items():
        lines += ["", f"## [{section}]", "", f"{getdoc(kind)}", ""]
        lines += ["| key | default | from, to | reload | what | variable |", "| --- | --- | --- | --- | --- | --- |"]
        for key in of(section):
            reload = "live" if key.spec.live else "restart"
            about = " ".join(key.spec.about.split())
            lines.append(f"| `{key.name}` | `{example(key)}` | {bounds(key)} | {reload} | {about} | `{key.variable}` |")
    return "\n".join(lines) + "\n"


def toml() -> str:
    lines = [
        "# The operator's file: every key, with its default. Name it with --operator or LOFTWEIR_OPERATOR;",
        "# leave out what you don't change. Made by `loftweir config reference --format toml`.",
    ]
    for section, kind in sections().items():
        lines += ["", f"# {getdoc(kind)}", f"[{section}]"]
        for key in of(section):
            reload = "" if key.spec.live else " A change takes a restart."
            about = f"{key.name}: {key.spec.about}. {bounds(key).replace('`', '')}.{reload}"
            lines += textwrap.wrap(about, WIDTH, initial_indent="# ", subsequent_indent="#   ")
            lines.append(f"{key.name} = {example(key)}")
    return "\n".join(lines) + "\n"
