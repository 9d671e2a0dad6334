"""The README's example runs as it stands."""

import re
from pathlib import Path


def test_the_example_runs():
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    (example,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(example, "README.md", "exec"), {})
