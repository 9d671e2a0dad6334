"""The command line. It needs the extra `tools`; the module of a command is imported only when it is called."""

from __future__ import annotations

import sys


def main() -> int:
    """Runs the command line, and returns an exit code if it is not installed."""
    try:
        from loftweir.cli.root import loftweir
    except ModuleNotFoundError as error:
        print(f"loftweir: {error.name} is not installed; the command line needs loftweir[tools]", file=sys.stderr)
        return 2
    loftweir.main(prog_name="loftweir")  # exits with the command's exit code
    return 0
