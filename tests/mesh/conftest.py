"""Fixtures for the tests of the mesh."""

from __future__ import annotations

import eliot
import pytest
from mesh_harness import POST, Mesh, route
from store_standin import StoreStandIn


@pytest.fixture
def mesh():
    created = Mesh()
    yield created
    created.close()


@pytest.fixture
def store():
    created = StoreStandIn()
    yield created
    created.close()


@pytest.fixture
def log_messages():
    """Return a list that gets the log messages of all nodes."""
    messages = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


@pytest.fixture
def pair(mesh):
    """Return two nodes of two services; the target of the first makes no calls."""
    first, second = mesh.add("desk", "a"), mesh.add("stock", "a")
    mesh.configure(route(), route("post", "/orders/", **POST))
    mesh.wait_until_converged()
    return first, second


@pytest.fixture
def watched(mesh, log_messages):
    """Return a mesh, and a function that lists the errors that would end a node."""

    def list_broken():
        kind = "node:broken_invariant"
        return [each for each in log_messages if each.get("message_type") == kind]

    add = mesh.add

    def add_watched(*arguments):
        member = add(*arguments)
        member.node.executor._on_invariant_broken = lambda: None
        return member

    mesh.add = add_watched
    yield mesh, list_broken
    assert not list_broken()
