"""A fleet of real sidecars in which every link to a voter, and every disk, fails on command.

Each sidecar's operator's file names the voters by that sidecar's own links: one to each voter from each other sidecar.
The fleet keeps which voters are down or cut off, so that the oracle knows when no majority is available.
"""

from __future__ import annotations

import os
import re
import resource
import signal
import socket
from contextlib import suppress
from pathlib import Path

from fleet_scene import FleetScene
from scene import entry, eventually

from benchmarks.faults.client import VoterConnection, follow, voter_status
from benchmarks.faults.oracle import Oracle
from loftweir.replication import folder, journal
from loftweir.replication.api import Member
from loftweir.replication.disk import open_disk
from loftweir.replication.wire import ConnectionKind
from loftweir.standins.faults import Link, Links
from loftweir.state.sealed import Damaged

# Code that runs before the program in each sidecar: its disk fails, or is slow, while a file exists.
SYNC_HOOKS = """
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
PROVIDERS = 200  # names in the endpoint list; nothing listens there, and no request is sent
VOTING_ROLES = ("leader", "follower", "asking", "candidate")
FULL_DISK_RESERVE = 256 * 1024  # bytes by which a file may still grow on a disk that is almost full


class Fleet(FleetScene):
    """Can be made outside of tests too, by `Fleet()`; `doCleanups` ends all of it."""

    def fleet(self, voters=3, followers=2, providers=0):
        """Makes the sidecars, with a link for each pair of a sidecar and another that votes."""
        super().fleet(voters, followers, providers)
        self.catalog.entries = [entry(f"s{n}", "127.0.0.1:9") for n in range(PROVIDERS)]
        self.oracle = Oracle()
        self.links = Links(self.addresses)
        self.addCleanup(self.links.close)
        self.link: dict[tuple[str, str], Link] = {}  # by the names of the sidecar and the voter
        for name in self.sidecars:
            for voter, address in self.seats.items():
                if name != voter:
                    self.link[name, voter] = link = self.links.add(address)
                    self.address_overrides[name, voter] = link.address
        for sidecar in self.sidecars.values():
            sidecar.startup_code = SYNC_HOOKS
        self.lives = dict.fromkeys(self.sidecars, 0)
        self.down: set[str] = set()  # voters whose process does not run
        self.unconfirmed: set[str] = set()  # voters whose process runs, and whose last known role has no vote
        self.voting = set(self.voters)  # as the leader last listed them
        self.blocked: set[tuple[str, str]] = set()  # (sender, receiver): nothing passes
        return self.sidecars

    # ---- majority -------------------------------------------------------------------------------

    def may_have_majority(self) -> bool:
        """Whether some voter can exchange messages with a majority, itself included."""
        return self._majority_among(set(self.voters) - self.down)

    def _majority_among(self, running: set[str]) -> bool:
        blocked = self.blocked
        reachable = [
            sum((one, other) not in blocked and (other, one) not in blocked for other in running) for one in running
        ]
        return max(reachable, default=0) > len(self.voters) // 2

    def _report_majority(self) -> None:
        """To be called after something has failed, or before it is restored."""
        certain = self._majority_among(self.voting - self.down - self.unconfirmed)
        self.oracle.majority(self.may_have_majority(), certain)

    def _mark_down(self, name: str) -> None:
        if name in self.seats:
            self.down.add(name)
            self._report_majority()

    def _mark_up(self, name: str) -> None:
        self.down.discard(name)
        self._report_majority()

    # ---- processes ------------------------------------------------------------------------------

    def update_role(self, name: str, role: str) -> None:
        """Records the role that a sidecar shows now; empty: not known."""
        if name in self.seats:
            (self.unconfirmed.discard if role in VOTING_ROLES else self.unconfirmed.add)(name)
            self._report_majority()

    def start(self, name: str, **keys) -> None:
        """Starts a sidecar, with a disk that works."""
        self.update_role(name, "")
        self._mark_up(name)
        self.lives[name] += 1
        for flag in ("SYNC-FAILS", "SYNC-TAKES"):
            (self.sidecars[name].folder / flag).unlink(missing_ok=True)
        self.sidecars[name].start(**keys)

    def start_sidecars(self, *names):
        """Starts the named sidecars, or all, and waits until they serve and know a leader."""
        for name in names or self.sidecars:
            self.lives[name] += 1
        return super().start_sidecars(*names)

    def kill(self, *names: str) -> None:
        """Kills all of them at once: each gets its signal before the first is waited for."""
        for name in names:
            if (program := self.sidecars[name].program) is not None:
                program.kill()
        for name in names:
            self.sidecars[name].kill()
            self._mark_down(name)

    def terminate(self, name: str) -> int:
        """The exit code after SIGTERM; 0 also if the process was too young to have a handler for the signal."""
        ready = self.sidecars[name].ready()
        code = self.sidecars[name].terminate()
        self._mark_down(name)
        return 0 if code == -signal.SIGTERM and not ready else code

    def stop(self, *names: str) -> None:
        """Stops processes with SIGSTOP, and returns when the kernel shows them as stopped."""
        for name in names:
            self.sidecars[name].stop()
        for name in names:
            stat = Path(f"/proc/{self.sidecars[name].program.pid}/stat")
            assert eventually(lambda stat=stat: stat.read_text().rpartition(")")[2].split()[0] == "T")
            self._mark_down(name)

    def resume(self, *names: str) -> None:
        """Resumes stopped processes with SIGCONT."""
        for name in names:
            if self.sidecars[name].program is not None:
                self._mark_up(name)
                self.sidecars[name].resume()

    # ---- links ----------------------------------------------------------------------------------

    def block(self, senders: set[str], receivers: set[str], refused: bool = False) -> None:
        """Loses or refuses what the first sidecars send to the others."""
        pairs = [pair for pair in self.link if pair[0] in senders and pair[1] in receivers]
        for pair in pairs:
            if refused:
                self.link[pair].refuse()
            else:
                self.link[pair].block()
        self.blocked |= set(pairs)
        self._report_majority()

    def isolate(self, name: str, out: bool = True, into: bool = True, refused: bool = False) -> None:
        """Blocks what a voter sends to the other voters (`out`), what they send to it (`into`), or both."""
        others = set(self.seats) - {name}
        if out:
            self.block({name}, others, refused)
        if into:
            self.block(others, {name}, refused)

    def split(self, *groups: set[str]) -> None:
        """Partitions the voters: those of each group reach only each other."""
        for group in groups:
            self.block(group, set(self.seats) - group)

    def heal(self) -> None:
        """Restores all links."""
        self.blocked = set()
        self._report_majority()
        for link in self.link.values():
            link.heal()

    # ---- disks ----------------------------------------------------------------------------------

    def stored_files(self, name: str, pattern: str) -> list[Path]:
        """The files of a voter's folder that match a pattern, in order of their names."""
        return sorted(self.sidecars[name].replication_folder.glob(pattern))

    def synced_end(self, name: str) -> tuple[Path, int]:
        """The segment that the voter's mark names, and how many bytes of it are known to be synced."""
        copies = self.sidecars[name].replication_folder
        identity = journal.decode_identity((copies / folder.IDENTITY).read_bytes())
        mark = journal.decode_mark((copies / folder.MARK).read_bytes(), identity)
        return copies / folder.segment_name(mark.segment), mark.at

    def damage(self, name: str, how: str, place: float) -> tuple[Path, int]:
        """Damages a stored file of a sidecar that does not run, at a relative position from 0 to 1.

        Returns the file and the position in bytes.
        """
        assert self.sidecars[name].program is None
        segment, size = self.synced_end(name)
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
        """Loses a part of what a stopped sidecar has written since its last sync, and returns how many bytes.

        `place`, 0 to 1: the share of these bytes that is kept.
        """
        try:
            segment, synced = self.synced_end(name)
        except (FileNotFoundError, Damaged):
            return 0  # the folder is not initialized yet, or was damaged before and not opened since
        last = self.stored_files(name, "segment-*")[-1]
        size = last.stat().st_size
        least = synced if last == segment else 0
        if size > least:
            os.truncate(last, least + int(place * (size - least)))
        return size - last.stat().st_size

    def fill_disk(self, name: str) -> None:
        """Lets no file of the process grow further than `FULL_DISK_RESERVE`."""
        sidecar = self.sidecars[name]
        sizes = [0]
        for path in sidecar.folder.rglob("*"):
            with suppress(FileNotFoundError):
                sizes.append(path.stat().st_size)
        most = max(sizes) + FULL_DISK_RESERVE
        resource.prlimit(sidecar.program.pid, resource.RLIMIT_FSIZE, (most, most))

    def break_sync(self, name: str) -> None:
        """Lets every sync of the sidecar fail until it is started again."""
        (self.sidecars[name].folder / "SYNC-FAILS").touch()

    def slow_sync(self, name: str, seconds: float) -> None:
        """Delays every sync of the sidecar; 0: not at all."""
        (self.sidecars[name].folder / "SYNC-TAKES").write_text(str(seconds))

    # ---- state of the fleet ---------------------------------------------------------------------

    def members(self) -> tuple[Member, ...]:
        """The members as the leader lists them; empty: no leader answered."""
        answers = {name: self._status(name) for name in self.voters if name not in self.down}
        statuses = [(name, status) for name, status in answers.items() if status]
        found = next((status.members for name, status in statuses if status.leader == name), ())
        if found:
            self.voting = {member.name for member in found if member.votes}
            self._report_majority()
        return found

    def _status(self, name: str):
        try:
            return voter_status(self.seats[name], 0.5)
        except OSError:
            return None

    def index(self, name: str) -> int:
        """The index up to which a voter has applied the log; -1: it did not answer."""
        try:
            connection = VoterConnection(self.seats[name], ConnectionKind.FOLLOWER, timeout=0.5)
        except OSError:
            return -1
        try:
            return follow(connection, 1 << 60).index
        except OSError:
            return -1
        finally:
            connection.close()

    def all_voting(self) -> bool:
        """Whether every configured voter votes, under the id that its process has now."""
        self._restart_removed()
        members = self.members()
        if {m.name for m in members if m.votes} != set(self.voters):
            return False
        for member in members:
            try:
                connection = VoterConnection(self.seats[member.name], timeout=0.5)
            except OSError:
                return False
            connection.close()
            if connection.peer.id != member.id:
                return False
        return True

    def _restart_removed(self) -> None:
        """Restarts the voters that were removed while they ran: until then they only observe."""
        for name in self.voters:
            sidecar = self.sidecars[name]
            lives = [r for r in map(sidecar.logged, ("replication.opened", "replication.ended")) if r]
            last = max((records[-1] for records in lives), key=lambda record: record["time"], default={})
            if sidecar.program is not None and "is not among its members" in str(last.get("why", "")):
                self.kill(name)
                self.start(name)
                eventually(sidecar.ready, 20)

    def restore(self) -> None:
        """Heals all links, and starts or resumes every process."""
        self.heal()
        for name, sidecar in self.sidecars.items():
            if sidecar.program is not None and sidecar.program.poll() is not None:
                self.oracle.problem(f"{name} ended by itself with {sidecar.program.poll()}")
                sidecar.program = None
            if sidecar.program is None:
                self.start(name)
            else:
                self.resume(name)

    def settled(self, seconds: float = 60) -> bool:
        """Whether within the time every voter votes and every sidecar shows one index and a leader."""

        def same() -> bool:
            statuses = [sidecar.fleet_status() for sidecar in self.sidecars.values()]
            return len({s.get("index") for s in statuses}) == 1 and all(s.get("leader", "-") != "-" for s in statuses)

        return bool(eventually(self.all_voting, seconds) and eventually(same, seconds))


def operator_call(sidecar, line: str, timeout: float) -> tuple[str, bool]:
    """The response to an operator's command, empty if there is none, and whether the command was sent."""
    host, port = sidecar.operator_address.split(":")
    sent = False
    with suppress(OSError), socket.create_connection((host, int(port)), timeout=1) as sock:
        sock.settimeout(timeout)
        sent = True
        sock.sendall(line.encode() + b"\n")
        return b"".join(iter(lambda: sock.recv(4096), b"")).decode().rstrip("\n"), True
    return "", sent
