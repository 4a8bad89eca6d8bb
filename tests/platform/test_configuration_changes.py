"""Random changes of a configuration never take a node down or widen what it allows."""

from __future__ import annotations

import copy
import json

from hypothesis import given
from hypothesis import strategies as st
from test_documents import CONFIGURATION

from cyclamenvane.mesh.configuration import CurrentConfiguration
from cyclamenvane.platform.documents import decode_configuration

REQUESTS = [
    (b"shop.example", b"/items/1"),
    (b"shop.example", b"/up/1"),
    (b"shop.example", b"/other/1"),
]
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-5, 10**20),
    st.floats(),
    st.text(max_size=5),
    st.sampled_from([[], {}, [[]], "egress_download", "stream", "r9", "/"]),
)


def list_paths(value, path=()):
    """Return the path of each value in a document, without the document itself."""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        return [path]
    nested = [each for key, child in items for each in list_paths(child, (*path, key))]
    return [path, *nested] if path else nested


@st.composite
def changed_documents(draw):
    document = copy.deepcopy(CONFIGURATION)
    for _ in range(draw(st.integers(1, 3))):
        *parents, field = draw(st.sampled_from(list_paths(document)))
        parent = document
        for key in parents:
            parent = parent[key]
        if draw(st.booleans()):
            parent[field] = draw(VALUES)
        elif isinstance(parent, dict):
            parent[draw(st.text(max_size=5))] = parent.pop(field)
        else:
            parent.append(draw(VALUES))
    return document


def decode(document):
    return decode_configuration(json.dumps(document).encode())


@given(changed_documents())
def test_a_changed_document_leaves_a_version_in_force(document):
    current = CurrentConfiguration(lambda configuration, source: None)
    current.apply(decode(CONFIGURATION).ok, "test")
    decoded = decode(document)
    if decoded.is_ok():
        current.apply(decoded.ok, "test")
    assert current.version() >= 7
    for host, path in REQUESTS:
        current.current().find_route(host, path)


@given(changed_documents())
def test_a_route_is_run_only_as_its_document_says(document):
    decoded = decode(document)
    if decoded.is_error():
        return
    current = CurrentConfiguration(lambda configuration, source: None)
    current.apply(decoded.ok, "test")
    # The document's routes in their order, which is the order of the decoded ones.
    for written, route in zip(document["routes"], decoded.ok.routes, strict=True):
        kinds = ("idempotent", "egress_download")
        if route.idempotent:
            assert written["routeType"] in kinds
        parts = written.get("weightedServices") or []
        if "service" in written:
            named = [written["service"]]
        else:
            named = [part.get("service") for part in parts if isinstance(part, dict)]
        assert all(share.service in named for share in route.shares)
        if route.shares:
            assert route.max_targets == written["maxAttempts"]
            assert route.timeout.total_seconds() <= written["timeoutS"] + 1e-6
