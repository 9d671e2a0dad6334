"""What several commands share: options, the reading of both files, output as a table or JSON."""

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

PATH = click.Path(dir_okay=False)


def configured(command: F) -> F:
    """The options that name both files."""
    command = click.option("--operator", metavar="F", type=PATH, help="The operator's file (or LOFTWEIR_OPERATOR).")(
        command
    )
    return click.option("--config", metavar="F", type=PATH, help="The platform's file (or RELAY_CONFIG).")(command)


as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def where_from(config: str | None, operator: str | None, flags: dict[str, str] | None = None) -> Origin:
    return origin(os.environ, config or "", operator or "", flags)


def read_or_end(at: Origin) -> Configuration:
    try:
        return read(at)
    except Faulty as error:
        end_with(error.faults)


def end_with(faults: Iterable[Fault]) -> NoReturn:
    for fault in faults:
        click.echo(str(fault), err=True)
    click.echo(Faulty.remedy, err=True)
    sys.exit(UNUSABLE)


def print_json(value: Any) -> None:
    click.echo(ujson.dumps(value, indent=2, escape_forward_slashes=False))


def print_table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Left-aligned columns, the last one as long as it likes."""
    lines = [[str(cell) for cell in row] for row in (head, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for number, line in enumerate(lines):
        text = "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        click.echo(click.style(text, bold=True) if number == 0 and colour() else text)


def colour() -> bool:
    """Whether standard output is to be coloured; click takes the codes off where it is no terminal."""
    return not os.environ.get("NO_COLOR")
