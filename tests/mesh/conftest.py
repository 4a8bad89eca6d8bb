"""Fixtures for the tests of the mesh."""

from __future__ import annotations

import pytest
from mesh_harness import POST, Mesh, route
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


@pytest.fixture
def pair(mesh):
    """Return two nodes of two services; the first one's target calls nobody."""
    first, second = mesh.add("desk", "a"), mesh.add("stock", "a")
    mesh.configure(route(), route("post", "/orders/", **POST))
    mesh.settle()
    return first, second
