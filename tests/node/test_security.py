"""Requests and frames without valid credentials, malformed or oversized."""

from __future__ import annotations

import socket

import pytest
from harness import KEYS, Cluster, credential, fetch

from cyclamenvane.wire import encode_frame
from cyclamenvane.wire.frame import HelloFrame, ProofFrame, QueryFrame


@pytest.fixture
def node(cluster: Cluster):
    return cluster.add_node("z1")


def send_frames(node, *frames: bytes) -> bytes:
    with socket.create_connection(node.streams.address, 20) as sock:
        received = b""
        for frame in frames:
            sock.sendall(frame)
            received = sock.recv(4096)
        return received


def test_stream_without_a_handshake_is_closed_without_reply(node) -> None:
    query = QueryFrame(1, "membership.sync", b"")
    assert send_frames(node, encode_frame(query)) == b""


def test_stream_with_a_wrong_proof_is_closed(node) -> None:
    hello = HelloFrame("node", "somebody", b"n" * 16)
    proof = ProofFrame(b"p" * 24)
    assert send_frames(node, encode_frame(hello), encode_frame(proof)) == b""


def test_handshake_frame_size_is_limited(node) -> None:
    hello = HelloFrame("node", "x" * 100_000, b"n" * 16)
    try:
        assert send_frames(node, encode_frame(hello)) == b""
    except ConnectionResetError:
        pass


@pytest.mark.parametrize("path", ["/policy", "/status", "/audit", "/zones"])
def test_operator_paths_need_the_operators_key(cluster, node, path) -> None:
    for key in (KEYS.targets, KEYS.callers, ""):
        assert cluster.control(node, "GET", path, key=key).status == 401


def test_front_port_has_no_operator_paths(cluster, node) -> None:
    address = node.front_listener.address
    headers = {"Authorization": f"Bearer {KEYS.operators}"}
    assert fetch(address, "GET", "/policy", headers=headers).status == 401


def test_invalid_announcement_is_rejected_without_effect(cluster, node) -> None:
    announcement = {"service": "stock", "address": "here", "slots": 0}
    response = cluster.control(node, "POST", "/targets", announcement, KEYS.targets)
    assert response.status == 400
    assert b"address: got 'here'" in response.body and b"slots: got 0" in response.body
    assert not node.targets.all()


def test_node_keeps_serving_after_malformed_request(cluster, node) -> None:
    with socket.create_connection(node.front_listener.address, 20) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nContent-Length: many\r\n\r\n")
        assert sock.recv(4096).startswith(b"HTTP/1.1 400")
    assert cluster.call(node, "GET", "/stock/x").reason == "no-target"


def test_oversized_section_is_rejected_without_effect(cluster, node) -> None:
    text = "[teams.desk]\n" + "# words\n" * 10_000
    response = cluster.accept(node, "desk", text)
    assert response.status == 422 and b"larger than" in response.body
    assert not node.sections.versions()


def send_chunked(node, count: int, ending: bytes) -> bytes:
    head = (
        "POST /stock/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        f"Authorization: Bearer {credential('foremen')}\r\n\r\n"
    )
    with socket.create_connection(node.front_listener.address, 5) as sock:
        try:
            sock.sendall(head.encode())
            for _ in range(count):
                sock.sendall(b"8000\r\n" + b"x" * 0x8000 + b"\r\n")
            sock.sendall(ending)
            return sock.recv(4096)
        except ConnectionError:
            return b"closed"


def test_body_without_a_length_is_rejected_before_its_end(cluster, node) -> None:
    cluster.add_target(node, "stock")
    accepted = send_chunked(node, 2, b"0\r\n\r\n")
    assert accepted.startswith(b"HTTP/1.1 200")
    # This body never ends: the node responds only because it limits its size.
    rejected = send_chunked(node, 16, b"")
    assert rejected == b"closed" or rejected.startswith(b"HTTP/1.1 413")
    assert cluster.targets[0].received == 2 * 0x8000
