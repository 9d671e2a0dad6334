"""`loftweir log`: filters, formats and counts structured logs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import IO, Any, TextIO

import click
import ujson

from loftweir.cli.common import as_json, colour, print_json, print_table
from loftweir.cli.explain import Duration
from loftweir.telemetry.catalogue import EVENTS, LEVELS
from loftweir.telemetry.fleet import BAD_OUTCOMES, COLUMNS, FleetCounts, count_records
from loftweir.telemetry.formats import console_line, stamp
from loftweir.telemetry.reading import Filter, count_events, parse_time, read_records


class Time(click.ParamType[float]):
    """An option's time in RFC 3339, in Unix seconds."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Convert the text of the option to Unix seconds."""
        seconds = parse_time(str(value))
        if seconds is None:
            self.fail(f"{value!r} is not a time such as 2026-12-01T08:00:00Z", param, ctx)
        return seconds


def check_event_names(ctx: click.Context, param: click.Parameter, values: tuple[str, ...]) -> tuple[str, ...]:
    """Rejects names that match no event."""
    for value in values:
        if not any(name == value or name.startswith(f"{value}.") for name in EVENTS):
            raise click.BadParameter(f"{value!r} is no event; `loftweir log --events` lists them")
    return values


def list_events(ctx: click.Context, param: click.Parameter, value: bool) -> None:
    """Prints the catalogue's events and exits."""
    if value:
        print_table(("event", "fields"), [(e.name, ", ".join(e.fields)) for e in EVENTS.values()])
        ctx.exit()


MAX_PROVIDERS_SHOWN = 10


def show_fleet(counted: FleetCounts, as_json: bool) -> None:
    """Prints the counts over a fleet."""
    spans = [(stamp(at), *(counts[name] for name in COLUMNS)) for at, counts in counted.spans]
    named = [(name, *(counts[outcome] for outcome in ("ok", *BAD_OUTCOMES))) for name, counts in counted.providers]
    span_columns, provider_columns = ("from", *COLUMNS), ("provider", "ok", *BAD_OUTCOMES)
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
    print_table(provider_columns, named[:MAX_PROVIDERS_SHOWN])


def lines(files: Iterable[IO[str]]) -> Iterator[str]:
    """The lines of several files, one after the other."""
    for file in files:
        yield from file


@click.command()
@click.argument("files", type=click.File(errors="replace"), nargs=-1)
@click.option("--level", type=click.Choice(list(LEVELS)), default="debug", help="Lowest level to show.")
@click.option(
    "--event", multiple=True, callback=check_event_names, help="Event name, or its first part; can be repeated."
)
@click.option("--id", "request_id", default="", help="Only lines of the request with this id.")
@click.option("--provider", default="", help="Only lines that name this provider.")
@click.option("--since", type=Time(), help="From this time on, such as 2026-12-01T08:00:00Z.")
@click.option("--until", type=Time(), help="Before this time.")
@click.option("--count", is_flag=True, help="Count events over time instead.")
@click.option(
    "--fleet", "of_fleet", is_flag=True, help="Count invocations and attempts of all FILES over time instead."
)
@click.option("--every", type=Duration(), default="10s", show_default=True, help="Length of each span of a count.")
@click.option(
    "--events", is_flag=True, is_eager=True, expose_value=False, callback=list_events, help="List all events."
)
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
    record_filter = Filter(
        level,
        event,
        request_id,
        provider,
        float("-inf") if since is None else since,
        float("inf") if until is None else until,
    )
    unreadable = 0
    records = []
    for record, _ in read_records(lines(files or (click.open_file("-", errors="replace"),)), record_filter):
        if record is None:
            unreadable += 1
        elif count or of_fleet:
            records.append(record)
        elif as_json:
            click.echo(ujson.dumps(record, escape_forward_slashes=False))
        else:
            click.echo(console_line(record, colour()))
    if of_fleet:
        show_fleet(count_records(records, every / 1e9), as_json)
    elif count:
        spans = count_events(records, every / 1e9)
        rows = [(stamp(at), name, number) for at, events in spans for name, number in events.most_common()]
        if as_json:
            print_json([dict(zip(("from", "event", "count"), row, strict=True)) for row in rows])
        else:
            print_table(("from", "event", "count"), rows)
    if unreadable:
        click.echo(f"{unreadable} lines are not of this log", err=True)
