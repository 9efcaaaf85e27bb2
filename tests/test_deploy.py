"""What the deploy files ask of a machine: the packages that a clean build calls, and wheels alone."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

from finchshelf.cli.deploy import check

ROOT = Path(__file__).parent.parent
FILES = [ROOT / "deploy" / name for name in ("system.toml", "balancer.toml")]
# Which Debian package brings what a build line calls; None: part of every Debian system.
BROUGHT_BY = {
    "[": None,
    "test": None,
    "true": None,
    "python3": "python3",
    "python3 -m pip": "python3-pip",
    "python3 -m venv": "python3-venv",
    "python3 -O": "python3",
    ".venv/bin/python -m pip": "python3-venv",
    ".venv/bin/python -O": "python3-venv",
}


def read(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text(encoding="utf-8"))


def called(build: str) -> set[str]:
    """The commands of a build line; of an interpreter with what it is to run."""
    found: set[str] = set()
    for command in re.split(r"\|\||&&|;", build.replace("(", " ").replace(")", " ")):
        words = command.split()
        if words[0].endswith("python3") or words[0].endswith("/python"):
            found.add(" ".join(words[: 3 if words[1] == "-m" else 2]))
        else:
            found.add(words[0])
    return found


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.name)
def test_packages_are_all_that_the_build_lines_call(path: Path) -> None:
    needed = {BROUGHT_BY[command] for one in FILES for command in called(read(one)["build"])} - {None}
    assert set(read(path)["packages"]) == needed


def test_both_files_and_the_readme_list_the_same_packages() -> None:
    lists = [read(path)["packages"] for path in FILES]
    readme = re.search(r"^    apt-get install (.+)$", (ROOT / "README.md").read_text(), re.MULTILINE)
    assert readme is not None
    assert lists[0] == lists[1] == readme[1].split()


@pytest.mark.parametrize("path", [*FILES, ROOT / ".ci" / "run"], ids=lambda path: path.name)
def test_libraries_are_installed_from_wheels_alone(path: Path) -> None:
    installs = re.findall(r"-m pip [^&|;\n]*", path.read_text(encoding="utf-8"))
    assert installs
    assert all("--only-binary=:all:" in one for one in installs)


@pytest.mark.parametrize("packages", ['["python3", "python3"]', '["no such name"]', '"python3"'])
def test_a_list_of_packages_that_cannot_be_used_is_named(tmp_path: Path, packages: str) -> None:
    path = tmp_path / "system.toml"
    path.write_text(f"packages = {packages}\n" + re.sub(r"^packages.*\n", "", FILES[0].read_text()))
    found = check(str(path))
    assert len(found) == 1 and ": packages" in found[0]


def test_the_deploy_file_of_the_system_passes_its_own_check() -> None:
    assert check(str(FILES[0])) == []
