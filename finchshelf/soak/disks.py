"""Loss of power, as a disk sees it: what was not synced is there, missing or torn, entries of folders too.

Owns two halves. In a program, `Shadow` keeps beside the disk what each sync has made certain. In the driver,
once the program is killed, `lose_power` makes the disk what it may be by that. Without a shadow a SIGKILL
leaves the page cache in place, and a missing sync would never show.
"""

from __future__ import annotations

import json
import os
import shutil
from pathlib import Path
from random import Random
from typing import Any

from finchshelf.agreement import store

BLOCK = 4096  # bytes that are written whole or not at all
LAST = 0.4  # chance that nothing unsynced is left at all, as some losses have it


class Shadow:
    """What is certain of the files under `disk`; kept under `folder`, file by inode, folder by its path."""

    def __init__(self, disk: Path, folder: Path) -> None:
        self.disk, self.folder = disk.resolve(), folder
        folder.mkdir(parents=True, exist_ok=True)

    def synced(self, path: Path) -> None:
        """That file, or the entries of that folder, have been synced."""
        path = path.resolve()  # a descriptor's path is absolute, the disk's may have been given relative
        if not path.is_relative_to(self.disk):
            return
        if path.is_dir():
            entries = {one.name: one.stat().st_ino for one in path.iterdir()}
            self.put(entries_name(path.relative_to(self.disk)), json.dumps(entries).encode())
        else:
            self.put(content_name(path.stat().st_ino), path.read_bytes())

    def put(self, name: str, content: bytes) -> None:
        """Whole or not at all: the program may be killed at any moment."""
        waiting = self.folder / f"{name}.new"
        waiting.write_bytes(content)
        waiting.replace(self.folder / name)

    def install(self) -> None:
        """Watch the syncs of this process's store."""
        former, sync = store._sync, os.fsync

        def watched(path: Path) -> None:
            former(path)
            self.synced(path)

        def fsync(file: Any) -> None:
            sync(file)
            number = file if isinstance(file, int) else file.fileno()
            path = Path(os.readlink(f"/proc/self/fd/{number}"))
            if path.is_file():
                self.synced(path)

        store._sync = watched
        vars(store)["os"] = Functions(fsync)


class Functions:
    """The module `os`, with another `fsync`."""

    def __init__(self, fsync: Any) -> None:
        self.fsync = fsync

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)


def watch(state_dir: str) -> None:
    """In a program that has a disk, before its store is used."""
    disk = Path(state_dir)
    Shadow(disk, shadow_of(disk)).install()


def shadow_of(disk: Path) -> Path:
    return disk.with_name(f"{disk.name}.shadow")


def content_name(inode: int) -> str:
    return f"content-{inode}"


def entries_name(folder: Path) -> str:
    return f"entries-{str(folder).replace('/', '-')}"


def wiped(disk: Path) -> None:
    """The disk is another, and empty."""
    shutil.rmtree(shadow_of(disk), ignore_errors=True)


def lose_power(disk: Path, random: Random) -> int:
    """Make the disk what a loss of power may leave; how many files and entries that changed."""
    shadow = shadow_of(disk)
    kept = disk.with_name(f"{disk.name}.before")
    disk.rename(kept)
    disk.mkdir()
    strict = random.random() < LAST
    changed = rebuild(kept, disk, Path("."), shadow, random, strict)
    shutil.rmtree(kept)
    shutil.rmtree(shadow, ignore_errors=True)  # inodes are others by now; what is there counts as synced
    remember(disk, shadow)
    return changed


def remember(disk: Path, shadow: Path) -> None:
    """After a start of the machine all that the disk holds is certain."""
    certain = Shadow(disk, shadow)
    for path in [disk, *disk.rglob("*")]:
        certain.synced(path)


def rebuild(kept: Path, disk: Path, folder: Path, shadow: Path, random: Random, strict: bool) -> int:
    changed = 0
    now = {one.name: one for one in (kept / folder).iterdir()}
    try:
        certain: dict[str, int] = json.loads((shadow / entries_name(folder)).read_bytes())
    except OSError:
        certain = {}
    for name in sorted(now.keys() | certain.keys()):
        present = now.get(name)
        inode = present.stat().st_ino if present is not None else -1
        if certain.get(name) != inode and (strict or random.random() < 0.5):
            changed += 1
            if name not in certain:
                continue  # made or renamed, and its folder never synced
            present, inode = find(kept, certain[name]), certain[name]
        if present is not None and present.is_dir():
            (disk / folder / name).mkdir()
            changed += rebuild(kept, disk, present.relative_to(kept), shadow, random, strict)
            continue
        content, other = contents(present, shadow / content_name(inode), random, strict)
        changed += other
        if content is not None:
            (disk / folder / name).write_bytes(content)
    return changed


def find(kept: Path, inode: int) -> Path | None:
    return next((one for one in kept.rglob("*") if one.stat().st_ino == inode), None)


def contents(present: Path | None, certain: Path, random: Random, strict: bool) -> tuple[bytes | None, bool]:
    """What the file holds after it, and whether that is not what it held."""
    synced = certain.read_bytes() if certain.exists() else None
    if present is None:
        return synced, True
    written = present.read_bytes()
    if synced == written:
        return written, False
    if synced is None:
        synced = b""
    choice = "synced" if strict else random.choice(("synced", "written", "torn"))
    if choice == "torn":
        length = random.choice((len(synced), len(written)))
        return torn(written, synced, length, random), True
    return (synced, True) if choice == "synced" else (written, False)


def torn(written: bytes, synced: bytes, length: int, random: Random) -> bytes:
    """Some blocks as they were written last, some as they were synced."""
    parts = list[bytes]()
    for at in range(0, length, BLOCK):
        source = written if random.random() < 0.5 else synced
        parts.append(source[at : at + BLOCK].ljust(min(BLOCK, length - at), b"\0"))
    return b"".join(parts)
