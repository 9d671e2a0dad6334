"""Leases on the replicated state: which process may perform a task, for how long, and under which fencing token."""
