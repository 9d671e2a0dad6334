"""The data of an access log line: one invocation, from its first byte to the end of its response."""

from __future__ import annotations

from loftweir.config.model import Options
from loftweir.core.invocation import Invocation
from loftweir.net.loop import MS
from loftweir.telemetry.access import access_log_reason
from loftweir.telemetry.catalogue import ACCESS
from loftweir.telemetry.log import emit

CLIENT_GONE = 0  # in place of a status: the client disconnected before its response was written
OUTCOMES = {CLIENT_GONE: "gone", 200: "served", 503: "rejected"}


class AccessTrace:
    """The data of one invocation's access line, taken once it has its final answer and before the host drops it."""

    __slots__ = ("id", "class_name", "time_left", "began", "taken_at", "decided_at", "answered_at", "attempts")

    def __init__(self, invocation: Invocation, began: int, now: int) -> None:
        self.id = invocation.id
        self.class_name = invocation.cls.name
        self.time_left = invocation.time_left
        self.began = began
        self.taken_at = invocation.deadline - invocation.time_left
        self.answered_at = now
        self.attempts = invocation.attempt_records
        self.decided_at = self.attempts[0].pop("at") if self.attempts else now
        for attempt in self.attempts[1:]:
            attempt["after_ms"] = round((attempt.pop("at") - self.taken_at) / MS, 3)

    def log(self, options: Options, status: int, now: int) -> None:
        """Log the access line if the settings ask for one with this status and time; `CLIENT_GONE` means no status."""
        log = options.log
        ms = (now - self.began) / MS
        why = access_log_reason(log.access, self.id, status, ms, log.access_slow / MS, log.access_sample)
        if not why:
            return
        emit(
            ACCESS,
            id=self.id,
            **{"class": self.class_name},
            status=status,
            how=OUTCOMES.get(status, "failed"),
            ms=round(ms, 3),
            head_ms=round((self.taken_at - self.began) / MS, 3),
            decision_ms=round((self.decided_at - self.taken_at) / MS, 3),
            calls=self.attempts,
            write_ms=round((now - self.answered_at) / MS, 3),
            patience_ms=self.time_left // MS,
            why=why,
        )
