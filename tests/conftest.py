"""What pytest does beside running the tests: known red tests are passed over, violated invariants fail."""

from collections.abc import Iterator

import pytest

from finchshelf.invariants import RECORDER
from tests.known_red import (
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_runtest_makereport,
    pytest_sessionstart,
)

__all__ = [
    "pytest_collection_modifyitems",
    "pytest_configure",
    "pytest_runtest_makereport",
    "pytest_sessionstart",
]


@pytest.fixture
def invariants_may_break() -> None:
    """Asked for by tests that drop a guard, or make up a state that the programs never reach."""


@pytest.fixture(autouse=True)
def invariants_hold(request: pytest.FixtureRequest) -> Iterator[None]:
    """A test fails if one of the programs that it ran violated an invariant."""
    RECORDER.take()
    yield
    found = RECORDER.take()
    if "invariants_may_break" not in request.fixturenames:
        assert not found, f"invariants violated: {found[:5]}"
