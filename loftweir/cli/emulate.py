"""`loftweir emulate`: runs scenarios in virtual time and prints the results."""

from __future__ import annotations

import sys
import time
import tomllib

import click

from loftweir.cli.common import as_json, exit_with_faults, print_json, print_table
from loftweir.config.faults import Fault, Faulty
from loftweir.emulator.baselines import BALANCERS
from loftweir.emulator.emulation import simulate
from loftweir.emulator.result import Result
from loftweir.emulator.scenario import Scenario, decode


def read_scenario(file: str) -> Scenario:
    """Reads a scenario file; exits with all of its faults if it can't be used."""
    try:
        with open(file, "rb") as stream:
            return decode(tomllib.load(stream), file)
    except OSError as error:
        exit_with_faults([Fault(file, "", error.strerror or str(error), "a file that can be read")])
    except (ValueError, RecursionError) as error:
        exit_with_faults(error.faults if isinstance(error, Faulty) else [Fault(file, "", str(error), "TOML in UTF-8")])


def print_seconds(result: Result) -> None:
    """Prints the results of each second's requests, and how many servers were overdriven at its end."""
    head = ("second", "asked", "in time", "late", "turned away", "timed out", "goodput", "overdriven")
    rows = [
        (
            second, span.asked, span.in_time, span.served - span.in_time, span.asked - span.served - span.timed_out,
            span.timed_out, f"{span.goodput():.3f}", f"{span.overdriven:.0%}",
        )
        for second, span in enumerate(result.seconds)
        if span.asked
    ]  # fmt: skip
    click.echo(f"\n{result.scenario}, seed {result.seed}")
    print_table(head, rows)


@click.command()
@click.argument("scenarios", nargs=-1, required=True, metavar="SCENARIO...")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--balancer", type=click.Choice(list(BALANCERS)), default="loftweir", show_default=True)
@click.option("--by-second", is_flag=True, help="Also print the results of each second's requests.")
@as_json
def emulate(scenarios: tuple[str, ...], seed: int, balancer: str, by_second: bool, as_json: bool) -> None:
    """Run scenarios in virtual time and print the results. Exit code 1 if a rule was broken.

    \b
    Examples:
      loftweir emulate scenarios/zone-loss.toml --seed 3
      loftweir emulate scenarios/*.toml --balancer random
      loftweir emulate scenarios/burst-overdriven.toml --by-second
    """
    decoded = [read_scenario(file) for file in scenarios]
    results = []
    for scenario in decoded:
        began = time.perf_counter()
        results.append((simulate(scenario, seed, BALANCERS[balancer]), time.perf_counter() - began))
    if as_json:
        print_json([result._asdict() for result, _ in results])
    else:
        rows = [
            (
                r.scenario, f"{r.goodput:.3f}", r.asked, r.in_time, r.refused, r.failed, r.unanswered,
                f"{r.attempts / max(1, r.asked):.2f}", "kept" if r.sound() else "BROKEN", f"{took:.2f} s",
            )
            for r, took in results
        ]  # fmt: skip
        head = ("scenario", "goodput", "asked", "in time", "refused", "failed", "unanswered", "attempts", "rules", "in")
        print_table(head, rows)
        for r, _ in results:
            if by_second:
                print_seconds(r)
            for breach in r.shown:
                click.echo(f"{r.scenario}: {breach.rule}: {breach.what}", err=True)
    sys.exit(0 if all(r.sound() for r, _ in results) else 1)
