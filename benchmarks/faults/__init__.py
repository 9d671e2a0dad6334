"""The fault harness of the copies: real sidecars, links and disks that fail, and an oracle over each run."""

import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT / "tests"))  # the fleet is that of the tests
