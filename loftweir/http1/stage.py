"""The stages of a client's connection."""

from __future__ import annotations

from enum import IntEnum


class Stage(IntEnum):
    """Where a client's connection stands. Where room is short, the lowest stage is closed first."""

    ENDING = -1  # its last answer is out or it rested too long, what comes is not looked at any more
    SILENT = 0  # nothing has come on it yet
    IDLE = 1  # between requests
    BEGUN = 2  # part of a request has come
    BUSY = 3  # a whole one has, or its answer is being written
