"""Stories of the store: whatever a save or a disk does, the last good state stays, and faults are told."""

import os
from pathlib import Path
from typing import Any

import pytest

from finchshelf.agreement import store
from finchshelf.agreement.store import Fault, Store, StoreError

ONE, TWO, THREE = ({"disk": "first", "n": n, "document": bytes([n]) * 9000} for n in (1, 2, 3))


def saved(folder: Path, *states: dict[str, Any]) -> Store:
    """Saves go to a, b, a in turn."""
    lasting = Store(str(folder), 64)
    for state in states:
        lasting.save(state)
    return lasting


def load(folder: Path) -> tuple[Any, list[Fault]]:
    return Store(str(folder), 64).load()


def tear(path: Path) -> None:
    content = path.read_bytes()
    path.write_bytes(content[: len(content) // 2] + bytes(len(content) - len(content) // 2))


def test_given_states_saved_when_loaded_then_the_newest_comes_and_files_stay_small(tmp_path: Path) -> None:
    assert load(tmp_path) == (None, [])
    saved(tmp_path, ONE, TWO, THREE)
    assert load(tmp_path) == (THREE, [])
    assert sum(each.stat().st_size for each in tmp_path.rglob("*")) < 100_000


def test_given_an_equal_state_when_saved_then_nothing_is_written(tmp_path: Path) -> None:
    lasting = saved(tmp_path, ONE)
    lasting.save(dict(ONE))
    assert not (tmp_path / "b").exists()


@pytest.mark.parametrize(("part", "step"), [("data.mdb", "data"), ("seal", "seal")])
def test_given_the_newest_is_torn_when_loaded_then_the_one_before_comes_and_the_loss_is_told(
    tmp_path: Path, part: str, step: str
) -> None:
    saved(tmp_path, ONE, TWO)
    tear(tmp_path / "b" / part)
    assert load(tmp_path) == (ONE, [Fault(step, str(tmp_path / "b" / part), True)])
    saved(tmp_path, THREE)
    assert load(tmp_path) == (THREE, [])


@pytest.mark.parametrize("half", [b"", b"half"])
def test_given_a_save_cut_off_when_loaded_then_the_last_good_comes_and_nothing_is_lost(
    tmp_path: Path, half: bytes
) -> None:
    saved(tmp_path, ONE, TWO)
    (tmp_path / "a" / "data.mdb").write_bytes(half)
    assert load(tmp_path) == (TWO, [Fault("data", str(tmp_path / "a" / "data.mdb"), False)])
    (tmp_path / "a" / "seal").unlink()
    assert load(tmp_path) == (TWO, [Fault("unsealed", str(tmp_path / "a" / "data.mdb"), False)])


def test_given_any_write_or_sync_is_refused_when_saving_then_the_last_good_stays_and_a_later_save_works(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(*_: Any) -> None:
        raise OSError(28, "No space left on device")

    lasting, states = saved(tmp_path, ONE, TWO), [ONE, TWO]
    sync = os.fsync
    for number in range(3):
        count = iter(range(99))

        def refuse_one(file: int, number: int = number, count: Any = count) -> None:
            if next(count) == number:
                refuse()
            sync(file)

        with monkeypatch.context() as patch:
            patch.setattr(os, "fsync", refuse_one)
            with pytest.raises(StoreError) as error:
                lasting.save({**THREE, "turn": number})
        assert error.value.step in ("unseal", "sync", "seal")
        state, faults = load(tmp_path)
        assert state in (*states, {**THREE, "turn": number}) and not any(each.lost for each in faults)
    for module, name in ((store, "_write"), (os, "replace"), (os, "open")):
        with monkeypatch.context() as patch:
            patch.setattr(module, name, refuse)
            with pytest.raises(StoreError):
                lasting.save({**THREE, "name": name})
        assert load(tmp_path)[0] == TWO
    lasting.save(THREE)
    assert load(tmp_path) == (THREE, [])


def test_given_a_state_larger_than_its_room_when_saved_then_it_is_refused_unwritten(tmp_path: Path) -> None:
    lasting = Store(str(tmp_path), 1)
    lasting.save(ONE)
    with pytest.raises(StoreError) as error:
        lasting.save({"document": os.urandom(1 << 20)})
    assert error.value.step == "room"
    assert load(tmp_path) == (ONE, [])
