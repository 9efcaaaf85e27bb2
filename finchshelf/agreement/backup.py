"""A control plane's folder seen from outside, a backup of it, and the state that a new core begins with.

Owns the form of a backup file and what a restored core's first value is. It must never write to a folder
that it only looks at, let lmdb open a file there, overwrite a file, or name an old core's disk.
"""

from __future__ import annotations

import os
import secrets
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, replace
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgpack

from finchshelf.agreement import store
from finchshelf.agreement.core import NO_BALLOT, Acceptor, Member, Value
from finchshelf.agreement.membership import FEWEST, MOST
from finchshelf.agreement.store import (
    DATA,
    DIGEST,
    GENERATIONS,
    SEAL,
    SEAL_NEW,
    Found,
    State,
    Store,
    StoreError,
)

MAGIC = b"finchshelf state 1\n"
SIZE = 8  # bytes of the length
RECENT_S = 60.0  # a folder written to within this looks in use
START_S = 3600.0  # a start's name is good for this long: by then its core is up and must not be begun twice
RANK = 16  # bits: a core would have to decide 65,536 values a second to reach the slots of a later start
MARK = 8  # bytes of digest in a start's name
BESIDE = {"lost+found"}  # what a file system puts into an empty folder of its own


@dataclass(frozen=True)
class Generation:
    name: str
    path: str
    size: int  # bytes of the lmdb file, -1 if there is none
    counter: int  # of the seal, -1 if none can be read
    fault: str  # "", or the step that doesn't fit: unsealed, seal, data, record, state
    acceptor: Acceptor | None

    @property
    def empty(self) -> bool:
        return self.size < 0 and not self.fault


def examine(folder: str) -> list[Generation]:
    """Both generations; StoreError if they can't be read."""
    found = []
    # Danger: a program that runs may truncate a file that lmdb has mapped, which would end this process.
    # So each file is read once, nothing is written there, and lmdb opens a copy of what was proven.
    try:
        names = os.listdir(folder)  # a folder that is missing or shut is no empty one
        with tempfile.TemporaryDirectory() as copies:
            for name in GENERATIONS:
                copy, size = Path(copies) / name, -1
                copy.mkdir()
                for part in (DATA, SEAL) if name in names else ():
                    with suppress(FileNotFoundError):
                        content = (Path(folder) / name / part).read_bytes()
                        (copy / part).write_bytes(content)
                        size = len(content) if part == DATA else size
                found.append(_generation(Path(folder) / name, size, store.look(copy)))
    except OSError as error:
        raise StoreError("look", str(error.filename or folder), str(error.strerror)) from error
    return found


def _generation(folder: Path, size: int, found: Found) -> Generation:
    acceptor, fault = None, found.fault
    if found.state is not None:
        try:
            acceptor = Acceptor.restore("", found.state)
        except (KeyError, TypeError, ValueError, IndexError):
            fault = "state"  # whole to the byte, but not a state that this version knows
    part = SEAL if fault == "seal" else DATA
    return Generation(folder.name, str(folder / part), size, found.counter, fault, acceptor)


def newest(found: list[Generation]) -> Generation | None:
    whole = [each for each in found if each.acceptor is not None]
    return max(whole, key=lambda each: each.counter) if whole else None


def lost(found: list[Generation]) -> list[Generation]:
    """Generations that were whole and newer than what is left: the disk broke, promises may be gone."""
    best = max((each.counter for each in found if each.acceptor is not None), default=-1)
    return [each for each in found if each.fault == "seal" or (each.fault and each.counter > best)]


def in_use(folder: str, now: float | None = None) -> str:
    """Why the folder looks as if a control plane ran on it, "" if it doesn't."""
    times = []
    for name in GENERATIONS:
        for part in (DATA, SEAL, SEAL_NEW):
            with suppress(OSError):
                times.append((Path(folder) / name / part).stat().st_mtime)
    past = (time.time() if now is None else now) - max(times, default=0.0)
    if past >= RECENT_S:
        return ""
    return (
        f"written to {max(past, 0.0):.0f} s ago: a control plane may be running on it (it keeps no "
        "lock file that would tell); what is read here may be half written or old"
    )


# ---- a backup file ----


def export(folder: str, file: str) -> Value:
    """Write the newest whole state to a new file; returns the decided value in it."""
    best = newest(examine(folder))
    if best is None or best.acceptor is None or best.acceptor.decided is None:
        raise StoreError("export", folder, "no whole state with a decided value in it")
    body: bytes = msgpack.packb({"state": best.acceptor.state(), "counter": best.counter})
    whole = MAGIC + len(body).to_bytes(SIZE, "big") + _digest(body, DIGEST) + body
    try:
        # Danger: a tenant's keys are in it; and a backup that is there already may be the only good one.
        number = os.open(file, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600)
    except OSError as error:
        raise StoreError("create", file, str(error.strerror)) from error
    try:
        with os.fdopen(number, "wb") as out:
            out.write(whole)
            out.flush()
            os.fsync(out.fileno())
        parent = os.open(os.path.dirname(os.path.abspath(file)), os.O_RDONLY)
        try:
            os.fsync(parent)
        finally:
            os.close(parent)
    except OSError as error:
        with suppress(OSError):
            os.unlink(file)  # ours: it was created above
        raise StoreError("write", file, str(error.strerror)) from error
    return best.acceptor.decided


def read(file: str) -> tuple[Acceptor, bytes]:
    """The state in a backup and the digest of it; StoreError if a byte of it isn't proven."""
    try:
        whole = Path(file).read_bytes()
    except OSError as error:
        raise StoreError("read", file, str(error.strerror)) from error
    head = len(MAGIC) + SIZE + DIGEST
    body = whole[head:]
    if len(whole) < head or not whole.startswith(MAGIC):
        raise StoreError("form", file, "no backup of a state")
    if int.from_bytes(whole[len(MAGIC) : len(MAGIC) + SIZE], "big") != len(body):
        raise StoreError("length", file, f"{len(body)} bytes: cut off or added to")
    if _digest(body, DIGEST) != whole[head - DIGEST : head]:
        raise StoreError("digest", file, "its bytes were changed")
    try:
        acceptor = Acceptor.restore("", msgpack.unpackb(body)["state"])
    except (KeyError, TypeError, ValueError, IndexError):
        raise StoreError("state", file, "whole, but of a form that this version does not know") from None
    return acceptor, _digest(body, DIGEST)


# ---- a new core ----


def begin(file: str, members: tuple[str, ...], accepted: bool = False) -> str:
    """A new name for the start of a core from this file with these members."""
    return f"{int(time.time()):x}-{_mark(read(file)[1], members, accepted)}-{secrets.token_hex(4)}"


def first_state(file: str, members: tuple[str, ...], start: str, accepted: bool = False) -> State:
    """What each member of the new core has on its disk at its start; the same for all of them."""
    acceptor, digest = read(file)
    if not FEWEST <= len(set(members)) <= MOST:
        raise StoreError("members", file, f"{len(set(members))} members: expected {FEWEST} to {MOST}")
    value = acceptor.decided if not accepted else acceptor.accepted and acceptor.accepted[1]
    if value is None:
        raise StoreError("value", file, f"no {'accepted' if accepted else 'decided'} value in it")
    when, _, rest = start.partition("-")
    try:
        seconds = int(when, 16)
    except ValueError:
        raise StoreError("start", file, f"{start!r} is no name of a start") from None
    if abs(time.time() - seconds) > START_S:
        # Danger: a folder restored under a start whose core is up has forgotten what it promised.
        raise StoreError(
            "start",
            file,
            "this start is over an hour old: its core counts on its disks by "
            "now. A member that lost its disk starts with an empty folder instead",
        )
    if rest.partition("-")[0] != _mark(digest, members, accepted):
        # Danger: two values in one slot under the same members would be two truths.
        raise StoreError("start", file, "this start is of another file, other members or another value")
    slot = seconds << RANK
    if slot <= value.slot:
        raise StoreError("clock", file, f"slot {value.slot} is of a later start: set this machine's clock")
    disk = f"restored-{start}"
    named = tuple(Member(address, disk) for address in sorted(members))
    return Acceptor(Member("", disk), replace(value, slot=slot, members=named), NO_BALLOT).state()


def restore(folder: str, state: State, storage_mb: float) -> None:
    """Put the state into a folder that is empty, or not yet there, and read it back."""
    try:
        os.makedirs(folder, exist_ok=True)
        inside = set(os.listdir(folder)) - BESIDE
    except OSError as error:
        raise StoreError("folder", folder, str(error.strerror)) from error
    if inside:
        # Danger: promises in it would be forgotten; and what it holds may be the only copy left.
        names = ", ".join(sorted(inside)[:3])
        raise StoreError("empty", folder, f"not empty ({names}): nothing was written")
    Store(folder, storage_mb).save(state)
    best = newest(examine(folder))
    if best is None or best.acceptor is None or best.acceptor.state() != state:
        raise StoreError("read back", folder, "the disk gives something else than was written")


def _mark(digest: bytes, members: tuple[str, ...], accepted: bool) -> str:
    packed: bytes = msgpack.packb([digest, sorted(members), accepted])
    return _digest(packed, MARK).hex()


def _digest(content: bytes, size: int) -> bytes:
    return blake2b(content, digest_size=size).digest()


def told(value: Value | None) -> dict[str, Any] | None:
    """A value for a person: never its document, which holds tenants' keys."""
    if value is None:
        return None
    return {
        "slot": value.slot,
        "version": value.version,
        "bytes": len(value.document),
        "members": [list(member) for member in value.members],
    }
