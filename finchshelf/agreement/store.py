"""What lasts of agreement: one state on disk, in two generations of which one is always whole.

Owns the files and their order of writing and syncing. It must never decide what a state means, and never
give a state of which a byte isn't proven. Plain blocking calls, for one thread at a time.

A generation is a folder (`a`, `b`) with an lmdb file and a seal: the generation's counter, the file's size
and digest. A save writes over the older generation only, syncs it, and seals it last; so a save that ends
anywhere leaves the newer generation as it was. lmdb opens no file that its seal doesn't prove: it maps the
file, and a torn one would end the process.
"""

from __future__ import annotations

import contextlib
import os
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

import lmdb
import msgpack

GENERATIONS = ("a", "b")
DATA, SEAL, SEAL_NEW = "data.mdb", "seal", "seal.new"  # lmdb gives the first its name
KEY = b"state"
DIGEST = 32
LARGE = 4096  # bytes above which packing tighter saves a page and so pays
ROOM = 4  # times the state, of lmdb's map: it copies pages, and its tree needs some; the file stays small
SMALLEST_MAP = 1 << 20
PAGES = 1 << 16  # bytes of a file that aren't the state

State = dict[str, Any]


@dataclass(frozen=True)
class Fault:
    """A generation that was left alone.

    lost: it was whole once and newer than what was loaded. A save that was cut off doesn't look like this;
    the disk broke. What it promised may be forgotten, so it should be taken for a wiped disk.
    """

    step: str
    path: str
    lost: bool


class StoreError(Exception):
    def __init__(self, step: str, path: str, why: str = "") -> None:
        super().__init__(f"{step}: {path}: {why}")
        self.step = step
        self.path = path


@dataclass(frozen=True)
class Found:
    counter: int  # of the seal, -1 if none can be read
    state: State | None
    fault: str  # the step that didn't fit, "" if all did
    path: str


class Store:
    def __init__(self, folder: str, storage_mb: float) -> None:
        self._folder = Path(folder)
        self._room = int(storage_mb * (1 << 20)) // len(GENERATIONS)
        self._known = False  # whether the files were looked at
        self._counter = 0  # highest ever seen; none is used twice
        self._proved = False  # whether what was loaded is known to be synced
        self._good: str | None = None  # the generation that no save may touch
        self._unsure = False  # the last save failed: the other generation may be sealed and newer
        self._last: bytes | None = None

    @property
    def folder(self) -> str:
        return str(self._folder)

    def load(self) -> tuple[State | None, list[Fault]]:
        """The newest state that is whole, None if there is none; and the generations that were left alone."""
        found = {name: look(self._folder / name) for name in GENERATIONS}
        best, self._good = max(
            ((found[name].counter, name) for name in GENERATIONS if found[name].state is not None),
            default=(-1, None),
        )
        self._counter = max(0, *(each.counter for each in found.values()))
        # The seal is written last: one that can be read, and is newer, was of a whole generation.
        # One that can't be read was whole too, since it is synced before it gets its name.
        faults = [
            Fault(each.fault, each.path, each.counter > best or each.fault == "seal")
            for each in found.values()
            if each.fault
        ]
        state = None if self._good is None else found[self._good].state
        self._known, self._proved, self._unsure = True, False, bool(faults)
        self._last = None
        return state, faults

    def save(self, state: State) -> None:
        """Returns when the state is on disk. StoreError: it may or may not be; the last one saved is."""
        if not self._known:
            self.load()
        packed = _pack(state)
        if packed == self._last:
            return
        body = _squeeze(packed)
        name = GENERATIONS[self._good == GENERATIONS[0]]
        folder = self._folder / name
        if len(body) + PAGES > self._room:
            raise StoreError("room", str(folder), f"{len(body)} bytes")
        self._last = None
        with _step("folder", folder):
            self._make(folder)
        if not self._proved:
            # Danger: the program may have died between a seal and its sync. What was loaded is then whole to
            # read but gone at a power loss, and writing over the other generation would leave none.
            with _step("settle", self._folder):
                good = [] if self._good is None else [self._folder / self._good]
                for path in (*(each / part for each in good for part in (DATA, SEAL, "")), self._folder):
                    _sync(path)
            self._proved = True
        if self._unsure:
            # Danger: a newer seal over a file half written would look like a broken disk at the next start.
            with _step("unseal", folder / SEAL):
                (folder / SEAL).unlink(missing_ok=True)
                _sync(folder)
        self._unsure = True
        self._counter += 1
        data = folder / DATA
        with _step("write", data):
            fresh = not data.exists()
            # Danger: lmdb must not open what a save left half written. An empty file is a new one to it.
            os.close(os.open(data, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, 0o644))
            _write(folder, body)
        with _step("sync", data):
            # By a descriptor of its own, after lmdb closed: its own syncing by O_DSYNC isn't leant on.
            _sync(data)
            if fresh:
                _sync(folder)
        with _step("seal", folder / SEAL):
            content = data.read_bytes()
            if len(content) > self._room:
                raise OSError("larger than its room")
            seal = msgpack.packb([self._counter, len(content), _digest(content)])
            with open(folder / SEAL_NEW, "wb") as file:
                file.write(_digest(seal) + seal)
                file.flush()
                os.fsync(file.fileno())
            os.replace(folder / SEAL_NEW, folder / SEAL)
            _sync(folder)
        self._good, self._last, self._unsure = name, packed, False

    def _make(self, folder: Path) -> None:
        if not folder.is_dir():
            folder.mkdir(parents=True)
            _sync(self._folder)
            _sync(self._folder.parent)


def look(folder: Path) -> Found:
    """What one generation holds; lmdb opens it only if its seal fits."""
    data, seal = folder / DATA, folder / SEAL
    try:
        sealed = _read(seal)
        if sealed is None:
            return Found(-1, None, "unsealed" if data.exists() else "", str(data))
        if _digest(sealed[DIGEST:]) != sealed[:DIGEST]:
            return Found(-1, None, "seal", str(seal))
        counter, size, digest = msgpack.unpackb(sealed[DIGEST:])
        if type(counter) is not int or type(size) is not int:
            raise ValueError("no seal")
    except (OSError, ValueError, TypeError):
        return Found(-1, None, "seal", str(seal))
    try:
        content = _read(data)
        if content is None or len(content) != size or _digest(content) != digest:
            return Found(counter, None, "data", str(data))
        return Found(counter, _open(folder, size), "", str(data))
    except (OSError, ValueError, TypeError, lmdb.Error, zlib.error):
        return Found(counter, None, "record", str(data))


def _pack(state: State) -> bytes:
    packed: bytes = msgpack.packb(state)
    return packed


def _squeeze(packed: bytes) -> bytes:
    """The record: its checksum, whether it is packed tighter, the state."""
    tight = zlib.compress(packed, 1) if len(packed) > LARGE else packed
    body = b"z" + tight if len(tight) < len(packed) else b"-" + packed
    return _digest(body) + body


def _write(folder: Path, body: bytes) -> None:
    size = max(SMALLEST_MAP, -(-len(body) * ROOM // SMALLEST_MAP) * SMALLEST_MAP)
    # lmdb syncs nothing here: the one sync of the closed file holds all of it, and costs a third of the time.
    env = lmdb.open(str(folder), map_size=size, subdir=True, lock=False, sync=False, metasync=False)
    try:
        with env.begin(write=True) as change:
            change.put(KEY, body)
    finally:
        env.close()


def _open(folder: Path, size: int) -> State:
    env = lmdb.open(str(folder), map_size=max(SMALLEST_MAP, size), subdir=True, lock=False, readonly=True)
    try:
        with env.begin() as look:
            record = look.get(KEY)
    finally:
        env.close()
    if not record or _digest(record[DIGEST:]) != record[:DIGEST]:
        raise ValueError("the record's checksum")
    body = record[DIGEST + 1 :]
    state: State = msgpack.unpackb(zlib.decompress(body) if record[DIGEST : DIGEST + 1] == b"z" else body)
    return state


def _digest(content: bytes) -> bytes:
    return blake2b(content, digest_size=DIGEST).digest()


def _read(path: Path) -> bytes | None:
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return None


def _sync(path: Path) -> None:
    file = os.open(path, os.O_RDONLY)
    try:
        os.fsync(file)
    finally:
        os.close(file)


@contextlib.contextmanager
def _step(step: str, path: Path) -> Iterator[None]:
    try:
        yield
    except (OSError, lmdb.Error) as error:
        raise StoreError(step, str(path), str(error)) from error
