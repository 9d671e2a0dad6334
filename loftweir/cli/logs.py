"""`loftweir log`."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import IO, Any, TextIO

import click
import ujson

from loftweir.cli.common import as_json, colour, print_json, print_table
from loftweir.cli.explain import Duration
from loftweir.telemetry import fleet as fleets
from loftweir.telemetry.catalogue import EVENTS, LEVELS
from loftweir.telemetry.formats import console_line, stamp
from loftweir.telemetry.reading import Filter, over_time, read, seconds


class When(click.ParamType[float]):
    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        found = seconds(str(value))
        if found is None:
            self.fail(f"{value!r} is not a time such as 2026-12-01T08:00:00Z", param, ctx)
        return found


def event_name(ctx: click.Context, param: click.Parameter, values: tuple[str, ...]) -> tuple[str, ...]:
    for value in values:
        if not any(name == value or name.startswith(f"{value}.") for name in EVENTS):
            raise click.BadParameter(f"{value!r} is no event; `loftweir log --events` lists them")
    return values


def list_events(ctx: click.Context, param: click.Parameter, value: bool) -> None:
    if value:
        print_table(("event", "fields"), [(e.name, ", ".join(e.fields)) for e in EVENTS.values()])
        ctx.exit()


WORST_SHOWN = 10  # providers


def show_fleet(counted: fleets.Fleet, as_json: bool) -> None:
    spans = [(stamp(at), *(counts[name] for name in fleets.COLUMNS)) for at, counts in counted.spans]
    named = [(name, *(counts[outcome] for outcome in ("ok", *fleets.WORST))) for name, counts in counted.providers]
    span_columns, provider_columns = ("from", *fleets.COLUMNS), ("provider", "ok", *fleets.WORST)
    if as_json:
        print_json(
            {
                "spans": [dict(zip(span_columns, row, strict=True)) for row in spans],
                "providers": [dict(zip(provider_columns, row, strict=True)) for row in named],
            }
        )
        return
    print_table(span_columns, spans)
    click.echo()
    print_table(provider_columns, named[:WORST_SHOWN])


def lines(files: Iterable[IO[str]]) -> Iterator[str]:
    for file in files:
        yield from file


@click.command()
@click.argument("files", type=click.File(errors="replace"), nargs=-1)
@click.option("--level", type=click.Choice(list(LEVELS)), default="debug", help="The least to show.")
@click.option("--event", multiple=True, callback=event_name, help="A name, or its first part; may be given again.")
@click.option("--id", "request_id", default="", help="Of one request.")
@click.option("--provider", default="", help="Lines that name this provider.")
@click.option("--since", type=When(), help="From this time on, as 2026-12-01T08:00:00Z.")
@click.option("--until", type=When(), help="Before this time.")
@click.option("--count", is_flag=True, help="Count events over time instead.")
@click.option("--fleet", "of_fleet", is_flag=True, help="Count invocations and calls of all FILES over time instead.")
@click.option("--every", type=Duration(), default="10s", show_default=True, help="The span of a count.")
@click.option("--events", is_flag=True, is_eager=True, expose_value=False, callback=list_events, help="List them.")
@as_json
def log(
    files: tuple[TextIO, ...],
    level: str,
    event: tuple[str, ...],
    request_id: str,
    provider: str,
    since: float | None,
    until: float | None,
    count: bool,
    of_fleet: bool,
    every: int,
    as_json: bool,
) -> None:
    """Read structured logs (JSON or logfmt) from FILES or standard input.

    \b
    Examples:
      loftweir log sidecar.log --level warning
      loftweir log sidecar.log --event access --provider s-3 --json
      loftweir log sidecar.log --count --every 1min
      loftweir log --fleet --every 1s sidecar-*.log
    """
    chosen = Filter(
        level,
        event,
        request_id,
        provider,
        float("-inf") if since is None else since,
        float("inf") if until is None else until,
    )
    strange = 0
    kept = []
    for record, _ in read(lines(files or (click.open_file("-", errors="replace"),)), chosen):
        if record is None:
            strange += 1
        elif count or of_fleet:
            kept.append(record)
        elif as_json:
            click.echo(ujson.dumps(record, escape_forward_slashes=False))
        else:
            click.echo(console_line(record, colour()))
    if of_fleet:
        show_fleet(fleets.count(kept, every / 1e9), as_json)
    elif count:
        spans = over_time(kept, every / 1e9)
        rows = [(stamp(at), name, number) for at, events in spans for name, number in events.most_common()]
        if as_json:
            print_json([dict(zip(("from", "event", "count"), row, strict=True)) for row in rows])
        else:
            print_table(("from", "event", "count"), rows)
    if strange:
        click.echo(f"{strange} lines are not of this log", err=True)
