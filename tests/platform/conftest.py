"""Fixtures for the adapter's tests."""

from __future__ import annotations

import pytest
from store_standin import StoreStandIn


@pytest.fixture
def store():
    made = StoreStandIn()
    yield made
    made.silent = False
    made.close()
