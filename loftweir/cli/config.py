"""`loftweir config show | reference | diff`: prints, documents and compares configurations."""

from __future__ import annotations

from typing import Any

import click

from loftweir.cli.common import (
    FILE,
    as_json,
    configured,
    exit_with_faults,
    origin_of,
    print_json,
    print_table,
    read_or_exit,
)
from loftweir.config import operator, platform, reference
from loftweir.config.faults import Faulty
from loftweir.config.model import keys
from loftweir.config.units import format_quantity
from loftweir.daemon import changes


@click.group()
def config() -> None:
    """Show, document and compare configurations."""


@config.command()
@configured
@as_json
def show(config: str | None, operator: str | None, as_json: bool) -> None:
    """Show every key in force, its value and where it came from: default, file, environment or flag."""
    of_platform, loaded, *_ = read_or_exit(origin_of(config, operator))
    rows: list[tuple[str, Any, str, str]] = []
    for pair in platform.flatten({k: v for k, v in platform.read_object(of_platform.file).items() if k != "known"}):
        path, _, value = pair.partition("=")
        source = of_platform.sources.get(path, "file")
        if path in of_platform.sources:
            value = getattr(of_platform, path)
        rows.append((path, value, source, "platform"))
    rows.append(("known", f"{len(of_platform.known.endpoints)} providers", "file", "platform"))
    for key in keys():
        value = getattr(getattr(loaded.options, key.section), key.name)
        rows.append((key.path, format_quantity(key.spec.unit, value), loaded.sources[key.path], "operator"))
    if as_json:
        print_json([dict(zip(("key", "value", "source", "of"), row, strict=True)) for row in rows])
    else:
        print_table(("key", "value", "source", "of"), rows)


@config.command("reference")
@click.option("--format", "form", type=click.Choice(["markdown", "toml"]), default="markdown", show_default=True)
def show_reference(form: str) -> None:
    """Document every key of the operator's file."""
    click.echo(reference.markdown() if form == "markdown" else reference.toml(), nl=False)


@config.command()
@click.argument("a", type=FILE)
@click.argument("b", type=FILE)
@as_json
def diff(a: str, b: str, as_json: bool) -> None:
    """Show what a reload from A to B would change, and which changes need a restart.

    Both are the operator's files, or both the platform's (named *.json).
    """
    differences = platform_changes(a, b) if a.endswith(".json") and b.endswith(".json") else operator_changes(a, b)
    rows = [(path, old, new, "live" if live else "restart") for path, (old, new, live) in differences.items()]
    if as_json:
        print_json([dict(zip(("key", "old", "new", "takes"), row, strict=True)) for row in rows])
    elif rows:
        print_table(("key", "old", "new", "takes"), rows)
    else:
        click.echo("no difference")


def operator_changes(a: str, b: str) -> dict[str, tuple[Any, Any, bool]]:
    """The differing keys of two operator's files: for each path its values, and whether a reload changes it."""
    loaded, faults = [], []
    for file in (a, b):
        try:
            loaded.append(operator.load(file, {}))
        except Faulty as error:
            faults += error.faults
    if faults:
        exit_with_faults(faults)
    return changes(loaded[0].options, loaded[1].options)


def platform_changes(a: str, b: str) -> dict[str, tuple[Any, Any, bool]]:
    """The differing keys of two platform's files. A reload changes only discovery's address of them."""
    pairs, faults = [], []
    for file in (a, b):
        try:
            pairs.append(dict(pair.split("=", 1) for pair in platform.flatten(platform.read_object(file))))
        except Faulty as error:
            faults += error.faults
    if faults:
        exit_with_faults(faults)
    old, new = pairs
    paths = [*old, *(path for path in new if path not in old)]
    absent = "(absent)"
    return {
        path: (old.get(path, absent), new.get(path, absent), path == "discovery")
        for path in paths
        if old.get(path) != new.get(path)
    }
