"""`python -m loftweir`: runs one sidecar for the platform, or the command line if there are arguments."""

from __future__ import annotations

import os
import sys


def main() -> int:
    """Runs the program and returns its exit code."""
    if len(sys.argv) > 1:
        from loftweir.cli import main as command_line

        return command_line()
    # Without the command line: one sidecar does not need its libraries, and they would cost it memory.
    from loftweir.daemon import origin, run

    return run(origin(os.environ))


if __name__ == "__main__":
    sys.exit(main())
