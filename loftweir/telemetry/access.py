"""Which invocations get a line in the access log. No I/O, no clock, no global randomness."""

from __future__ import annotations

from binascii import crc32

MODES = ("off", "troubled", "sampled", "all")


def access_log_reason(mode: str, request_id: str, status: int, ms: float, slow_ms: float, share: float) -> str:
    """Why an invocation is logged: `all`, `slow`, `failed` or `sample`; empty if it is not.

    `troubled` logs those not served and the slow ones; `sampled` logs these and a share of the others. The sample
    depends on the id alone, so that every sidecar and every program that samples by the same ids picks the same ones.
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
