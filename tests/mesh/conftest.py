"""Fixtures for the tests of the mesh."""

from __future__ import annotations

import pytest
from mesh_harness import Mesh
from store_standin import StoreStandIn


@pytest.fixture
def mesh():
    made = Mesh()
    yield made
    made.close()


@pytest.fixture
def store():
    made = StoreStandIn()
    yield made
    made.close()
