"""For all tests: those in `KNOWN-RED.txt` have to fail."""

from known_red import pytest_configure  # noqa: F401
