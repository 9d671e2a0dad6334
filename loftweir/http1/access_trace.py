"""What the access log says of one invocation, from its first byte to its answer."""

from __future__ import annotations

from loftweir.config.model import Options
from loftweir.core.invocation import Invocation
from loftweir.net.loop import MS
from loftweir.telemetry.access import access_log_reason
from loftweir.telemetry.catalogue import ACCESS
from loftweir.telemetry.log import emit

CLIENT_GONE = 0  # in place of a status: the client went before its answer was written
OUTCOMES = {CLIENT_GONE: "gone", 200: "served", 503: "rejected"}


class AccessTrace:
    """What the access line says of one invocation, taken once it is decided and before it is forgotten."""

    __slots__ = ("id", "class_name", "time_left", "began", "taken_at", "decided_at", "answered_at", "calls")

    def __init__(self, invocation: Invocation, began: int, now: int) -> None:
        self.id = invocation.id
        self.class_name = invocation.cls.name
        self.time_left = invocation.time_left
        self.began = began
        self.taken_at = invocation.deadline - invocation.time_left
        self.answered_at = now
        self.calls = invocation.attempt_records
        self.decided_at = self.calls[0].pop("at") if self.calls else now
        for call in self.calls[1:]:
            call["after_ms"] = round((call.pop("at") - self.taken_at) / MS, 3)

    def log(self, options: Options, status: int, now: int) -> None:
        """Logs the access line, where one is wanted for this status and time; `CLIENT_GONE` stands for no status."""
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
            calls=self.calls,
            write_ms=round((now - self.answered_at) / MS, 3),
            patience_ms=self.time_left // MS,
            why=why,
        )
