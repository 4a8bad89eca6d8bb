"""Fixtures for the tests of the platform adapter."""

from __future__ import annotations

import pytest
from store_standin import StoreStandIn


@pytest.fixture
def store():
    standin = StoreStandIn()
    yield standin
    standin.unresponsive = False
    standin.close()
