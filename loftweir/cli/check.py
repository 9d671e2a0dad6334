"""`loftweir check`: reports all faults of a configuration."""

from __future__ import annotations

import sys

import click

from loftweir.cli.common import as_json, configured, exit_with_faults, origin_of, print_json
from loftweir.config.faults import Faulty
from loftweir.daemon import UNUSABLE, read


@click.command()
@configured
@as_json
def check(config: str | None, operator: str | None, as_json: bool) -> None:
    """Check both files and the environment without starting.

    Every fault is printed with its file, path, value and what was expected. Exit code 0, or 2 with faults.
    """
    faults = []
    try:
        read(origin_of(config, operator))
    except Faulty as error:
        faults = error.faults
    if as_json:
        print_json([fault._asdict() for fault in faults])
        sys.exit(UNUSABLE if faults else 0)
    if faults:
        exit_with_faults(faults)
    click.echo("nothing wrong")
