"""Stories of a control plane's folder: looked at, backed up, and restored into a new core."""

from __future__ import annotations

import time
from dataclasses import replace
from hashlib import blake2b
from pathlib import Path
from random import Random
from typing import Any

import pytest
import trio
import trio.testing
from click.testing import CliRunner, Result

from finchshelf.agreement import backup, store
from finchshelf.agreement.core import Refusal, Value, genesis
from finchshelf.agreement.store import Store
from finchshelf.cli.__main__ import main
from finchshelf.controlplane.register import Register

ADDRESSES = ("10.1.0.5:7660", "10.2.0.5:7660", "10.3.0.5:7660")
DOCUMENT = b'{"elements": [{"elementKind": "loads", "reference": {"credentials": ["key-secret"]}}]}'


class Core:
    """Real registers on real folders; messages between them are calls."""

    def __init__(self, folders: dict[str, Path], nursery: trio.Nursery, first: bool = False) -> None:
        self.nursery = nursery
        self.registers = {
            address: Register(
                address, ADDRESSES, first, Store(str(folder), 64), self, Random(1), lambda *_, **__: None
            )
            for address, folder in folders.items()
        }

    def reaches(self, address: str) -> bool:
        return True

    async def agree(self, address: str, message: dict[str, Any], limit: float) -> dict[str, Any]:
        return await self.registers[address].handle(message)

    async def document(self, name: bytes, address: str) -> bytes | None:
        raise AssertionError("messages between them are whole")

    def offer(self, name: bytes, address: str) -> None:
        pass

    def takes(self, document: bytes) -> float:
        return 0.0

    async def put(self, at: str, version: int, limit: float = 5.0) -> Value | str:
        def make(value: Value) -> Value | Refusal:
            return replace(value, slot=value.slot + 1, version=version, document=DOCUMENT)

        made = await self.registers[at].change(make, limit, "put")
        for one in self.registers.values():
            if isinstance(made, Value):
                await one.handle({"kind": "learn", "value": made.pack()})
        return made


def test_given_a_register_that_begins_on_a_slow_disk_when_messages_come_then_one_write_goes_on_at_a_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    going, most, slow, run = [0], [0], [trio.Event()], trio.to_thread.run_sync

    async def counted(save: Any, *given: Any) -> Any:
        going[0] += 1
        most[0] = max(most[0], going[0])
        await slow[0].wait()
        try:
            return await run(save, *given)
        finally:
            going[0] -= 1

    async def story() -> None:
        async with trio.open_nursery() as nursery:
            folders = {address: tmp_path / address for address in ADDRESSES}
            register = Core(folders, nursery, True).registers[ADDRESSES[0]]
            # Given a disk that takes long for the first word on it
            nursery.start_soon(register.begin)
            await trio.testing.wait_all_tasks_blocked()
            # When two messages lean on the disk meanwhile
            for n in (1, 2):
                prepare = {"kind": "prepare", "slot": 1, "ballot": [n, ADDRESSES[n]]}
                nursery.start_soon(register.handle, prepare)
            await trio.testing.wait_all_tasks_blocked()
            slow[0].set()
            while register.acceptor.on_disk < register.acceptor.revision:
                await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    monkeypatch.setattr(trio.to_thread, "run_sync", counted)
    trio.run(story)
    # Then the disk had one write at a time, and holds the last promise
    assert most == [1]
    state, faults = Store(str(tmp_path / ADDRESSES[0]), 64).load()
    assert state is not None and not faults and state["promised"][0] == 2


def lives(folders: dict[str, Path], *versions: int, first: bool = False) -> tuple[Value, ...]:
    """A core decides these versions and loses its power; what its members hold at the start."""
    held: list[Value] = []

    async def live() -> None:
        async with trio.open_nursery() as nursery:
            core = Core(folders, nursery, first)
            held.extend(one.decided for one in core.registers.values() if one.decided is not None)
            for at, version in enumerate(versions):
                made = await core.put(ADDRESSES[at % 3], version)
                assert isinstance(made, Value) and made.version == version

    trio.run(live)
    return tuple(held)


def folders(root: Path) -> dict[str, Path]:
    return {address: root / f"m{n}" for n, address in enumerate(ADDRESSES)}


def run(*words: object) -> Result:
    return CliRunner().invoke(main, ["state", *map(str, words)])


def content(folder: Path) -> dict[Path, tuple[bytes, int]]:
    return {one: (one.read_bytes(), one.stat().st_mtime_ns) for one in folder.rglob("*") if one.is_file()}


def restored(file: Path, into: dict[str, Path], *more: str) -> None:
    options: list[object] = ["--members", ",".join(ADDRESSES), *more]
    for folder in into.values():
        done = run("restore", file, folder, *options)
        assert done.exit_code == 0, done.stderr
        if "--start" in done.stdout:
            options += ["--start", done.stdout.split()[-1]]


@pytest.fixture
def old(tmp_path: Path) -> dict[str, Path]:
    found = folders(tmp_path / "old")
    lives(found, 1, 2, 3, first=True)
    return found


def test_given_a_core_lost_its_power_when_a_backup_is_restored_then_it_goes_on_from_there(
    tmp_path: Path, old: dict[str, Path]
) -> None:
    file, new = tmp_path / "backup", folders(tmp_path / "new")
    one = old[ADDRESSES[1]]
    older = min(store.GENERATIONS, key=lambda name: store.look(one / name).counter)
    (one / older / "data.mdb").write_bytes(b"half")  # a save that the loss cut off
    before = content(one)
    assert run("check", one).exit_code == 1 and run("show", one).exit_code == 0
    assert run("export", one, file).exit_code == 0
    assert content(one) == before and file.stat().st_mode & 0o077 == 0
    assert run("export", one, file).exit_code == 1  # never over a backup
    restored(file, new)
    held = lives(new, 4)
    assert [value.version for value in held] == [3, 3, 3] and held[0] == held[1] == held[2]
    assert held[0].document == DOCUMENT
    assert {value.version for value in lives(new)} == {4}


def test_given_disks_of_the_old_core_when_the_new_one_is_up_then_they_follow_and_none_counts(
    tmp_path: Path, old: dict[str, Path]
) -> None:
    file, new = tmp_path / "backup", folders(tmp_path / "new")
    backup.export(str(old[ADDRESSES[0]]), str(file))
    lives(old, 4, 5, 6)  # the old core went on beyond the backup
    restored(file, new)

    async def meet() -> None:
        async with trio.open_nursery() as nursery:
            both = Core({ADDRESSES[0]: new[ADDRESSES[0]], **{a: old[a] for a in ADDRESSES[1:]}}, nursery)
            value = both.registers[ADDRESSES[0]].decided
            assert value is not None
            with pytest.raises(Exception, match="no majority"):  # one new disk of three
                await both.put(ADDRESSES[0], 7, 0.3)
            assert both.registers[ADDRESSES[0]].decided == value
            with pytest.raises(Exception, match="no majority"):
                await both.put(ADDRESSES[1], 7, 0.3)  # an old disk: it is ahead of nobody
            assert both.registers[ADDRESSES[1]].decided == value

    trio.run(meet)


def test_given_one_start_when_it_is_used_otherwise_then_it_is_refused(
    tmp_path: Path, old: dict[str, Path], monkeypatch: pytest.MonkeyPatch
) -> None:
    file, other = tmp_path / "backup", tmp_path / "other"
    backup.export(str(old[ADDRESSES[0]]), str(file))
    start = backup.begin(str(file), ADDRESSES)
    lives(old, 4)
    backup.export(str(old[ADDRESSES[0]]), str(other))
    with pytest.raises(store.StoreError, match="another file"):
        backup.first_state(str(other), ADDRESSES, start)
    with pytest.raises(store.StoreError, match="other members"):
        backup.first_state(str(file), ("10.9.0.5:7660", *ADDRESSES[1:]), start)
    with pytest.raises(store.StoreError, match="2 members"):
        backup.first_state(str(file), ADDRESSES[1:], start)
    assert backup.first_state(str(file), ADDRESSES, start)["decided"]["slot"] > 1 << 40
    now = time.time()
    monkeypatch.setattr(time, "time", lambda: now + 4000)
    with pytest.raises(store.StoreError, match="over an hour"):
        backup.first_state(str(file), ADDRESSES, start)
    with pytest.raises(store.StoreError, match="no accepted"):
        backup.first_state(str(file), ADDRESSES, backup.begin(str(file), ADDRESSES, True), True)


def test_given_a_folder_that_holds_something_when_restored_into_then_nothing_is_written(
    tmp_path: Path, old: dict[str, Path]
) -> None:
    file, folder = tmp_path / "backup", old[ADDRESSES[2]]
    backup.export(str(folder), str(file))
    before = content(folder)
    done = run("restore", file, folder, "--members", ",".join(ADDRESSES))
    assert done.exit_code == 1 and "not empty" in done.stderr and content(folder) == before


@pytest.mark.parametrize(
    ("change", "step"),
    [
        (lambda whole: whole[:-1], "length"),
        (lambda whole: whole + b"x", "length"),
        (lambda whole: whole[:-9] + b"x" + whole[-8:], "digest"),
        (lambda whole: whole[:9], "form"),
        (lambda whole: whole[:27] + blake2b(b"", digest_size=32).digest(), "length"),
    ],
)
def test_given_a_backup_that_was_changed_when_restored_then_it_is_refused_by_its_step(
    tmp_path: Path, old: dict[str, Path], change: Any, step: str
) -> None:
    file = tmp_path / "backup"
    backup.export(str(old[ADDRESSES[0]]), str(file))
    file.write_bytes(change(file.read_bytes()))
    done = run("restore", file, tmp_path / "new", "--members", ",".join(ADDRESSES))
    assert done.exit_code == 1 and f"{step}: {file}" in done.stderr and not (tmp_path / "new").exists()


def test_given_folders_well_torn_broken_and_missing_when_checked_then_each_is_told(
    tmp_path: Path, old: dict[str, Path]
) -> None:
    folder = old[ADDRESSES[0]]
    well = run("check", folder)
    assert well.exit_code == 0 and well.stdout.count("the seal fits") == 2
    assert "no lock file" in well.stderr and "version 00000003" in well.stdout
    shown = run("show", folder, "--json")
    assert '"elements":{"loads":1}' in shown.stdout and "key-secret" not in shown.stdout
    newest = max(store.GENERATIONS, key=lambda name: store.look(folder / name).counter)
    (folder / newest / "data.mdb").write_bytes(b"broken")
    broken = run("check", folder)
    assert broken.exit_code == 1 and "newer than what is left" in broken.stderr
    assert "newer than what is left" in run("export", folder, tmp_path / "file").stderr
    assert run("check", tmp_path / "none").exit_code == run("show", tmp_path / "none").exit_code == 2
    (tmp_path / "empty").mkdir()
    assert run("check", tmp_path / "empty").exit_code == 1
    assert run("export", tmp_path / "empty", tmp_path / "more").exit_code == 1
    assert not (tmp_path / "more").exists()


def test_given_a_value_accepted_only_when_restored_then_it_is_told_and_taken_if_asked(tmp_path: Path) -> None:
    one = tmp_path / "one"
    value = replace(genesis(ADDRESSES), version=1)
    waiting = replace(value, slot=1, version=2)
    Store(str(one), 64).save(
        {
            "disk": "first",
            "decided": value.pack(),
            "promised": [4, "a"],
            "accepted": [[4, "a"], waiting.pack()],
        }
    )
    file = tmp_path / "backup"
    backup.export(str(one), str(file))
    told = run("restore", file, tmp_path / "x", "--members", ",".join(ADDRESSES))
    assert told.exit_code == 0 and "may have been acknowledged" in told.stderr
    new = folders(tmp_path / "new")
    restored(file, new, "--accepted")
    assert {each.version for each in lives(new)} == {2}
