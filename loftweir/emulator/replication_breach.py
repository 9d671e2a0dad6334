"""What the emulation of the replicated state raises where a promise did not hold."""

from __future__ import annotations


class InvariantViolation(AssertionError):
    """What was promised and didn't hold."""
