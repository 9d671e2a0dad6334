"""`loftweir run`: runs one sidecar."""

from __future__ import annotations

import sys

import click

from loftweir.cli.common import configured, origin_of
from loftweir.daemon import run as run_sidecar
from loftweir.telemetry.catalogue import LEVELS
from loftweir.telemetry.formats import FORMATS


@click.command()
@configured
@click.option("--log-format", type=click.Choice(list(FORMATS)), help="Takes precedence over log.format.")
@click.option("--log-level", type=click.Choice(list(LEVELS)), help="Takes precedence over log.level.")
def run(config: str | None, operator: str | None, log_format: str | None, log_level: str | None) -> None:
    """Run one sidecar in the foreground, until SIGTERM or Ctrl-C.

    SIGHUP reads both files again: either all of their changes take effect, or none.
    """
    flags = {"log.format": log_format, "log.level": log_level}
    sys.exit(run_sidecar(origin_of(config, operator, {path: text for path, text in flags.items() if text})))
