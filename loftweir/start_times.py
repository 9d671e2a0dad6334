"""When a provider was started, on this process's clock. Pure; all times are in nanoseconds.

A list gives start times by a wall clock, which may have been stepped, and this process's own clock may have been
stepped before the process read it. A provider may then seem to start in the future, or to be warm though it was
restarted a moment ago. What this process has observed itself bounds a start on both sides, whatever the clocks say.
"""

SECOND = 1_000_000_000
# A provider is listed at most this long after its start.
MAX_LISTING_DELAY = 30 * SECOND


def effective_start(listed: int, now: int, restarted_since: int | None) -> int:
    """Return the start of a process that a list now names for the first time; 0 or less: long ago.

    `restarted_since` is when the list was received that still had the previous process; None: there was none. A start
    that is impossible is taken for now: to treat a cold provider as warm would be the worse mistake.
    """
    if listed <= 0:
        return listed
    if listed > now:
        return now
    if restarted_since is not None and listed < restarted_since - MAX_LISTING_DELAY:
        return now
    return listed
