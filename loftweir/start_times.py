"""When a server was started, on this process's clock. Pure; all times in nanoseconds.

A list tells starts by a wall clock, which may have been stepped, as this process's may have been when it read it: a
server then seems to be started in the future, or to be warm though it has only just been started again. What this
process has seen itself bounds a start on both sides, whatever the clocks say.
"""

SECOND = 1_000_000_000
LISTED_LATE = 30 * SECOND  # after its start, that a server may be listed


def start(listed: int, now: int, restarted_since: int | None) -> int:
    """The start of a process that a list tells now, for the first time. `restarted_since`: when the list was heard that
    still had the process before it; None: it had none. A start that can't be is taken for one of now: a cold server
    taken for warm would be the worse mistake. 0 or less is long ago."""
    if listed <= 0:
        return listed
    if listed > now:
        return now
    if restarted_since is not None and listed < restarted_since - LISTED_LATE:
        return now
    return listed
