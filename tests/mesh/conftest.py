"""Fixtures for the tests of the mesh."""

from __future__ import annotations

import pytest
from mesh_harness import Mesh


@pytest.fixture
def mesh():
    made = Mesh()
    yield made
    made.close()
