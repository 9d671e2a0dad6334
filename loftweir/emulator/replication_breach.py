"""The exception that simulations of the replicated state raise when a guarantee does not hold."""

from __future__ import annotations


class InvariantViolation(AssertionError):
    """A guarantee of the replicated state did not hold."""
