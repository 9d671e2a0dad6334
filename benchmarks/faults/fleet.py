"""A fleet of real sidecars whose every way to a voter is a link that fails on command, and whose disks do too.

Each sidecar's file names the voters by its own links: one to each voter from each other sidecar. Which voters are down
or cut off is kept here, so that the oracle knows when no majority can be had.
"""

from __future__ import annotations

import os
import re
import resource
import secrets
import signal
import socket
from contextlib import suppress
from pathlib import Path

from fleet_scene import FleetScene
from scene import entry, eventually

from benchmarks.faults.client import Line, members, news
from benchmarks.faults.oracle import Oracle
from loftweir.replication import folder, journal
from loftweir.replication.api import Member
from loftweir.replication.disk import open_disk
from loftweir.replication.wire import ConnectionKind
from loftweir.standins.faults import Link, Links
from loftweir.state.sealed import Damaged

# Run before each sidecar: its disk fails, or is slow, as long as a file says so.
HOOKS = """
import os, time
HERE = os.path.dirname(os.path.abspath(__file__))
def hooked(real):
    def sync(descriptor):
        if os.path.exists(HERE + "/SYNC-FAILS"):
            raise OSError(5, "Input/output error")
        try:
            with open(HERE + "/SYNC-TAKES") as file:
                time.sleep(float(file.read() or 0))
        except FileNotFoundError:
            pass
        return real(descriptor)
    return sync
os.fsync, os.fdatasync = hooked(os.fsync), hooked(os.fdatasync)
"""
PROVIDERS = 200  # names that the list has; nobody listens there, and no request is sent
PORTS = 10_000  # from here on: none that the kernel gives to others
VOTING = ("leader", "follower", "asking", "candidate")
FILLED = 256 * 1024  # bytes that a disk has left when it is about to be full


class Fleet(FleetScene):
    """Made by `Fleet()` outside of tests too; `doCleanups` ends all of it."""

    def __init__(self, method: str = "runTest"):
        super().__init__(method)
        mine = secrets.randbelow(1 << 16)
        self.host = f"127.{1 + mine % 254}.{mine >> 8}.1"  # one of its own, so that no ports are fought over
        self.port = PORTS

    def free(self):
        while True:
            self.port += 1
            with suppress(OSError), socket.socket() as sock:
                sock.bind((self.host, self.port))
                return f"{self.host}:{self.port}"

    def fleet(self, voters=3, followers=2, providers=0):
        super().fleet(voters, followers, providers)
        self.catalog.entries = [entry(f"s{n}", "127.0.0.1:9") for n in range(PROVIDERS)]
        self.oracle = Oracle()
        self.links = Links(self.host)
        self.addCleanup(self.links.close)
        self.link: dict[tuple[str, str], Link] = {}
        for who in self.sidecars:
            for whom, seat in self.seats.items():
                if who != whom:
                    self.link[who, whom] = link = self.links.add(seat)
                    self.address_overrides[who, whom] = link.address
        for sidecar in self.sidecars.values():
            sidecar.startup_code = HOOKS
        self.lives = dict.fromkeys(self.sidecars, 0)
        self.down: set[str] = set()  # voters whose process does not run
        self.unsure: set[str] = set()  # whose process runs, and which is no voter as it was last seen
        self.voting = set(self.voters)  # as a leader last had them
        self.cut: set[tuple[str, str]] = set()  # who can't say anything to whom
        return self.sidecars

    # ---- who is there ---------------------------------------------------------------------------

    def may_have_majority(self) -> bool:
        """Whether some voter can speak with a majority, itself included, both ways."""
        return self._speak(set(self.voters) - self.down)

    def _speak(self, able: set[str]) -> bool:
        cut = self.cut
        heard = [sum((who, whom) not in cut and (whom, who) not in cut for whom in able) for who in able]
        return max(heard, default=0) > len(self.voters) // 2

    def _changed(self) -> None:
        """After something went away, or before it comes back."""
        self.oracle.majority(self.may_have_majority(), self._speak(self.voting - self.down - self.unsure))

    def _gone(self, name: str) -> None:
        if name in self.seats:
            self.down.add(name)
            self._changed()

    def _back(self, name: str) -> None:
        self.down.discard(name)
        self._changed()

    # ---- lives ----------------------------------------------------------------------------------

    def votes(self, name: str, role: str) -> None:
        """As it is seen now."""
        if name in self.seats:
            (self.unsure.discard if role in VOTING else self.unsure.add)(name)
            self._changed()

    def start(self, name: str, **keys) -> None:
        self.votes(name, "")
        self._back(name)
        self.lives[name] += 1
        for flag in ("SYNC-FAILS", "SYNC-TAKES"):
            (self.sidecars[name].folder / flag).unlink(missing_ok=True)
        self.sidecars[name].start(**keys)

    def start_sidecars(self, *names):
        for name in names or self.sidecars:
            self.lives[name] += 1
        return super().start_sidecars(*names)

    def kill(self, *names: str) -> None:
        """Together: all are signalled before any of them is waited for."""
        for name in names:
            if (program := self.sidecars[name].program) is not None:
                program.kill()
        for name in names:
            self.sidecars[name].kill()
            self._gone(name)

    def terminate(self, name: str) -> int:
        """Its exit code; 0 also where it had not come as far as to know the signal."""
        ready = self.sidecars[name].ready()
        code = self.sidecars[name].terminate()
        self._gone(name)
        return 0 if code == -signal.SIGTERM and not ready else code

    def stop(self, *names: str) -> None:
        for name in names:
            self.sidecars[name].stop()
        for name in names:
            stat = Path(f"/proc/{self.sidecars[name].program.pid}/stat")
            assert eventually(lambda stat=stat: stat.read_text().rpartition(")")[2].split()[0] == "T")
            self._gone(name)

    def go_on(self, *names: str) -> None:
        for name in names:
            if self.sidecars[name].program is not None:
                self._back(name)
                self.sidecars[name].resume()

    # ---- ways -----------------------------------------------------------------------------------

    def part(self, some: set[str], others: set[str], refused: bool = False) -> None:
        """What some sidecars say to others gets lost, or is refused."""
        pairs = [pair for pair in self.link if pair[0] in some and pair[1] in others]
        for pair in pairs:
            if refused:
                self.link[pair].refuse()
            else:
                self.link[pair].block()
        self.cut |= set(pairs)
        self._changed()

    def isolate(self, name: str, out: bool = True, into: bool = True, refused: bool = False) -> None:
        """What a voter says to the other voters, or they to it, or both, gets lost."""
        others = set(self.seats) - {name}
        if out:
            self.part({name}, others, refused)
        if into:
            self.part(others, {name}, refused)

    def split(self, *groups: set[str]) -> None:
        """The voters of each group reach each other alone."""
        for group in groups:
            self.part(group, set(self.seats) - group)

    def heal(self) -> None:
        """All links are whole."""
        self.cut = set()
        self._changed()
        for link in self.link.values():
            link.heal()

    # ---- disks ----------------------------------------------------------------------------------

    def files(self, name: str, pattern: str) -> list[Path]:
        return sorted(self.sidecars[name].replication_folder.glob(pattern))

    def mark(self, name: str) -> tuple[Path, int]:
        """The segment that the mark names, and how many bytes of it were promised."""
        copies = self.sidecars[name].replication_folder
        identity = journal.decode_identity((copies / folder.IDENTITY).read_bytes())
        mark = journal.decode_mark((copies / folder.MARK).read_bytes(), identity)
        return copies / folder.segment_name(mark.segment), mark.at

    def damage(self, name: str, how: str, place: float) -> tuple[Path, int]:
        """While it does not run: what it kept is damaged at a place (0 to 1) of a file. The file, and the byte."""
        assert self.sidecars[name].program is None
        segment, size = self.mark(name)
        at = min(int(place * size), size - 1)
        match how:
            case "flip":
                with segment.open("r+b") as file:
                    file.seek(at)
                    byte = file.read(1)[0]
                    file.seek(at)
                    file.write(bytes([byte ^ (1 << at % 8)]))
            case "tail":
                os.truncate(segment, at)
            case "lost":
                segment.unlink()
            case "version":
                data = segment.read_bytes()
                segment.write_bytes(re.sub(rb"^(\S+) 1\n", rb"\1 2\n", data, count=1))
            case "foreign":
                other = self.sidecars[name].folder / "foreign"
                disk, _, _ = open_disk(other, "another")
                disk.close()
                (other / "identity").replace(self.sidecars[name].replication_folder / "identity")
            case _:
                raise ValueError(how)
        return segment, at

    def lose_power(self, name: str, place: float) -> int:
        """While it does not run: of what was written and not promised to be stable, only a part was kept."""
        try:
            segment, promised = self.mark(name)
        except (FileNotFoundError, Damaged):
            return 0  # its disk is not begun yet, or was damaged before and not looked at since
        last = self.files(name, "segment-*")[-1]
        size = last.stat().st_size
        least = promised if last == segment else 0
        if size > least:
            os.truncate(last, least + int(place * (size - least)))
        return size - last.stat().st_size

    def fill_disk(self, name: str) -> None:
        """No file of it can grow further, but for a last bit."""
        sidecar = self.sidecars[name]
        sizes = [0]
        for path in sidecar.folder.rglob("*"):
            with suppress(FileNotFoundError):
                sizes.append(path.stat().st_size)
        most = max(sizes) + FILLED
        resource.prlimit(sidecar.program.pid, resource.RLIMIT_FSIZE, (most, most))

    def break_sync(self, name: str) -> None:
        (self.sidecars[name].folder / "SYNC-FAILS").touch()

    def slow_sync(self, name: str, seconds: float) -> None:
        """0: as fast as it is."""
        (self.sidecars[name].folder / "SYNC-TAKES").write_text(str(seconds))

    # ---- what it comes to -----------------------------------------------------------------------

    def members(self) -> tuple[Member, ...]:
        """As the leader has them; empty: none could be asked."""
        answers = {name: self._am(name) for name in self.voters if name not in self.down}
        led = [(name, am) for name, am in answers.items() if am]
        taken = next((am.members for name, am in led if am.leader == name), ())
        if taken:
            self.voting = {member.name for member in taken if member.votes}
            self._changed()
        return taken

    def _am(self, name: str):
        try:
            return members(self.seats[name], 0.5)
        except OSError:
            return None

    def index(self, name: str) -> int:
        """Up to which a voter has applied the log; -1: it does not say."""
        try:
            line = Line(self.seats[name], ConnectionKind.FOLLOWER, within=0.5)
        except OSError:
            return -1
        try:
            return news(line, 1 << 60).index
        except OSError:
            return -1
        finally:
            line.close()

    def whole(self) -> bool:
        """Every listed voter votes, under the id that its process has now."""
        self._start_removed()
        taken = self.members()
        if {m.name for m in taken if m.votes} != set(self.voters):
            return False
        for member in taken:
            try:
                line = Line(self.seats[member.name], within=0.5)
            except OSError:
                return False
            line.close()
            if line.there.id != member.id:
                return False
        return True

    def _start_removed(self) -> None:
        """Who was taken out while it ran follows until it is started again."""
        for name in self.voters:
            sidecar = self.sidecars[name]
            lives = [r for r in map(sidecar.logged, ("replication.opened", "replication.ended")) if r]
            last = max((records[-1] for records in lives), key=lambda record: record["time"], default={})
            if sidecar.program is not None and "is not among its members" in str(last.get("why", "")):
                self.kill(name)
                self.start(name)
                eventually(sidecar.ready, 20)

    def resume(self) -> None:
        """All is healed and runs."""
        self.heal()
        for name, sidecar in self.sidecars.items():
            if sidecar.program is not None and sidecar.program.poll() is not None:
                self.oracle.problem(f"{name} ended by itself with {sidecar.program.poll()}")
                sidecar.program = None
            if sidecar.program is None:
                self.start(name)
            else:
                self.go_on(name)

    def settled(self, seconds: float = 60) -> bool:
        """All is whole, and every sidecar shows the same index with a leader."""

        def same() -> bool:
            stands = [sidecar.fleet_status() for sidecar in self.sidecars.values()]
            return len({s.get("index") for s in stands}) == 1 and all(s.get("leader", "-") != "-" for s in stands)

        return bool(eventually(self.whole, seconds) and eventually(same, seconds))


def operator_call(sidecar, line: str, within: float) -> tuple[str, bool]:
    """What is answered to a line, empty where nothing is, and whether it was sent."""
    host, port = sidecar.operator_address.split(":")
    sent = False
    with suppress(OSError), socket.create_connection((host, int(port)), timeout=1) as sock:
        sock.settimeout(within)
        sent = True
        sock.sendall(line.encode() + b"\n")
        return b"".join(iter(lambda: sock.recv(4096), b"")).decode().rstrip("\n"), True
    return "", sent
