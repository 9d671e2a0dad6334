"""Timeouts and backoffs of calls to discovery: how soon a change of the endpoint list is read, whichever call fails.

Pure; all times are in nanoseconds.

Source: the operators' terms on the standing test. After a call to discovery that failed, was refused or was given up, a
sidecar counts as notified of a change 6 s after discovery had the change and could be reached; this takes precedence
over everything else that is allowed. Nobody knows beforehand which call will fail, so the limit holds at every moment.
The drain grace starts when the limit ends; all of it is left for carrying out the change.

Invariant: after a change, with discovery reachable, the response that contains it is read within `READ_WITHIN`, in
each of these cases. The times to add up follow each case.

  1. A watch fell silent just as its call began, and a fresh call failed too:
         `calls_apart`, the wait, `silent_after`, `FRESH_CALLS` fresh calls
  2. The backoff after a failed call, or the delay after a start, then a call that falls silent, and a fresh call that
     failed too:
         `LONGEST_BACKOFF` or `FIRST_CALL_WITHIN`, `answer_within`, `FRESH_CALLS` fresh calls
  3. A backoff, a call that fails as late as it can without falling silent, and the backoff after that:
         `LONGEST_BACKOFF`, `answer_within`, `LONGEST_BACKOFF`, `SHORTEST_FRESH_TIMEOUT`
         and after a start: `FIRST_CALL_WITHIN`, `answer_within`, half of `LONGEST_BACKOFF`, `SHORTEST_FRESH_TIMEOUT`
  4. A watch broke before its wait was over (after that it counts as silent), and the first backoff:
         `calls_apart`, the wait, half of `LONGEST_BACKOFF`, `SHORTEST_FRESH_TIMEOUT`

`watch_timeouts` derives all timeouts from the operator's settings so that these cases hold; `faults` names the settings
for which that is impossible. Covering more failures than these would cost too much: discovery has to handle each failed
call, and it handles those of the whole fleet one after another. For the same reason the first call of a watch does not
wait: the time for which it may be silent would otherwise be added to the backoff. Connecting counts towards the timeout
of the call that needs the connection. Where an agent pushes lists, a failed call is repeated after `calls_apart`, and
there is no backoff.

Beyond these cases a failed watch is re-established according to the time that is left, not by a number of calls
(`WatchRecovery`): a busy discovery refuses calls at once, and a refused call costs it next to nothing.

The response to a call that was given up is still accepted (`LATE_RESPONSE_WITHIN`). If it arrives while no watch is
established, the watch continues from it: a new watch costs discovery many times as much as the next call of an
established one, and a fleet that dropped its late responses in favour of new watches kept discovery busy with these
for good. So while a late response may still arrive, the next call waits for the whole backoff.

More than `SMALL_FLEET` sidecars that have all just started overload discovery with fresh calls alone. So they take
turns at their first calls over `FIRST_CALL_WITHIN_LARGE_FLEET`, back off after a first failure as long as after later
ones, and repeat a first call that fell silent only after the backoff: cases 2 to 4 need not hold for them.
"""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import NamedTuple

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns

# A sidecar counts as notified this long after discovery had a change and could be reached.
NOTIFIED_AFTER = 6 * SECOND
# The part of NOTIFIED_AFTER that is left for the network and for an event loop that has other work.
MARGIN = 100 * MS
READ_WITHIN = NOTIFIED_AFTER - MARGIN

# Fresh calls after a silent one: the first of them may fail too.
FRESH_CALLS = 2
# Timeouts of a fresh call. A busy discovery fails calls that have waited longer than the longest one.
LONGEST_FRESH_TIMEOUT = SECOND
SHORTEST_FRESH_TIMEOUT = 500 * MS

# The longest backoff from a failed call to the next one, whatever the settings allow. The backoff after the first
# failure in a row is at most half as long.
LONGEST_BACKOFF = 2 * SECOND
# The longest delay from a process's start to its first call.
FIRST_CALL_WITHIN = 3 * SECOND
# A fleet is small if up to this many sidecars call one discovery.
SMALL_FLEET = 16
# Replaces FIRST_CALL_WITHIN in a larger fleet.
FIRST_CALL_WITHIN_LARGE_FLEET = 4500 * MS

# The share of a watch's wait by which jitter shortens it at most, in a fleet of up to FULL_SPREAD_FLEET sidecars.
WAIT_SPREAD = 0.5
# The same share in a very large fleet, where the additional calls of all sidecars add up.
WAIT_SPREAD_LARGE_FLEET = 0.2
# A fleet of up to this many sidecars uses WAIT_SPREAD and gives up a silent watch as early as a single sidecar would.
FULL_SPREAD_FLEET = 16
# The larger the fleet beyond FULL_SPREAD_FLEET, the later a silent watch is given up: the exponent of the fleet's size.
SILENCE_EXPONENT = 3
# A call may take this many times the recent lateness of responses longer, on top of `silent_after`.
LATENESS_FACTOR = 4
# The share of the recent lateness that is kept from one response to the next.
LATENESS_DECAY = 0.75
# The longest time from a response to the next call of the same watch; discovery allows 200 ms.
NEXT_CALL_WITHIN = 180 * MS

# A pause between refused calls takes at most the remaining time divided by this.
PAUSE_DIVISOR = 3
# Calls for a new watch that a whole fleet makes per second while discovery refuses them.
FLEET_RETRIES_PER_SECOND = 20
# The shortest pause between two such calls of one sidecar.
SHORTEST_PAUSE = 200 * MS
# Refused calls are still repeated at this pace for so long after the sidecar counted as notified.
OVERDUE = 2 * SECOND

# The response to a call that was given up is accepted for this long, beside the calls that follow it.
LATE_RESPONSE_WITHIN = 4 * SECOND
# The most calls whose late responses are awaited at a time.
MAX_LATE_CALLS = 4

# The longest `answer_within` for which case 3 of the invariant holds, after a failed call and after a start.
LONGEST_ANSWER_WITHIN = min(
    READ_WITHIN - 2 * LONGEST_BACKOFF - SHORTEST_FRESH_TIMEOUT,
    READ_WITHIN - FIRST_CALL_WITHIN - LONGEST_BACKOFF // 2 - SHORTEST_FRESH_TIMEOUT,
)


class WatchTimeouts(NamedTuple):
    """The timeouts of one watch of the endpoint list."""

    wait: int  # how long discovery may keep a call open while there is no change
    silent: int  # from the last response: the next call, which waits, is given up at this time at the latest
    first: int  # for a call that does not wait, from the start of its connecting to its response
    fresh: int  # the same, for each of the FRESH_CALLS after a silent one
    connect: int  # for the connection, as a part of these timeouts

    def silent_for(self, wait: int, lateness: int, sidecars: int) -> int:
        """Return how long after the last response the next call is given up, if it lets discovery wait for `wait`.

        A call with a shorter wait is given up earlier. In a large fleet that saves less time: many sidecars overload
        discovery, and a watch that is given up too early costs a busy discovery more.
        """
        earlier = int((self.wait - wait) * min(1, FULL_SPREAD_FLEET / sidecars) ** SILENCE_EXPONENT)
        return self.silent - max(0, earlier - LATENESS_FACTOR * lateness)


def watch_timeouts(
    wait: int, silent_after: int, answer_within: int, connect_within: int, apart: int, pushed: bool = False
) -> WatchTimeouts:
    """Derive the timeouts from the operator's settings; `apart` is `calls_apart`, `pushed`: an agent pushes lists."""
    first_call_by, between = (0, apart) if pushed else (FIRST_CALL_WITHIN, 0)
    silent = apart + wait + silent_after
    left = READ_WITHIN - max(silent, first_call_by + answer_within)
    fresh = max(SHORTEST_FRESH_TIMEOUT, min(LONGEST_FRESH_TIMEOUT, left // FRESH_CALLS - between))
    return WatchTimeouts(wait, silent, answer_within, fresh, min(connect_within, answer_within))


def first_call_delay(ask_within: int, sidecars: int, me: int) -> tuple[int, int]:
    """Return the longest and the shortest delay from a process's start to its first call.

    `me` is the process's number among the sidecars that call discovery. A large fleet takes turns: its sidecars start
    together, and with random delays several calls would fall on some moments and none on others, so that discovery
    would be idle early and busy late.
    """
    if sidecars <= SMALL_FLEET:
        return min(ask_within // 2, FIRST_CALL_WITHIN), 0
    turn = min(ask_within // 2, FIRST_CALL_WITHIN_LARGE_FLEET) // sidecars
    return (me + 1) * turn, me * turn


def recent_lateness(before: int, last: int) -> int:
    """Return how far past their wait responses to watches have arrived recently, given the lateness of the last one."""
    return max(last, int(before * LATENESS_DECAY))


def watch_wait(wait: int, chance: float, sidecars: int = 1) -> int:
    """Return how long discovery may keep the next call open, with jitter; `chance` is a random number from 0 to 1.

    A change ends the watches of a whole fleet at one moment. With the same wait for all, their next calls would end,
    and be followed by new ones, at one moment too; and if none of these calls were answered, all would be given up and
    repeated at one moment.
    """
    spread = WAIT_SPREAD_LARGE_FLEET + (WAIT_SPREAD - WAIT_SPREAD_LARGE_FLEET) * min(1, FULL_SPREAD_FLEET / sidecars)
    return int(wait * (1 - spread * chance))


def faults(
    wait: int, silent_after: int, answer_within: int, apart: int, pushed: bool = False
) -> Iterator[tuple[str, int]]:
    """Yield each setting with which the invariant can't hold, and its largest value beside the others."""
    # Case 1.
    longest_watch = READ_WITHIN - apart - FRESH_CALLS * (SHORTEST_FRESH_TIMEOUT + (apart if pushed else 0))
    # Case 4.
    first_backoff = 0 if pushed else LONGEST_BACKOFF // 2
    longest_wait = min(longest_watch - MS, READ_WITHIN - apart - first_backoff - SHORTEST_FRESH_TIMEOUT)
    if wait > longest_wait:
        yield "wait", min(longest_wait, longest_watch - silent_after)
    elif wait + silent_after > longest_watch:
        yield "silent_after", longest_watch - wait
    if not pushed and answer_within > LONGEST_ANSWER_WITHIN:
        yield "answer_within", LONGEST_ANSWER_WITHIN


class WatchRecovery:
    """Re-establishes a failed watch before `deadline`, when the sidecar counts as notified of what the watch misses.

    A call that falls silent is followed by the next one at once, `fresh_calls` times. A refused call is followed by the
    next one after a pause, which is shorter the less time is left, down to this sidecar's part of
    `FLEET_RETRIES_PER_SECOND`. It continues at that pace for `OVERDUE` after the deadline: until then each moment is
    one more in which clients may notice what was missed.
    """

    def __init__(self, deadline: int, sidecars: int, fresh_calls: int, first_timeout: int, random: Random) -> None:
        self.deadline = deadline
        self.sidecars = sidecars
        self.fresh_calls = fresh_calls
        self.first_timeout = first_timeout
        self.random = random
        self.silent_left = fresh_calls + 1  # the watch itself may have fallen silent too

    def give_up_at(self, now: int) -> int:
        """Return the time at which a call that is made now is given up."""
        if not self.fresh_calls:
            return now + self.first_timeout
        timeout = min(LONGEST_FRESH_TIMEOUT, (self.deadline - now) // max(1, self.silent_left))
        return now + max(SHORTEST_FRESH_TIMEOUT, timeout)

    def next_call(self, now: int, silent: bool, response_pending: bool) -> int | None:
        """Return when to make the next call after one that failed; None: it would be too late.

        `response_pending`: an earlier call may still be answered.
        """
        left = self.deadline - SHORTEST_FRESH_TIMEOUT - now
        if silent:
            self.silent_left -= 1
            return now if self.silent_left and left >= 0 else None
        if left < -OVERDUE:
            return None
        share_of_fleet = self.sidecars * SECOND // FLEET_RETRIES_PER_SECOND
        longest = min(LONGEST_BACKOFF, max(SHORTEST_PAUSE, left // PAUSE_DIVISOR, share_of_fleet))
        if response_pending:
            longest = max(longest, LONGEST_FRESH_TIMEOUT)
        if 0 <= left < SHORTEST_PAUSE:
            return now + left
        if left >= 0:
            longest = min(longest, left)
        return now + int(longest * self.random.uniform(0.5, 1))


def backoff(
    ask_within: int, failures: int, list_age: int | None = None, sidecars: int = 1, response_pending: bool = False
) -> tuple[int, int]:
    """Return the longest and the shortest delay to the next call after this many failed calls in a row.

    The caller picks a random moment between them: sidecars that were refused together must not return in step.

    `list_age` is for how long a change may have gone unnoticed; None: not known. The first failure in a row is retried
    soon, unless there is time for more or the fleet is large: a sidecar that had a response a moment ago leaves a busy
    discovery to the others.

    `response_pending`: a call that was given up may still be answered. On a busy discovery that response arrives
    earlier, and a new call in the meantime would take up to the same amount of discovery's time again for nothing.
    """
    longest = min(ask_within, LONGEST_BACKOFF)
    if response_pending:
        return longest, longest
    change_may_be_due = list_age is None or list_age > READ_WITHIN - 2 * LONGEST_BACKOFF
    soon = sidecars <= SMALL_FLEET and failures == 1 and change_may_be_due
    return (longest // 2, 0) if soon else (longest, longest // 2)
