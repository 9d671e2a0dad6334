"""Shared by several commands: options, reading both files, and output as a table or JSON."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NoReturn, TypeVar

import click
import ujson

from loftweir.config.faults import Fault, Faulty
from loftweir.daemon import UNUSABLE, Configuration, Origin, origin, read

F = TypeVar("F", bound=Callable[..., Any])

FILE = click.Path(dir_okay=False)


def configured(command: F) -> F:
    """Adds the options that name both files."""
    command = click.option("--operator", metavar="F", type=FILE, help="The operator's file (or LOFTWEIR_OPERATOR).")(
        command
    )
    return click.option("--config", metavar="F", type=FILE, help="The platform's file (or RELAY_CONFIG).")(command)


as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def origin_of(config: str | None, operator: str | None, flags: dict[str, str] | None = None) -> Origin:
    """Where the configuration is read from: the files of the options, the environment and the flags."""
    return origin(os.environ, config or "", operator or "", flags)


def read_or_exit(at: Origin) -> Configuration:
    """Reads the configuration; exits with its faults if it can't be used."""
    try:
        return read(at)
    except Faulty as error:
        exit_with_faults(error.faults)


def exit_with_faults(faults: Iterable[Fault]) -> NoReturn:
    """Prints the faults and the remedy, and exits."""
    for fault in faults:
        click.echo(str(fault), err=True)
    click.echo(Faulty.remedy, err=True)
    sys.exit(UNUSABLE)


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    click.echo(ujson.dumps(value, indent=2, escape_forward_slashes=False))


def print_table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Prints rows in left-aligned columns, the last one without padding."""
    lines = [[str(cell) for cell in row] for row in (head, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for number, line in enumerate(lines):
        text = "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        click.echo(click.style(text, bold=True) if number == 0 and colour() else text)


def colour() -> bool:
    """Whether output is coloured; click removes the codes if standard output is not a terminal."""
    return not os.environ.get("NO_COLOR")
