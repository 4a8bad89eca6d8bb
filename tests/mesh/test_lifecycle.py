"""Nodes that start, stop, restart, fall silent and change."""

from __future__ import annotations

import base64
import socket
from dataclasses import replace
from datetime import timedelta

from builders import make_heartbeat
from mesh_harness import POST, await_true, free_port, make_request, route

from cyclamenvane.clock import SystemClock
from cyclamenvane.mesh import MeshNode
from cyclamenvane.mesh.model import Incarnation, NodeRecord
from cyclamenvane.mesh.publication import decode_record
from cyclamenvane.platform import make_adapter
from cyclamenvane.platform.store import RowsClient

INCARNATION = Incarnation(1, "i-silent")


def test_a_newer_configuration_is_in_force_and_reaches_cut_off_nodes(mesh):
    entry, beside = mesh.add("desk"), mesh.add()
    mesh.configure(route())
    mesh.settle()
    # The node that the caller uses does not hear of it from the store.
    entry.node.discovery.take_configurations = lambda changes: None
    mesh.configure(route(), route("new", "/new/"))
    await_true(lambda: beside.node.configuration.version() == 10)
    assert entry.call().status == 200
    await_true(lambda: entry.call("/new/").status == 200, 2)


def test_a_stopping_node_finishes_its_calls(pair):
    entry, beside = pair
    beside.target.delay = 1.0
    with entry.connect() as sock:
        sock.sendall(make_request())
        await_true(lambda: beside.target.ran)
        stopping = entry.node.executor.submit(entry.node.stop)
        await_true(lambda: not entry.is_ready())
        received = sock.recv(65536)
    assert received.startswith(b"HTTP/1.1 200") and b"Connection: close" in received
    assert stopping.result(5)


def test_a_node_gone_silent_is_left_alone_after_the_first_call(mesh):
    entry, _ = mesh.add("desk"), mesh.add()
    mesh.configure(route(timeoutS=0.4))
    mesh.settle()
    with socket.create_server(("127.0.0.99", mesh.peer_port)) as silent:
        record = NodeRecord(
            "n-silent", 1, "a", silent.getsockname(), "stock", 64, False, INCARNATION
        )
        entry.node.directory.take(record)
        answers = [entry.call(attempt=f"a{number}") for number in range(8)]
        assert [each.status for each in answers].count(200) >= 7
        assert sum(each.took > 0.3 for each in answers) <= 1


def test_changed_settings_are_taken_in_and_the_same_ones_change_nothing(mesh):
    member = mesh.add()
    mesh.configure(route(), route("other", "/other/", service="other"))
    mesh.settle()
    member.node.reload(member.settings)
    assert member.call().status == 200
    member.service = "other"
    member.node.reload(replace(member.settings, service="other"))
    assert member.call("/other/").status == 503, "nothing is known of that target yet"
    assert member.beat() == 200
    assert member.call("/other/").status == 200


def test_a_restarted_node_remembers_that_its_target_has_ended(mesh):
    member = mesh.add()
    mesh.configure(route())
    mesh.settle()
    assert member.beat("draining") == 200
    name = member.settings.node
    place = ("cyclamenvane-nodes", "a", name)
    await_true(lambda: decode_stored(mesh, place).leaving)
    member.node.kill()
    again = MeshNode(
        replace(
            member.settings,
            caller_listener=(member.host, free_port(member.host)),
            peer_listener=(member.host, free_port(member.host)),
        ),
        make_adapter(free_port(member.host)),
        SystemClock(),
    )
    page = RowsClient(mesh.store.address, timedelta(seconds=1)).read(
        "cyclamenvane-nodes", "a"
    )
    again.discovery.take_nodes(list(page.ok.changes))
    late = make_heartbeat(
        incarnation=Incarnation(member.born, member.target.instance),
        address=member.target.address,
    )
    assert not again.registration.note_heartbeat(late).taken
    again.kill()


def decode_stored(mesh, place):
    return decode_record(base64.b64decode(mesh.store.rows[place]["value"]))


def test_a_lost_record_is_written_again(mesh):
    member = mesh.add()
    mesh.configure(route())
    mesh.settle()
    place = ("cyclamenvane-nodes", "a", member.settings.node)
    await_true(lambda: place in mesh.store.rows)
    table, part, key = place
    mesh.store.transact({"deletes": [{"table": table, "part": part, "key": key}]})
    await_true(lambda: place in mesh.store.rows, 2)


def test_a_stopping_node_refuses_orders_as_not_run_before_it_ends(mesh):
    entry, stopping, other = mesh.add("desk"), mesh.add(), mesh.add()
    mesh.configure(route("post", "/orders/", **POST))
    mesh.settle()
    ended = stopping.node.executor.submit(stopping.node.stop)
    statuses = []
    while not ended.done():
        statuses.append(entry.call("/orders/", "POST", b"x").status)
    assert set(statuses) == {200}
    assert stopping.target.ran and other.target.ran
