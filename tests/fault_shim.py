"""Injects failures of system calls into the real program, as a test requests them.

It is loaded into the program's process before the program starts. The program makes all these calls through Python's
socket and epoll objects, which are wrapped here. Interrupted waits are left out, since Python itself resumes them. A
test writes a `Row` to the process's control file, and the row's failures begin from then on, for its time.
"""

import errno
import json
import os
import random
import select
import socket
import time
from pathlib import Path
from typing import NamedTuple

# Files in the program's folder.
CONTROL = "syscall-faults.json"  # the row to inject
BEGAN = "syscall-faults.began"  # when its first failure was injected
COUNT = "syscall-faults.count"  # how many failures were injected
CHECK_EVERY = 0.02  # seconds between two checks for the control file
CALLS = ("accept", "socket", "connect", "read", "write", "epoll_add", "setsockopt")


class Row(NamedTuple):
    """One case: a share `rate` of these calls fails with `error`, for `seconds` from the first failure on."""

    call: str
    error: str
    rate: float
    seconds: float


def checked(rows):
    """Return the rows of a table; raise ValueError for the first one that can't be injected."""
    for number, row in enumerate(rows, 1):
        faults = {
            f"no such call, but one of {', '.join(CALLS)}": row.call not in CALLS,
            "no such error": not hasattr(errno, row.error),
            "a rate is above 0 and at most 1": not 0 < row.rate <= 1,
            "a fault lasts for more than 0 s": row.seconds <= 0,
        }
        for fault, present in faults.items():
            if present:
                raise ValueError(f"row {number}, {tuple(row)}: {fault}")
    return rows


class Injector:
    """Decides which calls fail."""

    def __init__(self, folder):
        self.control, self.began, self.counted = (Path(folder, name) for name in (CONTROL, BEGAN, COUNT))
        self.row, self.until, self.check_at = None, 0.0, 0.0
        self.injected = 0
        self.random = random.Random(7)

    def fault(self, call):
        """Return the error number with which this call has to fail; 0: it does not fail."""
        now = time.monotonic()
        if now >= self.check_at:
            self.check_at = now + CHECK_EVERY
            self._check_control(now)
        row = self.row
        if row is None or row.call != call:
            return 0
        if not self.until:
            self.until = now + row.seconds
            self.began.write_text(str(now))
        elif now >= self.until or self.random.random() >= row.rate:
            return 0
        self.injected += 1
        return getattr(errno, row.error)

    def _check_control(self, now):
        """Take the row of the control file, and end one whose time is over."""
        if self.row is None and self.control.exists():
            self.row = Row(**json.loads(self.control.read_text()))
            self.control.unlink()
            self.until = 0.0
        elif self.row is not None and self.until and now >= self.until:
            self.counted.write_text(str(self.injected))
            self.row = None


def install(folder):
    """Wrap the calls of this process."""
    injector, real, outgoing = Injector(folder), socket.socket, set()
    calls = {
        name: getattr(real, name) for name in ("__init__", "_accept", "connect_ex", "recv", "sendmsg", "setsockopt")
    }

    def check(call):
        fault = injector.fault(call)
        if fault:
            raise OSError(fault, os.strerror(fault))

    def create(self, family=-1, type=-1, proto=-1, fileno=None):
        if fileno is None:
            check("socket")
        calls["__init__"](self, family, type, proto, fileno)
        outgoing.discard(self.fileno())

    def accept(self):
        check("accept")
        return calls["_accept"](self)

    def connect(self, address):
        outgoing.add(self.fileno())
        return injector.fault("connect") or calls["connect_ex"](self, address)

    def read(self, *arguments):
        if self.fileno() in outgoing:
            check("read")
        return calls["recv"](self, *arguments)

    def write(self, *arguments):
        check("write")
        return calls["sendmsg"](self, *arguments)

    def set_option(self, *arguments):
        check("setsockopt")
        return calls["setsockopt"](self, *arguments)

    wrapped = (create, accept, connect, read, write, set_option)
    for name, wrapper in zip(calls, wrapped, strict=True):
        setattr(real, name, wrapper)

    class Epoll:
        def __init__(self):
            self.epoll = kernel_epoll()

        def register(self, *arguments):
            check("epoll_add")
            self.epoll.register(*arguments)

        def __getattr__(self, name):
            return getattr(self.epoll, name)

    kernel_epoll, select.epoll = select.epoll, Epoll
