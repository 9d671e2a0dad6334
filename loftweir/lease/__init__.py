"""Leases over the copies: who may act on a duty, for how long, and under which fencing token."""
