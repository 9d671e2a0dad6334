"""`loftweir explain`: shows where requests would be sent, and why not elsewhere."""

from __future__ import annotations

import http.client
import sys
import time
from collections import Counter
from typing import Any

import click
import ujson

from loftweir.cli.common import as_json, configured, origin_of, print_json, print_table, read_or_exit
from loftweir.config.lists import read_list
from loftweir.config.operator import convert_value
from loftweir.config.spec import duration
from loftweir.config.units import split_host_port
from loftweir.errors import LoftweirError
from loftweir.explain import BEHAVIOURS, Explanation, Traffic
from loftweir.explain import explain as run_explanation
from loftweir.http1.list_call import CallFailed
from loftweir.interface import MembershipUpdate, UpdateKind

MS = 1_000_000
PATH = "/catalog/members"
DISCOVERY_TIMEOUT = 5  # seconds
GAP = duration("between requests", MS, 3_600_000 * MS)


class Duration(click.ParamType[int]):
    """An option's duration, such as 100ms, in nanoseconds."""

    name = "duration"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Convert the text of the option to nanoseconds."""
        if isinstance(value, int):
            return value
        try:
            return int(convert_value(GAP, value))
        except ValueError as error:
            self.fail(f"{value!r} is not {error}", param, ctx)


@click.command()
@configured
@click.option("--list", "list_file", type=click.File(), help="A list in discovery's form, instead of `known`.")
@click.option("--live", is_flag=True, help="Fetch the list from the configuration's discovery.")
@click.option("--requests", "-n", type=click.IntRange(1, 100_000), default=20, show_default=True)
@click.option("--class", "class_name", help="The class of the requests; the settings' first by default.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--gap", type=Duration(), default="100ms", show_default=True, help="Time between two requests.")
@click.option(
    "--answer", type=Duration(), default="50ms", show_default=True, help="Time that a provider takes to answer."
)
@click.option("--behaves", metavar="NAME=HOW", multiple=True, help=f"A provider that {', '.join(BEHAVIOURS)}.")
@click.option("--each", is_flag=True, help="Print a line for every decision.")
@as_json
def explain(
    config: str | None,
    operator: str | None,
    list_file: Any,
    live: bool,
    requests: int,
    class_name: str | None,
    seed: int,
    gap: int,
    answer: int,
    behaves: tuple[str, ...],
    each: bool,
    as_json: bool,
) -> None:
    """Show where a balancer with this list would send each request, and why the other providers were not usable.

    The reasons are those of the decision module: drains, set aside, turned a call away, no room, fails the class, cold,
    other zone. Requests arrive in virtual time; nothing is sent.

    \b
    Example: several providers, one of which never answers
      loftweir explain --config c.json -n 50 --behaves s-3=silent --each
    """
    of_platform, *_ = read_or_exit(origin_of(config, operator))
    classes = of_platform.settings.classes
    if class_name is not None and class_name not in classes:
        raise click.UsageError(f"--class: {class_name!r} is none of {', '.join(classes)}")
    known = of_platform.known
    try:
        if live:
            known = fetch_list(of_platform.discovery)
        elif list_file is not None:
            known = read_list(ujson.loads(list_file.read()), UpdateKind.FULL)[0]
    except (OSError, ValueError, LoftweirError, http.client.HTTPException) as error:
        click.echo(f"no list: {error}", err=True)
        if isinstance(error, LoftweirError):
            click.echo(error.remedy, err=True)
        sys.exit(2)
    explanation = run_explanation(
        of_platform.settings,
        as_full(known),
        Traffic(class_name or next(iter(classes)), requests, gap, answer),
        seed,
        behaviours(behaves, {e.address for e in known.endpoints}),
        time.time_ns(),
    )
    if as_json:
        print_json(explanation.as_dict())
    else:
        show(explanation, each)


def as_full(update: MembershipUpdate) -> MembershipUpdate:
    """The same list as a full update."""
    return MembershipUpdate(UpdateKind.FULL, update.endpoints, update.version)


def behaviours(options: tuple[str, ...], names: set[str]) -> dict[str, str]:
    """Parses the options NAME=HOW to the behaviour of each provider."""
    by_name = {}
    for option in options:
        name, _, how = option.partition("=")
        if name not in names:
            raise click.UsageError(f"--behaves: {name!r} is not on the list")
        if how not in BEHAVIOURS:
            raise click.UsageError(f"--behaves: {how!r} is none of {', '.join(BEHAVIOURS)}")
        by_name[name] = how
    return by_name


def fetch_list(address: str) -> MembershipUpdate:
    """Fetches the list from a running discovery."""
    host, port = split_host_port(address)
    client = http.client.HTTPConnection(host, port, timeout=DISCOVERY_TIMEOUT)
    try:
        client.request("GET", PATH)
        answer = client.getresponse()
        if answer.status != 200:
            raise CallFailed(f"discovery at {address} answered {answer.status}")
        return read_list(ujson.loads(answer.read()), UpdateKind.FULL)[0]
    finally:
        client.close()


def show(explanation: Explanation, each: bool) -> None:
    """Prints an explanation as tables; `each`: with a line for every decision."""
    if each:
        print_table(
            ("request", "at", "what", "provider", "not used"),
            [
                (d.request, f"{d.at_ms:.0f} ms", d.what, d.provider or "-", reasons(d.others) or "-")
                for d in explanation.decisions
            ],
        )
        click.echo()
    reason_counts: dict[str, Counter[str]] = {name: Counter() for name in explanation.attempts}
    for decision in explanation.decisions:
        for name, exclusions in decision.others.items():
            reason_counts[name].update(exclusions or ["usable, another was dealt"])
    print_table(
        ("provider", "attempts", "when not chosen"),
        [
            (name, number, ", ".join(f"{reason} {times}" for reason, times in reason_counts[name].most_common()) or "-")
            for name, number in explanation.attempts.items()
        ],
    )
    click.echo(f"\n{', '.join(f'{outcome} {number}' for outcome, number in explanation.outcomes.items())}")


def reasons(excluded: dict[str, list[str]]) -> str:
    """Formats why the other providers were not chosen."""
    return "; ".join(f"{name}: {', '.join(exclusions)}" for name, exclusions in excluded.items() if exclusions)
