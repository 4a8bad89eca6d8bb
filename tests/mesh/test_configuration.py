"""Routes are found by host and longest prefix; versions never decrease."""

from __future__ import annotations

import pytest
from builders import make_configuration, make_route

from cyclamenvane.mesh.configuration import CurrentConfiguration


@pytest.fixture
def current():
    return CurrentConfiguration(lambda configuration, source: None)


def test_route_with_longest_prefix_is_found(current):
    routes = [
        make_route(name="short", prefix="/items/"),
        make_route(name="long", prefix="/items/new/"),
        make_route(name="root", host="other.example", prefix="/"),
    ]
    current.apply(make_configuration(1, routes), "test")
    table = current.current()

    def find(host, path):
        route = table.find_route(host, path)
        return route and route.name

    assert find(b"shop.example", b"/items/new/1") == "long"
    assert find(b"Shop.Example:8080", b"/items/newer") == "short"
    assert find(b"shop.example", b"/items") is None
    assert find(b"shop.example", b"/itemsx/") is None
    assert find(b"other.example", b"/anything") == "root"
    assert find(b"unknown.example", b"/items/1") is None


def test_older_versions_are_ignored(current):
    assert current.apply(make_configuration(7), "test")
    assert not current.apply(make_configuration(7), "test")
    assert not current.apply(make_configuration(6), "test")
    assert current.version() == 7
    assert current.apply(make_configuration(12), "test")


def test_source_of_a_version_is_reported():
    reported = []
    current = CurrentConfiguration(lambda *change: reported.append(change))
    configuration = make_configuration(7)
    current.apply(configuration, "rows")
    current.apply(make_configuration(6), "snapshot of 10.0.0.1")
    assert reported == [(configuration, "rows")]
