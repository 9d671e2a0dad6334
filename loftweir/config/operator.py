"""Reads the operator's file, reports all of its faults at once, and records where each value came from.

A flag takes precedence over an environment variable, that over the file, and the file over the default.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from loftweir.config.contradictions import contradictions
from loftweir.config.faults import Fault, Faulty
from loftweir.config.model import Key, Options, keys, sections
from loftweir.config.spec import Spec
from loftweir.config.units import Unit, check_plain_text, format_quantity, parse_quantity

FILE_VARIABLE = "LOFTWEIR_OPERATOR"
MAX_FILE_BYTES = 1024 * 1024


class Loaded(NamedTuple):
    """The operator's options in force, and where they came from."""

    options: Options
    sources: dict[str, str]  # for each path: default, file, environment or flag
    file: str  # empty if there is none


def load(file: str, environment: Mapping[str, str], flags: Mapping[str, str] | None = None) -> Loaded:
    """Returns the options in force; raises `Faulty` with every fault of the file, the environment and the flags."""
    faults: list[Fault] = []
    table = read_table(file, faults) if file else {}
    known = {key.path: key for key in keys()}
    values: dict[str, Any] = {}
    sources = dict.fromkeys(known, "default")
    for path, raw in flatten_sections(table, file, faults):
        key = known.get(path)
        if key is None:
            faults.append(Fault(file, path, raw, suggest_key(path, known)))
        else:
            store_value(key, raw, file, "file", values, sources, faults)
    variables = {key.variable: key for key in known.values()}
    for variable, text in environment.items():
        if not variable.startswith("LOFTWEIR_") or variable == FILE_VARIABLE:
            continue
        if variable in variables:
            store_value(variables[variable], text, "environment", "environment", values, sources, faults, variable)
        else:
            faults.append(Fault("environment", variable, text, suggest_key(variable, variables)))
    for path, text in (flags or {}).items():
        store_value(known[path], text, "command line", "flag", values, sources, faults)
    tables: dict[str, dict[str, Any]] = {name: {} for name in sections()}
    for path, value in values.items():
        section, _, name = path.partition(".")
        tables[section][name] = value
    options = Options(**{name: kind(**tables[name]) for name, kind in sections().items()})  # type: ignore[arg-type]
    wrong = {fault.path for fault in faults}
    for path, expected in contradictions(options):
        if path not in wrong:
            section, _, name = path.partition(".")
            value = getattr(getattr(options, section), name)
            faults.append(Fault(file or "environment", path, format_quantity(known[path].spec.unit, value), expected))
    if faults:
        raise Faulty(faults)
    return Loaded(options, sources, file)


def read_table(file: str, faults: list[Fault]) -> dict[str, Any]:
    """Reads a TOML file; adds a fault and returns an empty table if that fails."""
    import tomllib  # here, as a sidecar without such a file does not need it

    try:
        with open(file, "rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"it has more than {MAX_FILE_BYTES} bytes")
        return tomllib.loads(data.decode("utf-8"))
    except OSError as error:
        faults.append(Fault(file, "", error.strerror or str(error), "a file that can be read"))
    except (ValueError, RecursionError) as error:  # TOML's and UTF-8's errors are ValueErrors
        faults.append(Fault(file, "", str(error) or "too deep", "TOML in UTF-8"))
    return {}


def flatten_sections(table: Mapping[str, Any], file: str, faults: list[Fault]) -> Iterable[tuple[str, Any]]:
    """Yields the file's keys with their paths; adds a fault for each section that is unknown or not a table."""
    known = sections()
    for name, inner in table.items():
        if name not in known:
            faults.append(Fault(file, name, inner, suggest_key(name, known)))
        elif not isinstance(inner, dict):
            faults.append(Fault(file, name, inner, f"a table, [{name}]"))
        else:
            for key, value in inner.items():
                yield f"{name}.{key}", value


def suggest_key(name: str, known: Iterable[str]) -> str:
    """What was expected in place of an unknown key, with the most similar one."""
    from difflib import get_close_matches

    close = get_close_matches(name, list(known), 1, 0.5)
    return f"a known key; did you mean {close[0]}?" if close else "a known key"


def store_value(
    key: Key,
    raw: Any,
    file: str,
    source: str,
    values: dict[str, Any],
    sources: dict[str, str],
    faults: list[Fault],
    path: str = "",
) -> None:
    """Converts a value and stores it with its source, or adds a fault."""
    try:
        values[key.path] = convert_value(key.spec, raw, loose=source != "file")
        sources[key.path] = source
    except ValueError as error:
        faults.append(Fault(file, path or key.path, raw, str(error)))


def convert_value(spec: Spec, raw: Any, loose: bool = False) -> Any:
    """Converts a value to base units; `loose` also accepts a number as text, as variables and flags have it."""
    if spec.unit is Unit.CHOICE:
        if raw not in spec.choices:
            raise ValueError(spec.expected())
        return raw
    if spec.unit is Unit.TEXT:
        if not isinstance(raw, str):
            raise ValueError(spec.expected())
        check_plain_text(raw)
        spec.check(raw)
        return raw
    try:
        value = (
            msgspec.convert(raw, int, strict=not loose) if spec.unit is Unit.COUNT else parse_quantity(spec.unit, raw)
        )
    except (msgspec.ValidationError, ValueError):
        raise ValueError(spec.expected()) from None
    if not spec.least <= value <= spec.most:
        raise ValueError(spec.expected())
    return value
