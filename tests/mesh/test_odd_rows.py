"""Rows of the store that another writer has left odd."""

from __future__ import annotations

import msgpack
import pytest
from mesh_harness import route, wait_until

from cyclamenvane.mesh.publication import NODES_TABLE, decode_record

RECORD = ["n-odd", 5, "a", "127.0.0.1", 9, "stock", 4, False, [1, "i-odd"]]
NESTED = b"\x91" * 2000 + b"\x90"
HUGE = 2**64 - 1


def change(**fields):
    """Return an encoded record with some of its fields replaced."""
    names = "node session zone host port service slots leaving started".split()
    return msgpack.packb([fields.get(n, v) for n, v in zip(names, RECORD)])


ODD_VALUES = (
    *(change(port=value) for value in (70000, -1, 0, HUGE, "9", None, [9], 9.5, True)),
    *(change(host=value) for value in (5, None, "", "no address", [], "1.2.3", "a\0")),
    *(change(session=value) for value in ("later", None, HUGE, -1, 0.5, [1], True)),
    *(change(zone=value) for value in (None, 4, ["a"], {})),
    *(change(service=value) for value in (None, 4, ["stock"], {})),
    *(change(slots=value) for value in ("many", None, HUGE, -1, 1.5, [4])),
    *(change(leaving=value) for value in ("no", 7, [1])),
    *(
        change(started=value)
        for value in ([HUGE, 5], ["1", "i"], [1], 7, "i-1", [1, 2])
    ),
    *(change(node=value) for value in (None, 5, ["n-odd"], "")),
    NESTED,
    b"\x81" * 2000 + b"\xc0",
    b"",
    b"\xc1",
    b"\xd6\xff\xff\xff\xff\xff",
    msgpack.packb(RECORD)[:-3],
    msgpack.packb(RECORD) + b"\0",
    msgpack.packb({"node": "n-odd"}),
)


@pytest.mark.parametrize("data", ODD_VALUES)
def test_odd_record_names_no_node(data):
    """Guards against values that fail only once the record is used."""
    assert decode_record(data) is None


def test_record_is_decoded():
    assert decode_record(msgpack.packb(RECORD)).address == ("127.0.0.1", 9)
    assert decode_record(change(started=None)).incarnation is None


@pytest.mark.parametrize("key", ["a-first", "n-odd", "n-1", "z"])
def test_nodes_follow_the_store_past_odd_rows(watched, key):
    """Guards against one odd row that ends a node, or its following of the store."""
    mesh, list_broken = watched
    entry, remote = mesh.add("desk"), mesh.add()
    mesh.configure(route())
    mesh.wait_until_converged()
    values = (*ODD_VALUES, change(node=key, port=70000), change(node=key, host=4))
    for number, value in enumerate(values):
        mesh.store.put(NODES_TABLE, "ab"[number % 2], key, value)
    mesh.configure(route(), route("new", "/new/"))
    wait_until(lambda: entry.node.configuration.version() == 10)
    wait_until(lambda: remote.node.configuration.version() == 10)
    late = mesh.add("stock")
    wait_until(lambda: late.node.configuration.version() == 10)
    wait_until(
        lambda: any(
            peer.record.node == "n-2" and peer.record.incarnation
            for peer in entry.node.directory.peers()
        )
    )
    for number in range(6):
        assert entry.call("/new/", attempt=f"a{number}").status == 200
    assert not list_broken()


@pytest.mark.parametrize("text", ["%%%", "AAA", "\u00e9", 5, None, [], {"a": 1}])
def test_a_row_that_is_no_base64_hides_no_other_row(watched, text):
    """Guards against one value that makes the whole page of rows unreadable."""
    mesh, list_broken = watched
    entry = mesh.add("stock")
    mesh.configure(route())
    mesh.wait_until_converged()
    row = {"table": NODES_TABLE, "part": "a", "key": "a-odd", "value": text}
    mesh.store.transact({"puts": [row]})
    mesh.configure(route(), route("new", "/new/"))
    late = mesh.add("stock")
    for member in (entry, late):
        wait_until(lambda: member.node.configuration.version() == 10)
    wait_until(lambda: len(entry.node.directory.peers()) == 1)
    wait_until(lambda: len(late.node.directory.peers()) == 1)
