"""The fault harness of replication: real sidecars, failing links and disks, and an oracle that checks each run."""

import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT / "tests"))  # the harness reuses the tests' fleet of sidecars
