"""The stages of a client's connection."""

from __future__ import annotations

from enum import IntEnum


class Stage(IntEnum):
    """The stage of a client's connection. When connections run out, those at the lowest stage are closed first."""

    ENDING = -1  # its last response is written, or it was idle too long; what arrives is no longer looked at
    SILENT = 0  # nothing has arrived yet
    IDLE = 1  # between requests
    BEGUN = 2  # part of a request has arrived
    BUSY = 3  # a whole request has arrived, or its response is being written
