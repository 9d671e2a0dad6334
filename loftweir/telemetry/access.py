"""Which invocations get a line of their own. No I/O, no clock, no global randomness."""

from __future__ import annotations

from binascii import crc32

MODES = ("off", "troubled", "sampled", "all")


def access_log_reason(mode: str, request_id: str, status: int, ms: float, slow_ms: float, share: float) -> str:
    """Why this invocation is said: `all`, `slow`, `failed`, `sample`; empty: it is not.

    `troubled` says those not served and the slow ones; `sampled` these, and a share of the others, chosen by the
    id alone: whoever samples by the same ids, here or in another instance, has the same ones.
    """
    if mode == "off":
        return ""
    if mode == "all":
        return "all"
    if status != 200:
        return "failed"
    if ms >= slow_ms:
        return "slow"
    if mode == "sampled" and crc32(request_id.encode()) < share * 2**32:
        return "sample"
    return ""
