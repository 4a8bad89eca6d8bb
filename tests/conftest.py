"""Fixtures and the hypothesis profiles."""

from __future__ import annotations

from datetime import datetime, timedelta, timezone

import pytest
from harness import Cluster
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "long",
    deadline=None,
    max_examples=3000,
    stateful_step_count=80,
    suppress_health_check=list(HealthCheck),
)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--long", action="store_true", help="search for longer")


def pytest_configure(config: pytest.Config) -> None:
    settings.load_profile("long" if config.getoption("--long") else "ci")


class ManualClock:
    """A clock that tests move by hand."""

    def __init__(self) -> None:
        self.passed = timedelta(seconds=1000)

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=timezone.utc) + self.passed

    def monotonic(self) -> timedelta:
        return self.passed

    def advance(self, seconds: float) -> None:
        self.passed += timedelta(seconds=seconds)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def cluster():
    made = Cluster()
    yield made
    made.close()
    assert made.broken == []
