"""Loads the plugin that checks the tests in `KNOWN-RED.txt`."""

from known_red import pytest_configure  # noqa: F401
